package agent

import (
	"context"
	"time"

	"bulrushpath.example/lib/admit"
	"bulrushpath.example/lib/wire"
)

// downAfter is the number of consecutive failed reads after which a target counts as
// down. It is above one because a straggling engine occasionally misses a read.
const downAfter = 3

// loadFresh is how long load figures are cached. The estimate of the queueing time
// inspects every running request, which took a tenth of the time under load.
const loadFresh = 2 * time.Millisecond

// watch polls the target's state until ctx is cancelled.
func (a *agent) watch(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if err := a.observe(ctx); err != nil && ctx.Err() == nil && a.missedOnce() {
			a.log.Warn().Str("event", "targetReadFailed").Err(err).Msg("")
		}
		a.schedule()
		timer.Reset(a.set.Agent.PollPeriod)
	}
}

// observe reads the target's state once and updates the agent accordingly.
func (a *agent) observe(ctx context.Context) error {
	a.readMu.Lock()
	defer a.readMu.Unlock()
	if a.plain != nil {
		leaving, err := a.plain.healthy(ctx)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.missed(ctx, err) {
			return err
		}
		if a.boot == "" {
			a.boot = randomID()
		}
		a.present(leaving)
		return nil
	}
	a.mu.Lock()
	ticket := a.ledger.BeginRead()
	a.mu.Unlock()
	st, err := a.engine.state(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.missed(ctx, err) {
		return err
	}
	a.ledger.Observe(ticket, st.State)
	a.collectClosable()
	if a.boot != "" && a.boot != st.Boot {
		a.log.Warn().Str("event", "engineRestarted").Str("boot", st.Boot).Str("before", a.boot).Msg("")
	}
	a.boot = st.Boot
	slots := st.slots
	if a.set.Agent.Slots > 0 {
		slots = min(slots, a.set.Agent.Slots)
	}
	if slots != a.slots {
		a.slots = slots
		a.admit.Configure(a.limits())
	}
	a.present(st.leaving)
	return nil
}

// missedOnce reports whether the latest failed read is the first in a row, so that an
// outage of any length is logged only once.
func (a *agent) missedOnce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failures == 1
}

// missed updates the count of consecutive failed reads by the result of a read, and
// reports whether it failed. A refused connection or too many failures mark the target
// as down. It is called with mu held.
func (a *agent) missed(ctx context.Context, err error) bool {
	if err == nil {
		a.failures = 0
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	a.failures++
	if refusedDial(err) || a.failures >= downAfter {
		if a.plain != nil {
			// The next process at this address gets a new boot ID.
			a.boot = ""
		}
		a.setPhase(wire.Phase_PHASE_DOWN)
		a.refuseWaiting(wire.Reason_REASON_ENGINE_DOWN, "target is down")
	}
	return true
}

// present marks the target as ready, and begins the drain if it is leaving. It is
// called with mu held.
func (a *agent) present(leaving bool) {
	a.setPhase(wire.Phase_PHASE_READY)
	if leaving {
		// drain acquires mu itself.
		a.bg.Go(func() { a.drain("target is leaving") })
	}
}

func (a *agent) setPhase(p wire.Phase) {
	if a.phase == p {
		return
	}
	a.log.Info().Str("event", "phase").Str("phase", wire.Label(p)).Msg("")
	a.phase = p
	a.announce()
}

// phaseNow returns the phase to be announced. It is called with mu held.
func (a *agent) phaseNow() wire.Phase {
	if a.draining || a.superseded {
		return wire.Phase_PHASE_LEAVING
	}
	return a.phase
}

// loadNow returns the load figures to be sent, which may be cached. It is called with
// mu held.
func (a *agent) loadNow() *wire.Load {
	now := time.Now()
	if a.lastLoad == nil || now.Sub(a.loadAt) >= loadFresh {
		a.lastLoad, a.loadAt = a.measureLoad(now), now
	}
	return a.lastLoad
}

func (a *agent) measureLoad(now time.Time) *wire.Load {
	l := a.admit.Load(now)
	return &wire.Load{
		Slots: uint32(l.Slots), Running: uint32(l.Running), Queued: uint32(l.Queued),
		WaitMicros: uint64(l.Wait.Microseconds()),
	}
}

var admitReasons = map[admit.Reason]wire.Reason{
	admit.ReasonQueueFull: wire.Reason_REASON_QUEUE_FULL,
	admit.ReasonDeadline:  wire.Reason_REASON_DEADLINE,
	admit.ReasonLentLimit: wire.Reason_REASON_LENT_LIMIT,
	admit.ReasonBusy:      wire.Reason_REASON_BUSY,
}

func admitReason(r admit.Reason) wire.Reason { return admitReasons[r] }
