package scale

import (
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/site"
)

const (
	// growAt is the work per copy, in engine seconds per second, above which a
	// model gets another copy.
	growAt = 0.30
	// richer is how many times the work per copy of a growing model must exceed
	// what the victim's remaining copies would carry.
	richer = 2.0
	// askedNeed ranks a model for which a request waits and that has no copy: after
	// models whose copies cannot serve what is asked of them, before all others.
	askedNeed = 1.0
	// idleNeed ranks a model without a copy that nobody asks for: it comes back into
	// free memory, or in place of a copy that is hardly used, but not in place of
	// one that a crest of demand needs.
	idleNeed = 0.4
	// crowded is the work per copy above which a model gives up no copy for one that
	// is asked for less.
	crowded = 0.6
	// cheap is the cost up to which a copy makes way although there is room elsewhere
	// as soon as an order ends.
	cheap = 0.1
	// lastCopyCost ranks the last copy of an idle model after copies that cost less.
	lastCopyCost = 0.4
	// busyCost ranks a copy with requests under way after one without: its unload waits
	// for them, for seconds, in which the engine serves neither model.
	busyCost = 0.3
	// busyWork is the work per copy above which requests are taken to be under way.
	busyWork = 0.03
	// spareBelow is the work at an engine, in engine seconds per second, below which it
	// may load a second copy of a model that does not need one yet.
	spareBelow = 0.1
	// soonWithin bounds the time for which an order waits for room elsewhere.
	soonWithin = 1500 * time.Millisecond
	// settle is how long a copy stays before it may make way.
	settle = 4 * time.Second
	// storeBurst is the number of loads from the weight store that may begin at once.
	storeBurst = 2
	// storeShare is the part of the store's rate that is used: a load begins up to
	// seconds after its order if the answer is lost.
	storeShare = 0.95
	// warmUnload is the time an unload is expected to take.
	warmUnload = 500 * time.Millisecond
)

// Demand is what entry instances see of one model, summed.
type Demand struct {
	// Work is the engine time that its requests need, in seconds per second.
	Work float64
	// Waiting is the number of requests that wait because no target holds it.
	Waiting int
}

// View is what the planner decides on.
type View struct {
	Now    time.Time
	Engine *site.Engine
	// Targets are the live engines of the service.
	Targets []*Target
	Demand  map[string]Demand
	// Partial says that more engines may be live than Targets names. Then only
	// crowded models get copies, into free memory: nothing else is known to be needed.
	Partial bool
}

// Planner decides on model orders for one service. It keeps the permits of the
// weight store; a new leader's planner starts without any.
type Planner struct {
	permits float64
	refill  time.Time
}

// Tick decides the model orders to begin now: it sets Target.Order of the targets
// that it returns. At most one order is under way at a target.
func (p *Planner) Tick(v View) []*Target {
	p.refillPermits(v)
	var out []*Target
	for range v.Targets {
		t := p.next(v)
		if t == nil {
			break
		}
		out = append(out, t)
	}
	return out
}

func (p *Planner) refillPermits(v View) {
	if !p.refill.IsZero() {
		p.permits += v.Now.Sub(p.refill).Seconds() * v.Engine.LoadsPerSecond * storeShare
	}
	p.permits = min(p.permits, storeBurst)
	p.refill = v.Now
}

// need is one model with what it has and what it wants.
type need struct {
	model *site.Model
	// copies counts the resident copies that stay, loading those under way, the ones
	// for which room is being made included.
	copies, loading int
	demand          Demand
	zones           map[string]int
}

// perCopy is the work that each of n copies carries.
func (n *need) perCopy(copies int) float64 {
	switch {
	case copies > 0:
		return n.demand.Work / float64(copies)
	case n.demand.Waiting > 0:
		return askedNeed + 2*n.demand.Work
	}
	return idleNeed + 2*n.demand.Work
}

// coming returns the model that the order under way is to bring; empty if none.
func (t *Target) coming() string {
	switch {
	case t.Order == nil:
		return ""
	case t.Order.Op == Unload:
		return t.Order.For
	case t.Copies[t.Order.Model] != nil:
		return ""
	}
	return t.Order.Model
}

func needs(v View) []*need {
	byName := make(map[string]*need, len(v.Engine.Models))
	out := make([]*need, 0, len(v.Engine.Models))
	for i := range v.Engine.Models {
		m := &v.Engine.Models[i]
		n := &need{model: m, demand: v.Demand[m.Name], zones: make(map[string]int)}
		byName[m.Name] = n
		out = append(out, n)
	}
	for _, t := range v.Targets {
		for name, c := range t.Copies {
			if n := byName[name]; n != nil && c.LeavingSince.IsZero() {
				n.copies++
				n.zones[t.Zone]++
			}
		}
		if name := t.coming(); name != "" && byName[name] != nil {
			byName[name].loading++
			byName[name].zones[t.Zone]++
		}
	}
	slices.SortStableFunc(out, func(a, b *need) int {
		x, y := a.perCopy(a.copies+a.loading), b.perCopy(b.copies+b.loading)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a.model.Name, b.model.Name)
	})
	return out
}

// next finds the most urgent order that is possible now and begins it.
func (p *Planner) next(v View) *Target {
	list := needs(v)
	if v.Partial {
		return p.relieve(v, list)
	}
	for _, n := range list {
		if n.copies+n.loading > 0 && n.perCopy(n.copies+n.loading) < growAt {
			return p.spare(v, list)
		}
		if t := p.load(v, n); t != nil {
			return t
		}
		if t := makeRoom(v, list, n); t != nil {
			return t
		}
	}
	return nil
}

