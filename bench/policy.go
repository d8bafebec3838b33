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
	// clairvoyant uses a single queue for all engines, each of which can serve all models.
	clairvoyant bool
}

const (
	bulrushpathName = "bulrushpath"
	clairvoyantName = "clairvoyant"
	// demandLoadInterval is the minimum interval between on-demand loads of a model by an
	// entry instance. It is about the duration of a load, so that the new copy takes effect
	// before another is loaded.
	demandLoadInterval = 5 * time.Second
)

func bulrushpathPolicy() policy {
	return policy{name: bulrushpathName, pick: pickFromTable, admission: true, hedge: true, planner: true}
}

// baselines returns policies that serve in FIFO order with a fixed placement.
func baselines() []policy {
	return []policy{
		{name: "random", pick: pickRandom},
		{name: "roundRobin", pick: pickRoundRobin},
		{name: "leastInFlight", pick: pickLeastInFlight},
	}
}

func loadOnDemandPolicy() policy {
	return policy{name: "loadOnDemand", pick: pickOnDemand, onDemand: true}
}

func clairvoyantPolicy() policy {
	return policy{name: clairvoyantName, pick: pickAny, clairvoyant: true}
}

// pickFromTable picks a target as the entry instance does: after a refusal by the first
// candidate it tries the second, and then consults the routing table again.
func pickFromTable(e *entry, r *request) (*target, *route.Target, *route.Target) {
	now := e.sim.timestamp()
	if second := r.alternative; second != nil {
		r.alternative = nil
		if e.table.Usable(second, now) {
			return e.sim.byName[second.Name], second, nil
		}
	}
	q := route.Query{Key: r.key, Version: r.version, PromptHash: r.promptHash, FingerprintHash: r.fingerprint, Tried: r.tried}
	ch, ok := e.table.Pick(&q, now)
	if !ok {
		return nil, nil, nil
	}
	return e.sim.byName[ch.Target.Name], ch.Target, ch.Alternate
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
	e.roundRobinIndex[r.key]++
	return list[(e.roundRobinIndex[r.key]+e.zone)%len(list)], nil, nil
}

func pickLeastInFlight(e *entry, r *request) (*target, *route.Target, *route.Target) {
	return e.leastInFlight(e.holders[r.key]), nil, nil
}

// leastInFlight returns the target with the fewest requests in flight from this instance.
// Among several of these, it prefers a randomly drawn target to the first one in list.
func (e *entry) leastInFlight(list []*target) *target {
	if len(list) == 0 {
		return nil
	}
	best := list[e.rng.IntN(len(list))]
	for _, t := range list {
		if e.inFlight[t.index] < e.inFlight[best.index] {
			best = t
		}
	}
	return best
}

// pickOnDemand picks the least loaded target that holds the artifact. If even that one
// has a full batch waiting, judged by this instance's share of the slots, it also makes
// the least loaded other engine load the model, at most once per demandLoadInterval. If
// no target holds the artifact, the request is sent to that other engine and waits for
// the load.
func pickOnDemand(e *entry, r *request) (*target, *route.Target, *route.Target) {
	t := e.leastInFlight(e.holders[r.key])
	if r.model < 0 || t != nil && e.inFlight[t.index] < 2*slots/zones {
		return t, nil, nil
	}
	var others []*target
	for _, x := range e.sim.targets[:e.sim.deployment.engines] {
		if !slices.Contains(e.holders[r.key], x) {
			others = append(others, x)
		}
	}
	to := e.leastInFlight(others)
	if t == nil {
		return to, nil, nil
	}
	last, ok := e.lastDemandLoad[r.key.Model]
	if to != nil && (!ok || e.sim.now-last >= demandLoadInterval) {
		e.lastDemandLoad[r.key.Model] = e.sim.now
		base := baseOf(e.sim.deployment.keyOf(r.arrival))
		e.sim.after(crossZoneDelay, func() { to.loadOnDemand(base) })
	}
	return t, nil, nil
}

// pickAny picks an arbitrary engine, because the shared queue reassigns the request.
func pickAny(e *entry, r *request) (*target, *route.Target, *route.Target) {
	if r.model < 0 {
		return e.leastInFlight(e.holders[r.key]), nil, nil
	}
	return e.sim.targets[int(r.fingerprint%uint64(e.sim.deployment.engines))], nil, nil
}
