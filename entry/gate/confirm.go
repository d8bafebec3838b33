package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
)

const (
	// defaultDrainBound applies if WithDrainBound is not used.
	defaultDrainBound = 2 * time.Second
	// sendMargin is the part of the drain bound that is left for a request on its way.
	sendMargin = 500 * time.Millisecond
	// confirmTimeout is the timeout of one health check.
	confirmTimeout = 300 * time.Millisecond
	// confirmRetryDelay is how long a target that has not confirmed is left alone.
	confirmRetryDelay = 500 * time.Millisecond
	// maxHealthBytes is how much is read of the answer to a health check.
	maxHealthBytes = 4 << 10
)

var (
	errNoHealth   = errors.New("the service has no health check")
	errPaused     = errors.New("the target has asked for a pause")
	errNotHealthy = errors.New("the target did not confirm that it accepts requests")
)

// confirmation is the state of the health checks of a target. They stand in for the table
// where it is too old, so that targets stay reachable without control.
type confirmation struct {
	// startedAt is the incarnation of the target.
	startedAt time.Time
	// sentAt is the clock of Gateway.tableContact at which the last successful check was
	// sent; it is valid if confirmed is true.
	sentAt    time.Duration
	confirmed bool
	// pending is true while a check is in progress.
	pending bool
	// failedUntil is the time until which no check is sent, after one has failed.
	failedUntil time.Time
}

// WithDrainBound sets the time after the acknowledgement of a leaving target from which on it
// must get no new request.
func WithDrainBound(d time.Duration) Option {
	return func(g *Gateway) { g.maxTableAge = max(d-sendMargin, d/2) }
}

// acceptsWork reports whether the target is known not to have left longer ago than the drain
// bound allows: control or the target itself said so at most maxTableAge ago. Control cannot
// have acknowledged its leaving before that. clock is that of tableContact. The caller holds
// mu.
func (g *Gateway) acceptsWork(clock time.Duration, t *steer.Target) bool {
	_, orphan := g.fleet.orphans[t.ID]
	if !orphan && g.tableContact.AgeAt(clock) <= g.maxTableAge {
		return true
	}
	c := g.fleet.confirmations[t.ID]
	return c != nil && c.confirmed && c.startedAt.Equal(t.StartedAt) && clock-c.sentAt <= g.maxTableAge
}

// confirmTarget sends a health check to the target that is best for the request among those
// for which the table is too old. A target with a limit needs a permit of control in any case.
// It returns false if there is none. The caller holds mu.
func (c *call) confirmTarget(now time.Time, clock time.Duration, targets []*steer.Target) bool {
	g := c.gateway
	choice := steer.Pick(now, c.selection(), &c.prompt, targets, func(t *steer.Target) bool {
		x := g.fleet.confirmations[t.ID]
		failed := x != nil && x.startedAt.Equal(t.StartedAt) && now.Before(x.failedUntil)
		return c.tried[t.ID] || failed || t.Limit > 0 || t.Paused(now) || g.acceptsWork(clock, t)
	})
	t := choice.Target
	if t == nil {
		return false
	}
	x := g.fleet.confirmations[t.ID]
	if x == nil || !x.startedAt.Equal(t.StartedAt) {
		x = &confirmation{startedAt: t.StartedAt}
		g.fleet.confirmations[t.ID] = x
	}
	if !x.pending {
		x.pending = true
		dest, service := destination{Target: relay.Target{ID: t.ID, Addr: t.Addr}, startedAt: t.StartedAt}, c.service
		g.checks.Go(func() { g.runCheck(x, dest, service) })
	}
	return true
}

// runCheck runs one health check and records its outcome in x.
func (g *Gateway) runCheck(x *confirmation, dest destination, service *site.Service) {
	sentAt := g.tableContact.Now()
	err := g.checkHealth(dest, service)
	if err != nil {
		g.log.Info().Str("event", "targetUnconfirmed").Str("target", dest.ID).Err(err).Msg("")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	x.pending = false
	if err != nil {
		x.failedUntil = time.Now().Add(confirmRetryDelay)
	} else {
		x.sentAt, x.confirmed = sentAt, true
	}
	g.notifyTableChange()
}

// checkHealth returns nil if the target answers that it is healthy, which it does not while
// it is leaving.
func (g *Gateway) checkHealth(dest destination, service *site.Service) error {
	g.mu.Lock()
	t := g.fleet.targets[dest.ID]
	paused := t != nil && t.Paused(time.Now())
	g.mu.Unlock()
	switch {
	case service.HealthPath == "":
		return errNoHealth
	case paused:
		return errPaused
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	res, err := g.targetConns.Do(ctx, dest.Target, g.connLimit(service), &relay.Request{
		Method: http.MethodGet, URI: service.HealthPath, Host: dest.Addr.String(),
		Header: http.Header{g.headers.Target: {dest.ID}}, IDHeader: g.headers.RequestID,
	})
	if err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	g.observeNotices(dest, res)
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxHealthBytes))
	if res.Status != http.StatusOK || res.Header.Get(g.headers.Instance) != dest.ID {
		return errNotHealthy
	}
	return nil
}

// logTableAge logs when the table becomes too old to choose targets from it, and when it is
// recent again. Only the goroutine that sends the reports calls it.
func (g *Gateway) logTableAge() {
	age := g.tableContact.Age()
	stale := age > g.maxTableAge
	if stale == g.tableStale {
		return
	}
	g.tableStale = stale
	event := "tableFresh"
	if stale {
		event = "tableStale"
	}
	g.log.Info().Str("event", event).Dur("age", age).Msg("")
}
