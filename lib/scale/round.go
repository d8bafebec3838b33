package scale

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/site"
)

// round is one planning round. It computes the supply of all models once and updates what an
// order changes. With T targets of C copies each and M models, a round takes O((M + orders) x T x
// C) time: a model for which no order is possible is not looked at again, because later orders
// only take targets, memory and permits away.
type round struct {
	in      Input
	planner *Planner
	byName  map[string]*modelState
	// urgent holds the models for which orders may still be possible, most urgent first, and
	// spare those that may still get a spare copy.
	urgent, spare []*modelState
	targets       []*roundTarget
	// free holds the targets that can start an order.
	free []*roundTarget
}

// roundTarget is a target with what the planner needs of it in one round.
type roundTarget struct {
	*Target
	// usedMB is Target.UsedMB.
	usedMB float64
	// copies holds the resident models, sorted by name.
	copies []roundCopy
}

// roundCopy is a copy with its model; model is nil if it is not configured.
type roundCopy struct {
	*Copy
	name  string
	model *modelState
	mb    float64
	// mature reports whether the copy is old enough to be evicted.
	mature bool
}

func newRound(p *Planner, in Input) *round {
	setShares(in)
	r := &round{in: in, planner: p, byName: make(map[string]*modelState, len(in.Engine.Models))}
	for i := range in.Engine.Models {
		m := &in.Engine.Models[i]
		n := &modelState{model: m, demand: in.Demand[m.Name], zones: make(map[string]int)}
		r.byName[m.Name] = n
		r.urgent = append(r.urgent, n)
	}
	reserve := adapterReserveMB(in.Engine)
	for _, t := range in.Targets {
		x := r.newTarget(t, reserve)
		r.targets = append(r.targets, x)
		if t.Order == nil && !in.Now.Before(t.BackoffUntil) {
			r.free = append(r.free, x)
		}
	}
	r.countAll()
	slices.SortFunc(r.urgent, compareUrgency)
	r.spare = slices.Clone(r.urgent)
	return r
}

func (r *round) newTarget(t *Target, reserveMB float64) *roundTarget {
	x := &roundTarget{Target: t, usedMB: reserveMB}
	for name, c := range t.Copies {
		y := roundCopy{
			Copy: c, name: name, model: r.byName[name], mb: r.in.Engine.MemoryMB,
			mature: r.in.Now.Sub(c.Since) >= minCopyAge,
		}
		if y.model != nil {
			y.mb = y.model.model.MB
		}
		x.usedMB += y.mb
		x.copies = append(x.copies, y)
	}
	slices.SortFunc(x.copies, func(a, b roundCopy) int { return strings.Compare(a.name, b.name) })
	if t.Order != nil && t.Order.Op == Load && t.Copies[t.Order.Model] == nil {
		x.usedMB += modelMB(r.in.Engine, t.Order.Model)
	}
	return x
}

// countAll computes the supply of all models.
func (r *round) countAll() {
	for _, t := range r.targets {
		for _, c := range t.copies {
			if c.model != nil && c.UnloadingSince.IsZero() {
				c.model.addCopy(t.Target)
			}
		}
		if n := r.byName[t.incomingModel()]; n != nil {
			n.addIncoming(t.Target)
		}
	}
}

// recount computes the supply of one model.
func (r *round) recount(n *modelState) {
	n.copies, n.loading, n.usable, n.usableSoon = 0, 0, 0, 0
	clear(n.zones)
	for _, t := range r.targets {
		if c := t.Copies[n.model.Name]; c != nil && c.UnloadingSince.IsZero() {
			n.addCopy(t.Target)
		}
		if t.incomingModel() == n.model.Name {
			n.addIncoming(t.Target)
		}
	}
}

func (n *modelState) addCopy(t *Target) {
	n.copies++
	n.usable += t.share
	n.usableSoon += t.share
	n.zones[t.Zone]++
}

func (n *modelState) addIncoming(t *Target) {
	n.loading++
	n.usableSoon += t.share
	n.zones[t.Zone]++
}

// compareUrgency orders models by urgency, and those of equal urgency by name.
func compareUrgency(a, b *modelState) int {
	return cmp.Or(cmp.Compare(b.workPerCopy(b.usableSoon), a.workPerCopy(a.usableSoon)), strings.Compare(a.model.Name, b.model.Name))
}

// nextOrder starts the most urgent order that is possible now. It returns nil if there
// is none.
func (r *round) nextOrder() *Target {
	if r.in.Partial {
		return r.growOverloaded()
	}
	for len(r.urgent) > 0 {
		n := r.urgent[0]
		if n.copies+n.loading > 0 && n.workPerCopy(n.usableSoon) < growThreshold {
			return r.loadSpareCopy()
		}
		if t := r.startLoad(n, r.free); t != nil {
			return t
		}
		if t := r.startEviction(n); t != nil {
			return t
		}
		r.urgent = r.urgent[1:]
	}
	return nil
}

// growOverloaded starts a load of an overloaded model into free memory.
func (r *round) growOverloaded() *Target {
	for len(r.urgent) > 0 {
		n := r.urgent[0]
		if n.copies > 0 && n.workPerCopy(n.usableSoon) > overloadThreshold {
			if t := r.startLoad(n, r.free); t != nil {
				return t
			}
		}
		r.urgent = r.urgent[1:]
	}
	return nil
}

