package gate

import (
	"context"
	"net/http"
	"time"

	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/steer"
)

const (
	// loadStartTimeout is how long a request waits for the control leader to start loading
	// a model that no target holds.
	loadStartTimeout = 700 * time.Millisecond
	// responseMargin is the time until the deadline that must remain for the response
	// while a request waits. If a load of the model is in progress, it is counted from the
	// expected end of the load.
	responseMargin = 300 * time.Millisecond
	// overloadFactor is the ratio of expected wait to remaining time from which a
	// request is refused. It is above 1 because the estimate is too high under load.
	overloadFactor = 2
	// maxRetryAfter is the upper limit of Retry-After in a refusal due to overload.
	maxRetryAfter = 3 * time.Second
)

// awaitTarget blocks until a target can take the request, and counts the request in the
// load of that target.
func (c *call) awaitTarget(ctx context.Context) (steer.Choice, *failure) {
	g := c.gateway
	waiting := false
	begun := time.Now()
	defer func() {
		if waiting {
			c.record.queueTime += time.Since(begun)
			g.mu.Lock()
			g.demand.AddWaiting(time.Now(), c.prompt.Model, -1)
			g.mu.Unlock()
		}
	}()
	for {
		if f := c.checkDraining(); f != nil {
			return steer.Choice{}, f
		}
		now := time.Now()
		g.mu.Lock()
		choice, until, f := c.selectTarget(now)
		changed := g.tableChanged
		if f == nil && choice.Target == nil && !waiting && c.declared {
			waiting = true
			g.demand.AddWaiting(now, c.prompt.Model, 1)
		}
		g.mu.Unlock()
		if f != nil {
			return choice, f
		}
		if choice.Target != nil {
			if c.hasFairShares() {
				return choice, nil
			}
			return choice, c.checkOverload(now, choice)
		}
		if f := c.checkAvailability(now, begun, until); f != nil {
			return choice, f
		}
		g.triggerReport()
		select {
		case <-ctx.Done():
			if c.r.Context().Err() != nil {
				c.record.outcome = "clientLeft"
			}
			return choice, c.deadlineFailure()
		case <-changed:
		case <-time.After(c.pollInterval(now)):
		}
	}
}

// selectTarget selects a target and adds the request to its load. If there is none, until
// is the time at which a load of the model is expected to finish, or zero if no target is
// loading it. It fails if the targets of the model have named limits or have asked for a pause
// and take no further request in time, or if they are full and other requests go first. The
// caller holds mu.
func (c *call) selectTarget(now time.Time) (choice steer.Choice, until time.Time, f *failure) {
	g := c.gateway
	targets := g.fleet.services[c.service.Name]
	s := c.selection()
	clock := g.tableContact.Now()
	stale := func(t *steer.Target) bool { return !g.acceptsWork(clock, t) }
	skip := func(t *steer.Target) bool { return c.tried[t.ID] || t.Paused(now) || stale(t) }
	choice = steer.Pick(now, s, &c.prompt, targets, skip)
	c.confirming = choice.Target == nil && c.confirmTarget(now, clock, targets)
	if choice.Target == nil && !c.confirming && len(c.tried) > 0 && steer.Resident(c.prompt.Model, targets) {
		// All targets that hold the model were tried; they may have free capacity by now.
		clear(c.tried)
		choice = steer.Pick(now, s, &c.prompt, targets, skip)
	}
	c.countDemand(now, choice)
	if choice.Target == nil {
		until, f = c.selectWait(now, targets, stale)
		return choice, until, f
	}
	if c.limitExhausted(now, choice.Target) {
		return steer.Choice{}, time.Time{}, c.limitFailure()
	}
	if f := c.admit(now, choice); f != nil {
		return steer.Choice{}, time.Time{}, f
	}
	t := choice.Target
	c.dest = destination{Target: relay.Target{ID: t.ID, Addr: t.Addr}, startedAt: t.StartedAt}
	if choice.CopyFrom != nil {
		c.dest.copyFrom = choice.CopyFrom.Addr
	}
	c.record.promptTokensAhead = t.Own.PromptTokens + t.Others.PromptTokens
	c.record.runningAhead = t.Own.Running + t.Others.Running
	for _, x := range t.StartRequest(now, &c.prompt, s, choice.PrefillTokens) {
		g.recordCached(t.ID, x)
	}
	c.record.target, c.record.expectedWait = choice.Target.ID, choice.Wait
	c.record.prefillTokens, c.record.candidates = choice.PrefillTokens, choice.Candidates
	return choice, time.Time{}, nil
}

