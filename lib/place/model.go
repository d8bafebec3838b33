package place

import (
	"math"
	"sort"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// plannedUtilization is the slot utilization at which a copy counts as fully used.
	// The remaining slots absorb bursts shorter than the time to load another copy.
	plannedUtilization = 0.6
	// maxGrowthFactor bounds the growth of a model in one step, so that a short burst
	// does not occupy the weight store for minutes.
	maxGrowthFactor = 2
	// recentWindow is how long a wanted copy is protected from eviction for the growth
	// of other models, because bursts of a model recur. Without this protection copies
	// were evicted as soon as a burst ended, which caused 33 to 65 loads in 115 s
	// instead of 28 to 40.
	recentWindow = 30 * time.Second
)

// model is the state of one declared model at one tick.
type model struct {
	cfg *wire.Model
	key Key
	// cachedKeys caches the result of keys.
	cachedKeys []Key
	// complete lists the targets with confirmed copies of the declared version and all
	// of its adapters; see target.confirms.
	complete []*target
	// confirmed lists the targets with a confirmed copy of any version of the model.
	confirmed []*target
	// pending lists the other ready targets whose plan holds the declared version and
	// that have room for its adapters.
	pending []*target
	// want is the wanted number of copies, between the declared minimum and maximum.
	want int
	// recentPeak is the largest want within recentWindow, at least want.
	recentPeak int
}

// peak is a number of copies and the time at which it was last wanted.
type peak struct {
	copies int
	at     time.Time
}

// bytes returns the memory that a copy with all adapters needs.
func (m *model) bytes() uint64 {
	n := m.cfg.Bytes
	for _, a := range m.cfg.Adapters {
		n += a.Bytes
	}
	return n
}

// keys returns the model's artifacts, the model itself first. The caller must not
// modify the slice.
func (m *model) keys() []Key {
	if m.cachedKeys == nil {
		m.cachedKeys = []Key{m.key}
		for _, a := range m.cfg.Adapters {
			m.cachedKeys = append(m.cachedKeys, Key{m.cfg.Name, m.cfg.Version, a.Name})
		}
	}
	return m.cachedKeys
}

func (m *model) size(k Key) uint64 {
	if k.Adapter == "" {
		return m.cfg.Bytes
	}
	for _, a := range m.cfg.Adapters {
		if a.Name == k.Adapter {
			return a.Bytes
		}
	}
	return 0
}

// isComplete reports whether t holds confirmed copies of the declared version and all of
// its adapters.
func (m *model) isComplete(t *target) bool {
	for _, k := range m.keys() {
		if !t.confirms(k) {
			return false
		}
	}
	return true
}

// copyCount returns the number of copies that are resident or planned.
func (m *model) copyCount() int { return len(m.complete) + len(m.pending) }

// urgency returns why the model needs another copy. It reports false if it does not.
func (m *model) urgency() (Reason, bool) {
	switch have := m.copyCount(); {
	case len(m.confirmed) == 0 && have == 0:
		return Unreachable, true
	case have < int(m.cfg.MinCopies):
		return Repair, true
	case have >= 2 && oneZone(m.complete, m.pending) && have < int(m.cfg.MaxCopies):
		return Spread, true
	case have < m.want:
		return Growth, true
	}
	return 0, false
}

func oneZone(lists ...[]*target) bool {
	zone := ""
	for _, list := range lists {
		for _, t := range list {
			if zone != "" && t.zone != zone {
				return false
			}
			zone = t.zone
		}
	}
	return true
}

// canSpare reports whether the copy at t can be evicted safely. The declared minimum of
// copies must remain, and copies in several zones must still be in several zones
// afterwards, unless fewer than two remain. With a minimum of two or more, the model
// then stays reachable if one more target is lost.
func (m *model) canSpare(t *target) bool {
	others := 0
	var remaining []*target
	for _, o := range m.complete {
		if o != t {
			others++
			remaining = append(remaining, o)
		}
	}
	if others < int(m.cfg.MinCopies) {
		return false
	}
	return others < 2 || !oneZone(remaining) || oneZone(m.complete)
}

// wantedCopies estimates the number of copies that a model needs from the slots it
// occupies and from the unserved demand.
func wantedCopies(m *wire.Model, copies []*target, d Demand) int {
	var busySlots, slots, rate float64
	for _, t := range copies {
		slots += t.slots
		total := 0.0
		for _, r := range t.requestRate {
			total += r
		}
		if total > 0 {
			busySlots += t.running * t.requestRate[m.Name] / total
			rate += t.requestRate[m.Name]
		}
	}
	low, high := int(m.MinCopies), int(m.MaxCopies)
	if len(copies) == 0 || slots == 0 {
		return low
	}
	if d.UnservedPerSecond > 0 {
		served := max(rate, d.RequestsPerSecond-d.UnservedPerSecond, 1)
		busySlots *= min(1+d.UnservedPerSecond/served, maxGrowthFactor)
		busySlots = max(busySlots, 1)
	}
	n := int(math.Ceil(busySlots / (plannedUtilization * slots / float64(len(copies)))))
	return max(low, min(n, high, maxGrowthFactor*max(len(copies), 1)))
}

// byUrgency sorts models that need a copy by reason, priority, number of copies and
// name.
func byUrgency(need []*model) {
	sort.SliceStable(need, func(i, j int) bool {
		a, b := need[i], need[j]
		ra, _ := a.urgency()
		rb, _ := b.urgency()
		if ra != rb {
			return ra < rb
		}
		if a.cfg.Priority != b.cfg.Priority {
			return a.cfg.Priority > b.cfg.Priority
		}
		if a.copyCount() != b.copyCount() {
			return a.copyCount() < b.copyCount()
		}
		return a.cfg.Name < b.cfg.Name
	})
}
