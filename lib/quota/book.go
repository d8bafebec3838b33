package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Book holds the limits that an entry instance knows: those that it has heard in answers and
// has yet to report, and those of the control leader. It is not safe for concurrent use.
type Book struct {
	limits map[string]entry
	// version is the leader's version of the limits that were merged last.
	version uint64
}

// entry is a known limit. unreported is true until the leader has received it.
type entry struct {
	Limit
	unreported bool
}

// Version returns the leader's version of the limits that were merged last.
func (b *Book) Version() uint64 { return b.version }

// Of returns the limit of a target process; its PerSecond is 0 if the process has none.
func (b *Book) Of(target string, startedAt time.Time) Limit {
	if e, ok := b.limits[target]; ok && e.StartedAt.Equal(startedAt) {
		return e.Limit
	}
	return Limit{Target: target, StartedAt: startedAt}
}

// Observe records what an answer said and reports whether that is new to this instance.
func (b *Book) Observe(l Limit) (changed bool) {
	old, known := b.limits[l.Target]
	switch {
	case !known && l.PerSecond <= 0:
		return false
	case known && !l.newer(old.Limit):
		return false
	}
	changed = !known || !l.sameAs(old.Limit)
	b.put(entry{Limit: l, unreported: changed || old.unreported})
	return changed
}

// Unreported returns the limits that the leader has yet to receive, sorted by target.
func (b *Book) Unreported() []Limit {
	var out []Limit
	for _, e := range b.limits {
		if e.unreported {
			out = append(out, e.Limit)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// Reported records that the leader has received the given limits.
func (b *Book) Reported(sent []Limit) {
	for _, l := range sent {
		if e, ok := b.limits[l.Target]; ok && e.Limit == l {
			e.unreported = false
			b.limits[l.Target] = e
		}
	}
}

// Merge replaces what the leader knows; limits that it has yet to receive stay.
func (b *Book) Merge(version uint64, limits []Limit) {
	b.version = version
	maps.DeleteFunc(b.limits, func(_ string, e entry) bool { return !e.unreported })
	for _, l := range limits {
		if old, known := b.limits[l.Target]; !known || l.newer(old.Limit) {
			b.put(entry{Limit: l})
		}
	}
}

// Restart makes all limits unreported, since a new leader knows none of them.
func (b *Book) Restart() {
	b.version = 0
	for id, e := range b.limits {
		e.unreported = true
		b.limits[id] = e
	}
}

func (b *Book) put(e entry) {
	if b.limits == nil {
		b.limits = make(map[string]entry)
	}
	b.limits[e.Target] = e
}
