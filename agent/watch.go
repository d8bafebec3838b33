package agent

import (
	"context"
	"time"

	"bulrushpath.example/lib/admit"
	"bulrushpath.example/lib/wire"
)

// maxFailedReads is the number of consecutive failed reads after which a target counts as
// down. It is above one because a slow engine occasionally misses a read.
const maxFailedReads = 3

// loadCacheTime is how long load figures are cached. The estimate of the queueing time
// inspects every running request, which took a tenth of the time under load.
const loadCacheTime = 2 * time.Millisecond

// pollTarget polls the target's state until ctx is cancelled.
func (a *agent) pollTarget(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if err := a.readTarget(ctx); err != nil && ctx.Err() == nil && a.isFirstFailedRead() {
			a.log.Warn().Str("event", "targetReadFailed").Err(err).Msg("")
		}
		a.schedule()
		timer.Reset(a.settings.Agent.PollPeriod)
	}
}

// readTarget reads the target's state once and updates the agent accordingly.
func (a *agent) readTarget(ctx context.Context) error {
	a.readMu.Lock()
	defer a.readMu.Unlock()
	if a.plain != nil {
		leaving, err := a.plain.checkHealth(ctx)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.recordRead(ctx, err) {
			return err
		}
		if a.bootID == "" {
			a.bootID = randomID()
		}
		a.markReady(leaving)
		return nil
	}
	a.mu.Lock()
	ticket := a.ledger.BeginRead()
	a.mu.Unlock()
	st, err := a.engine.state(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.recordRead(ctx, err) {
		return err
	}
	a.ledger.Observe(ticket, st.EngineState)
	a.collectClosable()
	if a.bootID != "" && a.bootID != st.BootID {
		a.log.Warn().Str("event", "engineRestarted").Str("boot", st.BootID).Str("before", a.bootID).Msg("")
	}
	a.bootID = st.BootID
	slots := st.slots
	if a.settings.Agent.Slots > 0 {
		slots = min(slots, a.settings.Agent.Slots)
	}
	if slots != a.slots {
		a.slots = slots
		a.admit.Configure(a.limits())
	}
	a.markReady(st.leaving)
	return nil
}

// isFirstFailedRead reports whether the latest failed read is the first in a row, so that
// an outage of any length is logged only once.
func (a *agent) isFirstFailedRead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failedReads == 1
}

// recordRead updates the count of consecutive failed reads by the result of a read, and
// reports whether it failed. A refused connection or too many failures mark the target
// as down. It is called with mu held.
func (a *agent) recordRead(ctx context.Context, err error) bool {
	if err == nil {
		a.failedReads = 0
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	a.failedReads++
	if isConnRefused(err) || a.failedReads >= maxFailedReads {
		if a.plain != nil {
			// The next process at this address gets a new boot ID.
			a.bootID = ""
		}
		a.setPhase(wire.Phase_PHASE_DOWN)
		a.refuseQueued(wire.Reason_REASON_ENGINE_DOWN, "target is down")
	}
	return true
}

// markReady marks the target as ready, and begins the drain if it is leaving. It is
// called with mu held.
func (a *agent) markReady(leaving bool) {
	a.setPhase(wire.Phase_PHASE_READY)
	if leaving {
		// drain acquires mu itself.
		a.goroutines.Go(func() { a.drain("target is leaving") })
	}
}

func (a *agent) setPhase(p wire.Phase) {
	if a.phase == p {
		return
	}
	a.log.Info().Str("event", "phase").Str("phase", wire.Label(p)).Msg("")
	a.phase = p
	a.requestSync()
}

// announcedPhase returns the phase to be announced. It is called with mu held.
func (a *agent) announcedPhase() wire.Phase {
	if a.draining || a.superseded {
		return wire.Phase_PHASE_LEAVING
	}
	return a.phase
}

// currentLoad returns the load figures to be sent, which may be cached. It is called with
// mu held.
func (a *agent) currentLoad() *wire.Load {
	now := time.Now()
	if a.cachedLoad == nil || now.Sub(a.cachedAt) >= loadCacheTime {
		a.cachedLoad, a.cachedAt = a.measureLoad(now), now
	}
	return a.cachedLoad
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
