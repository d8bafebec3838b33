package scale

import (
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/site"
)

const (
	// growThreshold is the work per copy, in engine seconds per second, from which a model
	// gets another copy.
	growThreshold = 0.30
	// evictionRatio is the minimum ratio of a model's work per copy, or of its urgency if it
	// has no copy, to the eviction cost of a copy that is evicted for it. The eviction cost
	// is usually the work per remaining copy of the evicted model.
	evictionRatio = 2.0
	// waitingUrgency is the urgency of a model without a copy for which requests wait, to
	// which twice its work is added: it usually comes after models whose copies can't serve
	// their demand, before all others.
	waitingUrgency = 1.0
	// idleUrgency is the urgency of a model without a copy and without waiting requests, to
	// which twice its work is added. A model without work is loaded into free memory or in
	// place of a copy that is hardly used, but not in place of a copy that is needed at a
	// demand peak.
	idleUrgency = 0.4
	// overloadThreshold is the work per copy above which a model counts as overloaded. A
	// model whose remaining copies would be overloaded gives up a copy only to a model
	// whose total work exceeds the work of each remaining copy.
	overloadThreshold = 0.6
	// cheapEvictionCost is the eviction cost up to which a copy is evicted even if an order
	// that ends soon will leave enough memory at another target.
	cheapEvictionCost = 0.1
	// lastCopyEvictionCost is the eviction cost of the last copy of an idle model, so that
	// copies with a lower cost are evicted first.
	lastCopyEvictionCost = 0.4
	// busyEvictionCost is added to the eviction cost of a copy with running requests when
	// the copies that may be evicted are compared: its unload waits seconds for them, during
	// which the engine serves neither model.
	busyEvictionCost = 0.3
	// busyThreshold is the work per copy above which a copy is assumed to have running
	// requests.
	busyThreshold = 0.03
	// spareThreshold is the work of an engine, in engine seconds per second, below which it
	// may load a second copy of a model that doesn't need one yet.
	spareThreshold = 0.1
	// maxMemoryWait is the longest time to wait for memory that becomes free at another
	// target.
	maxMemoryWait = 1500 * time.Millisecond
	// minCopyAge is the minimum age of a copy before it may be evicted.
	minCopyAge = 4 * time.Second
	// permitBurst is the number of loads from the weight store that may start at once.
	permitBurst = 2
	// storeRateShare is the share of the weight store's load rate that the planner uses. The
	// rest is a margin for loads that start seconds after their order because a response
	// was lost.
	storeRateShare = 0.95
	// limitedPlacementCost is the placement cost at an engine that takes none of its requests
	// because of a limit.
	limitedPlacementCost = 4.0
	// expectedUnloadTime is the expected duration of an unload.
	expectedUnloadTime = 500 * time.Millisecond
)

// Demand is the demand for one model, summed over all entry instances.
type Demand struct {
	// Work is the engine time that arriving requests need, in seconds per second.
	Work float64
	// Requests is the number of arriving requests per second.
	Requests float64
	// Waiting is the number of requests that wait because no target holds the model.
	Waiting int
}

// Input holds the data for one planning round.
type Input struct {
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
	permits    float64
	refilledAt time.Time
}

// Plan decides which model orders to start now. It sets Target.Order and returns the
// targets concerned. Each target has at most one model order in progress.
func (p *Planner) Plan(in Input) []*Target {
	p.refillPermits(in)
	var out []*Target
	for range in.Targets {
		t := p.nextOrder(in)
		if t == nil {
			break
		}
		out = append(out, t)
	}
	return out
}

func (p *Planner) refillPermits(in Input) {
	if !p.refilledAt.IsZero() {
		p.permits += in.Now.Sub(p.refilledAt).Seconds() * in.Engine.LoadsPerSecond * storeRateShare
	}
	p.permits = min(p.permits, permitBurst)
	p.refilledAt = in.Now
}

// modelState is the supply and the demand of one model.
type modelState struct {
	model *site.Model
	// copies is the number of resident copies that are not being unloaded. loading is the
	// number of copies being loaded or about to be, after an unload that makes room.
	copies, loading int
	// usable and usableSoon are the sums of the shares of their requests that the engines of
	// the resident copies take, and of all copies.
	usable, usableSoon float64
	demand             Demand
	// zones counts both kinds of copies per availability zone.
	zones map[string]int
}

