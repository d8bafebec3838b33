package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

// These match the constants and defaults of the entry instance.
const (
	hedgeBurst, retryBurst = 10, 50
	retryPercent           = 20
	maxAttempts            = 8
	targetPollInterval     = 20 * time.Millisecond
	targetWait             = 3 * time.Second
	demandTimeConstant     = 3 * time.Second
)

// entry is an entry instance with its own routing table.
type entry struct {
	sim                      *simulation
	zone                     int
	table                    *route.Table
	hedgeBudget, retryBudget *route.Budget
	latency                  map[string]*route.Latency
	demand                   map[string]*modelDemand
	// holders lists the targets that hold each key, according to the directory.
	holders map[route.Key][]*target
	// inFlight counts the requests in flight from this instance, by target index.
	inFlight []int
	// roundRobinIndex is the round-robin position per key.
	roundRobinIndex map[route.Key]int
	// lastDemandLoad is when this instance last requested a load on demand, by model.
	lastDemandLoad map[string]time.Duration
	rng            *rand.Rand
}

// modelDemand holds the requests of a model since the last report, and their smoothed rates.
type modelDemand struct{ requestCount, unservedCount, requestRate, unservedRate float64 }

func (sim *simulation) newEntry(zone int) *entry {
	return &entry{
		sim: sim, zone: zone, table: route.New(zoneName(zone)),
		hedgeBudget: route.NewBudget(hedgeBurst), retryBudget: route.NewBudget(retryBurst),
		latency: make(map[string]*route.Latency), demand: make(map[string]*modelDemand),
		holders: make(map[route.Key][]*target), inFlight: make([]int, len(sim.targets)),
		roundRobinIndex: make(map[route.Key]int), lastDemandLoad: make(map[string]time.Duration), rng: rand.New(rand.NewPCG(sim.scenario.seed, uint64(zone)+77)),
	}
}

func zoneName(i int) string { return string(rune('a' + i)) }

// handleRequest handles a request from a client.
func (e *entry) handleRequest(a *arrival) {
	r := &request{arrival: a, entry: e}
	e.sim.requests = append(e.sim.requests, r)
	e.hedgeBudget.Deposit(e.sim.deployment.cfg.Policy.HedgePercent)
	e.retryBudget.Deposit(retryPercent)
	if a.model < 0 {
		r.key = route.Key{Service: e.sim.deployment.plainService}
	} else {
		k := e.sim.deployment.keyOf(a)
		r.key, r.version = route.Key{Model: k.Model, Adapter: k.Adapter}, k.Version
		e.demandOf(k.Model).requestCount++
	}
	r.promptHash = route.HashPrompt(e.sim.modelName(a), fmt.Appendf(nil, "prefix %d", a.prefix))
	e.sim.at(r.deadline(), func() {
		// The deadline applies to the first chunk of the response.
		if r.outcome == pending && r.winner == nil {
			for _, x := range []*attempt{r.primary, r.hedge} {
				if x != nil && !x.closed && x.routeTarget != nil {
					e.table.Penalize(x.routeTarget, e.sim.timestamp())
				}
			}
			r.finish(timedOut)
		}
	})
	e.dispatch(r, min(e.sim.now+targetWait, r.deadline()), false)
}

func (e *entry) demandOf(model string) *modelDemand {
	d := e.demand[model]
	if d == nil {
		d = &modelDemand{}
		e.demand[model] = d
	}
	return d
}

// dispatch sends a request to the target that the policy picks. If there is none, it
// tries again every targetPollInterval until the given time, unless noWait is set.
func (e *entry) dispatch(r *request, until time.Duration, noWait bool) {
	if r.outcome != pending {
		return
	}
	if r.attempts >= maxAttempts {
		e.refuseUnserved(r)
		return
	}
	t, rt, other := e.sim.policy.pick(e, r)
	if t != nil {
		r.alternative = other
		r.primary = e.startAttempt(r, t, rt, false)
		e.scheduleHedge(r, r.primary)
		return
	}
	if noWait || e.sim.now >= until {
		e.refuseUnserved(r)
		return
	}
	e.sim.after(targetPollInterval, func() {
		r.tried = r.tried[:0]
		e.dispatch(r, until, false)
	})
}

// refuseUnserved refuses a request and counts it as unserved demand.
func (e *entry) refuseUnserved(r *request) {
	if r.model >= 0 {
		e.demandOf(r.key.Model).unservedCount++
	}
	r.finish(refused)
}

// startAttempt starts an attempt of a request at a target.
func (e *entry) startAttempt(r *request, t *target, rt *route.Target, hedge bool) *attempt {
	e.sim.nextID++
	a := &attempt{id: e.sim.nextID, request: r, target: t, routeTarget: rt, startedAt: e.sim.now, hedge: hedge}
	r.attempts++
	e.inFlight[t.index]++
	if rt != nil {
		r.tried = append(r.tried, rt)
		e.table.Begin(rt, e.sim.timestamp())
	}
	e.sim.after(a.delay(), func() { t.submit(a) })
	return a
}

