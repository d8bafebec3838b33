package scale

import (
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/site"
)

const (
	// growAt is the work per copy, in engine seconds per second, from which a model
	// gets another copy.
	growAt = 0.30
	// richer is the factor by which the work per copy of a growing model must exceed the
	// eviction cost of a victim, usually the work per remaining copy of the victim.
	richer = 2.0
	// askedNeed is the rank of a model without a copy for which requests wait: after
	// models whose copies can't serve their demand, before all others.
	askedNeed = 1.0
	// idleNeed is the rank of a model without a copy and without waiting requests: it is
	// loaded into free memory or in place of a copy that is hardly used, but not in place
	// of a copy that is needed at a demand peak.
	idleNeed = 0.4
	// crowded is the work per copy above which a model counts as overloaded. It then
	// gives up no copy to a model with less work.
	crowded = 0.6
	// cheap is the eviction cost up to which a copy is evicted even if an order that ends
	// soon will leave enough memory at another target.
	cheap = 0.1
	// lastCopyCost is the eviction cost of the last copy of an idle model, so that copies
	// with a lower cost are evicted first.
	lastCopyCost = 0.4
	// busyCost is added to the eviction cost of a copy with running requests: its unload
	// waits seconds for them, during which the engine serves neither model.
	busyCost = 0.3
	// busyWork is the work per copy above which a copy is assumed to have running requests.
	busyWork = 0.03
	// spareBelow is the work of an engine, in engine seconds per second, below which it
	// may load a second copy of a model that doesn't need one yet.
	spareBelow = 0.1
	// soonWithin is the longest time to wait for memory that becomes free at another
	// target.
	soonWithin = 1500 * time.Millisecond
	// settle is the minimum age of a copy before it may be evicted.
	settle = 4 * time.Second
	// storeBurst is the number of loads from the weight store that may start at once.
	storeBurst = 2
	// storeShare is the used share of the load rate of the weight store. The margin is
	// for loads that start seconds after their order because a response was lost.
	storeShare = 0.95
	// warmUnload is the expected duration of an unload.
	warmUnload = 500 * time.Millisecond
)

// Demand is the demand for one model, summed over all entry instances.
type Demand struct {
	// Work is the engine time that arriving requests need, in seconds per second.
	Work float64
	// Waiting is the number of requests that wait because no target holds the model.
	Waiting int
}

// View is the input of one planning round.
type View struct {
	Now    time.Time
	Engine *site.Engine
	// Targets are the live engines of the service.
	Targets []*Target
	Demand  map[string]Demand
	// Partial reports whether Targets may lack live engines. The planner then only loads
	// copies of overloaded models into free memory: all other needs may be covered by the
	// engines that are not known yet.
	Partial bool
}

// Planner decides on model orders for one service. It holds the permits for loads from
// the weight store as a token bucket, which is empty after a leader change.
type Planner struct {
	permits float64
	refill  time.Time
}

// Tick decides which model orders to start now. It sets Target.Order and returns the
// targets concerned. Each target has at most one model order in progress.
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

// need is the supply and the demand of one model.
type need struct {
	model *site.Model
	// copies is the number of resident copies that are not being unloaded. loading is the
	// number of copies being loaded or about to be, after an unload that makes room.
	copies, loading int
	demand          Demand
	// zones counts both kinds of copies per availability zone.
	zones map[string]int
}

// perCopy returns the work per copy if there were that many copies. A model without
// copies gets a rank on the same scale.
func (n *need) perCopy(copies int) float64 {
	switch {
	case copies > 0:
		return n.demand.Work / float64(copies)
	case n.demand.Waiting > 0:
		return askedNeed + 2*n.demand.Work
	}
	return idleNeed + 2*n.demand.Work
}

// coming returns the model that will be resident after the order in progress and the
// load for which it makes room; empty if there is none.
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

// needs returns the supply and demand of all models, most urgent first.
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

// next starts the most urgent order that is possible now. It returns nil if there is
// none.
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

// relieve starts a load of an overloaded model into free memory.
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

// spare starts the load of a second copy into free memory of an engine with little
// work. When demand shifts to the model, two engines can serve it at once instead of one
// until a load completes. It starts none unless all permits are available, so that some
// are left for models that need a copy.
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

// load starts a load of the model at the best target with enough free memory.
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

// free reports whether t can start a model order for m.
func free(v View, t *Target, m *site.Model) bool {
	return t.Order == nil && t.Copies[m.Name] == nil && !v.Now.Before(t.Avoid)
}

// rank returns the cost of placing a copy at the target; lower is better. It prefers
// targets that have the weights cached on disk or in host memory, zones without a copy,
// and targets whose other models have little work.
func rank(v View, t *Target, n *need) float64 {
	r := float64(n.zones[t.Zone]) * 0.2
	if !t.Cached[n.model.Name] {
		r += n.model.Load.Seconds()
	}
	for name := range t.Copies {
		share := 0.5
		if m := v.Engine.Model(name); m != nil && m.Adapters > 0 {
			// No adapters can be fetched during the load.
			share = 1
		}
		r += v.Demand[name].Work * share
	}
	return r
}

// begin sets the order of the target; took is its expected duration.
func begin(v View, t *Target, o Order, took time.Duration) {
	t.Order, t.Begun, t.ReadyAt = &o, v.Now, v.Now.Add(took)
	t.Accepted, t.Sent = time.Time{}, false
}

// makeRoom starts the unload of a less needed copy at a target that then has enough
// memory for the model.
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

// victimCost returns the cost of evicting a copy of x in favor of n, usually the work
// per remaining copy. ok is false if the copy must not be evicted.
func victimCost(t *Target, name string, x, n *need) (cost float64, ok bool) {
	switch {
	case x == nil:
		// The model is not in the configuration any more.
		return 0, true
	case x.copies >= 2:
		cost = x.perCopy(x.copies - 1)
		return cost, cost <= crowded || n.demand.Work > cost
	}
	// The last copy of a model without demand may be evicted for a model with demand that
	// has no copy or overloaded ones: it can be loaded again from the target's disk within
	// about a second.
	idle := x.copies == 1 && x.loading == 0 && x.demand == Demand{}
	copies := n.copies + n.loading
	asked := copies == 0 && n.demand != Demand{} || copies > 0 && n.perCopy(copies) > crowded
	return lastCopyCost, idle && asked && t.Cached[name]
}

// roomSoon reports whether a target has enough memory for the model and its order in
// progress ends within soonWithin.
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
