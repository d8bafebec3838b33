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
	// rateWindow is the time constant of the decaying request rates in announcements.
	rateWindow = 5 * time.Second
)

// refusal is the reason why an agent refuses a request.
type refusal int

const (
	refusedCapacity refusal = iota
	refusedNotResident
)

// target is an engine with its agent.
type target struct {
	w     *world
	index int
	name  string
	zone  int
	slots int
	eng   *engine
	// admission is nil for FIFO order, for which fifo is the queue.
	admission *admit.Admission
	fifo      []*attempt
	attempts  map[uint64]*attempt
	running   int
	// wake is the time of the next scheduled call of pump; 0 if there is none.
	wake time.Duration

	memory   uint64
	resident map[place.Key]uint64
	loading  map[place.Key]uint64
	plan     *wire.Plan
	// used counts the queued and running attempts, by artifact.
	used map[place.Key]int
	// lastUse and parked are for loading on demand: the time of the last request for each
	// model, and the requests that wait for its load.
	lastUse map[place.Key]time.Duration
	parked  map[place.Key][]*attempt

	// history holds the load samples, from which late load reports are taken.
	history []sample
	rates   map[string]*rate
}

// sample is the load of a target at one time.
type sample struct {
	at   time.Duration
	load *wire.Load
}

// rate is an exponentially decaying event rate per second.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) read(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateWindow))
}