// scheduleHedge schedules a hedged attempt, which starts if the first chunk has not
// arrived within the usual latency and the hedge budget permits.
func (e *entry) scheduleHedge(r *request, a *attempt) {
	if !e.sim.policy.hedge || r.model < 0 || r.alternative == nil || r.hedge != nil {
		return
	}
	d, ok := e.latencyOf(r).HedgeDelay()
	if !ok {
		return
	}
	candidate := r.alternative
	e.sim.after(d, func() {
		if r.outcome != pending || r.winner != nil || r.primary != a || a.closed || !e.table.Usable(candidate, e.sim.timestamp()) {
			return
		}
		if e.hedgeBudget.Withdraw() {
			e.sim.counters.hedges++
			r.hedge = e.startAttempt(r, e.sim.byName[candidate.Name], candidate, true)
			if r.alternative == candidate {
				r.alternative = nil
			}
		}
	})
}

func (e *entry) latencyOf(r *request) *route.Latency {
	l := e.latency[r.key.Model]
	if l == nil {
		l = &route.Latency{}
		e.latency[r.key.Model] = l
	}
	return l
}

// recordLoad updates the routing table with a load report.
func (e *entry) recordLoad(a *attempt, l *wire.Load) {
	if a.routeTarget != nil {
		e.table.ReportLoad(a.routeTarget, l, e.sim.timestamp())
	}
}

// closeAttempt closes an attempt at the entry instance. Later messages about it are
// ignored, except for load reports.
func (e *entry) closeAttempt(a *attempt) {
	if a.closed {
		return
	}
	a.closed = true
	e.inFlight[a.target.index]--
	if a.routeTarget != nil {
		e.table.Finish(a.routeTarget, a.hasFirstChunk, e.sim.timestamp())
	}
}

// handleFirstChunk handles the first chunk of a response. The first attempt to return one
// wins, and the other is cancelled.
func (e *entry) handleFirstChunk(a *attempt) {
	r := a.request
	if a.closed || r.outcome != pending || (r.winner != nil && r.winner != a) {
		return
	}
	if r.winner == nil {
		r.winner = a
		e.cancelAttempts(r, a)
	}
	a.hasFirstChunk = true
	latency := e.sim.now - a.startedAt
	if a.routeTarget != nil {
		e.table.RecordFirstChunk(a.routeTarget, latency, e.sim.timestamp())
		if r.model >= 0 {
			e.latencyOf(r).Add(latency)
		}
	}
}

// cancelAttempts cancels the open attempts of r, except for the given one.
func (e *entry) cancelAttempts(r *request, except *attempt) {
	for _, a := range []*attempt{r.primary, r.hedge} {
		if a == nil || a == except || a.closed {
			continue
		}
		e.closeAttempt(a)
		e.sim.after(a.delay(), func() { a.target.cancel(a); a.ended = true })
	}
}

// handleEnd handles the end of an attempt.
func (e *entry) handleEnd(a *attempt, l *wire.Load) {
	e.recordLoad(a, l)
	if a.closed {
		return
	}
	e.closeAttempt(a)
	if a.request.outcome == pending {
		a.request.work = a.work
		a.request.finish(completed)
	}
}

// handleRefusal handles the refusal of an attempt. Unless another attempt is still open,
// the request is dispatched again. After a refusal for lack of capacity, this is subject
// to the retry budget and does not wait for a target.
func (e *entry) handleRefusal(a *attempt, reason refusal, l *wire.Load) {
	r := a.request
	e.recordLoad(a, l)
	if a.closed {
		return
	}
	e.closeAttempt(a)
	if a.routeTarget != nil {
		e.table.Penalize(a.routeTarget, e.sim.timestamp())
	}
	if r.outcome != pending {
		return
	}
	for _, x := range []*attempt{r.primary, r.hedge} {
		if x != nil && x != a && !x.closed {
			return
		}
	}
	if reason == refusedCapacity && !e.retryBudget.Withdraw() {
		e.refuseUnserved(r)
		return
	}
	r.hedge = nil
	e.dispatch(r, min(r.at+targetWait, r.deadline()), reason == refusedCapacity)
}

// reportDemand adds the demand per model to into. dt is the time since the last call.
func (e *entry) reportDemand(dt time.Duration, into map[string]place.Demand) {
	share := min(1, float64(dt)/float64(demandTimeConstant))
	for name, d := range e.demand {
		d.requestRate += (d.requestCount/dt.Seconds() - d.requestRate) * share
		d.unservedRate += (d.unservedCount/dt.Seconds() - d.unservedRate) * share
		d.requestCount, d.unservedCount = 0, 0
		sum := into[name]
		sum.RequestsPerSecond += d.requestRate
		sum.UnservedPerSecond += d.unservedRate
		into[name] = sum
	}
}

// updateTarget updates the routing table and the holders with a target record.
func (e *entry) updateTarget(rec *wire.TargetRecord, t *target) {
	e.table.Update([]*wire.TargetRecord{rec}, e.sim.timestamp())
	has := make(map[route.Key]bool)
	if rec.Kind == wire.TargetKind_TARGET_KIND_PLAIN {
		has[route.Key{Service: rec.Service}] = true
	}
	for _, c := range rec.Resident {
		has[route.Key{Model: c.Model, Adapter: c.Adapter}] = true
	}
	for k, list := range e.holders {
		if i := slices.Index(list, t); i >= 0 && !has[k] {
			e.holders[k] = slices.Delete(list, i, i+1)
		}
	}
	for k := range has {
		if !slices.Contains(e.holders[k], t) {
			e.holders[k] = append(e.holders[k], t)
		}
	}
}

func address(i int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20000+i)).String()
}
