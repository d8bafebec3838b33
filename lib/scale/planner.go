package scale

import (
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
	// permitBurst is the number of loads from the weight store that may start at once, and
	// permitBurstTime the time of the store's rate after which more may start: a late planning
	// round would waste permits otherwise.
	permitBurst     = 2
	permitBurstTime = 300 * time.Millisecond
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
	r := newRound(p, in)
	var out []*Target
	for range in.Targets {
		t := r.nextOrder()
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
	p.permits = min(p.permits, maxPermits(in.Engine))
	p.refilledAt = in.Now
}

// maxPermits returns the number of loads from the weight store that may start at once.
func maxPermits(e *site.Engine) float64 {
	return max(permitBurst, e.LoadsPerSecond*permitBurstTime.Seconds())
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

// startOrder starts the order o at the target; duration is the time that it is expected to
// take.
func startOrder(now time.Time, t *Target, o Order, duration time.Duration) {
	t.Order, t.OrderedAt, t.ReadyAt = &o, now, now.Add(duration)
	t.Accepted, t.Sent = time.Time{}, false
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
	if x.copies != 1 || x.loading > 0 || x.demand != (Demand{}) || !t.Cached[name] {
		return 0, false
	}
	copies := n.copies + n.loading
	needed := copies == 0 && n.demand != Demand{} || copies > 0 && n.workPerCopy(n.usableSoon) > overloadThreshold
	return lastCopyEvictionCost, needed
}
