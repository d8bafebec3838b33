package control

import (
	"context"
	"time"

	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/poison"
)

// recordedAnnouncement is the last announcement that the leader has recorded of a target.
type recordedAnnouncement struct {
	announcement fleet.Announcement
	state        EngineState
}

// Announce records an announcement of a target, or passes it on to the leader and waits until that
// has recorded it. Only the leader accepts the announcement of a draining target; it then waits as
// awaitLeaving describes. If Announce fails, the target announces itself again.
func (f *Fleet) Announce(ctx context.Context, a fleet.Announcement, e EngineState) error {
	if !a.Draining && a.Digest != 0 {
		switch mode := f.relayMode(); mode {
		case relayActive:
			return f.relay.announce(ctx, a, e)
		case relayInterrupted:
			return errRelayInterrupted
		case relayOff:
		}
	}
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil {
		f.mu.Unlock()
		return err
	}
	f.announce(time.Now(), a, e)
	f.mu.Unlock()
	if a.Draining {
		return f.awaitLeaving(ctx, a.ID)
	}
	return nil
}

// announce records an announcement that arrived at the given time, so that repeat recognizes its
// repetition. The caller holds mu.
func (f *Fleet) announce(now time.Time, a fleet.Announcement, e EngineState) {
	switch f.recordAnnouncement(now, a, e) {
	case fleet.Current:
		if a.Digest == 0 || a.Draining {
			delete(f.repeats, a.ID)
			return
		}
		f.repeats[a.ID] = &recordedAnnouncement{a, e}
	case fleet.Late, fleet.Superseded, fleet.Left, fleet.Undeclared, fleet.Contradictory:
	}
}

// Repeat records an announcement with the content, and so the digest, of the last one that
// Announce has recorded of the target, and with another number. It returns false if there is no
// such one: the announcement has then to be decoded and passed to Announce.
func (f *Fleet) Repeat(id string, digest, sequence uint64) (bool, error) {
	switch mode := f.relayMode(); mode {
	case relayActive:
		return f.relay.repeat(id, digest, sequence), nil
	case relayInterrupted:
		return false, errRelayInterrupted
	case relayOff:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.requireLeader(); err != nil {
		return false, err
	}
	return f.repeat(time.Now(), id, digest, sequence), nil
}

// relayMode says what this instance does with the announcements of ready targets.
type relayMode int

const (
	// relayOff: it leads, or the leader takes all announcements itself.
	relayOff relayMode = iota
	// relayActive: it passes them on.
	relayActive
	// relayInterrupted: it refuses them, as it has lost the contact with the leader.
	relayInterrupted
)

func (f *Fleet) relayMode() relayMode {
	_, leading := f.svc.group.Leading()
	switch {
	case leading:
		return relayOff
	case f.relay.active():
		return relayActive
	case f.relay.interrupted():
		return relayInterrupted
	}
	return relayOff
}

// repeat does the work of Repeat. now is the time at which the announcement arrived. The caller
// holds mu.
func (f *Fleet) repeat(now time.Time, id string, digest, sequence uint64) bool {
	last := f.repeats[id]
	if last == nil || last.announcement.Digest != digest {
		return false
	}
	a := last.announcement
	a.Sequence = sequence
	switch f.recordAnnouncement(now, a, last.state) {
	case fleet.Current:
		last.announcement.Sequence = sequence
		return true
	case fleet.Late:
		return true
	case fleet.Superseded, fleet.Left, fleet.Undeclared, fleet.Contradictory:
		delete(f.repeats, id)
	}
	return false
}

// recordAnnouncement records an announcement that arrived at the given time. The caller holds mu.
func (f *Fleet) recordAnnouncement(now time.Time, a fleet.Announcement, e EngineState) fleet.Outcome {
	f.metrics.announcements.Inc(1)
	before, known := f.table.Lookup(a.ID)
	outcome, changed := f.table.Announce(now, a)
	if outcome == fleet.Current && (!known || !before.Born.Equal(a.Born)) {
		// The record is that of another process: its models and orders don't apply to this one.
		delete(f.engines, a.ID)
	}
	if outcome == fleet.Current {
		// Other announcements tell nothing new: their process has ended, or a later one of it was
		// recorded.
		process := poison.Process{Target: a.ID, BornMillis: a.Born.UnixMilli()}
		f.lostRequests.RecordAnnouncement(now, process, a.Sequence)
		f.lostParts.RecordAnnouncement(now, process, a.Sequence)
	}
	if outcome == fleet.Current && a.HasModels {
		changed = f.observe(now, a, e) || changed
	}
	if changed && (!known || a.Draining != before.Draining) || outcome >= fleet.Superseded && outcome != fleet.Left {
		f.log.Info().Str("event", "announced").Str("target", a.ID).Str("service", a.Service).
			Str("addr", a.Addr.String()).Uint64("sequence", a.Sequence).Bool("draining", a.Draining).
			Str("outcome", outcome.String()).Msg("")
	}
	return outcome
}
