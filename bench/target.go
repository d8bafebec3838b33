package main

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bulrushpath.example/lib/admit"
	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/wire"
)

const (
	// queueLimit, ageBound and ageStep are the defaults of the agent's settings.
	queueLimit = 256
	ageBound   = 2 * time.Second
	ageStep    = time.Second
	// samplePeriod is the interval at which the load of a target is sampled.
	samplePeriod = 50 * time.Millisecond
	// priority is the same for all requests, so that age and deadline determine the order.
	priority = 5
	// rateTimeConstant is the time constant of the decaying request rates in announcements.
	rateTimeConstant = 5 * time.Second
)

// refusal is the reason why an agent refuses a request.
type refusal int

const (
	refusedCapacity refusal = iota
	refusedNotResident
)

// target is an engine or a replica of the plain service, with its agent.
type target struct {
	sim    *simulation
	index  int
	name   string
	zone   int
	slots  int
	engine *engine
	// admission is nil for FIFO order, for which fifo is the queue.
	admission *admit.Admission
	fifo      []*attempt
	attempts  map[uint64]*attempt
	running   int
	// nextWake is the time of the next scheduled call of startQueued; 0 if there is none.
	nextWake time.Duration

	memory   uint64
	resident map[place.Key]uint64
	loading  map[place.Key]uint64
	plan     *wire.Plan
	// useCount counts the queued and running attempts, by artifact.
	useCount map[place.Key]int
	// lastUse and waitingForLoad are for loading on demand: the time of the last request for each
	// model, and the requests that wait for its load.
	lastUse        map[place.Key]time.Duration
	waitingForLoad map[place.Key][]*attempt

	// loadHistory holds the load samples, from which late load reports are taken.
	loadHistory  []loadSample
	requestRates map[string]*decayingRate
}

// loadSample is the load of a target at one time.
type loadSample struct {
	at   time.Duration
	load *wire.Load
}

// decayingRate is an exponentially decaying event rate per second.
type decayingRate struct {
	value float64
	at    time.Duration
}

// current returns the rate decayed to the given time.
func (r *decayingRate) current(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateTimeConstant))
}

func (sim *simulation) newTarget(i int, name string, plain bool) *target {
	t := &target{
		sim: sim, index: i, name: name, zone: i % zones, slots: slots, engine: newEngine(&sim.eventQueue, plain),
		attempts: make(map[uint64]*attempt), memory: sim.deployment.engineMemory,
		resident: make(map[place.Key]uint64), loading: make(map[place.Key]uint64),
		useCount: make(map[place.Key]int), lastUse: make(map[place.Key]time.Duration),
		waitingForLoad: make(map[place.Key][]*attempt), requestRates: make(map[string]*decayingRate),
	}
	if plain {
		t.slots = plainSlots
	}
	if sim.policy.admission {
		p := sim.deployment.cfg.Policy
		t.admission = admit.New(admit.Config{
			Slots: t.slots, QueueLimit: queueLimit, ShortMaxTokens: p.ShortMaxTokens,
			LongSlotPercent: p.LongSlotPercent, AgeBound: ageBound, AgeStep: ageStep,
		})
	}
	return t
}

// holds reports whether the target can run a request for k.
func (t *target) holds(k place.Key) bool {
	_, ok := t.resident[k]
	return ok
}

// submit handles a request from an entry instance.
func (t *target) submit(a *attempt) {
	if a.ended {
		return
	}
	t.attempts[a.id] = a
	if !t.engine.plain {
		a.key = artifact{t.sim.deployment.keyOf(a.request.arrival)}
		t.countRequest(a.key.Model)
		t.lastUse[a.key.base()] = t.sim.now
		if !t.sim.policy.clairvoyant && !t.holds(a.key.Key) {
			if t.sim.policy.onDemand {
				t.waitForLoad(a)
				return
			}
			t.refuse(a, refusedNotResident)
			return
		}
		t.useCount[a.key.Key]++
	}
	t.enqueue(a)
}

// countRequest updates the request rate of a model.
func (t *target) countRequest(model string) {
	r := t.requestRates[model]
	if r == nil {
		r = &decayingRate{}
		t.requestRates[model] = r
	}
	r.value = r.current(t.sim.now) + 1/rateTimeConstant.Seconds()
	r.at = t.sim.now
}

// enqueue adds a request to the queue that the policy uses, and starts what can start.
func (t *target) enqueue(a *attempt) {
	switch {
	case t.sim.policy.clairvoyant && !t.engine.plain:
		t.sim.sharedQueue = append(t.sim.sharedQueue, a)
		t.sim.dispatchSharedQueue()
		return
	case t.admission == nil:
		t.fifo = append(t.fifo, a)
	default:
		r := a.request
		_, ok := t.admission.Submit(t.sim.timestamp(), admit.Request{
			ID: a.id, Model: t.sim.modelName(r.arrival), Priority: priority, Idempotent: true,
			Deadline: epoch.Add(r.deadline()), MaxTokens: uint32(r.declaredTokens), PromptBytes: r.promptTokens * bytesPerToken,
		})
		if !ok {
			t.release(a)
			t.refuse(a, refusedCapacity)
			return
		}
	}
	t.startQueued()
}

