// Package scale decides which models the engines of a service hold as demand shifts
// between models. It performs no I/O and reads no clock: the control leader passes the
// state of the engines and the demand, and sends the orders that the planner returns.
package scale

import (
	"slices"
	"time"

	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

// maxReportDelay is the maximum delay of an engine's report. A copy that reports leave out
// counts against the memory for that long, since they may predate its load.
const maxReportDelay = 3 * time.Second

//go:generate stringer -type=Operation -linecomment

// Operation is the kind of an order.
type Operation int

// The operations.
const (
	// Load makes a model or an adapter resident.
	Load Operation = iota // load
	// Unload evicts a model or an adapter.
	Unload // unload
)

// Order is a command to an engine to load or unload a model or an adapter.
type Order struct {
	Op    Operation
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	// For is the model for which an unload makes room.
	For string
	// Reason tells in logs why the planner gave the order.
	Reason string
}

// Copy is a model that is resident at a target.
type Copy struct {
	// Since is the time at which this leader first saw the copy.
	Since time.Time
	// UnloadingSince is the time from which the copy gets no new requests, ahead of its
	// unload; zero if no unload is planned.
	UnloadingSince time.Time
	// Adapters holds the adapters of the model by name.
	Adapters map[string]*Adapter
	// missingSince is the time of the first report in a row that left the model out; zero
	// if the latest one lists it.
	missingSince time.Time
}

// Adapter is an adapter that is resident or being loaded at a target.
type Adapter struct {
	// ReadyAt is the expected end of its load.
	ReadyAt time.Time
	// LastUsed is the time of the latest request for it.
	LastUsed time.Time
	// Confirmed reports whether an accepted order or the engine's own report shows the
	// adapter. Announcements may be seconds late.
	Confirmed bool
	// Unloading reports whether an unload is in progress, which waits for running
	// requests. The adapter occupies its slot until then.
	Unloading bool
	// missingSince is the time of the first report in a row that left the adapter out; zero
	// if the latest one lists it.
	missingSince time.Time
}

// Target is the leader's record of one engine. Everything that may be resident counts
// against its memory: an unanswered order keeps its reservation.
type Target struct {
	ID   string
	Zone string
	// Copies holds the resident models by name.
	Copies map[string]*Copy
	// Order is the model order in progress; nil if there is none. An order counts as in
	// progress from the time at which it is planned.
	Order *Order
	// OrderedAt is the time at which Order was decided, Accepted the time at which the
	// engine accepted it.
	OrderedAt, Accepted time.Time
	// Sent reports whether the engine may have received Order.
	Sent bool
	// ReadyAt is the expected completion time of Order.
	ReadyAt time.Time
	// Cached is the set of models whose weights the engine keeps outside its accelerator,
	// on disk or in host memory.
	Cached map[string]bool
	// Limit is the number of requests per second that the engine takes; 0 if it has named no
	// limit.
	Limit float64
	// share is the share of its requests that the engine takes, as of the current planning
	// round; less than 1 because of Limit.
	share float64
	// BackoffUntil is the end of the back-off after a failed model order.
	BackoffUntil time.Time
	// Forgot reports whether a copy or an adapter was removed because announcements left it
	// out. They may be seconds late, so the engine has to be asked before the next order.
	Forgot bool
}

// NewTarget returns the record of a newly announced engine.
func NewTarget(id, zone string) *Target {
	return &Target{ID: id, Zone: zone, Copies: make(map[string]*Copy), Cached: make(map[string]bool)}
}

// ReportedModel is a resident model with its adapters, as reported by an engine.
type ReportedModel struct {
	Model    string
	Adapters []string
}

// Observe applies a report of the models that the engine holds. It returns true if that
// completed the order in progress or changed the set of copies.
func (t *Target) Observe(now time.Time, held []ReportedModel) bool {
	changed := false
	names := make(map[string]bool, len(held))
	for _, h := range held {
		names[h.Model] = true
		c := t.Copies[h.Model]
		if c == nil {
			if t.isUnloading(h.Model) {
				continue
			}
			c = &Copy{Since: now, Adapters: make(map[string]*Adapter)}
			t.Copies[h.Model], changed = c, true
		}
		t.Forgot = c.observeAdapters(now, h.Adapters) || t.Forgot
	}
	for name, c := range t.Copies {
		switch {
		case names[name]:
			c.missingSince = time.Time{}
		case t.isUnloading(name):
			delete(t.Copies, name)
			changed = true
		case c.missingSince.IsZero():
			c.missingSince = now
		case now.Sub(c.missingSince) > maxReportDelay:
			delete(t.Copies, name)
			changed, t.Forgot = true, true
		}
	}
	return t.completeOrder(names) || changed
}

// Confirm records that held comes from the engine's own report, which is hardly late.
func (t *Target) Confirm(held []ReportedModel) {
	t.Forgot = false
	for _, h := range held {
		for _, name := range h.Adapters {
			if c := t.Copies[h.Model]; c != nil && c.Adapters[name] != nil {
				c.Adapters[name].Confirmed = true
			}
		}
	}
}

// ObserveCached replaces the set of models whose weights the engine keeps outside its
// accelerator.
func (t *Target) ObserveCached(models []string) {
	clear(t.Cached)
	for _, m := range models {
		t.Cached[m] = true
	}
}

// observeAdapters applies the reported adapters of the model. It returns true if it removed
// one.
func (c *Copy) observeAdapters(now time.Time, adapters []string) (removed bool) {
	names := make(map[string]bool, len(adapters))
	for _, a := range adapters {
		names[a] = true
		if c.Adapters[a] == nil {
			c.Adapters[a] = &Adapter{ReadyAt: now, LastUsed: now}
		}
	}
	for name, a := range c.Adapters {
		switch {
		case names[name]:
			a.missingSince = time.Time{}
		case a.missingSince.IsZero():
			a.missingSince = now
		case now.Sub(a.missingSince) > maxReportDelay && now.Sub(a.ReadyAt) > maxReportDelay:
			delete(c.Adapters, name)
			removed = true
		}
	}
	return removed
}

// Holds reports whether an engine's report lists the adapter under the model.
func Holds(held []ReportedModel, model, adapter string) bool {
	for _, h := range held {
		if h.Model == model && slices.Contains(h.Adapters, adapter) {
			return true
		}
	}
	return false
}

// isUnloading reports whether an accepted unload of the model is in progress.
func (t *Target) isUnloading(model string) bool {
	return t.Order != nil && t.Order.Op == Unload && t.Order.Model == model && !t.Accepted.IsZero()
}

// completeOrder completes the order in progress if the reported models show its effect.
func (t *Target) completeOrder(held map[string]bool) bool {
	if t.Order == nil || !t.Sent {
		return false
	}
	if held[t.Order.Model] != (t.Order.Op == Load) {
		return false
	}
	t.clearOrder()
	return true
}

func (t *Target) clearOrder() {
	t.Order, t.Sent = nil, false
	t.OrderedAt, t.Accepted, t.ReadyAt = time.Time{}, time.Time{}, time.Time{}
}

// CancelOrder removes an order that certainly had no effect, and starts a back-off that
// ends at backoffUntil.
func (t *Target) CancelOrder(backoffUntil time.Time) {
	if t.Order != nil && t.Order.Op == Unload {
		if c := t.Copies[t.Order.Model]; c != nil {
			c.UnloadingSince = time.Time{}
		}
	}
	t.clearOrder()
	t.BackoffUntil = backoffUntil
}

// UsedMB returns the memory of everything that may be resident: copies, the load in
// progress, and all adapter slots.
func (t *Target) UsedMB(e *site.Engine) float64 {
	sum := adapterReserveMB(e)
	for name := range t.Copies {
		sum += modelMB(e, name)
	}
	if t.Order != nil && t.Order.Op == Load && t.Copies[t.Order.Model] == nil {
		sum += modelMB(e, t.Order.Model)
	}
	return sum
}

// modelMB returns the size of the model. An unknown model counts as the whole memory,
// so that nothing is loaded next to it.
func modelMB(e *site.Engine, name string) float64 {
	if m := e.Model(name); m != nil {
		return m.MB
	}
	return e.MemoryMB
}

// adapterReserveMB returns the memory reserved for adapters: all slots at the size of the
// largest adapter.
func adapterReserveMB(e *site.Engine) float64 {
	largest := 0.0
	for i := range e.Models {
		if e.Models[i].Adapters > 0 {
			largest = max(largest, e.Models[i].AdapterMB)
		}
	}
	return largest * float64(e.AdapterSlots)
}

// AdapterCount returns the number of adapter slots that may be occupied.
func (t *Target) AdapterCount() int {
	n := 0
	for _, c := range t.Copies {
		n += len(c.Adapters)
	}
	return n
}

// WithinLimits reports whether everything that may be resident is within the engine's
// memory and adapter slots.
func (t *Target) WithinLimits(e *site.Engine) bool {
	return t.UsedMB(e) <= e.MemoryMB && t.AdapterCount() <= e.AdapterSlots
}

// LeastRecentlyUsed returns the least recently used adapter among those not used after
// since and not being unloaded; ok is false if there is none.
func (t *Target) LeastRecentlyUsed(since time.Time) (model, adapter string, ok bool) {
	var oldest time.Time
	for name, c := range t.Copies {
		for a, x := range c.Adapters {
			used := x.LastUsed
			if x.Unloading || used.After(since) || ok && !used.Before(oldest) {
				continue
			}
			model, adapter, ok, oldest = name, a, true, used
		}
	}
	return model, adapter, ok
}

// adapterReadyMargin is the remaining load time up to which entry instances already see
// an adapter as resident.
const adapterReadyMargin = 50 * time.Millisecond

// Records returns the models of the target as reported to entry instances, sorted by
// name: resident ones and the one being loaded.
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
			m.Leaving = !c.UnloadingSince.IsZero()
			for a, x := range c.Adapters {
				if !x.Unloading && x.ReadyAt.Sub(now) <= adapterReadyMargin {
					m.Adapters = append(m.Adapters, a)
				}
			}
			slices.Sort(m.Adapters)
		}
		out = append(out, m)
	}
	return out
}
