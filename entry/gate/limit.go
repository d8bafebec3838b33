package gate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/quota"
	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/steer"
	"bulrushpath.example/lib/wire"
)

const (
	// permitTimeout is the timeout of one request for a permit.
	permitTimeout = 200 * time.Millisecond
	// permitRetryDelay is how long a limited target is avoided when control gave no answer.
	permitRetryDelay = 200 * time.Millisecond
	// maxPermitRequests is the maximum number of permits for which one request asks.
	maxPermitRequests = 6
	// defaultHold is how long a request without an objective may wait for a target that takes
	// it only later. Requests with an objective wait for at most holdShare of it.
	defaultHold = 250 * time.Millisecond
	holdShare   = 0.1
	// permitTolerance is the wait beyond the expected one that is accepted where another
	// target could take the request.
	permitTolerance = 30 * time.Millisecond
)

var errNoPermit = errors.New("the target takes no further request in time")

// observeLimit records the limit that an answer names, or that it names none. Answers that no
// target has sealed or refused do not count.
func (c *call) observeLimit(answer *relay.Response) {
	g := c.gateway
	fromTarget := answer.Header.Get(g.headers.Seal) != "" || g.marksNotRun(answer)
	if !fromTarget || g.headers.Limit == "" {
		return
	}
	l := quota.Limit{Target: c.dest.ID, StartedAt: c.dest.startedAt, NamedAt: time.Now()}
	if text := answer.Header.Get(g.headers.Limit); text != "" {
		var err error
		if l.PerSecond, err = quota.Parse(text); err != nil {
			// What the target said before stays in effect.
			g.log.Warn().Str("event", "limitUnreadable").Str("target", l.Target).Err(err).Msg("")
			return
		}
	}
	g.mu.Lock()
	changed := g.limits.Observe(l)
	if changed {
		g.applyLimits()
	}
	g.mu.Unlock()
	if changed {
		g.log.Info().Str("event", "limitNamed").Str("target", l.Target).Float64("perSecond", l.PerSecond).Msg("")
		g.triggerReport()
	}
}

// applyLimits copies the known limits to the targets. The caller holds mu.
func (g *Gateway) applyLimits() {
	for id, t := range g.fleet.targets {
		t.Limit = g.limits.Of(id, t.StartedAt).PerSecond
	}
}

// mergeLimits applies the limits in a reply to a report that contained sent. The caller holds
// mu.
func (g *Gateway) mergeLimits(now time.Time, newTerm bool, sent []quota.Limit, reply *wire.FleetReply) {
	switch {
	case newTerm:
		// What was sent is known to the new leader, but not what others had sent.
		g.limits.Restart()
		g.limits.Reported(sent)
	default:
		g.limits.Reported(sent)
		if g.limits.Version() != reply.GetLimitsVersion() {
			g.limits.Merge(reply.GetLimitsVersion(), quota.LimitsFromWire(now, reply.GetLimits()))
		}
	}
	g.applyLimits()
}

// maxHold is how long the request may wait for a target that is limited or paused. Longer waits
// only make all requests late.
func (c *call) maxHold(now time.Time) time.Duration {
	d := defaultHold
	if c.route.Objective > 0 {
		d = time.Duration(holdShare * float64(c.route.Objective))
	}
	return max(min(d, c.deadline.Sub(now)-responseMargin), 0)
}

// limitExhausted reports whether the best target has named a limit and takes the request too
// late, even as one of last resort. The caller holds mu.
func (c *call) limitExhausted(now time.Time, t *steer.Target) bool {
	c.lastResort = false
	if t == nil || t.Limit <= 0 {
		return false
	}
	maxWait := c.maxHold(now)
	c.lastResort = t.FreeAt.Sub(now) > maxWait
	c.retryAfter = max(t.LastResortAt.Sub(now), 0)
	return c.lastResort && c.retryAfter > maxWait || c.permitRequests >= maxPermitRequests
}

// awaitPermit waits until the target of the current send takes the request. For a target that
// has named a limit, the control leader spaces the sends of all entry instances; without its
// answer nothing is sent there. errNoPermit means that another target may take the request
// earlier.
func (c *call) awaitPermit(ctx context.Context, choice steer.Choice) error {
	g, t := c.gateway, choice.Target
	c.permitted = false
	now := time.Now()
	g.mu.Lock()
	limit := g.limits.Of(c.dest.ID, c.dest.startedAt)
	expected := max(t.FreeAt.Sub(now), 0)
	g.mu.Unlock()
	if limit.PerSecond <= 0 {
		return nil
	}
	c.permitRequests++
	wait := c.maxHold(now)
	if !c.lastResort && choice.Candidates > 1 {
		wait = min(wait, expected+permitTolerance)
	}
	reservation, err := g.requestPermit(ctx, limit, wait, c.lastResort)
	now = time.Now()
	if err != nil {
		reservation = quota.Reservation{Next: permitRetryDelay, NextLastResort: permitRetryDelay}
	}
	g.mu.Lock()
	t.FreeAt, t.LastResortAt = now.Add(reservation.Next), now.Add(reservation.NextLastResort)
	g.mu.Unlock()
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errNoPermit, err)
	case !reservation.Granted:
		return errNoPermit
	}
	c.permitted = true
	c.sleep(ctx, reservation.Wait)
	return ctx.Err()
}

// requestPermit asks the control leader for a send that is at most maxWait away.
func (g *Gateway) requestPermit(ctx context.Context, limit quota.Limit, maxWait time.Duration, lastResort bool) (quota.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	req := &wire.PermitRequest{
		Protocol: link.Protocol, Limit: limit.ToWire(time.Now()), MaxWaitMicros: uint64(maxWait.Microseconds()),
		LastResort: lastResort,
	}
	var reply *wire.PermitReply
	err := g.callControl(ctx, permitTimeout, func(ctx context.Context, client wire.DRPCFleetClient) (err error) {
		reply, err = client.Permit(ctx, req)
		return err
	})
	if err != nil {
		return quota.Reservation{}, fmt.Errorf("request permit: %w", err)
	}
	return quota.ReservationFromWire(reply), nil
}

// limitFailure refuses a request that no target takes in time. Retry-After names the time of
// the next possible send, with a random part, so that refused clients do not return together.
func (c *call) limitFailure() *failure {
	if c.incompleteAttempts > 0 || c.headerSent {
		return &failure{status: http.StatusBadGateway, reason: "answer incomplete and no other target takes requests"}
	}
	wait := c.retryAfter + rand.N(defaultRetryAfter)
	return &failure{
		status: http.StatusServiceUnavailable, reason: "the targets take no further request in time",
		retryAfter: min(max(wait, defaultRetryAfter), maxRetryAfter),
	}
}
