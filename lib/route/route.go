// Package route selects the target of a request by rendezvous hashing and
// estimated wait. It does no I/O and reads no clock: callers pass the time. Its
// types are not safe for concurrent use.
package route

import (
	"math"
	"net/netip"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// penaltyHalfLife is the half-life of a target's error penalty.
	penaltyHalfLife = 2 * time.Second
	// errorPenalty is added to a target's expected wait for each recent error.
	errorPenalty = 250 * time.Millisecond
	// initialFirstChunk is the initial value of the mean time to first chunk.
	initialFirstChunk = 20 * time.Millisecond
	// slotTimeFactor is the assumed time that a request holds its slot, in multiples
	// of the time to first chunk. Values from 1 to 8 change the p99 of the
	// simulation in simulation_test.go by less than 5%.
	slotTimeFactor = 4
	// sampleHalfLife is the half-life of a target's own measurements against the
	// mean of all targets. It is short because stragglers recover within seconds.
	sampleHalfLife = 4 * time.Second
	// reportHalfLife is the half-life of a reported wait.
	reportHalfLife = 500 * time.Millisecond
	// crossZoneLatency is the assumed round-trip time to another zone.
	crossZoneLatency = time.Millisecond
	// LossWindow is how long after the loss of a target the requests that may have been
	// sent to it before are checked with control before they are dispatched.
	LossWindow = 5 * time.Second
	// lossBackoff is how long a lost target is skipped if another one is usable.
	lossBackoff = time.Second
	// leavingBackoff is how long a target is skipped after it refused a request because
	// it is leaving; by then the directory shows it.
	leavingBackoff = 5 * time.Second
)

// Key identifies what a target must serve: a model, an adapter of it, or a service.
type Key struct {
	// Model and Adapter are set for engines.
	Model, Adapter string
	// Service is set for plain services.
	Service string
}

// Target is a target of the directory with the statistics collected by this process.
type Target struct {
	// Name, Addr, Zone and Incarnation come from the directory.
	Name        string
	Addr        netip.AddrPort
	Zone        string
	Incarnation uint64

	seed      uint64
	phase     wire.Phase
	slots     uint32
	otherZone bool
	groups    []groupID

	// inFlight counts this process's dispatches that have not finished; it is never
	// negative.
	inFlight int
	// firstChunk is the smoothed time to first chunk, last updated at
	// firstChunkAt.
	firstChunk   time.Duration
	firstChunkAt time.Time
	// waiting counts dispatches without a first chunk. The oldest has waited at
	// least since waitingSince.
	waiting      int
	waitingSince time.Time
	// reported is the wait that the agent reported at reportedAt.
	reported   time.Duration
	reportedAt time.Time
	// penalty is in seconds, last updated at penaltyAt.
	penalty   float64
	penaltyAt time.Time

	leavingUntil time.Time
	lostAt       time.Time
}

// groupID identifies a group that a target belongs to.
type groupID struct {
	key     Key
	version string
}

// InFlight returns the number of this process's dispatches that have not finished.
func (tg *Target) InFlight() int { return tg.inFlight }

// decay returns 2^(-age/half).
func decay(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}

// estimateWait estimates the time to first chunk of a new request. mean is the
// smoothed time to first chunk over all targets.
func (tg *Target) estimateWait(mean time.Duration, now time.Time) time.Duration {
	weight := decay(now.Sub(tg.firstChunkAt), sampleHalfLife)
	firstChunk := float64(mean)
	if !tg.firstChunkAt.IsZero() {
		firstChunk = float64(tg.firstChunk)*weight + float64(mean)*(1-weight)
	}
	if tg.waiting > 0 {
		// An overdue first chunk indicates a straggler before any sample does.
		firstChunk = max(firstChunk, float64(now.Sub(tg.waitingSince)))
	}
	est := firstChunk * (1 + slotTimeFactor*float64(tg.inFlight)/float64(max(tg.slots, 1)))
	if tg.reported > 0 {
		est += float64(tg.reported) * decay(now.Sub(tg.reportedAt), reportHalfLife)
	}
	if tg.penalty > 0 {
		est += tg.penalty * decay(now.Sub(tg.penaltyAt), penaltyHalfLife) * float64(time.Second)
	}
	if tg.otherZone {
		est += float64(crossZoneLatency)
	}
	return time.Duration(est)
}

// Begin records a dispatch.
func (t *Table) Begin(tg *Target, now time.Time) {
	tg.inFlight++
	t.inFlight++
	if tg.waiting == 0 {
		tg.waitingSince = now
	}
	tg.waiting++
}

// RecordFirstChunk records the first chunk of a dispatch; took is the time since its
// Begin.
func (t *Table) RecordFirstChunk(tg *Target, took time.Duration, now time.Time) {
	tg.waiting = max(tg.waiting-1, 0)
	// Start times are not kept per dispatch, so the wait of the remaining ones is
	// counted from now.
	tg.waitingSince = now
	tg.sample(took, now)
	t.mean += (took - t.mean) / 32
}

func (tg *Target) sample(took time.Duration, now time.Time) {
	if tg.firstChunkAt.IsZero() {
		tg.firstChunk = took
	} else {
		tg.firstChunk += (took - tg.firstChunk) / 4
	}
	tg.firstChunkAt = now
}

// RecordSlowerDispatch records a sample for tg, the target of the slower dispatch of a
// hedged pair, when the other dispatch has returned its first chunk. took is the time
// since the Begin of the slower dispatch, which is cancelled: without this sample the
// longest times of a straggler would never be measured.
func (t *Table) RecordSlowerDispatch(tg *Target, took time.Duration, now time.Time) {
	if took > tg.firstChunk {
		tg.sample(took, now)
	}
}

// Finish records the end of a dispatch; first is whether RecordFirstChunk was called
// for it.
func (t *Table) Finish(tg *Target, first bool, now time.Time) {
	if !first {
		tg.waiting = max(tg.waiting-1, 0)
		tg.waitingSince = now
	}
	if tg.inFlight > 0 {
		tg.inFlight--
		t.inFlight--
	}
}

// ReportLoad records the load that an agent sent along with an event.
func (t *Table) ReportLoad(tg *Target, l *wire.Load, now time.Time) {
	if l == nil {
		return
	}
	if l.GetSlots() > 0 {
		tg.slots = l.GetSlots()
	}
	tg.reported = time.Duration(l.GetWaitMicros()) * time.Microsecond
	tg.reportedAt = now
}

// Penalize records an error, a timeout or a refusal of the target.
func (t *Table) Penalize(tg *Target, now time.Time) {
	tg.penalty = tg.penalty*decay(now.Sub(tg.penaltyAt), penaltyHalfLife) + errorPenalty.Seconds()
	tg.penaltyAt = now
}

// MarkLeaving records that the target refused a request because it is leaving.
func (t *Table) MarkLeaving(tg *Target, now time.Time) { tg.leavingUntil = now.Add(leavingBackoff) }

// MarkLost records that the target crashed or is down, or that the connection to it
// broke or could not be made.
func (t *Table) MarkLost(tg *Target, now time.Time) {
	tg.lostAt = now
	t.Penalize(tg, now)
	t.recordLoss(tg, now)
}
