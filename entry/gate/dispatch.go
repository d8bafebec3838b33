package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
)

const (
	// maxSends is the maximum number of sends of one request, including those that
	// were not run.
	maxSends = 6
	// resendPause is the delay before a request that a target did not run is resent.
	resendPause = 25 * time.Millisecond
	// maxFetches is the number of failed adapter fetches after which a request is
	// refused, and fetchPause is the delay after each failed fetch.
	maxFetches = 40
	fetchPause = 60 * time.Millisecond
	// refusedPause is the default Retry-After of a refusal.
	refusedPause = 500 * time.Millisecond
)

// result is the outcome of one send.
type result int

//go:generate stringer -type=result -linecomment

const (
	// answered: the complete response was forwarded to the client.
	answered result = iota // answered
	// notRun: the target certainly did not run the request.
	notRun // not run
	// unreached: no byte of the request was sent to the target.
	unreached // unreached
	// noAdapter: the adapter could not be fetched to the target, so nothing was sent.
	noAdapter // no adapter
	// broken: the target may have run the request, and its response is unusable or
	// incomplete.
	broken // broken
	// gone: the client closed its connection.
	gone // client left
	// expired: the deadline of the request has passed.
	expired // expired
)

// dispatch sends the request until a response is complete or no resend is allowed.
func (c *call) dispatch(ctx context.Context) *failure {
	c.g.mu.Lock()
	c.g.budget.Request(c.arrived)
	c.g.mu.Unlock()
	sends, fetches := 0, 0
	for {
		choice, f := c.choose(ctx)
		if f != nil {
			return f
		}
		if sends > 0 && !choice.NeedsAdapter && !c.mayResend(sends) {
			c.release(choice)
			return c.outOfTries()
		}
		res, err := c.send(ctx, choice)
		if res != answered {
			c.logAttempt(choice, res, err)
		}
		switch res {
		case answered:
			c.completedSuspect()
			return nil
		case gone:
			c.decision.outcome = "clientLeft"
			return &failure{status: http.StatusBadGateway, reason: "client left"}
		case expired:
			return c.tooLate()
		case noAdapter:
			if fetches++; fetches >= maxFetches {
				return &failure{status: http.StatusServiceUnavailable, reason: "no target has the adapter", retryAfter: refusedPause}
			}
			c.tried[choice.Target.ID] = true
			c.pause(ctx, fetchPause)
			continue
		case unreached, notRun:
			c.tried[choice.Target.ID] = true
		case broken:
			c.ran++
			c.tried[choice.Target.ID] = true
			c.lostWith(err)
			if _, suspect := c.verdict(); suspect {
				return &failure{status: http.StatusBadGateway, reason: "targets are lost with this request: " + err.Error()}
			}
			if !c.route.Repeatable() || c.ran >= max(c.route.MaxAttempts, 1) {
				return &failure{status: http.StatusBadGateway, reason: "answer incomplete: " + err.Error()}
			}
		}
		sends++
		if res == notRun {
			c.pause(ctx, resendPause)
		}
	}
}

