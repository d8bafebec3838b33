package main

import (
	"slices"
	"time"

	"bulrushpath.example/lib/route"
)

// policy defines how requests are served: the policy of bulrushpath, a baseline or the
// clairvoyant bound.
type policy struct {
	name string
	// pick returns the next target for a request, nil if there is none. rt is its entry in
	// the routing table and other is the second candidate; both may be nil.
	pick func(e *entry, r *request) (t *target, rt, other *route.Target)
	// admission enables lib/admit; otherwise targets serve in FIFO order.
	admission bool
	// hedge and planner enable hedged requests and lib/place.
	hedge, planner bool
	// onDemand makes a target load a model when a request for it arrives.
	onDemand bool
	// clairvoyant uses a single queue for all targets, each of which can serve all models.
	clairvoyant bool
}

const (
	ownName   = "bulrushpath"
	boundName = "clairvoyant"
	// loadPause is the minimum interval between on-demand loads of a model by an entry
	// instance. It is about the duration of a load, so that the new copy takes effect
	// before another is loaded.
	loadPause = 5 * time.Second
)

func ownPolicy() policy {
	return policy{name: ownName, pick: pickTable, admission: true, hedge: true, planner: true}
}

// baselines returns policies that serve in FIFO order with a fixed placement.
func baselines() []policy {
	return []policy{
		{name: "random", pick: pickRandom},
		{name: "roundRobin", pick: pickRoundRobin},
		{name: "leastInFlight", pick: pickLeast},
	}
}

func demandPolicy() policy {
	return policy{name: "loadOnDemand", pick: pickOnDemand, onDemand: true}
}

func clairvoyantPolicy() policy {
	return policy{name: boundName, pick: pickAny, clairvoyant: true}
}

// pickTable picks a target as the entry instance does: after a refusal by the first
// candidate it tries the second, and then consults the routing table again.
func pickTable(e *entry, r *request) (*target, *route.Target, *route.Target) {
	now := e.w.time()
	if g := r.other; g != nil {
		r.other = nil
		if e.table.Usable(g, now) {
			return e.w.byName[g.Name], g, nil
		}
	}
	q := route.Query{Key: r.key, Version: r.version, Prefix: r.prefix, Print: r.print, Tried: r.tried}
	ch, ok := e.table.Pick(&q, now)
	if !ok {
		return nil, nil, nil
	}
	return e.w.byName[ch.Target.Name], ch.Target, ch.Other
}

func pickRandom(e *entry, r *request) (*target, *route.Target, *route.Target) {
	list := e.holders[r.key]
	if len(list) == 0 {
		return nil, nil, nil
	}
	return list[e.rng.IntN(len(list))], nil, nil
}

func pickRoundRobin(e *entry, r *request) (*target, *route.Target, *route.Target) {
	list := e.holders[r.key]
	if len(list) == 0 {
		return nil, nil, nil
	}
	e.turn[r.key]++
	return list[(e.turn[r.key]+e.zone)%len(list)], nil, nil
}

func pickLeast(e *entry, r *request) (*target, *route.Target, *route.Target) {
	return e.least(e.holders[r.key]), nil, nil
}

// least returns the target with the fewest requests in flight from this instance. The
// scan starts from a random target, which wins ties.
func (e *entry) least(list []*target) *target {
	if len(list) == 0 {
		return nil
	}
	best := list[e.rng.IntN(len(list))]
	for _, t := range list {
		if e.sent[t.index] < e.sent[best.index] {
			best = t
		}
	}
	return best
}

// pickOnDemand picks the least loaded target that holds the artifact. If even that one
// has a full batch waiting, judged by this instance's share of the slots, it also makes
// the least loaded other engine load the model, at most once per loadPause. If no target
// holds the artifact, the request is sent to that other engine and waits for the load.
func pickOnDemand(e *entry, r *request) (*target, *route.Target, *route.Target) {
	t := e.least(e.holders[r.key])
	if r.model < 0 || t != nil && e.sent[t.index] < 2*slots/zones {
		return t, nil, nil
	}
	var others []*target
	for _, x := range e.w.targets[:e.w.site.engines] {
		if !slices.Contains(e.holders[r.key], x) {
			others = append(others, x)
		}
	}
	to := e.least(others)
	if t == nil {
		return to, nil, nil
	}
	last, ok := e.asked[r.key.Model]
	if to != nil && (!ok || e.w.now-last >= loadPause) {
		e.asked[r.key.Model] = e.w.now
		base := baseOf(e.w.site.keyOf(r.arrival))
		e.w.after(farDelay, func() { to.loadOnDemand(base) })
	}
	return t, nil, nil
}

// pickAny picks an arbitrary engine, because the shared queue reassigns the request.
func pickAny(e *entry, r *request) (*target, *route.Target, *route.Target) {
	if r.model < 0 {
		return e.least(e.holders[r.key]), nil, nil
	}
	return e.w.targets[int(r.print%uint64(e.w.site.engines))], nil, nil
}
