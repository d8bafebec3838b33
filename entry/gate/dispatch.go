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
	// maxSends is the maximum number of sends of one request, including those that were not
	// run or did not reach their target.
	maxSends = 6
	// resendDelay is the delay before a request that a target did not run is resent.
	resendDelay = 25 * time.Millisecond
	// maxFailedFetches is the number of failed adapter fetches after which a request is
	// refused, and fetchRetryDelay is the delay after each failed fetch.
	maxFailedFetches = 40
	fetchRetryDelay  = 60 * time.Millisecond
	// defaultRetryAfter is the default Retry-After of a refusal.
	defaultRetryAfter = 500 * time.Millisecond
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
	// withdrawn: the target turned out not to accept requests right before the send.
	withdrawn // withdrawn
	// noPermit: the target has named a limit and takes no further request in time.
	noPermit // no permit
	// overBudget: the retry budget allows no resend.
	overBudget // over budget
	// keyRefused: the API key may not be used any more, so nothing was sent.
	keyRefused // key refused
	// noQuota: the customer is over its quota, or the control leader doesn't answer.
	noQuota // no quota
	// incomplete: the target may have run the request, and its response is unusable or
	// incomplete.
	incomplete // broken
	// withheld: the target has answered in full, with a status that would tell the client that the
	// request has not run. The target does not say so.
	withheld // withheld
	// clientLeft: the client closed its connection.
	clientLeft // client left
	// expired: the deadline of the request has passed.
	expired // expired
)

// dispatch sends the request until a response is complete or no resend is allowed.
func (c *call) dispatch(ctx context.Context) *failure {
	c.gateway.mu.Lock()
	c.gateway.budgets.CountRequest(c.arrivedAt, c.service.Name)
	c.gateway.mu.Unlock()
	defer c.endAdmission("")
	sends, fetches := 0, 0
	for {
		if f := c.awaitTrial(ctx); f != nil {
			return f
		}
		choice, f := c.awaitTarget(ctx)
		if f != nil {
			return f
		}
		if sends >= maxSends {
			c.releaseTarget(choice)
			return c.retryLimitFailure()
		}
		res, err := c.send(ctx, choice)
		if res != answered {
			c.logAttempt(choice, res, err)
		}
		if f, final := c.conclude(res, err); final {
			return f
		}
		switch res {
		case noAdapter:
			if fetches++; fetches >= maxFailedFetches {
				return c.noAdapterFailure()
			}
			c.tried[choice.Target.ID] = true
			c.sleep(ctx, fetchRetryDelay)
			continue
		case unreached, notRun:
			c.tried[choice.Target.ID] = true
		case incomplete:
			c.tried[choice.Target.ID] = true
			if f := c.afterIncomplete(err); f != nil {
				return f
			}
		default: // The target was withdrawn, or takes the request too late.
			continue
		}
		sends++
		if res == notRun {
			c.endAdmission(choice.Target.ID)
			c.sleep(ctx, resendDelay)
		}
	}
}

// conclude returns the end of the request if the result of a send is final; nil if the client has got the
// target's answer.
func (c *call) conclude(res result, err error) (f *failure, final bool) {
	switch res {
	case answered:
		c.recordCompleted()
		return nil, true
	case withheld:
		c.recordCompleted()
		return &failure{status: http.StatusBadGateway, reason: err.Error()}, true
	case clientLeft:
		c.record.outcome = "clientLeft"
		return &failure{status: http.StatusBadGateway, reason: "client left"}, true
	case expired:
		return c.deadlineFailure(), true
	case overBudget:
		return c.retryLimitFailure(), true
	case keyRefused:
		return c.keyFailure(err), true
	case noQuota:
		return c.quotaFailure(), true
	case notRun, unreached, noAdapter, withdrawn, noPermit, incomplete:
	}
	return nil, false
}

// afterIncomplete records that a target may have run the request without a complete response.
// It returns a failure if the request must not be resent.
func (c *call) afterIncomplete(err error) *failure {
	c.incompleteAttempts++
	c.recordLost(err)
	reason := ""
	switch {
	case c.isSuspect():
		reason = "targets are lost with this request"
	case c.passedOn || !c.route.Repeatable() || c.incompleteAttempts >= max(c.route.MaxAttempts, 1):
		reason = "answer incomplete"
	case c.mayHaveCrashed(err):
		reason = "the target was lost, perhaps by this request"
	default:
		return nil
	}
	return &failure{status: http.StatusBadGateway, reason: reason + ": " + err.Error()}
}

