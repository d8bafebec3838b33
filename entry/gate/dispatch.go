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
	// maxSends bounds the sends of one request, those that were not run included.
	maxSends = 6
	// resendPause is the pause before a request goes to a target that refused it.
	resendPause = 25 * time.Millisecond
	// maxFetches bounds the tries to fetch the adapter of one request, and fetchPause
	// is the pause after each that failed.
	maxFetches = 40
	fetchPause = 60 * time.Millisecond
	// placeWait is how long a request waits for the leader to begin loading a model
	// that no target holds.
	placeWait = 700 * time.Millisecond
	// answerMargin is the time that must be left after a load for an answer.
	answerMargin = 300 * time.Millisecond
	// overloadFactor is how many times the expected wait must exceed the time left
	// before a request is refused: the expectation errs on the long side under load.
	overloadFactor = 2
	// maxRetryAfter bounds what a refused client is told.
	maxRetryAfter = 3 * time.Second
	// refusedPause is the time after which a refused client may come back.
	refusedPause = 500 * time.Millisecond
)

// result says what became of one send.
type result int

//go:generate stringer -type=result -linecomment

const (
	// answered: the client has got the target's whole answer.
	answered result = iota // answered
	// notRun: the target certainly did not run the request.
	notRun // not run
	// unreached: no byte of the request reached the target.
	unreached // unreached
	// noAdapter: the target lacks the adapter and it could not be fetched; nothing
	// was sent.
	noAdapter // no adapter
	// broken: the target may have run the request, and its answer is incomplete.
	broken // broken
	// gone: the client has left.
	gone // client left
	// expired: the time of the request is over.
	expired // expired
)

// dispatch sends the request until it is answered or may not be sent again.
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
			c.lostWith(choice.Target, err)
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

// mayResend takes a resend from the budget.
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

// choose waits for a target that can take the request and notes the request there.
func (c *call) choose(ctx context.Context) (steer.Choice, *failure) {
	g := c.g
	waiting := false
	begun := time.Now()
	defer func() {
		if waiting {
			c.decision.waited += time.Since(begun)
			g.mu.Lock()
			g.demand.Wait(time.Now(), c.prompt.Model, -1)
			g.mu.Unlock()
		}
	}()
	for {
		now := time.Now()
		g.mu.Lock()
		choice, until := c.pick(now)
		changed := g.changed
		if choice.Target == nil && !waiting && c.prompt.Model != "" {
			waiting = true
			g.demand.Wait(now, c.prompt.Model, 1)
		}
		g.mu.Unlock()
		if choice.Target != nil {
			return choice, c.overloaded(now, choice)
		}
		if f := c.hopeless(now, begun, until); f != nil {
			return choice, f
		}
		g.hurry()
		select {
		case <-ctx.Done():
			if c.r.Context().Err() != nil {
				c.decision.outcome = "clientLeft"
			}
			return choice, c.tooLate()
		case <-changed:
		case <-time.After(reportPeriod):
		}
	}
}

// pick chooses a target and notes the request there; without one, until is when
// a load of the model is expected to end. The caller holds mu.
func (c *call) pick(now time.Time) (choice steer.Choice, until time.Time) {
	targets := c.g.fleet.services[c.service.Name]
	s := c.site()
	choice = steer.Pick(now, s, &c.prompt, targets, func(t *steer.Target) bool { return c.tried[t.ID] })
	if choice.Target == nil && len(c.tried) > 0 && steer.Resident(c.prompt.Model, targets) {
		// All that hold the model were tried; they may have room by now.
		clear(c.tried)
		choice = steer.Pick(now, s, &c.prompt, targets, func(*steer.Target) bool { return false })
	}
	c.countDemand(now, choice)
	if choice.Target == nil {
		until, _ = steer.LoadingUntil(c.prompt.Model, targets)
		return choice, until
	}
	t := choice.Target
	c.decision.prompt = t.Own.PromptTokens + t.Others.PromptTokens
	c.decision.running = t.Own.Running + t.Others.Running
	for _, x := range t.Begin(now, &c.prompt, s, choice.MissTokens) {
		c.g.noteCached(t.ID, x)
	}
	c.decision.target, c.decision.wait = choice.Target.ID, choice.Wait
	c.decision.miss, c.decision.choices = choice.MissTokens, choice.Candidates
	return choice, time.Time{}
}

// countDemand counts the request as demand for its model, once; also if no target
// holds the model, which then needs more than one copy as soon as possible. The
// caller holds mu.
func (c *call) countDemand(now time.Time, choice steer.Choice) {
	if c.counted || c.prompt.Model == "" {
		return
	}
	c.counted = true
	miss := choice.MissTokens
	if choice.Target == nil {
		miss = c.prompt.PromptTokens
	}
	c.g.demand.Add(now, &c.prompt, miss)
}