// mayResend reports whether another send is allowed, and charges it to the retry budget.
func (c *call) mayResend(sends int) bool {
	if sends >= maxSends {
		return false
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.budget.Take(time.Now())
}

func (c *call) outOfTries() *failure {
	if c.ran > 0 || c.sent {
		return &failure{status: http.StatusBadGateway, reason: "answer incomplete and no resend left"}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no resend left", retryAfter: refusedPause}
}

func (c *call) tooLate() *failure {
	if c.ran > 0 || c.sent || c.attempts > 0 {
		return &failure{status: http.StatusGatewayTimeout, reason: "deadline passed"}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "deadline passed before a target was found"}
}

func (c *call) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// send sends the request to the chosen target and forwards its response.
func (c *call) send(ctx context.Context, choice steer.Choice) (res result, err error) {
	t := choice.Target
	first := false
	defer func() { c.settle(choice, first, res, errors.Is(err, relay.ErrSilent)) }()
	if choice.NeedsAdapter {
		if err := c.g.fetch(ctx, t.ID, c.prompt.Model, c.prompt.Adapter); err != nil {
			return c.ended(ctx, noAdapter), err
		}
	}
	c.noteAdapter(t)
	c.stamp()
	sentAt := time.Now()
	answer, err := c.g.conns.Do(ctx, c.to.Target, c.connLimit(), c.out)
	if err != nil {
		var failed *relay.Error
		if errors.As(err, &failed) && !failed.Sent {
			return c.ended(ctx, unreached), err
		}
		c.attempts++
		return c.ended(ctx, broken), err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Header.Get(c.g.headers.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest {
		return notRun, errors.New("target responded with status " + strconv.Itoa(answer.Status) + " without running the request")
	}
	c.attempts++
	started := func() {
		if first {
			return
		}
		first = true
		c.g.mu.Lock()
		defer c.g.mu.Unlock()
		now := time.Now()
		t.First(now, now.Sub(sentAt), choice.Base, choice.MissTokens)
		if c.decision.first == 0 {
			c.decision.first = now.Sub(c.arrived)
			c.g.met.firstOutput(c.decision.first)
		}
	}
	switch {
	case c.route.Kind == site.Stream && answer.Status == http.StatusOK:
		err = c.passStream(t, answer, started)
	case c.sent:
		// The client has received the beginning of a stream, which a response with
		// another status cannot continue.
		err = fmt.Errorf("target responded with status %d to a resumed stream", answer.Status)
	default:
		err = c.passWhole(answer, started)
	}
	if err != nil {
		return c.ended(ctx, broken), err
	}
	if answer.Status >= http.StatusInternalServerError {
		c.g.mu.Lock()
		t.Failed(time.Now(), false)
		c.g.mu.Unlock()
	}
	return answered, nil
}

// ended returns gone if the client has left, expired if the deadline has passed, and
// otherwise res.
func (c *call) ended(ctx context.Context, res result) result {
	switch {
	case c.r.Context().Err() != nil:
		return gone
	case ctx.Err() != nil || !time.Now().Before(c.deadline):
		return expired
	}
	return res
}

// settle updates the load and failure statistics of the target after a send.
func (c *call) settle(choice steer.Choice, first bool, res result, silent bool) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	t := choice.Target
	t.End(&c.prompt, choice.MissTokens, first)
	switch res {
	case unreached:
		t.Failed(time.Now(), true)
	case broken:
		t.Failed(time.Now(), silent || !first)
	case answered, notRun, noAdapter, gone, expired:
	}
}

// noteAdapter records that the adapter is resident and in use at the target.
func (c *call) noteAdapter(t *steer.Target) {
	if c.prompt.Adapter == "" {
		return
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if m := t.Models[c.prompt.Model]; m != nil {
		m.Adapters[c.prompt.Adapter] = true
	}
	used := c.g.adapters[t.ID]
	if used == nil {
		used = make(map[string]bool)
		c.g.adapters[t.ID] = used
	}
	used[c.prompt.Model+"/"+c.prompt.Adapter] = true
}

// stamp sets the headers that differ between sends of the same request.
func (c *call) stamp() {
	left := max(time.Until(c.deadline), time.Millisecond)
	c.out.Header.Set(c.g.headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	c.out.Header.Set(c.g.headers.Target, c.to.ID)
	c.out.Header.Del(c.g.headers.CopyFrom)
	if c.to.copyFrom.IsValid() {
		c.out.Header.Set(c.g.headers.CopyFrom, c.to.copyFrom.String())
	}
	if c.prompt.Model != "" {
		c.out.Header.Set(c.g.headers.Priority, strconv.Itoa(c.route.Urgency()))
	}
	if c.hasEvent {
		c.out.Header.Set(lastEventHeader, strconv.FormatUint(c.lastEvent, 10))
	}
}

// connLimit returns this instance's share of the connections that a target accepts; 0
// means no limit.
func (c *call) connLimit() int {
	if c.service.MaxConns <= 0 {
		return 0
	}
	return max(c.service.MaxConns/connShare, 1)
}

// connShare is the number of entry instances that are assumed to share the connection
// limit of a target.
const connShare = 6

func (c *call) logAttempt(choice steer.Choice, res result, err error) {
	c.g.met.attempt(res)
	c.g.log.Info().Str("event", "attemptFailed").Str("id", c.id).Str("target", choice.Target.ID).
		Str("outcome", res.String()).Int("sends", c.attempts).Dur("expected", choice.Wait).
		Int("running", c.decision.running).Err(err).Msg("")
}
