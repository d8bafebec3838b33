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
	// defaultReportDelay is the age of load reports in all scenarios but those with
	// stragglers and their healthy counterparts.
	defaultReportDelay = 200 * time.Millisecond
)

// scenario is a sequence of arrivals and disturbances. It is the same for all policies.
type scenario struct {
	name     string
	seed     uint64
	duration time.Duration
	arrivals []arrival
	// reportDelay is the age of the load reports that targets send.
	reportDelay time.Duration
	// stragglers lists the periods in which a target is slowed down by stragglerSlowdown.
	stragglers []straggler
}

// straggler is a period in which a target is slow.
type straggler struct {
	target   int
	from, to time.Duration
}

// counters holds the counters of a simulation run.
type counters struct {
	started, finished, cancelled int
	loads, adapterLoads, hedges  int
	// work is the total work executed, including that of cancelled attempts.
	work float64
}

// simulation is the state of the simulation of one scenario with one policy.
type simulation struct {
	eventQueue
	deployment *deployment
	cfg        *wire.Config
	policy     policy
	scenario   *scenario

	targets           []*target
	byName            map[string]*target
	entries           []*entry
	weightStore       *weightStore
	adapterContention *adapterContention
	// sharedQueue is used by the clairvoyant policy only.
	sharedQueue []*attempt

	planner       *place.Planner
	announcements []*wire.Announcement

	requests []*request
	counters counters
	nextID   uint64
}

// simulate runs a scenario with a policy and returns the final state.
func simulate(d *deployment, p policy, sc *scenario) *simulation {
	sim := &simulation{deployment: d, cfg: d.configWithoutTeams(), policy: p, scenario: sc, byName: make(map[string]*target)}
	sim.weightStore = newWeightStore(&sim.eventQueue, d)
	sim.adapterContention = &adapterContention{deployment: d, rng: rand.New(rand.NewPCG(sc.seed, 7))}
	for i := range d.engines + d.plainReplicas {
		name := fmt.Sprintf("engine%02d", i)
		if i >= d.engines {
			name = fmt.Sprintf("plain%02d", i)
		}
		t := sim.newTarget(i, name, i >= d.engines)
		t.engine.alwaysHit = p.clairvoyant
		sim.targets = append(sim.targets, t)
		sim.byName[name] = t
	}
	sim.placeInitialCopies()
	for z := range zones {
		e := sim.newEntry(z)
		sim.entries = append(sim.entries, e)
		for _, t := range sim.targets {
			e.updateTarget(t.directoryRecord(), t)
		}
	}
	sim.scheduleEvents()
	sim.drain()
	return sim
}

// scheduleEvents schedules the arrivals, the stragglers, and the periodic work that the
// policy needs.
func (sim *simulation) scheduleEvents() {
	for i := range sim.scenario.arrivals {
		a := &sim.scenario.arrivals[i]
		sim.at(a.at, func() {
			e := sim.entries[int(a.fingerprint>>32)%len(sim.entries)]
			sim.after(sim.deployment.clientDelay, func() { e.handleRequest(a) })
		})
	}
	for _, s := range sim.scenario.stragglers {
		sim.at(s.from, func() { sim.targets[s.target].engine.setSlowdown(stragglerSlowdown) })
		sim.at(s.to, func() { sim.targets[s.target].engine.setSlowdown(1) })
	}
	if sim.policy.admission {
		for _, t := range sim.targets {
			sim.every(samplePeriod, sim.scenario.duration+time.Minute, t.sampleLoad)
		}
	}
	if sim.policy.planner {
		sim.planner = place.New(1)
		sim.every(announcePeriod, sim.scenario.duration, sim.collectAnnouncements)
		sim.every(planPeriod, sim.scenario.duration, sim.runPlanner)
	}
}

// placeInitialCopies determines the initial placement. It runs the planner with a
// practically unlimited weight store until it has issued no plan for several ticks.
func (sim *simulation) placeInitialCopies() {
	cfg := sim.deployment.configWithoutTeams()
	cfg.WeightStore = &wire.WeightStore{LoadsPerKilosecond: 1 << 30, LoadsAtOnce: 1 << 20}
	list := sim.engineAnnouncements()
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
			sim.byName[a.Target].resident[place.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}] = c.Bytes
		}
	}
}

