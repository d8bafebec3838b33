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
	pollTargets            = 20 * time.Millisecond
	targetWait             = 3 * time.Second
	demandTau              = 3 * time.Second
)

// entry is an entry instance with its own routing table.
type entry struct {
	w               *world
	zone            int
	table           *route.Table
	hedges, retries *route.Budget
	latency         map[string]*route.Latency
	demand          map[string]*entryDemand
	// holders lists the targets that hold each key, according to the directory.
	holders map[route.Key][]*target
	// sent counts the requests in flight from this instance, by target index.
	sent []int
	// turn is the round-robin position per key.
	turn map[route.Key]int
	// asked is the time when this instance last requested a load on demand, by model.
	asked map[string]time.Duration
	rng   *rand.Rand
}

// entryDemand holds the requests of a model since the last report, and their smoothed rates.
type entryDemand struct{ requests, unserved, requestRate, unservedRate float64 }

func (w *world) newEntry(zone int) *entry {
	return &entry{
		w: w, zone: zone, table: route.New(zoneName(zone)),
		hedges: route.NewBudget(hedgeBurst), retries: route.NewBudget(retryBurst),
		latency: make(map[string]*route.Latency), demand: make(map[string]*entryDemand),
		holders: make(map[route.Key][]*target), sent: make([]int, len(w.targets)),
		turn: make(map[route.Key]int), asked: make(map[string]time.Duration), rng: rand.New(rand.NewPCG(w.scenario.seed, uint64(zone)+77)),
	}
}

func zoneName(i int) string { return string(rune('a' + i)) }

// arrive handles a request from a client.
func (e *entry) arrive(a *arrival) {
	r := &request{arrival: a, e: e}
	e.w.requests = append(e.w.requests, r)
	e.hedges.Earn(e.w.site.cfg.Policy.HedgePercent)
	e.retries.Earn(retryPercent)
	if a.model < 0 {
		r.key = route.Key{Service: e.w.site.service}
	} else {
		k := e.w.site.keyOf(a)
		r.key, r.version = route.Key{Model: k.Model, Adapter: k.Adapter}, k.Version
		e.demandOf(k.Model).requests++
	}
	r.prefix = route.Hash(e.w.modelName(a), fmt.Appendf(nil, "prefix %d", a.prefix))
	e.w.at(r.deadline(), func() {
		// The deadline applies to the first chunk of the response.
		if r.outcome == pending && r.won == nil {
			for _, x := range []*attempt{r.main, r.hedge} {
				if x != nil && !x.left && x.rt != nil {
					e.table.Penalize(x.rt, e.w.time())
				}
			}
			r.finish(timedOut)
		}
	})
	e.dispatch(r, min(e.w.now+targetWait, r.deadline()), false)
}

func (e *entry) demandOf(model string) *entryDemand {
	d := e.demand[model]
	if d == nil {
		d = &entryDemand{}
		e.demand[model] = d
	}
	return d
}

// dispatch sends a request to the target that the policy picks. If there is none, it
// tries again every pollTargets until the given time, unless scarce is set.
func (e *entry) dispatch(r *request, until time.Duration, scarce bool) {
	if r.outcome != pending {
		return
	}
	if r.attempts >= maxAttempts {
		e.giveUp(r)
		return
	}
	t, rt, other := e.w.policy.pick(e, r)
	if t != nil {
		r.other = other
		r.main = e.launch(r, t, rt, false)
		e.armHedge(r, r.main)
		return
	}
	if scarce || e.w.now >= until {
		e.giveUp(r)
		return
	}
	e.w.after(pollTargets, func() {
		r.tried = r.tried[:0]
		e.dispatch(r, until, false)
	})
}

// giveUp refuses a request and counts it as unserved demand.
func (e *entry) giveUp(r *request) {
	if r.model >= 0 {
		e.demandOf(r.key.Model).unserved++
	}
	r.finish(refused)
}

// launch starts an attempt of a request at a target.
func (e *entry) launch(r *request, t *target, rt *route.Target, hedge bool) *attempt {
	e.w.nextID++
	a := &attempt{id: e.w.nextID, r: r, t: t, rt: rt, begun: e.w.now, hedge: hedge}
	r.attempts++
	e.sent[t.index]++
	if rt != nil {
		r.tried = append(r.tried, rt)
		e.table.Begin(rt, e.w.time())
	}
	e.w.after(a.delay(), func() { t.submit(a) })
	return a
}