func (c *call) noAdapterFailure() *failure {
	if c.incompleteAttempts > 0 || c.headerSent {
		return &failure{status: http.StatusBadGateway, reason: "answer incomplete and no other target has the adapter"}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no target has the adapter", retryAfter: defaultRetryAfter}
}

func (c *call) retryLimitFailure() *failure {
	if c.incompleteAttempts > 0 || c.headerSent {
		return &failure{status: http.StatusBadGateway, reason: "answer incomplete and no resend left"}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no resend left", retryAfter: defaultRetryAfter}
}

func (c *call) deadlineFailure() *failure {
	if c.gateway.stopped.Err() != nil {
		return c.stopFailure()
	}
	if c.incompleteAttempts > 0 || c.headerSent || c.attempts > 0 {
		return &failure{status: http.StatusGatewayTimeout, reason: "deadline passed"}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "deadline passed before a target was found"}
}

func (c *call) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// send prepares the chosen target for the request, sends it and forwards the response.
func (c *call) send(ctx context.Context, choice steer.Choice) (res result, err error) {
	t := choice.Target
	c.hasOutput = false
	defer func() { c.recordResult(choice, c.hasOutput, res, err) }()
	if choice.NeedsAdapter {
		if err := c.gateway.fetchAdapter(ctx, t.ID, c.prompt.Model, c.prompt.Adapter); err != nil {
			return c.resultOrCancelled(ctx, noAdapter), err
		}
	}
	if err := c.awaitPermit(ctx, choice); err != nil {
		return c.resultOrCancelled(ctx, noPermit), err
	}
	if err := c.takeQuota(ctx); err != nil {
		return c.resultOrCancelled(ctx, noQuota), err
	}
	c.recordAdapterUse(t)
	c.setSendHeaders()
	sentAt := time.Now()
	attemptCtx, endAttempt := c.startAttempt(ctx)
	defer endAttempt()
	answer, err := c.gateway.targetConns.Do(attemptCtx, c.dest.Target, c.gateway.connLimit(c.service), c.outbound)
	if err != nil {
		res := sendFailure(err)
		switch res {
		case incomplete:
			c.attempts++
		case unreached:
			c.undoQuota()
		case answered, notRun, noAdapter, withdrawn, noPermit, overBudget, keyRefused, noQuota, withheld, clientLeft, expired:
		}
		return c.resultOrCancelled(ctx, res), cancelCause(attemptCtx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	c.gateway.observeNotices(c.dest, answer)
	c.observeLimit(answer)
	if c.gateway.saysNotRun(answer) {
		return notRun, errors.New("target answered " + strconv.Itoa(answer.Status) + ", not run")
	}
	c.attempts++
	if err := c.forward(choice, answer, sentAt); err != nil {
		res := incomplete
		if errors.Is(err, errUnmarkedRefusal) {
			res = withheld
		}
		return c.resultOrCancelled(ctx, res), cancelCause(attemptCtx, err)
	}
	if answer.Status >= http.StatusInternalServerError {
		c.gateway.mu.Lock()
		t.AddFailure(time.Now(), false)
		c.gateway.mu.Unlock()
	}
	return answered, nil
}

// sendFailure returns the outcome of a send that ended without the header of a response.
func sendFailure(err error) result {
	var failed *relay.Error
	switch {
	case errors.Is(err, errWithdrawn), errors.Is(err, errUncharged):
		return withdrawn
	case errors.Is(err, errOverBudget):
		return overBudget
	case errors.Is(err, errKeyRevoked), errors.Is(err, errKeyUnconfirmed):
		return keyRefused
	case errors.As(err, &failed) && !failed.Sent:
		return unreached
	}
	return incomplete
}

// forward forwards the response of the chosen target to the client.
func (c *call) forward(choice steer.Choice, answer *relay.Response, sentAt time.Time) error {
	// onFirstOutput may be called for each output; only the first call has an effect.
	onFirstOutput := func() {
		if c.hasOutput {
			return
		}
		c.hasOutput = true
		c.gateway.mu.Lock()
		defer c.gateway.mu.Unlock()
		delete(c.gateway.suspects.running, c)
		c.clearParts()
		now := time.Now()
		choice.Target.AddFirstOutput(now, now.Sub(sentAt), choice.Base, choice.PrefillTokens)
		if c.record.firstOutput == 0 {
			c.record.firstOutput = now.Sub(c.arrivedAt)
			c.gateway.metrics.recordFirstOutput(c.record.firstOutput)
		}
	}
	switch {
	case c.route.Kind == site.Stream && isEventStream(answer):
		return c.forwardStream(choice.Target, answer, onFirstOutput)
	case c.headerSent:
		// The client has received the beginning of a stream, which a response with
		// another status or type cannot continue.
		return fmt.Errorf("resumed stream answered with status %d, type %q", answer.Status, answer.Header.Get("Content-Type"))
	}
	return c.forwardBuffered(answer, onFirstOutput)
}

// resultOrCancelled returns clientLeft if the client has closed its connection, expired if
// the deadline has passed, and otherwise res.
func (c *call) resultOrCancelled(ctx context.Context, res result) result {
	switch {
	case c.r.Context().Err() != nil:
		return clientLeft
	case ctx.Err() != nil || !time.Now().Before(c.deadline):
		return expired
	}
	return res
}

// recordResult updates the load and failure statistics of the target after a send.
func (c *call) recordResult(choice steer.Choice, hasOutput bool, res result, err error) {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	t := choice.Target
	t.EndRequest(&c.prompt, choice.PrefillTokens, hasOutput)
	switch res {
	case unreached:
		t.AddFailure(time.Now(), true)
	case incomplete:
		if !errors.Is(err, errSuspectPart) {
			t.AddFailure(time.Now(), errors.Is(err, relay.ErrSilent) || !hasOutput)
		}
	case withheld:
		t.AddFailure(time.Now(), false)
	case answered, notRun, noAdapter, withdrawn, noPermit, overBudget, keyRefused, noQuota, clientLeft, expired:
	}
}

// recordAdapterUse records that the adapter is resident and in use at the target.
func (c *call) recordAdapterUse(t *steer.Target) {
	if c.prompt.Adapter == "" {
		return
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if m := t.Models[c.prompt.Model]; m != nil {
		m.Adapters[c.prompt.Adapter] = true
	}
	used := c.gateway.usedAdapters[t.ID]
	if used == nil {
		used = make(map[string]bool)
		c.gateway.usedAdapters[t.ID] = used
	}
	used[c.prompt.Model+"/"+c.prompt.Adapter] = true
}

// setSendHeaders sets the headers that differ between sends of the same request.
func (c *call) setSendHeaders() {
	left := max(time.Until(c.deadline), time.Millisecond)
	c.outbound.Header.Set(c.gateway.headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	c.outbound.Header.Set(c.gateway.headers.Target, c.dest.ID)
	c.setCustomerHeader()
	c.outbound.Header.Del(c.gateway.headers.CopyFrom)
	if c.dest.copyFrom.IsValid() {
		c.outbound.Header.Set(c.gateway.headers.CopyFrom, c.dest.copyFrom.String())
	}
	if c.prompt.Model != "" {
		c.outbound.Header.Set(c.gateway.headers.Priority, strconv.Itoa(c.enginePriority()))
	}
	if c.hasEvent {
		c.outbound.Header.Set(lastEventHeader, strconv.FormatUint(c.lastEvent, 10))
	}
}

// connLimit returns this instance's share of the connections that a target of the service
// accepts; 0 means no limit.
func (g *Gateway) connLimit(s *site.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	sharers := max(minConnSharers, int(g.instances.Load())/connShareFactor)
	return max(s.MaxConns/sharers, 1)
}

const (
	// minConnSharers is the least number of entry instances that are assumed to share the
	// connection limit of a target, also while their number is not known.
	minConnSharers = 6
	// connShareFactor is how many equal shares an instance may use: the load balancer divides
	// clients unevenly, and a model may be in demand at a few instances only.
	connShareFactor = 2
)

func (c *call) logAttempt(choice steer.Choice, res result, err error) {
	c.gateway.metrics.recordFailedAttempt(res)
	c.gateway.log.Info().Str("event", "attemptFailed").Str("id", c.id).Str("target", choice.Target.ID).
		Str("outcome", res.String()).Int("sends", c.attempts).Dur("expected", choice.Wait).
		Int("running", c.record.runningAhead).Err(err).Msg("")
}
