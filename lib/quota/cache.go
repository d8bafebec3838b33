package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cache holds the limits that an entry instance knows: those that it has heard in answers and
// has yet to report, and those of the control leader. It is not safe for concurrent use.
type Cache struct {
	limits map[string]knownLimit
	// version is the leader's version of the limits that were merged last.
	version uint64
}

// knownLimit is a limit in the cache. unreported is true until the leader has received it.
type knownLimit struct {
	Limit
	unreported bool
}

// Version returns the leader's version of the limits that were merged last.
func (c *Cache) Version() uint64 { return c.version }

// Of returns the limit of a target process; its PerSecond is 0 if the process has none.
func (c *Cache) Of(target string, startedAt time.Time) Limit {
	if e, ok := c.limits[target]; ok && e.StartedAt.Equal(startedAt) {
		return e.Limit
	}
	return Limit{Target: target, StartedAt: startedAt}
}

// Observe records what an answer said and reports whether that is new to this instance.
func (c *Cache) Observe(l Limit) (changed bool) {
	old, known := c.limits[l.Target]
	switch {
	case !known && l.PerSecond <= 0:
		return false
	case known && !l.newer(old.Limit):
		return false
	}
	changed = !known || !l.sameAs(old.Limit)
	c.put(knownLimit{Limit: l, unreported: changed || old.unreported})
	return changed
}

// Unreported returns the limits that the leader has yet to receive, sorted by target.
func (c *Cache) Unreported() []Limit {
	var out []Limit
	for _, e := range c.limits {
		if e.unreported {
			out = append(out, e.Limit)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// Reported records that the leader has received the given limits.
func (c *Cache) Reported(sent []Limit) {
	for _, l := range sent {
		if e, ok := c.limits[l.Target]; ok && e.Limit == l {
			e.unreported = false
			c.limits[l.Target] = e
		}
	}
}

// Merge replaces what the leader knows; limits that it has yet to receive stay.
func (c *Cache) Merge(version uint64, limits []Limit) {
	c.version = version
	maps.DeleteFunc(c.limits, func(_ string, e knownLimit) bool { return !e.unreported })
	for _, l := range limits {
		if old, known := c.limits[l.Target]; !known || l.newer(old.Limit) {
			c.put(knownLimit{Limit: l})
		}
	}
}

// Restart makes all limits unreported, since a new leader knows none of them.
func (c *Cache) Restart() {
	c.version = 0
	for id, e := range c.limits {
		e.unreported = true
		c.limits[id] = e
	}
}

func (c *Cache) put(e knownLimit) {
	if c.limits == nil {
		c.limits = make(map[string]knownLimit)
	}
	c.limits[e.Target] = e
}
