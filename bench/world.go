package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/wire"
)

const (
	// announcePeriod is the interval between announcements of a target. planPeriod is the
	// interval between planner ticks, which is the default of the control group.
	announcePeriod = 500 * time.Millisecond
	planPeriod     = 250 * time.Millisecond
	// planDelay is the delay until an agent receives a plan, directoryDelay the delay
	// until entry instances receive a changed target record.
	planDelay      = 100 * time.Millisecond
	directoryDelay = 200 * time.Millisecond
	// usualLate is the usual age of load reports.
	usualLate = 200 * time.Millisecond
)

// scenario is a sequence of arrivals and disturbances. It is the same for all policies.
type scenario struct {
	name     string
	seed     uint64
	length   time.Duration
	arrivals []arrival
	// late is the age of the load reports that targets send.
	late time.Duration
	// stragglers lists the periods in which a target is slowed down by stragglerFactor.
	stragglers []straggler
}

// straggler is a period in which a target is slow.
type straggler struct {
	target   int
	from, to time.Duration
}

// totals holds the counters of a simulation run.
type totals struct {
	started, finished, cancelled int
	loads, adapterLoads, hedges  int
	// units is the total work executed, including that of cancelled attempts.
	units float64
}

// world is the state of the simulation of one scenario with one policy.
type world struct {
	events
	site     *site
	cfg      *wire.Config
	policy   policy
	scenario *scenario

	targets  []*target
	byName   map[string]*target
	entries  []*entry
	weights  *weights
	adapters *adapters
	// pool is the shared queue of the clairvoyant policy.
	pool []*attempt

	planner       *place.Planner
	announcements []*wire.Announcement

	requests []*request
	totals   totals
	nextID   uint64
}

// run simulates a scenario with a policy and returns the final state.
func run(s *site, p policy, sc *scenario) *world {
	w := &world{site: s, cfg: s.pooled(), policy: p, scenario: sc, byName: make(map[string]*target)}
	w.weights = newWeights(&w.events, s)
	w.adapters = &adapters{s: s, rng: rand.New(rand.NewPCG(sc.seed, 7))}
	for i := range s.engines + s.plain {
		name := fmt.Sprintf("engine%02d", i)
		if i >= s.engines {
			name = fmt.Sprintf("plain%02d", i)
		}
		t := w.newTarget(i, name, i >= s.engines)
		t.eng.cached = p.clairvoyant
		w.targets = append(w.targets, t)
		w.byName[name] = t
	}
	w.place()
	for z := range zones {
		e := w.newEntry(z)
		w.entries = append(w.entries, e)
		for _, t := range w.targets {
			e.learn(t.record(), t)
		}
	}
	w.schedule()
	w.drain()
	return w
}

// schedule schedules the arrivals, the stragglers, and the periodic work that the policy
// needs.
func (w *world) schedule() {
	for i := range w.scenario.arrivals {
		a := &w.scenario.arrivals[i]
		w.at(a.at, func() {
			e := w.entries[int(a.print>>32)%len(w.entries)]
			w.after(w.site.clientDelay, func() { e.arrive(a) })
		})
	}
	for _, s := range w.scenario.stragglers {
		w.at(s.from, func() { w.targets[s.target].eng.slow(stragglerFactor) })
		w.at(s.to, func() { w.targets[s.target].eng.slow(1) })
	}
	if w.policy.admission {
		for _, t := range w.targets {
			w.every(samplePeriod, w.scenario.length+time.Minute, t.sampleLoad)
		}
	}
	if w.policy.planner {
		w.planner = place.New(1)
		w.every(announcePeriod, w.scenario.length, w.collect)
		w.every(planPeriod, w.scenario.length, w.tick)
	}
}

// place determines the initial placement. It runs the planner with an unlimited weight
// store until it has issued no plan for several ticks.
func (w *world) place() {
	cfg := w.site.pooled()
	cfg.WeightStore = &wire.WeightStore{LoadsPerKilosecond: 1 << 30, LoadsAtOnce: 1 << 20}
	list := w.announce0()
	planner := place.New(1)
	quiet := 0
	for i := 0; quiet < 5 && i < 1000; i++ {
		plans := planner.Tick(epoch.Add(time.Duration(i)*time.Second), place.View{
			Term: 1, Config: cfg, Targets: list, Warm: true,
		})
		quiet++
		for _, a := range list {
			if p := plans[a.Target]; p != nil {
				a.Resident, a.PlanAck = p.Keep, p.Stamp
				quiet = 0
			}
		}
	}
	for _, a := range list {
		for _, c := range a.Resident {
			w.byName[a.Target].resident[place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}] = c.Bytes
		}
	}
}

// announce0 returns the announcements of all engines.
func (w *world) announce0() []*wire.Announcement {
	var list []*wire.Announcement
	for _, t := range w.targets[:w.site.engines] {
		list = append(list, t.announcement())
	}
	return list
}