// engineAnnouncements returns the announcements of all engines.
func (sim *simulation) engineAnnouncements() []*wire.Announcement {
	var list []*wire.Announcement
	for _, t := range sim.targets[:sim.deployment.engines] {
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
	for _, m := range t.sim.cfg.Models {
		if r := t.requestRates[m.Name]; r != nil {
			a.Demand = append(a.Demand, &wire.Demand{Model: m.Name, RequestsPerSecond: r.current(t.sim.now)})
		}
	}
	return a
}

// directoryRecord returns the directory record that entry instances receive about the target.
func (t *target) directoryRecord() *wire.TargetRecord {
	r := &wire.TargetRecord{
		Target: t.name, Address: address(t.index), Zone: zoneName(t.zone), Kind: wire.TargetKind_TARGET_KIND_ENGINE,
		Phase: wire.Phase_PHASE_READY, Incarnation: 1, Resident: copyList(t.resident), Slots: uint32(t.slots),
	}
	if t.engine.plain {
		r.Kind, r.Service = wire.TargetKind_TARGET_KIND_PLAIN, t.sim.deployment.plainService
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

// publishRecord sends the target's record to all entry instances.
func (sim *simulation) publishRecord(t *target) {
	rec := t.directoryRecord()
	for _, e := range sim.entries {
		sim.after(directoryDelay, func() { e.updateTarget(rec, t) })
	}
}

func (sim *simulation) collectAnnouncements() { sim.announcements = sim.engineAnnouncements() }

// runPlanner runs the planner and sends the plans to the targets.
func (sim *simulation) runPlanner() {
	v := place.View{Term: 1, Config: sim.cfg, Targets: sim.announcements, Demand: make(map[string]place.Demand), Warm: true}
	for _, e := range sim.entries {
		e.reportDemand(planPeriod, v.Demand)
	}
	plans := sim.planner.Tick(sim.timestamp(), v)
	for _, t := range sim.targets {
		if p := plans[t.name]; p != nil {
			sim.after(planDelay, func() { t.setPlan(p) })
		}
	}
}

func (sim *simulation) modelName(a *arrival) string {
	if a.model < 0 {
		return sim.deployment.plainService
	}
	return sim.cfg.Models[a.model].Name
}

// copiesOf returns copies of a model and of all its adapters.
func (sim *simulation) copiesOf(model string) []*wire.Copy {
	var out []*wire.Copy
	for _, m := range sim.cfg.Models {
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

func (sim *simulation) copyBytes(model string) (n uint64) {
	for _, c := range sim.copiesOf(model) {
		n += c.Bytes
	}
	return n
}

// dispatchSharedQueue starts queued requests by earliest deadline first, each on the
// engine with the smallest batch. It refuses requests that would miss their deadline if
// they started now, at the token time of a full batch.
func (sim *simulation) dispatchSharedQueue() {
	slices.SortStableFunc(sim.sharedQueue, func(x, y *attempt) int { return cmp.Compare(x.request.deadline(), y.request.deadline()) })
	for len(sim.sharedQueue) > 0 {
		a := sim.sharedQueue[0]
		need := time.Duration((float64(a.request.promptTokens)/promptTokensPerUnit*cachedShare + float64(a.request.outputTokens)) * float64(batchTime(slots)))
		if sim.now+need+sim.deployment.clientDelay > a.request.deadline() {
			sim.sharedQueue = sim.sharedQueue[1:]
			a.target.release(a)
			a.target.refuse(a, refusedNotResident)
			a.request.finish(refused)
			continue
		}
		best := sim.targets[0]
		for _, t := range sim.targets[:sim.deployment.engines] {
			if t.running < best.running {
				best = t
			}
		}
		if best.running >= slots {
			return
		}
		sim.sharedQueue = sim.sharedQueue[1:]
		sim.moveAttempt(a, best)
		best.start(a)
	}
}

// moveAttempt moves a queued attempt to another target.
func (sim *simulation) moveAttempt(a *attempt, to *target) {
	delete(a.target.attempts, a.id)
	a.target.useCount[a.key.Key]--
	a.request.entry.inFlight[a.target.index]--
	a.target = to
	a.request.entry.inFlight[to.index]++
	to.useCount[a.key.Key]++
	to.attempts[a.id] = a
}