// armHedge schedules a hedged attempt, which starts if the first chunk has not arrived
// within the usual latency.
func (e *entry) armHedge(r *request, a *attempt) {
	if !e.w.policy.hedge || r.model < 0 || r.other == nil || r.hedge != nil {
		return
	}
	d, ok := e.latencyOf(r).HedgeAfter()
	if !ok {
		return
	}
	g := r.other
	e.w.after(d, func() {
		if r.outcome != pending || r.won != nil || r.main != a || a.left || !e.table.Usable(g, e.w.time()) {
			return
		}
		if e.hedges.Take() {
			e.w.totals.hedges++
			r.hedge = e.launch(r, e.w.byName[g.Name], g, true)
			if r.other == g {
				r.other = nil
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

// reported updates the routing table with a load report.
func (e *entry) reported(a *attempt, l *wire.Load) {
	if a.rt != nil {
		e.table.Report(a.rt, l, e.w.time())
	}
}

// depart closes an attempt at the entry instance. Later messages about it are ignored,
// except for load reports.
func (e *entry) depart(a *attempt) {
	if a.left {
		return
	}
	a.left = true
	e.sent[a.t.index]--
	if a.rt != nil {
		e.table.Finish(a.rt, a.first, e.w.time())
	}
}

// firstChunk handles the first chunk of a response. The first attempt to return one wins,
// and the other is cancelled.
func (e *entry) firstChunk(a *attempt) {
	r := a.r
	if a.left || r.outcome != pending || (r.won != nil && r.won != a) {
		return
	}
	if r.won == nil {
		r.won = a
		e.cancelAll(r, a)
	}
	a.first = true
	took := e.w.now - a.begun
	if a.rt != nil {
		e.table.First(a.rt, took, e.w.time())
		if r.model >= 0 {
			e.latencyOf(r).Add(took)
		}
	}
}

// cancelAll cancels the open attempts of r, except for but.
func (e *entry) cancelAll(r *request, but *attempt) {
	for _, a := range []*attempt{r.main, r.hedge} {
		if a == nil || a == but || a.left {
			continue
		}
		e.depart(a)
		e.w.after(a.delay(), func() { a.t.cancel(a); a.over = true })
	}
}

// ended handles the end of an attempt.
func (e *entry) ended(a *attempt, l *wire.Load) {
	e.reported(a, l)
	if a.left {
		return
	}
	e.depart(a)
	if a.r.outcome == pending {
		a.r.units = a.spent
		a.r.finish(completed)
	}
}

// refused handles the refusal of an attempt. Unless another attempt is still open, the
// request is dispatched again; after a refusal for lack of capacity, this is subject to
// the retry budget.
func (e *entry) refused(a *attempt, why refusal, l *wire.Load) {
	r := a.r
	e.reported(a, l)
	if a.left {
		return
	}
	e.depart(a)
	if a.rt != nil {
		e.table.Penalize(a.rt, e.w.time())
	}
	if r.outcome != pending {
		return
	}
	for _, x := range []*attempt{r.main, r.hedge} {
		if x != nil && x != a && !x.left {
			return
		}
	}
	if why == refusedCapacity && !e.retries.Take() {
		e.giveUp(r)
		return
	}
	r.hedge = nil
	e.dispatch(r, min(r.at+targetWait, r.deadline()), why == refusedCapacity)
}

// report adds the demand per model to into. dt is the time since the last call.
func (e *entry) report(dt time.Duration, into map[string]place.Demand) {
	share := min(1, float64(dt)/float64(demandTau))
	for name, d := range e.demand {
		d.requestRate += (d.requests/dt.Seconds() - d.requestRate) * share
		d.unservedRate += (d.unserved/dt.Seconds() - d.unservedRate) * share
		d.requests, d.unserved = 0, 0
		sum := into[name]
		sum.RequestsPerSecond += d.requestRate
		sum.UnservedPerSecond += d.unservedRate
		into[name] = sum
	}
}

// learn updates the routing table and the holders with a target record.
func (e *entry) learn(rec *wire.TargetRecord, t *target) {
	e.table.Update([]*wire.TargetRecord{rec}, e.w.time())
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
