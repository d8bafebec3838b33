package scale

import (
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/site"
)

// formerPlanner decides on model orders for one service. It holds the permits for loads from
// the weight store as a token bucket, which is empty after a leader change.
type formerPlanner struct {
	permits    float64
	refilledAt time.Time
}

// Plan decides which model orders to start now. It sets Target.Order and returns the
// targets concerned. Each target has at most one model order in progress.
func (p *formerPlanner) Plan(in Input) []*Target {
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

func (p *formerPlanner) refillPermits(in Input) {
	if !p.refilledAt.IsZero() {
		p.permits += in.Now.Sub(p.refilledAt).Seconds() * in.Engine.LoadsPerSecond * storeRateShare
	}
	p.permits = min(p.permits, permitBurst)
	p.refilledAt = in.Now
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
func (p *formerPlanner) nextOrder(in Input) *Target {
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
func (p *formerPlanner) growOverloaded(in Input, models []*modelState) *Target {
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
func (p *formerPlanner) loadSpareCopy(in Input, models []*modelState) *Target {
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
func (p *formerPlanner) startLoad(in Input, n *modelState) *Target {
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
	startOrder(in.Now, best, Order{Op: Load, Model: n.model.Name, Reason: reason}, duration)
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
	startOrder(in.Now, best, Order{Op: Unload, Model: victim, For: n.model.Name, Reason: "room"}, expectedUnloadTime)
	return best
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