// workPerCopy returns the work per copy if there were that many copies; a copy at an engine
// with a limit counts as the share of its requests that the engine takes. A model without
// copies gets an urgency on the same scale.
func (n *modelState) workPerCopy(copies float64) float64 {
	switch {
	case copies > 0:
		return n.demand.Work / copies
	case n.demand.Waiting > 0:
		return waitingUrgency + 2*n.demand.Work
	}
	return idleUrgency + 2*n.demand.Work
}

// incomingModel returns the model that will be resident after the order in progress and
// the load for which it makes room; empty if there is none.
func (t *Target) incomingModel() string {
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

// modelsByUrgency returns the supply and demand of all models, most urgent first.
func modelsByUrgency(in Input) []*modelState {
	setShares(in)
	byName := make(map[string]*modelState, len(in.Engine.Models))
	out := make([]*modelState, 0, len(in.Engine.Models))
	for i := range in.Engine.Models {
		m := &in.Engine.Models[i]
		n := &modelState{model: m, demand: in.Demand[m.Name], zones: make(map[string]int)}
		byName[m.Name] = n
		out = append(out, n)
	}
	for _, t := range in.Targets {
		for name, c := range t.Copies {
			if n := byName[name]; n != nil && c.UnloadingSince.IsZero() {
				n.copies++
				n.usable += t.share
				n.usableSoon += t.share
				n.zones[t.Zone]++
			}
		}
		if name := t.incomingModel(); name != "" && byName[name] != nil {
			byName[name].loading++
			byName[name].usableSoon += t.share
			byName[name].zones[t.Zone]++
		}
	}
	slices.SortStableFunc(out, func(a, b *modelState) int {
		x, y := a.workPerCopy(a.usableSoon), b.workPerCopy(b.usableSoon)
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

// nextOrder starts the most urgent order that is possible now. It returns nil if there
// is none.
func (p *Planner) nextOrder(in Input) *Target {
	models := modelsByUrgency(in)
	if in.Partial {
		return p.growOverloaded(in, models)
	}
	for _, n := range models {
		if n.copies+n.loading > 0 && n.workPerCopy(n.usableSoon) < growThreshold {
			return p.loadSpareCopy(in, models)
		}
		if t := p.startLoad(in, n); t != nil {
			return t
		}
		if t := startEviction(in, models, n); t != nil {
			return t
		}
	}
	return nil
}

// growOverloaded starts a load of an overloaded model into free memory.
func (p *Planner) growOverloaded(in Input, models []*modelState) *Target {
	for _, n := range models {
		if n.copies == 0 || n.workPerCopy(n.usableSoon) <= overloadThreshold {
			continue
		}
		if t := p.startLoad(in, n); t != nil {
			return t
		}
	}
	return nil
}

// loadSpareCopy starts the load of a second copy into free memory of an engine with
// little work. When demand shifts to the model, two engines can serve it at once instead
// of one until a load completes. It starts none unless all permits are available, so
// that some are left for models that need a copy.
func (p *Planner) loadSpareCopy(in Input, models []*modelState) *Target {
	if p.permits < permitBurst {
		return nil
	}
	idle := in
	idle.Targets = nil
	for _, t := range in.Targets {
		work := 0.0
		for name := range t.Copies {
			if n := findModel(models, name); n != nil {
				work += n.workPerCopy(max(n.usable, 1))
			}
		}
		if work < spareThreshold {
			idle.Targets = append(idle.Targets, t)
		}
	}
	for _, n := range models {
		if n.copies == 1 && n.loading == 0 {
			if t := p.startLoad(idle, n); t != nil {
				return t
			}
		}
	}
	return nil
}

// startLoad starts a load of the model at the best target with enough free memory.
func (p *Planner) startLoad(in Input, n *modelState) *Target {
	var best *Target
	bestCost := 0.0
	for _, t := range in.Targets {
		if !canStartOrder(in, t, n.model) || t.UsedMB(in.Engine)+n.model.MB > in.Engine.MemoryMB {
			continue
		}
		if !t.Cached[n.model.Name] && p.permits < 1 {
			continue
		}
		if r := placementCost(in, t, n); best == nil || r < bestCost {
			best, bestCost = t, r
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
		p.permits--
	}
	startOrder(in, best, Order{Op: Load, Model: n.model.Name, Reason: reason}, duration)
	return best
}

// canStartOrder reports whether t can start a model order for m: it has no order in
// progress, no copy of m and no back-off.
func canStartOrder(in Input, t *Target, m *site.Model) bool {
	return t.Order == nil && t.Copies[m.Name] == nil && !in.Now.Before(t.BackoffUntil)
}

// placementCost returns the cost of placing a copy at the target; lower is better. It
// prefers targets that have the weights cached on disk or in host memory, zones with few
// copies, and targets whose other models have little work.
func placementCost(in Input, t *Target, n *modelState) float64 {
	r := float64(n.zones[t.Zone])*0.2 + (1-t.share)*limitedPlacementCost
	if !t.Cached[n.model.Name] {
		r += n.model.StoreLoadTime.Seconds()
	}
	for name := range t.Copies {
		share := 0.5
		if m := in.Engine.Model(name); m != nil && m.Adapters > 0 {
			// No adapters can be fetched during the load.
			share = 1
		}
		r += in.Demand[name].Work * share
	}
	return r
}

// startOrder starts the order o at the target; duration is the time that it is expected to
// take.
func startOrder(in Input, t *Target, o Order, duration time.Duration) {
	t.Order, t.OrderedAt, t.ReadyAt = &o, in.Now, in.Now.Add(duration)
	t.Accepted, t.Sent = time.Time{}, false
}

// startEviction starts the unload of a less needed copy at a target that then has
// enough memory for the model.
func startEviction(in Input, models []*modelState, n *modelState) *Target {
	want := n.workPerCopy(n.usableSoon)
	memorySoon := hasMemorySoon(in, n.model)
	var best *Target
	victim, bestCost := "", 0.0
	for _, t := range in.Targets {
		if !canStartOrder(in, t, n.model) {
			continue
		}
		shortageMB := t.UsedMB(in.Engine) + n.model.MB - in.Engine.MemoryMB
		for name, c := range t.Copies {
			if !c.UnloadingSince.IsZero() || in.Now.Sub(c.Since) < minCopyAge || modelMB(in.Engine, name) < shortageMB {
				continue
			}
			cost, ok := evictionCost(t, name, findModel(models, name), n)
			if !ok || cost*evictionRatio > want || memorySoon && cost > cheapEvictionCost {
				continue
			}
			if x := findModel(models, name); x != nil && x.demand.Work > busyThreshold*float64(x.copies) {
				cost += busyEvictionCost
			}
			cost += placementCost(in, t, n) * 0.01
			if best == nil || cost < bestCost || cost == bestCost && name < victim {
				best, victim, bestCost = t, name, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	best.Copies[victim].UnloadingSince = in.Now
	startOrder(in, best, Order{Op: Unload, Model: victim, For: n.model.Name, Reason: "room"}, expectedUnloadTime)
	return best
}

// evictionCost returns the cost of evicting a copy of x in favor of n, usually the work
// per remaining copy. ok is false if the copy must not be evicted.
func evictionCost(t *Target, name string, x, n *modelState) (cost float64, ok bool) {
	switch {
	case x == nil:
		// The model is not in the configuration any more.
		return 0, true
	case x.copies >= 2:
		cost = x.workPerCopy(max(x.usable-t.share, minShare))
		return cost, cost <= overloadThreshold || n.demand.Work > cost
	}
	// The last copy of a model without demand may be evicted for a model with demand that
	// has no copy or overloaded ones, provided that the target has the weights cached: the
	// copy can then be loaded again from the target's disk within about a second.
	idle := x.copies == 1 && x.loading == 0 && x.demand == Demand{}
	copies := n.copies + n.loading
	needed := copies == 0 && n.demand != Demand{} || copies > 0 && n.workPerCopy(n.usableSoon) > overloadThreshold
	return lastCopyEvictionCost, idle && needed && t.Cached[name]
}

// hasMemorySoon reports whether a target has enough memory for the model and its order in
// progress ends within maxMemoryWait.
func hasMemorySoon(in Input, m *site.Model) bool {
	for _, t := range in.Targets {
		ends := t.Order != nil && t.ReadyAt.Sub(in.Now) < maxMemoryWait
		if ends && t.Copies[m.Name] == nil && t.UsedMB(in.Engine)+m.MB <= in.Engine.MemoryMB {
			return true
		}
	}
	return false
}

func findModel(models []*modelState, name string) *modelState {
	for _, n := range models {
		if n.model.Name == name {
			return n
		}
	}
	return nil
}