// startQueued starts queued requests while there are free slots. With admission, it also
// refuses requests and schedules its next call.
func (t *target) startQueued() {
	if t.admission == nil {
		for t.running < t.slots && len(t.fifo) > 0 {
			a := t.fifo[0]
			t.fifo = t.fifo[1:]
			t.start(a)
		}
		return
	}
	now := t.sim.timestamp()
	step := t.admission.Step(now)
	for _, r := range step.Refuse {
		a := t.attempts[r.ID]
		t.release(a)
		t.refuse(a, refusedCapacity)
	}
	for _, id := range step.Start {
		t.start(t.attempts[id])
	}
	at, ok := t.admission.NextStep(now)
	if due := at.Sub(epoch); ok && (t.nextWake <= t.sim.now || due < t.nextWake) {
		t.nextWake = due
		t.sim.at(due, func() {
			if t.nextWake == due {
				t.nextWake = 0
				t.startQueued()
			}
		})
	}
}

// start runs a request in a slot.
func (t *target) start(a *attempt) {
	t.running++
	a.running = true
	t.sim.counters.started++
	a.notifyStarted(t.loadReport())
	var delay time.Duration
	if a.request.adapter >= 0 {
		t.sim.adapterContention.active++
		delay = t.sim.adapterContention.delay()
	}
	t.sim.after(delay, func() {
		if a.ended {
			return
		}
		a.job = t.engine.start(a.request.arrival, a.notifyFirstChunk, func() { t.complete(a) })
	})
}

// complete handles the completion of a request.
func (t *target) complete(a *attempt) {
	t.sim.counters.finished++
	t.removeRunning(a, true)
	a.notifyEnd(t.loadReport())
	t.dispatchNext()
}

// removeRunning removes a running request from the target and frees its slot.
func (t *target) removeRunning(a *attempt, completed bool) {
	t.running--
	a.ended, a.running = true, false
	if a.request.adapter >= 0 {
		t.sim.adapterContention.active--
	}
	if a.job != nil {
		work := a.job.units
		if !completed {
			work = a.job.executed()
		}
		a.work = work
		t.sim.counters.work += work
	}
	if t.admission != nil {
		t.admission.Done(t.sim.timestamp(), a.id, completed, uint32(a.request.outputTokens))
	}
	t.release(a)
}

// release drops the references to a request and reapplies the plan, which may now unload
// its artifact.
func (t *target) release(a *attempt) {
	delete(t.attempts, a.id)
	if !t.engine.plain && t.useCount[a.key.Key] > 0 {
		t.useCount[a.key.Key]--
	}
	if t.plan != nil {
		t.applyPlan()
	}
}

// dispatchNext starts queued requests from the queue that the policy uses.
func (t *target) dispatchNext() {
	if t.sim.policy.clairvoyant && !t.engine.plain {
		t.sim.dispatchSharedQueue()
		return
	}
	t.startQueued()
}

// cancel stops or dequeues a request that the entry instance has cancelled.
func (t *target) cancel(a *attempt) {
	if a.ended {
		return
	}
	if a.running {
		if a.job != nil {
			a.job.cancel()
		}
		t.sim.counters.cancelled++
		t.removeRunning(a, false)
		t.dispatchNext()
		return
	}
	a.ended = true
	t.fifo = slices.DeleteFunc(t.fifo, func(x *attempt) bool { return x == a })
	t.sim.sharedQueue = slices.DeleteFunc(t.sim.sharedQueue, func(x *attempt) bool { return x == a })
	for k, list := range t.waitingForLoad {
		if list = slices.DeleteFunc(list, func(x *attempt) bool { return x == a }); len(list) == 0 {
			delete(t.waitingForLoad, k)
		} else {
			t.waitingForLoad[k] = list
		}
	}
	if t.admission != nil {
		t.admission.Cancel(a.id)
	}
	t.release(a)
	t.dispatchNext()
}

func (t *target) refuse(a *attempt, reason refusal) {
	a.ended = true
	delete(t.attempts, a.id)
	a.notifyRefused(reason, t.loadReport())
}

// sampleLoad adds the current load to the history.
func (t *target) sampleLoad() {
	l := &wire.Load{Slots: uint32(t.slots), Running: uint32(t.running), Queued: uint32(len(t.fifo))}
	if t.admission != nil {
		x := t.admission.Load(t.sim.timestamp())
		l.Queued, l.WaitMicros = uint32(x.Queued), uint64(x.Wait.Microseconds())
	}
	t.loadHistory = append(t.loadHistory, loadSample{t.sim.now, l})
}

// loadReport returns a load report of the age that the scenario sets.
func (t *target) loadReport() *wire.Load {
	i, _ := slices.BinarySearchFunc(t.loadHistory, t.sim.now-t.sim.scenario.reportDelay, func(s loadSample, at time.Duration) int {
		return cmp.Compare(s.at, at)
	})
	if i == 0 {
		return &wire.Load{Slots: uint32(t.slots)}
	}
	return t.loadHistory[i-1].load
}

// sortedKeys returns the keys of a set in order, with each model before its adapters.
func sortedKeys(set map[place.Key]uint64) []place.Key {
	return slices.SortedFunc(maps.Keys(set), func(x, y place.Key) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Version, y.Version), cmp.Compare(x.Adapter, y.Adapter))
	})
}