// loadSpareCopy starts the load of a second copy into free memory of an engine with
// little work. When demand shifts to the model, two engines can serve it at once instead
// of one until a load completes. It starts none unless all permits are available, so
// that some are left for models that need a copy.
func (r *round) loadSpareCopy() *Target {
	if r.planner.permits < maxPermits(r.in.Engine) {
		return nil
	}
	var idle []*roundTarget
	for _, t := range r.free {
		work := 0.0
		for _, c := range t.copies {
			if c.model != nil {
				work += c.model.workPerCopy(max(c.model.usable, 1))
			}
		}
		if work < spareThreshold {
			idle = append(idle, t)
		}
	}
	for len(r.spare) > 0 {
		n := r.spare[0]
		if n.copies == 1 && n.loading == 0 {
			if t := r.startLoad(n, idle); t != nil {
				return t
			}
		}
		r.spare = r.spare[1:]
	}
	return nil
}

// startLoad starts a load of the model at the best of the targets with enough free memory.
func (r *round) startLoad(n *modelState, targets []*roundTarget) *Target {
	var best *roundTarget
	bestCost := 0.0
	for _, t := range targets {
		if t.usedMB+n.model.MB > r.in.Engine.MemoryMB || t.Copies[n.model.Name] != nil {
			continue
		}
		if !t.Cached[n.model.Name] && r.planner.permits < 1 {
			continue
		}
		if cost := r.placementCost(t, n); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil {
		return nil
	}
	duration := n.model.StoreLoadTime
	reason := "store"
	if best.Cached[n.model.Name] {
		duration, reason = n.model.DiskLoadTime, "disk"
	} else {
		r.planner.permits--
	}
	best.usedMB += n.model.MB
	r.start(best, Order{Op: Load, Model: n.model.Name, Reason: reason}, duration, n)
	return best.Target
}

// start starts an order and updates the supply of the models that it changes.
func (r *round) start(t *roundTarget, o Order, duration time.Duration, changed ...*modelState) {
	startOrder(r.in.Now, t.Target, o, duration)
	r.free = slices.DeleteFunc(r.free, func(x *roundTarget) bool { return x == t })
	for _, n := range changed {
		if n == nil {
			continue
		}
		r.recount(n)
		r.urgent = reposition(r.urgent, n)
		r.spare = reposition(r.spare, n)
	}
}

// reposition moves a model whose urgency has changed to its place, if it is in the list.
func reposition(list []*modelState, n *modelState) []*modelState {
	i := slices.Index(list, n)
	if i < 0 {
		return list
	}
	list = slices.Delete(list, i, i+1)
	at, _ := slices.BinarySearchFunc(list, n, compareUrgency)
	return slices.Insert(list, at, n)
}

// placementCost returns the cost of placing a copy at the target; lower is better. It
// prefers targets that have the weights cached on disk or in host memory, zones with few
// copies, and targets whose other models have little work.
func (r *round) placementCost(t *roundTarget, n *modelState) float64 {
	cost := float64(n.zones[t.Zone])*0.2 + (1-t.share)*limitedPlacementCost
	if !t.Cached[n.model.Name] {
		cost += n.model.StoreLoadTime.Seconds()
	}
	for _, c := range t.copies {
		switch {
		case c.model == nil:
			cost += r.in.Demand[c.name].Work * 0.5
		case c.model.model.Adapters > 0:
			// No adapters can be fetched during the load.
			cost += c.model.demand.Work
		default:
			cost += c.model.demand.Work * 0.5
		}
	}
	return cost
}

// startEviction starts the unload of a less needed copy at a target that then has
// enough memory for the model.
func (r *round) startEviction(n *modelState) *Target {
	want := n.workPerCopy(n.usableSoon)
	memorySoon := r.hasMemorySoon(n.model)
	var best *roundTarget
	var victim roundCopy
	bestCost := 0.0
	for _, t := range r.free {
		shortageMB := t.usedMB + n.model.MB - r.in.Engine.MemoryMB
		for i := range t.copies {
			c := &t.copies[i]
			if !c.mature || c.mb < shortageMB || !c.UnloadingSince.IsZero() {
				continue
			}
			cost, ok := evictionCost(t.Target, c.name, c.model, n)
			if !ok || cost*evictionRatio > want || memorySoon && cost > cheapEvictionCost || t.Copies[n.model.Name] != nil {
				continue
			}
			if c.model != nil && c.model.demand.Work > busyThreshold*float64(c.model.copies) {
				cost += busyEvictionCost
			}
			cost += r.placementCost(t, n) * 0.01
			if best == nil || cost < bestCost || cost == bestCost && c.name < victim.name {
				best, victim, bestCost = t, *c, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	victim.UnloadingSince = r.in.Now
	r.start(best, Order{Op: Unload, Model: victim.name, For: n.model.Name, Reason: "room"}, expectedUnloadTime, n, victim.model)
	return best.Target
}

// hasMemorySoon reports whether a target has enough memory for the model and its order in
// progress ends within maxMemoryWait.
func (r *round) hasMemorySoon(m *site.Model) bool {
	for _, t := range r.targets {
		ends := t.Order != nil && t.ReadyAt.Sub(r.in.Now) < maxMemoryWait
		if ends && t.usedMB+m.MB <= r.in.Engine.MemoryMB && t.Copies[m.Name] == nil {
			return true
		}
	}
	return false
}