// relieve begins the load of a copy of a crowded model where memory is free.
func (p *Planner) relieve(v View, list []*need) *Target {
	for _, n := range list {
		if n.copies == 0 || n.perCopy(n.copies+n.loading) <= crowded {
			continue
		}
		if t := p.load(v, n); t != nil {
			return t
		}
	}
	return nil
}

// spare begins the load of a second copy, where memory is free and little is asked
// for: demand that moves to a model finds two engines then, not one for the time of
// a load. It leaves permits for models that need a copy.
func (p *Planner) spare(v View, list []*need) *Target {
	if p.permits < storeBurst {
		return nil
	}
	calm := v
	calm.Targets = nil
	for _, t := range v.Targets {
		work := 0.0
		for name := range t.Copies {
			if n := find(list, name); n != nil {
				work += n.perCopy(max(n.copies, 1))
			}
		}
		if work < spareBelow {
			calm.Targets = append(calm.Targets, t)
		}
	}
	for _, n := range list {
		if n.copies == 1 && n.loading == 0 {
			if t := p.load(calm, n); t != nil {
				return t
			}
		}
	}
	return nil
}

// load begins a load of the model at the best target with room for it.
func (p *Planner) load(v View, n *need) *Target {
	var best *Target
	bestRank := 0.0
	for _, t := range v.Targets {
		if !free(v, t, n.model) || t.UsedMB(v.Engine)+n.model.MB > v.Engine.MemoryMB {
			continue
		}
		if !t.Cached[n.model.Name] && p.permits < 1 {
			continue
		}
		if r := rank(v, t, n); best == nil || r < bestRank {
			best, bestRank = t, r
		}
	}
	if best == nil {
		return nil
	}
	took := n.model.Load
	reason := "store"
	if best.Cached[n.model.Name] {
		took, reason = n.model.Disk, "disk"
	} else {
		p.permits--
	}
	begin(v, best, Order{Op: Load, Model: n.model.Name, Reason: reason}, took)
	return best
}

// free says that a model order for m may begin at t.
func free(v View, t *Target, m *site.Model) bool {
	return t.Order == nil && t.Copies[m.Name] == nil && !v.Now.Before(t.Avoid)
}

// rank prefers targets that have the weights outside their accelerator, zones
// without a copy, and targets whose other models have little work.
func rank(v View, t *Target, n *need) float64 {
	r := float64(n.zones[t.Zone]) * 0.2
	if !t.Cached[n.model.Name] {
		r += n.model.Load.Seconds()
	}
	for name := range t.Copies {
		share := 0.5
		if m := v.Engine.Model(name); m != nil && m.Adapters > 0 {
			// Its adapters cannot be fetched while the load is under way.
			share = 1
		}
		r += v.Demand[name].Work * share
	}
	return r
}

func begin(v View, t *Target, o Order, took time.Duration) {
	t.Order, t.Begun, t.ReadyAt = &o, v.Now, v.Now.Add(took)
	t.Accepted, t.Sent = time.Time{}, false
}

// makeRoom begins the unload of a copy that is needed less, at a target that
// then has room for the model.
func makeRoom(v View, list []*need, n *need) *Target {
	want := n.perCopy(n.copies + n.loading)
	soon := roomSoon(v, n.model)
	var best *Target
	victim, bestCost := "", 0.0
	for _, t := range v.Targets {
		if !free(v, t, n.model) {
			continue
		}
		short := t.UsedMB(v.Engine) + n.model.MB - v.Engine.MemoryMB
		for name, c := range t.Copies {
			if !c.LeavingSince.IsZero() || v.Now.Sub(c.Since) < settle || sizeOf(v.Engine, name) < short {
				continue
			}
			cost, ok := victimCost(t, name, find(list, name), n)
			if !ok || cost*richer > want || soon && cost > cheap {
				continue
			}
			if x := find(list, name); x != nil && x.demand.Work > busyWork*float64(x.copies) {
				cost += busyCost
			}
			cost += rank(v, t, n) * 0.01
			if best == nil || cost < bestCost || cost == bestCost && name < victim {
				best, victim, bestCost = t, name, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	best.Copies[victim].LeavingSince = v.Now
	begin(v, best, Order{Op: Unload, Model: victim, For: n.model.Name, Reason: "room"}, warmUnload)
	return best
}

// victimCost is what the unload of a copy costs: the work that each remaining
// copy then carries. ok is false if the copy must stay.
func victimCost(t *Target, name string, x, n *need) (cost float64, ok bool) {
	switch {
	case x == nil:
		// The model is no longer declared.
		return 0, true
	case x.copies >= 2:
		cost = x.perCopy(x.copies - 1)
		return cost, cost <= crowded || n.demand.Work > cost
	}
	// The last copy of a model that nobody asks for may make way for one that is
	// asked for and has none, or whose copies are crowded: it comes back from the
	// target's disk within about a second.
	idle := x.copies == 1 && x.loading == 0 && x.demand == Demand{}
	copies := n.copies + n.loading
	asked := copies == 0 && n.demand != Demand{} || copies > 0 && n.perCopy(copies) > crowded
	return lastCopyCost, idle && asked && t.Cached[name]
}

// roomSoon says that a target has room for the model when its order ends, which is
// soon.
func roomSoon(v View, m *site.Model) bool {
	for _, t := range v.Targets {
		ends := t.Order != nil && t.ReadyAt.Sub(v.Now) < soonWithin
		if ends && t.Copies[m.Name] == nil && t.UsedMB(v.Engine)+m.MB <= v.Engine.MemoryMB {
			return true
		}
	}
	return false
}

func find(list []*need, name string) *need {
	for _, n := range list {
		if n.model.Name == name {
			return n
		}
	}
	return nil
}