func (c *call) site() steer.Site {
	s := steer.Site{Zone: c.g.zone, Idle: func(t *steer.Target) bool {
		return c.g.conns.Idle(relay.Target{ID: t.ID, Addr: t.Addr})
	}}
	if c.service.Engine != nil {
		s.KVTokens = c.service.Engine.KVTokens
		s.CopyRate = c.service.Engine.CopyRate()
	}
	return s
}

// hopeless refuses a request that no target can take in time.
func (c *call) hopeless(now, begun, until time.Time) *failure {
	unknown := c.service.Engine != nil && c.service.Engine.Model(c.prompt.Model) == nil
	switch {
	case unknown:
		return &failure{status: http.StatusServiceUnavailable, reason: "the model is not declared", retryAfter: time.Second}
	case !c.g.warm.Load() && now.Add(answerMargin).Before(c.deadline):
		// Control does not know all targets yet.
		return nil
	case until.IsZero() && now.Sub(begun) < placeWait && now.Add(answerMargin).Before(c.deadline):
		return nil
	case !until.IsZero() && until.Add(answerMargin).Before(c.deadline):
		return nil
	}
	if c.ran > 0 || c.sent {
		return &failure{status: http.StatusBadGateway, reason: "no other target"}
	}
	back := refusedPause
	if wait := until.Sub(now); !until.IsZero() && wait > back {
		back = wait
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no target holds the model", retryAfter: back}
}

// overloaded refuses a request that would surely not be answered in time, so that
// its client can come back when there is room, and others are not held up.
func (c *call) overloaded(now time.Time, choice steer.Choice) *failure {
	if c.prompt.Model == "" || c.sent || c.ran > 0 || choice.Wait < overloadFactor*c.deadline.Sub(now) {
		return nil
	}
	c.release(choice)
	return &failure{
		status: http.StatusServiceUnavailable, reason: "all targets of the model are overloaded",
		retryAfter: min(max(choice.Wait/4, refusedPause), maxRetryAfter),
	}
}

// release undoes Begin for a request that is not sent.
func (c *call) release(choice steer.Choice) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	choice.Target.End(&c.prompt, choice.MissTokens, false)
}

// send sends the request to the chosen target and passes its answer on.
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
	c.stamp(choice)
	c.attempts++
	sentAt := time.Now()
	answer, err := c.g.conns.Do(ctx, relay.Target{ID: t.ID, Addr: t.Addr}, c.connLimit(), c.out)
	if err != nil {
		var failed *relay.Error
		if errors.As(err, &failed) && !failed.Sent {
			c.attempts--
			return c.ended(ctx, unreached), err
		}
		return c.ended(ctx, broken), err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Header.Get(c.g.headers.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest {
		c.attempts--
		return notRun, errors.New("target answered " + strconv.Itoa(answer.Status) + ", not run")
	}
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
		// The client has the beginning of a stream, which this cannot complete.
		err = fmt.Errorf("resumed stream answered with status %d", answer.Status)
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

// ended replaces a result by the end of the request's time or of its client.
func (c *call) ended(ctx context.Context, res result) result {
	switch {
	case c.r.Context().Err() != nil:
		return gone
	case ctx.Err() != nil || !time.Now().Before(c.deadline):
		return expired
	}
	return res
}

// settle notes the end of a send at its target.
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

// noteAdapter notes that the adapter is at the target and in use.
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

// stamp sets the headers that the system adds for one send.
func (c *call) stamp(choice steer.Choice) {
	left := max(time.Until(c.deadline), time.Millisecond)
	c.out.Header.Set(c.g.headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	c.out.Header.Set(c.g.headers.Target, choice.Target.ID)
	c.out.Header.Del(c.g.headers.CopyFrom)
	if choice.Source != nil {
		c.out.Header.Set(c.g.headers.CopyFrom, choice.Source.Addr.String())
	}
	if c.prompt.Model != "" {
		c.out.Header.Set(c.g.headers.Priority, strconv.Itoa(c.route.Urgency()))
	}
	if c.hasEvent {
		c.out.Header.Set(lastEventHeader, strconv.FormatUint(c.lastEvent, 10))
	}
}

// connLimit is this instance's share of the connections that a target accepts.
func (c *call) connLimit() int {
	if c.service.MaxConns <= 0 {
		return 0
	}
	return max(c.service.MaxConns/connShare, 1)
}

// connShare is the number of entry instances among which the connections of a
// target are divided.
const connShare = 6

func (c *call) logAttempt(choice steer.Choice, res result, err error) {
	c.g.met.attempt(res)
	c.g.log.Info().Str("event", "attemptFailed").Str("id", c.id).Str("target", choice.Target.ID).
		Str("outcome", res.String()).Int("sends", c.attempts).Dur("expected", choice.Wait).
		Int("running", choice.Target.Own.Running).Int("others", choice.Target.Others.Running).Err(err).Msg("")
}
