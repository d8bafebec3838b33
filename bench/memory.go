package main

import (
	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/wire"
)

// artifact is the model or adapter that a request needs.
type artifact struct{ place.Key }

func (k artifact) base() place.Key { return baseOf(k.Key) }

// baseOf returns the key of the model that k belongs to.
func baseOf(k place.Key) place.Key { return place.Key{Model: k.Model, Version: k.Version} }

// free returns the memory in bytes that is not taken by resident or loading artifacts.
func (t *target) free() uint64 {
	n := t.memory
	for _, set := range []map[place.Key]uint64{t.resident, t.loading} {
		for _, size := range set {
			n -= min(n, size)
		}
	}
	return n
}

// accept replaces the plan and applies the new one.
func (t *target) accept(p *wire.Plan) {
	t.plan = p
	t.follow()
}

// follow unloads artifacts that are not in the plan and loads missing ones, as the agent
// does.
func (t *target) follow() {
	keep := make(map[place.Key]bool, len(t.plan.Keep))
	for _, c := range t.plan.Keep {
		keep[place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}] = true
	}
	gone := false
	for _, k := range sortedKeys(t.resident) {
		if !keep[k] && t.used[k] == 0 {
			delete(t.resident, k)
			gone = true
		}
	}
	for _, c := range t.plan.Keep {
		k := place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}
		if t.resident[k] > 0 || t.loading[k] > 0 || t.free() < c.Bytes {
			continue
		}
		if k.Adapter != "" && t.resident[baseOf(k)] == 0 {
			continue
		}
		t.load(k, c.Bytes)
	}
	if gone {
		t.w.announce(t)
	}
}

// load loads one artifact from the weight store.
func (t *target) load(k place.Key, bytes uint64) {
	t.loading[k] = bytes
	if k.Adapter == "" {
		t.w.totals.loads++
	} else {
		t.w.totals.adapterLoads++
	}
	t.w.weights.load(bytes, func() {
		delete(t.loading, k)
		t.resident[k] = bytes
		t.w.announce(t)
		if t.plan != nil {
			t.follow()
		}
		t.unpark()
	})
}

// park holds a request until its model has been loaded on demand.
func (t *target) park(a *attempt) {
	base := a.key.base()
	t.parked[base] = append(t.parked[base], a)
	t.loadOnDemand(base)
}

// loadOnDemand loads a model with all its adapters. It evicts the least recently used
// models to make room, but none that is in use.
func (t *target) loadOnDemand(base place.Key) {
	if t.loading[base] > 0 || t.resident[base] > 0 {
		return
	}
	need := t.w.copyBytes(base.Model)
	for t.free() < need {
		victim, ok := t.leastRecent()
		if !ok {
			return
		}
		for k := range t.resident {
			if baseOf(k) == victim {
				delete(t.resident, k)
			}
		}
		t.w.announce(t)
	}
	// The model and its adapters count as one load.
	t.loading[base] = need
	t.w.totals.loads++
	t.w.weights.load(need, func() {
		delete(t.loading, base)
		for _, c := range t.w.copiesOf(base.Model) {
			t.resident[place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}] = c.Bytes
		}
		t.w.announce(t)
		t.unpark()
	})
}

// leastRecent returns the least recently used model that is not in use.
func (t *target) leastRecent() (victim place.Key, ok bool) {
	for _, k := range sortedKeys(t.resident) {
		if k.Adapter != "" || t.busy(k) || t.loading[k] > 0 {
			continue
		}
		if !ok || t.lastUse[k] < t.lastUse[victim] {
			victim, ok = k, true
		}
	}
	return victim, ok
}

// busy reports whether a queued or running attempt needs the model or one of its adapters.
func (t *target) busy(base place.Key) bool {
	for k, n := range t.used {
		if n > 0 && baseOf(k) == base {
			return true
		}
	}
	return false
}

// unpark queues the waiting requests whose model has become resident, and retries the
// loads of the other requests.
func (t *target) unpark() {
	if len(t.parked) == 0 {
		return
	}
	bases := make(map[place.Key]uint64, len(t.parked))
	for k := range t.parked {
		bases[k] = 1
	}
	// Requests for resident models are queued first, so that the loads below cannot evict
	// these models.
	for _, base := range sortedKeys(bases) {
		if t.resident[base] == 0 {
			continue
		}
		list := t.parked[base]
		delete(t.parked, base)
		for _, a := range list {
			t.used[a.key.Key]++
			t.enqueue(a)
		}
	}
	for _, base := range sortedKeys(bases) {
		if t.resident[base] == 0 && len(t.parked[base]) > 0 {
			t.loadOnDemand(base)
		}
	}
}
