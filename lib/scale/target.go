// Package scale decides which models the engines of a service hold while the
// demand for them moves. It is pure: the control leader tells it what engines
// hold and what is asked for, and carries out the orders that it returns.
package scale

import (
	"slices"
	"time"

	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

// staleWords is how long an engine's words may be older than what was known before.
// A copy that they leave out counts against the memory for that long.
const staleWords = 3 * time.Second

//go:generate stringer -type=Operation -linecomment

// Operation is what an order does.
type Operation int

// Operations of orders.
const (
	// Load makes a model or an adapter resident.
	Load Operation = iota // load
	// Unload drops a model or an adapter.
	Unload // unload
)

// Order is one command to an engine.
type Order struct {
	Op    Operation
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	// For is the model that an unload makes room for.
	For string
	// Reason is why the planner gave the order, for logs.
	Reason string
}

// Copy is a model that a target holds.
type Copy struct {
	// Since is when this leader first knew of it.
	Since time.Time
	// LeavingSince is when it stopped taking new requests before its unload; zero
	// if it stays.
	LeavingSince time.Time
	// Adapters holds the adapters beside the model.
	Adapters map[string]*Adapter
	// missing is since when the engine's words leave the model out; zero if they
	// name it.
	missing time.Time
}

// Adapter is an adapter that a target holds or fetches.
type Adapter struct {
	// ReadyAt is when its load is expected to end.
	ReadyAt time.Time
	// Used is when a request last asked for it.
	Used time.Time
	// Leaving says that its unload waits for running requests; the place is taken.
	Leaving bool
	// missing is since when the engine's words leave the adapter out.
	missing time.Time
}

// Target is what the leader knows of one engine. Everything that may be resident
// counts against its memory: an order without an answer keeps its reservation.
type Target struct {
	ID   string
	Zone string
	// Copies are the resident models.
	Copies map[string]*Copy
	// Order is the model order under way, nil if there is none.
	Order *Order
	// Begun is when Order was decided, Accepted when the engine took it.
	Begun, Accepted time.Time
	// Sent says that the engine may have received Order.
	Sent bool
	// ReadyAt is when Order is expected to be complete.
	ReadyAt time.Time
	// Cached names the models whose weights the engine keeps outside its accelerator.
	Cached map[string]bool
	// Avoid is until when no new model order is given, after a failed one.
	Avoid time.Time
}

// NewTarget returns the record of an engine that was just announced.
func NewTarget(id, zone string) *Target {
	return &Target{ID: id, Zone: zone, Copies: make(map[string]*Copy), Cached: make(map[string]bool)}
}

// Held is a model in an engine's own words.
type Held struct {
	Model    string
	Adapters []string
}

// Observe takes what the engine says it holds. It returns true if that ended the
// order under way or changed the copies.
func (t *Target) Observe(now time.Time, held []Held) bool {
	changed := false
	names := make(map[string]bool, len(held))
	for _, h := range held {
		names[h.Model] = true
		c := t.Copies[h.Model]
		if c == nil {
			if t.unloaded(h.Model) {
				continue
			}
			c = &Copy{Since: now, Adapters: make(map[string]*Adapter)}
			t.Copies[h.Model], changed = c, true
		}
		c.observe(now, h.Adapters)
	}
	for name, c := range t.Copies {
		switch {
		case names[name]:
			c.missing = time.Time{}
		case t.unloaded(name):
			delete(t.Copies, name)
			changed = true
		case c.missing.IsZero():
			c.missing = now
		case now.Sub(c.missing) > staleWords:
			delete(t.Copies, name)
			changed = true
		}
	}
	return t.finish(names) || changed
}

// Cache takes the engine's words on the weights that it keeps outside its
// accelerator; what they leave out was evicted.
func (t *Target) Cache(models []string) {
	clear(t.Cached)
	for _, m := range models {
		t.Cached[m] = true
	}
}

// observe takes the adapters that the engine names beside the model.
func (c *Copy) observe(now time.Time, adapters []string) {
	names := make(map[string]bool, len(adapters))
	for _, a := range adapters {
		names[a] = true
		if c.Adapters[a] == nil {
			c.Adapters[a] = &Adapter{ReadyAt: now, Used: now}
		}
	}
	for name, a := range c.Adapters {
		switch {
		case names[name]:
			a.missing = time.Time{}
		case a.missing.IsZero():
			a.missing = now
		case now.Sub(a.missing) > staleWords && now.Sub(a.ReadyAt) > staleWords:
			delete(c.Adapters, name)
		}
	}
}

// Holds says that these words of an engine name the adapter beside its model.
func Holds(held []Held, model, adapter string) bool {
	for _, h := range held {
		if h.Model == model && slices.Contains(h.Adapters, adapter) {
			return true
		}
	}
	return false
}

// unloaded says that model is the one whose accepted unload is under way.
func (t *Target) unloaded(model string) bool {
	return t.Order != nil && t.Order.Op == Unload && t.Order.Model == model && !t.Accepted.IsZero()
}

// finish ends the order under way if the models that the engine holds show its effect.
func (t *Target) finish(held map[string]bool) bool {
	if t.Order == nil || !t.Sent {
		return false
	}
	if held[t.Order.Model] != (t.Order.Op == Load) {
		return false
	}
	t.clear()
	return true
}

func (t *Target) clear() {
	t.Order, t.Sent = nil, false
	t.Begun, t.Accepted, t.ReadyAt = time.Time{}, time.Time{}, time.Time{}
}

// Drop forgets an order that certainly had no effect, and gives the target no new
// one until avoid.
func (t *Target) Drop(avoid time.Time) {
	if t.Order != nil && t.Order.Op == Unload {
		if c := t.Copies[t.Order.Model]; c != nil {
			c.LeavingSince = time.Time{}
		}
	}
	t.clear()
	t.Avoid = avoid
}

// UsedMB is the memory of all that may be resident: copies, the load under way,
// and every adapter place.
func (t *Target) UsedMB(e *site.Engine) float64 {
	sum := reserveMB(e)
	for name := range t.Copies {
		sum += sizeOf(e, name)
	}
	if t.Order != nil && t.Order.Op == Load && t.Copies[t.Order.Model] == nil {
		sum += sizeOf(e, t.Order.Model)
	}
	return sum
}

// sizeOf counts an unknown model as all of the memory, so that nothing joins it.
func sizeOf(e *site.Engine, name string) float64 {
	if m := e.Model(name); m != nil {
		return m.MB
	}
	return e.MemoryMB
}

// reserveMB is the memory of the largest adapters in all places.
func reserveMB(e *site.Engine) float64 {
	largest := 0.0
	for i := range e.Models {
		if e.Models[i].Adapters > 0 {
			largest = max(largest, e.Models[i].AdapterMB)
		}
	}
	return largest * float64(e.AdapterPlaces)
}

// AdapterCount is the number of adapter places that may be taken.
func (t *Target) AdapterCount() int {
	n := 0
	for _, c := range t.Copies {
		n += len(c.Adapters)
	}
	return n
}

// Fits says that what may be resident, with the reserved places, is within the
// engine's limits.
func (t *Target) Fits(e *site.Engine) bool {
	return t.UsedMB(e) <= e.MemoryMB && t.AdapterCount() <= e.AdapterPlaces
}

// Stale returns the adapter that was used least recently, if it was not used
// after since; ok is false if there is none.
func (t *Target) Stale(since time.Time) (model, adapter string, ok bool) {
	var oldest time.Time
	for name, c := range t.Copies {
		for a, x := range c.Adapters {
			used := x.Used
			if x.Leaving || used.After(since) || ok && !used.Before(oldest) {
				continue
			}
			model, adapter, ok, oldest = name, a, true, used
		}
	}
	return model, adapter, ok
}

// adapterSoon is the time until the end of its load from which on an adapter is
// told to entry instances.
const adapterSoon = 50 * time.Millisecond

// Records returns the models of the target as entry instances should see them.
func (t *Target) Records(now time.Time) []*wire.FleetModel {
	names := make([]string, 0, len(t.Copies)+1)
	for name := range t.Copies {
		names = append(names, name)
	}
	if t.Order != nil && t.Order.Op == Load && t.Copies[t.Order.Model] == nil {
		names = append(names, t.Order.Model)
	}
	slices.Sort(names)
	out := make([]*wire.FleetModel, 0, len(names))
	for _, name := range names {
		m := &wire.FleetModel{Name: name}
		c := t.Copies[name]
		if c == nil {
			m.LoadingMicros = uint64(max(t.ReadyAt.Sub(now), time.Millisecond).Microseconds())
		} else {
			m.Leaving = !c.LeavingSince.IsZero()
			for a, x := range c.Adapters {
				if !x.Leaving && x.ReadyAt.Sub(now) <= adapterSoon {
					m.Adapters = append(m.Adapters, a)
				}
			}
			slices.Sort(m.Adapters)
		}
		out = append(out, m)
	}
	return out
}
