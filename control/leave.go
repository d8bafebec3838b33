package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/poison"
)

const (
	// propagationTimeout bounds the wait until all entry instances have confirmed that a
	// target is leaving. One that has not stops using its table by itself (entry/gate).
	propagationTimeout      = 500 * time.Millisecond
	propagationPollInterval = 10 * time.Millisecond
)

// Announce records an announcement of a target. That of a draining target returns only as
// described at awaitLeaving; if it fails, the target announces itself again.
func (f *Fleet) Announce(ctx context.Context, a fleet.Announcement, e EngineState) error {
	now := time.Now()
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil {
		f.mu.Unlock()
		return err
	}
	f.metrics.announcements.Inc(1)
	before, known := f.table.Lookup(a.ID)
	outcome, changed := f.table.Announce(now, a)
	if outcome == fleet.Current && (!known || !before.Born.Equal(a.Born)) {
		// What another process held and was ordered says nothing of this one.
		delete(f.engines, a.ID)
	}
	if outcome == fleet.Current {
		// Others were sent before: by an ended process, or by one that has been heard of since.
		process := poison.Process{Target: a.ID, BornMillis: a.Born.UnixMilli()}
		f.lostRequests.RecordAnnouncement(now, process, a.Sequence)
		f.lostParts.RecordAnnouncement(now, process, a.Sequence)
	}
	if outcome == fleet.Current && a.HasModels {
		changed = f.observe(now, a, e) || changed
	}
	f.mu.Unlock()
	if changed && (!known || a.Draining != before.Draining) || outcome >= fleet.Superseded && outcome != fleet.Left {
		f.log.Info().Str("event", "announced").Str("target", a.ID).Str("service", a.Service).
			Str("addr", a.Addr.String()).Uint64("sequence", a.Sequence).Bool("draining", a.Draining).
			Str("outcome", outcome.String()).Msg("")
	}
	if a.Draining {
		return f.awaitLeaving(ctx, a.ID)
	}
	return nil
}

// Leave records that a target accepts no more requests. born is the start of the process that
// says so; it is zero if the message did not tell. Like the announcement of a draining target, it
// returns as described at awaitLeaving. An error that wraps ErrInvalid is final.
func (f *Fleet) Leave(ctx context.Context, id string, born time.Time) error {
	now := time.Now()
	if err := fleet.CheckEnd(now, id, born); err != nil {
		return fmt.Errorf("%w: end of target %q: %w", ErrInvalid, id, err)
	}
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil {
		f.mu.Unlock()
		return err
	}
	_, known := f.table.Lookup(id)
	changed := f.table.Leave(now, id, born)
	f.mu.Unlock()
	if changed {
		f.log.Info().Str("event", "targetLeft").Str("target", id).Bool("known", known).
			Bool("startTold", !born.IsZero()).Msg("")
	}
	return f.awaitLeaving(ctx, id)
}

// awaitLeaving returns nil once a later leader would not offer the target to entry instances
// either, and the live ones have confirmed that it is leaving. It waits for them at most
// propagationTimeout: those that have not confirmed by then have had no reply since, and stop
// using their table before the target ends.
func (f *Fleet) awaitLeaving(ctx context.Context, id string) error {
	if err := f.updateRoster(ctx, id); err != nil {
		return fmt.Errorf("store that target %s leaves: %w", id, err)
	}
	end := time.Now().Add(propagationTimeout)
	missing := f.unconfirmed(id)
	for len(missing) > 0 && ctx.Err() == nil && time.Now().Before(end) {
		time.Sleep(propagationPollInterval)
		missing = f.unconfirmed(id)
	}
	if len(missing) > 0 {
		f.log.Info().Str("event", "leavingUnconfirmed").Str("target", id).Strs("entries", missing).Msg("")
	}
	return nil
}

// unconfirmed returns the live entry instances that have not confirmed the latest change of a
// target.
func (f *Fleet) unconfirmed(id string) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, version := time.Now(), f.table.ChangeVersion(id)
	for name, e := range f.entries {
		if now.Sub(e.lastReport) < entryLease && e.heldVersion < version {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