// announcement returns the announcement that the planner receives from the target.
func (t *target) announcement() *wire.Announcement {
	a := &wire.Announcement{
		Target: t.name, Address: address(t.index), Zone: zoneName(t.zone),
		Kind: wire.TargetKind_TARGET_KIND_ENGINE, Phase: wire.Phase_PHASE_READY, Incarnation: 1,
		MemoryBytes: t.memory, Resident: copyList(t.resident), Loading: copyList(t.loading),
		Load: &wire.Load{Slots: uint32(t.slots), Running: uint32(t.running), Queued: uint32(len(t.attempts) - t.running)},
	}
	if t.plan != nil {
		a.PlanAck = t.plan.Stamp
	}
	for _, m := range t.w.cfg.Models {
		if r := t.rates[m.Name]; r != nil {
			a.Demand = append(a.Demand, &wire.Demand{Model: m.Name, RequestsPerSecond: r.read(t.w.now)})
		}
	}
	return a
}

// record returns the directory record that entry instances receive about the target.
func (t *target) record() *wire.TargetRecord {
	r := &wire.TargetRecord{
		Target: t.name, Address: address(t.index), Zone: zoneName(t.zone), Kind: wire.TargetKind_TARGET_KIND_ENGINE,
		Phase: wire.Phase_PHASE_READY, Incarnation: 1, Resident: copyList(t.resident), Slots: uint32(t.slots),
	}
	if t.eng.plain {
		r.Kind, r.Service = wire.TargetKind_TARGET_KIND_PLAIN, t.w.site.service
	}
	return r
}

func copyList(set map[place.Key]uint64) []*wire.Copy {
	var out []*wire.Copy
	for _, k := range sortedKeys(set) {
		out = append(out, &wire.Copy{Model: k.Model, Version: k.Version, Adapter: k.Adapter, Bytes: set[k]})
	}
	return out
}

// announce sends the target's record to all entry instances.
func (w *world) announce(t *target) {
	rec := t.record()
	for _, e := range w.entries {
		w.after(directoryDelay, func() { e.learn(rec, t) })
	}
}

func (w *world) collect() { w.announcements = w.announce0() }

// tick runs the planner and sends the plans to the targets.
func (w *world) tick() {
	v := place.View{Term: 1, Config: w.cfg, Targets: w.announcements, Demand: make(map[string]place.Demand), Warm: true}
	for _, e := range w.entries {
		e.report(planPeriod, v.Demand)
	}
	plans := w.planner.Tick(w.time(), v)
	for _, t := range w.targets {
		if p := plans[t.name]; p != nil {
			w.after(planDelay, func() { t.accept(p) })
		}
	}
}

func (w *world) modelName(a *arrival) string {
	if a.model < 0 {
		return w.site.service
	}
	return w.cfg.Models[a.model].Name
}

// copiesOf returns copies of a model and of all its adapters.
func (w *world) copiesOf(model string) []*wire.Copy {
	var out []*wire.Copy
	for _, m := range w.cfg.Models {
		if m.Name != model {
			continue
		}
		out = append(out, &wire.Copy{Model: m.Name, Version: m.Version, Bytes: m.Bytes})
		for _, a := range m.Adapters {
			out = append(out, &wire.Copy{Model: m.Name, Version: m.Version, Adapter: a.Name, Bytes: a.Bytes})
		}
	}
	return out
}

func (w *world) copyBytes(model string) (n uint64) {
	for _, c := range w.copiesOf(model) {
		n += c.Bytes
	}
	return n
}

// drainPool starts queued requests by earliest deadline first, each on the engine with
// the smallest batch. It refuses requests that would miss their deadline if they started
// now, at the token time of a full batch.
func (w *world) drainPool() {
	slices.SortStableFunc(w.pool, func(x, y *attempt) int { return cmp.Compare(x.r.deadline(), y.r.deadline()) })
	for len(w.pool) > 0 {
		a := w.pool[0]
		need := time.Duration((float64(a.r.prompt)/unitTokens*cachedShare + float64(a.r.tokens)) * float64(batchTime(slots)))
		if w.now+need+w.site.clientDelay > a.r.deadline() {
			w.pool = w.pool[1:]
			a.t.release(a)
			a.t.refuse(a, refusedNotResident)
			a.r.finish(refused)
			continue
		}
		best := w.targets[0]
		for _, t := range w.targets[:w.site.engines] {
			if t.running < best.running {
				best = t
			}
		}
		if best.running >= slots {
			return
		}
		w.pool = w.pool[1:]
		w.transfer(a, best)
		best.start(a)
	}
}

// transfer moves a queued attempt to another target.
func (w *world) transfer(a *attempt, to *target) {
	delete(a.t.attempts, a.id)
	a.t.used[a.key.Key]--
	a.r.e.sent[a.t.index]--
	a.t = to
	a.r.e.sent[to.index]++
	to.used[a.key.Key]++
	to.attempts[a.id] = a
}
