package main

import (
	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/wire"
)

// artifact is the model or adapter that a request needs.
type artifact struct{ place.Key }

func (k artifact) base() place.Key { return baseOf(k.Key) }

// baseOf returns the key of the base model of k, which is k itself for a model.
func baseOf(k place.Key) place.Key { return place.Key{Model: k.Model, Version: k.Version} }

// freeMemory returns the memory in bytes that is not taken by resident or loading artifacts.
func (t *target) freeMemory() uint64 {
	n := t.memory
	for _, set := range []map[place.Key]uint64{t.resident, t.loading} {
		for _, size := range set {
			n -= min(n, size)
		}
	}
	return n
}

// setPlan replaces the plan and applies the new one.
func (t *target) setPlan(p *wire.Plan) {
	t.plan = p
	t.applyPlan()
}

// applyPlan unloads unused artifacts that are not in the plan and loads missing ones that
// fit into memory, as the agent does.
func (t *target) applyPlan() {
	keep := make(map[place.Key]bool, len(t.plan.Keep))
	for _, c := range t.plan.Keep {
		keep[place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}] = true
	}
	unloaded := false
	for _, k := range sortedKeys(t.resident) {
		if !keep[k] && t.useCount[k] == 0 {
			delete(t.resident, k)
			unloaded = true
		}
	}
	for _, c := range t.plan.Keep {
		k := place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}
		if t.resident[k] > 0 || t.loading[k] > 0 || t.freeMemory() < c.Bytes {
			continue
		}
		if k.Adapter != "" && t.resident[baseOf(k)] == 0 {
			continue
		}
		t.load(k, c.Bytes)
	}
	if unloaded {
		t.sim.publishRecord(t)
	}
}

// load loads one artifact from the weight store.
func (t *target) load(k place.Key, bytes uint64) {
	t.loading[k] = bytes
	if k.Adapter == "" {
		t.sim.counters.loads++
	} else {
		t.sim.counters.adapterLoads++
	}
	t.sim.weightStore.load(bytes, func() {
		delete(t.loading, k)
		t.resident[k] = bytes
		t.sim.publishRecord(t)
		if t.plan != nil {
			t.applyPlan()
		}
		t.resumeWaiting()
	})
}

// waitForLoad holds a request until its model has been loaded on demand.
func (t *target) waitForLoad(a *attempt) {
	base := a.key.base()
	t.waitingForLoad[base] = append(t.waitingForLoad[base], a)
	t.loadOnDemand(base)
}

// loadOnDemand loads a model with all its adapters. It evicts the least recently used
// models to make room, but none that is in use. If that does not make enough room, it loads
// nothing.
func (t *target) loadOnDemand(base place.Key) {
	if t.loading[base] > 0 || t.resident[base] > 0 {
		return
	}
	need := t.sim.copyBytes(base.Model)
	for t.freeMemory() < need {
		victim, ok := t.leastRecentlyUsed()
		if !ok {
			return
		}
		for k := range t.resident {
			if baseOf(k) == victim {
				delete(t.resident, k)
			}
		}
		t.sim.publishRecord(t)
	}
	// The model and its adapters count as one load.
	t.loading[base] = need
	t.sim.counters.loads++
	t.sim.weightStore.load(need, func() {
		delete(t.loading, base)
		for _, c := range t.sim.copiesOf(base.Model) {
			t.resident[place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}] = c.Bytes
		}
		t.sim.publishRecord(t)
		t.resumeWaiting()
	})
}

// leastRecentlyUsed returns the least recently used model that is not in use.
func (t *target) leastRecentlyUsed() (victim place.Key, ok bool) {
	for _, k := range sortedKeys(t.resident) {
		if k.Adapter != "" || t.modelInUse(k) || t.loading[k] > 0 {
			continue
		}
		if !ok || t.lastUse[k] < t.lastUse[victim] {
			victim, ok = k, true
		}
	}
	return victim, ok
}

// modelInUse reports whether a queued or running attempt needs the model or one of its
// adapters.
func (t *target) modelInUse(base place.Key) bool {
	for k, n := range t.useCount {
		if n > 0 && baseOf(k) == base {
			return true
		}
	}
	return false
}

// resumeWaiting queues the waiting requests whose model has become resident, and retries
// the loads of the other requests.
func (t *target) resumeWaiting() {
	if len(t.waitingForLoad) == 0 {
		return
	}
	bases := make(map[place.Key]uint64, len(t.waitingForLoad))
	for k := range t.waitingForLoad {
		bases[k] = 1
	}
	// Requests for resident models are queued first, so that the loads below cannot evict
	// these models.
	for _, base := range sortedKeys(bases) {
		if t.resident[base] == 0 {
			continue
		}
		list := t.waitingForLoad[base]
		delete(t.waitingForLoad, base)
		for _, a := range list {
			t.useCount[a.key.Key]++
			t.enqueue(a)
		}
	}
	for _, base := range sortedKeys(bases) {
		if t.resident[base] == 0 && len(t.waitingForLoad[base]) > 0 {
			t.loadOnDemand(base)
		}
	}
}
