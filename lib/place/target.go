package place

import (
	"sort"

	"bulrushpath.example/lib/wire"
)

// target is the planner's state of one target.
type target struct {
	name, zone, team string
	memory           uint64
	ready            bool
	// slots and running are the capacity and the load, queued requests included.
	slots, running float64

	// resident, loading and pinned map artifacts to their sizes in bytes, as of the
	// last announcement. Pinned artifacts may be resident, because a command for them
	// has an unknown outcome.
	resident, loading, pinned map[Key]uint64
	// requestRate holds the requests per second at this target, by model.
	requestRate map[string]float64
	// keep is the latest plan: artifacts to keep or load, with their sizes. It starts
	// with everything that was resident, loading or pinned at the first announcement of
	// this term.
	keep map[Key]uint64
	// sequence is the sequence number of the latest plan. firstSequence is that of the
	// first plan since the target appeared, so firstSequence <= sequence. Both are 0
	// before the first plan.
	firstSequence, sequence uint64
	// dropped maps an artifact to the sequence number of the last plan that dropped it.
	dropped map[Key]uint64
	// ackedSequence is the sequence number of the last accepted plan: 0 or at least
	// firstSequence. Earlier plans are ignored: a target that was forgotten and returned
	// may acknowledge one whose contents are no longer known.
	ackedSequence uint64
	// incarnation is that of the announcing agent. A new incarnation has not accepted
	// any plan.
	incarnation uint64
	// seen is whether the current view contains the target.
	seen bool
	// reserved is the size of the adapters of planned models that are not planned yet.
	// It is recomputed at each tick.
	reserved uint64
	// committedBytes caches the result of committed while committedValid is set.
	committedBytes uint64
	committedValid bool
}

// update applies an announcement. Only acknowledgements of the given term count.
func (t *target) update(a *wire.Announcement, term uint64) {
	t.name, t.zone, t.team = a.Target, a.Zone, a.Team
	t.memory = a.MemoryBytes
	t.ready = a.Phase == wire.Phase_PHASE_READY
	t.slots = float64(a.GetLoad().GetSlots())
	t.running = float64(a.GetLoad().GetRunning() + a.GetLoad().GetQueued())
	t.resident = copies(a.Resident)
	t.loading = copies(a.Loading)
	t.pinned = copies(a.Pinned)
	t.requestRate = make(map[string]float64, len(a.Demand))
	for _, d := range a.Demand {
		t.requestRate[d.Model] = d.RequestsPerSecond
	}
	if a.Incarnation != t.incarnation {
		t.incarnation = a.Incarnation
		t.ackedSequence = 0
	}
	if ack := a.GetPlanAck(); ack.GetTerm() == term && t.firstSequence > 0 && ack.GetSequence() >= t.firstSequence {
		t.ackedSequence = max(t.ackedSequence, ack.GetSequence())
	}
	t.committedValid = false
	t.reserved = 0
	if t.sequence == 0 {
		t.keep = make(map[Key]uint64)
		t.dropped = make(map[Key]uint64)
		for _, m := range []map[Key]uint64{t.resident, t.loading, t.pinned} {
			for k, n := range m {
				t.keep[k] = n
			}
		}
	}
}

func copies(list []*wire.Copy) map[Key]uint64 {
	m := make(map[Key]uint64, len(list))
	for _, c := range list {
		m[keyOf(c)] = c.Bytes
	}
	return m
}

// confirms reports whether a copy is confirmed: it is resident, the plan keeps it, and
// the agent has accepted a plan of this term newer than the last one that dropped
// it. The agent refuses older plans, so none of those can still remove the copy.
func (t *target) confirms(k Key) bool {
	if !t.ready || t.ackedSequence == 0 {
		return false
	}
	if _, ok := t.resident[k]; !ok {
		return false
	}
	_, kept := t.keep[k]
	return kept && t.dropped[k] < t.ackedSequence
}

// committed returns the memory that is in use, being loaded, or needed by the latest
// plan.
func (t *target) committed() uint64 {
	if t.committedValid {
		return t.committedBytes
	}
	var n uint64
	seen := make(map[Key]bool, len(t.keep))
	for _, m := range []map[Key]uint64{t.keep, t.resident, t.loading, t.pinned} {
		for k, size := range m {
			if !seen[k] {
				seen[k] = true
				n += size
			}
		}
	}
	t.committedBytes, t.committedValid = n, true
	return n
}

// fits reports whether size bytes fit into the memory that is not committed.
func (t *target) fits(size uint64) bool { return t.committed()+size <= t.memory }

// free returns the memory that is neither committed nor reserved.
func (t *target) free() uint64 {
	used := t.committed() + t.reserved
	if used >= t.memory {
		return 0
	}
	return t.memory - used
}

// baseModels returns the models in the target's plan, sorted.
func (t *target) baseModels() []Key {
	var keys []Key
	for k := range t.keep {
		if k.Adapter == "" {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

// plannedBytes returns the total size of a model and its adapters in the target's plan.
func (t *target) plannedBytes(base Key) uint64 {
	var n uint64
	for k, size := range t.keep {
		if k.base() == base {
			n += size
		}
	}
	return n
}

// utilization returns the load as a share of the slots. It exceeds 1 when requests
// queue.
func (t *target) utilization() float64 {
	if t.slots == 0 {
		return 0
	}
	return t.running / t.slots
}