func (w *world) newTarget(i int, name string, plain bool) *target {
	t := &target{
		w: w, index: i, name: name, zone: i % zones, slots: slots, eng: newEngine(&w.events, plain),
		attempts: make(map[uint64]*attempt), memory: w.site.memory,
		resident: make(map[place.Key]uint64), loading: make(map[place.Key]uint64),
		used: make(map[place.Key]int), lastUse: make(map[place.Key]time.Duration),
		parked: make(map[place.Key][]*attempt), rates: make(map[string]*rate),
	}
	if plain {
		t.slots = plainSlots
	}
	if w.policy.admission {
		p := w.site.cfg.Policy
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
	if a.over {
		return
	}
	t.attempts[a.id] = a
	if !t.eng.plain {
		a.key = artifact{t.w.site.keyOf(a.r.arrival)}
		t.count(a.key.Model)
		t.lastUse[a.key.base()] = t.w.now
		if !t.w.policy.clairvoyant && !t.holds(a.key.Key) {
			if t.w.policy.onDemand {
				t.park(a)
				return
			}
			t.refuse(a, refusedNotResident)
			return
		}
		t.used[a.key.Key]++
	}
	t.enqueue(a)
}

// count updates the request rate of a model.
func (t *target) count(model string) {
	r := t.rates[model]
	if r == nil {
		r = &rate{}
		t.rates[model] = r
	}
	r.value = r.read(t.w.now) + 1/rateWindow.Seconds()
	r.at = t.w.now
}

// enqueue adds a request to the queue that the policy uses, and starts what can start.
func (t *target) enqueue(a *attempt) {
	switch {
	case t.w.policy.clairvoyant && !t.eng.plain:
		t.w.pool = append(t.w.pool, a)
		t.w.drainPool()
		return
	case t.admission == nil:
		t.fifo = append(t.fifo, a)
	default:
		r := a.r
		_, ok := t.admission.Submit(t.w.time(), admit.Request{
			ID: a.id, Model: t.w.modelName(r.arrival), Priority: priority, Idempotent: true,
			Deadline: epoch.Add(r.deadline()), MaxTokens: uint32(r.declared), PromptBytes: r.prompt * bytesPerToken,
		})
		if !ok {
			t.release(a)
			t.refuse(a, refusedCapacity)
			return
		}
	}
	t.pump()
}

// pump starts queued requests while there are free slots. With admission, it also refuses
// requests and schedules its next call.
func (t *target) pump() {
	if t.admission == nil {
		for t.running < t.slots && len(t.fifo) > 0 {
			a := t.fifo[0]
			t.fifo = t.fifo[1:]
			t.start(a)
		}
		return
	}
	now := t.w.time()
	step := t.admission.Step(now)
	for _, r := range step.Refuse {
		a := t.attempts[r.ID]
		t.release(a)
		t.refuse(a, refusedCapacity)
	}
	for _, id := range step.Start {
		t.start(t.attempts[id])
	}
	at, ok := t.admission.Wake(now)
	if due := at.Sub(epoch); ok && (t.wake <= t.w.now || due < t.wake) {
		t.wake = due
		t.w.at(due, func() {
			if t.wake == due {
				t.wake = 0
				t.pump()
			}
		})
	}
}

// start runs a request in a slot.
func (t *target) start(a *attempt) {
	t.running++
	a.running = true
	t.w.totals.started++
	a.notifyStarted(t.report())
	var delay time.Duration
	if a.r.adapter >= 0 {
		t.w.adapters.active++
		delay = t.w.adapters.delay()
	}
	t.w.after(delay, func() {
		if a.over {
			return
		}
		a.job = t.eng.begin(a.r.arrival, a.notifyFirst, func() { t.end(a) })
	})
}

// end handles the completion of a request.
func (t *target) end(a *attempt) {
	t.w.totals.finished++
	t.leave(a, true)
	a.notifyEnd(t.report())
	t.pumpAll()
}

// leave removes a running request from the target and frees its slot.
func (t *target) leave(a *attempt, completed bool) {
	t.running--
	a.over, a.running = true, false
	if a.r.adapter >= 0 {
		t.w.adapters.active--
	}
	if a.job != nil {
		spent := a.job.units
		if !completed {
			spent = a.job.spent()
		}
		a.spent = spent
		t.w.totals.units += spent
	}
	if t.admission != nil {
		t.admission.Done(t.w.time(), a.id, completed, uint32(a.r.tokens))
	}
	t.release(a)
}

// release drops the references of a request, after which the plan may unload its
// artifact.
func (t *target) release(a *attempt) {
	delete(t.attempts, a.id)
	if !t.eng.plain && t.used[a.key.Key] > 0 {
		t.used[a.key.Key]--
	}
	if t.plan != nil {
		t.follow()
	}
}

func (t *target) pumpAll() {
	if t.w.policy.clairvoyant && !t.eng.plain {
		t.w.drainPool()
		return
	}
	t.pump()
}

// cancel stops or dequeues a request that the entry instance has cancelled.
func (t *target) cancel(a *attempt) {
	if a.over {
		return
	}
	if a.running {
		if a.job != nil {
			a.job.stop()
		}
		t.w.totals.cancelled++
		t.leave(a, false)
		t.pumpAll()
		return
	}
	a.over = true
	t.fifo = slices.DeleteFunc(t.fifo, func(x *attempt) bool { return x == a })
	t.w.pool = slices.DeleteFunc(t.w.pool, func(x *attempt) bool { return x == a })
	for k, list := range t.parked {
		if list = slices.DeleteFunc(list, func(x *attempt) bool { return x == a }); len(list) == 0 {
			delete(t.parked, k)
		} else {
			t.parked[k] = list
		}
	}
	if t.admission != nil {
		t.admission.Cancel(a.id)
	}
	t.release(a)
	t.pumpAll()
}

func (t *target) refuse(a *attempt, why refusal) {
	a.over = true
	delete(t.attempts, a.id)
	a.notifyRefused(why, t.report())
}

// sampleLoad adds the current load to the history.
func (t *target) sampleLoad() {
	l := &wire.Load{Slots: uint32(t.slots), Running: uint32(t.running), Queued: uint32(len(t.fifo))}
	if t.admission != nil {
		x := t.admission.Load(t.w.time())
		l.Queued, l.WaitMicros = uint32(x.Queued), uint64(x.Wait.Microseconds())
	}
	t.history = append(t.history, sample{t.w.now, l})
}

// report returns a load report of the age that the scenario sets.
func (t *target) report() *wire.Load {
	i, _ := slices.BinarySearchFunc(t.history, t.w.now-t.w.scenario.late, func(s sample, at time.Duration) int {
		return cmp.Compare(s.at, at)
	})
	if i == 0 {
		return &wire.Load{Slots: uint32(t.slots)}
	}
	return t.history[i-1].load
}

// sortedKeys returns the keys of a set in order, with each model before its adapters.
func sortedKeys(set map[place.Key]uint64) []place.Key {
	return slices.SortedFunc(maps.Keys(set), func(x, y place.Key) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Version, y.Version), cmp.Compare(x.Adapter, y.Adapter))
	})
}