// selectWait returns the time at which a load of the model is expected to finish, as selectTarget
// does if there is no target, and sets resumesAt. It fails if all targets have asked for a pause
// that is too long to wait for. The caller holds mu.
func (c *call) selectWait(now time.Time, targets []*steer.Target, stale func(*steer.Target) bool) (until time.Time, f *failure) {
	until, loading := steer.LoadingUntil(c.prompt.Model, targets)
	c.resumesAt, _ = steer.PausedUntil(now, c.prompt.Model, targets, stale)
	tooLong := c.resumesAt.Sub(now) > c.maxHold(now) && (!loading || c.resumesAt.Before(until))
	if tooLong && !c.confirming {
		return time.Time{}, c.pauseFailure(now)
	}
	return until, nil
}

// pollInterval returns how long the request waits for a change of the table before it looks
// for a target again.
func (c *call) pollInterval(now time.Time) time.Duration {
	if wait := c.resumesAt.Sub(now); wait > 0 {
		return min(wait, defaultReportInterval)
	}
	return defaultReportInterval
}

// countDemand counts the request once as demand for its model. A request counts even if
// no target holds the model, because more than one copy may be needed as soon as
// possible. The caller holds mu.
func (c *call) countDemand(now time.Time, choice steer.Choice) {
	if c.counted || !c.declared {
		return
	}
	c.counted = true
	miss := choice.PrefillTokens
	if choice.Target == nil {
		miss = c.prompt.PromptTokens
	}
	c.gateway.demand.Add(now, &c.prompt, miss)
}

func (c *call) selection() steer.Selection {
	s := steer.Selection{Zone: c.gateway.zone, Idle: func(t *steer.Target) bool {
		return c.gateway.targetConns.Idle(relay.Target{ID: t.ID, Addr: t.Addr})
	}}
	if c.service.Engine != nil {
		s.KVTokens = c.service.Engine.KVTokens
		s.CopyRate = c.service.Engine.CopyRate()
	}
	return s
}

// checkAvailability returns a failure if no target is expected to take the request before
// its deadline, and nil if it should wait longer.
func (c *call) checkAvailability(now, begun, until time.Time) *failure {
	unknown := c.service.Engine != nil && c.service.Engine.Model(c.prompt.Model) == nil
	switch {
	case c.confirming && now.Add(responseMargin).Before(c.deadline):
		return nil
	case unknown:
		return &failure{status: http.StatusServiceUnavailable, reason: "the model is not declared", retryAfter: time.Second}
	case !c.gateway.warm.Load() && now.Add(responseMargin).Before(c.deadline):
		// A new control leader may not know all targets yet.
		return nil
	case until.IsZero() && now.Sub(begun) < loadStartTimeout && now.Add(responseMargin).Before(c.deadline):
		return nil
	case !until.IsZero() && until.Add(responseMargin).Before(c.deadline):
		return nil
	}
	if c.incompleteAttempts > 0 || c.headerSent {
		return &failure{status: http.StatusBadGateway, reason: "no other target"}
	}
	retryAfter := defaultRetryAfter
	if wait := until.Sub(now); !until.IsZero() && wait > retryAfter {
		retryAfter = wait
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no target holds the model", retryAfter: retryAfter}
}

// checkOverload returns a failure if the request is expected to miss its deadline by far.
// An early refusal lets the client retry when there is capacity and keeps the request
// from delaying others.
func (c *call) checkOverload(now time.Time, choice steer.Choice) *failure {
	if c.prompt.Model == "" || c.headerSent || c.incompleteAttempts > 0 || choice.Wait < overloadFactor*c.deadline.Sub(now) {
		return nil
	}
	c.releaseTarget(choice)
	return &failure{
		status: http.StatusServiceUnavailable, reason: "all targets of the model are overloaded",
		retryAfter: min(max(choice.Wait/4, defaultRetryAfter), maxRetryAfter),
	}
}

// releaseTarget removes a request that is not sent from the load of its chosen target.
func (c *call) releaseTarget(choice steer.Choice) {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	choice.Target.EndRequest(&c.prompt, choice.PrefillTokens, false)
}
