package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

const (
	// historyTime is the simulated length of a drawn history.
	historyTime = 45 * time.Second
	// historyModels and historyAdapters are the numbers of models and of adapters of each.
	historyModels, historyAdapters = 8, 5
	// historySlots and historyCopies are the limits of an engine: the adapter slots and the
	// number of models that fit into its memory.
	historySlots, historyCopies = 2, 3
	// historyHeartbeat is the interval between two announcements of an engine.
	historyHeartbeat = 1200 * time.Millisecond
	// maxLateOrder is the longest delay of an order that is carried out late, and
	// maxAnnouncementDelay that of an announcement.
	maxLateOrder         = 12 * time.Second
	maxAnnouncementDelay = 5 * time.Second
)

// engineSnapshot is what an engine tells of itself.
type engineSnapshot struct {
	at      time.Time
	models  map[string][]string
	pending map[string][]string
	busy    bool
	count   uint64
}

func (s engineSnapshot) state(withPending bool) (e EngineState, models []fleet.Model) {
	e.AcceptedOrders, e.Busy = s.count, s.busy
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		adapters := slices.Clone(s.models[name])
		if withPending {
			adapters = append(adapters, s.pending[name]...)
		}
		e.Held = append(e.Held, scale.ReportedModel{Model: name, Adapters: adapters})
		models = append(models, fleet.Model{Name: name, Adapters: s.models[name]})
	}
	return e, models
}

// timedEngine is an engine whose orders take time. It accepts one model order at a time, and
// only with the number of orders that it has accepted before. It stops if an order exceeds
// its limits.
type timedEngine struct {
	id string

	mu  sync.Mutex
	rng *rand.Rand
	// loadTime is how long a model load takes; random if zero.
	loadTime time.Duration
	// trouble reports whether orders, answers and announcements are lost or late.
	trouble bool
	born    int64
	// sequence numbers the announcements of the incarnation.
	sequence uint64
	models   map[string]map[string]bool
	// pending holds the adapters on their way from the weight store.
	pending  map[string]map[string]bool
	busy     bool
	count    uint64
	token    uint64
	exceeded string
	history  []engineSnapshot
	// trace lists what happened to the engine, for the message of a failure.
	trace []string
}

// maxTrace is the number of events that the message of a failure shows.
const maxTrace = 40

// note adds an event to the trace. The caller holds mu.
func (e *timedEngine) note(format string, args ...any) {
	e.trace = append(e.trace, fmt.Sprintf("%6.2f s ", float64(time.Now().UnixMilli()%1e6)/1e3)+fmt.Sprintf(format, args...))
}

func newTimedEngine(id string, rng *rand.Rand) *timedEngine {
	e := &timedEngine{id: id, rng: rng, born: 1}
	e.restart()
	return e
}

// hold makes a model resident with the given adapters.
func (e *timedEngine) hold(model string, adapters ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models[model] = map[string]bool{}
	for _, a := range adapters {
		e.models[model][a] = true
	}
	e.record()
}

// restart replaces the process by an empty one that has the same id.
func (e *timedEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born++
	e.models, e.pending = map[string]map[string]bool{}, map[string]map[string]bool{}
	e.sequence, e.count, e.token, e.busy = 0, 0, 0, false
	e.history = nil
	e.note("restarted")
	e.record()
}

// record appends the current state to the history. The caller holds mu.
func (e *timedEngine) record() {
	s := engineSnapshot{at: time.Now(), models: map[string][]string{}, pending: map[string][]string{}, busy: e.busy, count: e.count}
	for m, adapters := range e.models {
		s.models[m] = slices.Sorted(maps.Keys(adapters))
	}
	for m, adapters := range e.pending {
		s.pending[m] = slices.Sorted(maps.Keys(adapters))
	}
	e.history = append(e.history, s)
}

// after runs fn later, unless the process has been restarted by then.
func (e *timedEngine) after(d time.Duration, fn func()) {
	born := e.born
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			fn()
			e.record()
		}
	})
}

// between returns a random duration. The caller holds mu.
func (e *timedEngine) between(from, to time.Duration) time.Duration {
	return from + time.Duration(e.rng.Int64N(int64(to-from)+1))
}

func (e *timedEngine) send(ctx context.Context, o EngineOrder) (SendResult, error) {
	e.mu.Lock()
	fate := e.rng.IntN(10)
	late := e.between(2*time.Second, maxLateOrder)
	trouble := e.trouble
	e.mu.Unlock()
	switch {
	case trouble && fate < 2:
		// The order is lost.
	case trouble && fate < 5:
		time.AfterFunc(late, func() { e.execute(o) })
	case trouble && fate < 7:
		// The answer is lost.
		e.execute(o)
	default:
		time.Sleep(2 * time.Millisecond)
		return e.execute(o), nil
	}
	<-ctx.Done()
	return Unanswered, ctx.Err()
}

func (e *timedEngine) execute(o EngineOrder) (result SendResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.record()
	defer func() {
		e.note("%v %s/%s at %d by term %d: %v", o.Op, o.Model, o.Adapter, o.AcceptedOrders, o.Token, result)
	}()
	if o.Token < e.token {
		return Fenced
	}
	e.token = o.Token
	if e.busy || o.AcceptedOrders != e.count {
		return Conflict
	}
	if o.Adapter != "" {
		return e.executeAdapterOrder(o)
	}
	held := e.models[o.Model] != nil
	if held == (o.Op == scale.Load) {
		return AlreadyInEffect
	}
	e.count++
	e.busy = true
	if o.Op == scale.Unload {
		// An unload waits for the requests that run.
		e.after(e.between(0, 3*time.Second), func() {
			e.busy = false
			e.note("%s unloaded", o.Model)
			delete(e.models, o.Model)
			delete(e.pending, o.Model)
		})
		return Accepted
	}
	if len(e.models)+1 > historyCopies {
		e.exceeded = fmt.Sprintf("load of %s beside %v", o.Model, slices.Sorted(maps.Keys(e.models)))
	}
	loadTime := e.loadTime
	if loadTime == 0 {
		loadTime = e.between(time.Second, 6*time.Second)
	}
	e.after(loadTime, func() {
		e.busy = false
		e.note("%s loaded", o.Model)
		e.models[o.Model] = map[string]bool{}
	})
	return Accepted
}

// executeAdapterOrder is execute for adapters. The caller holds mu.
func (e *timedEngine) executeAdapterOrder(o EngineOrder) SendResult {
	adapters := e.models[o.Model]
	if adapters == nil {
		return Invalid
	}
	present := adapters[o.Adapter] || e.pending[o.Model][o.Adapter]
	switch {
	case present == (o.Op == scale.Load):
		return AlreadyInEffect
	case o.Op == scale.Unload:
		e.count++
		delete(adapters, o.Adapter)
		delete(e.pending[o.Model], o.Adapter)
		return AlreadyInEffect
	}
	e.count++
	if e.pending[o.Model] == nil {
		e.pending[o.Model] = map[string]bool{}
	}
	e.pending[o.Model][o.Adapter] = true
	n := 0
	for _, set := range []map[string]map[string]bool{e.models, e.pending} {
		for _, names := range set {
			n += len(names)
		}
	}
	if n > historySlots {
		e.exceeded = fmt.Sprintf("adapter %s/%s beside %v and %v", o.Model, o.Adapter, e.models, e.pending)
	}
	e.after(e.between(5*time.Millisecond, 2*time.Second), func() {
		if e.pending[o.Model][o.Adapter] {
			delete(e.pending[o.Model], o.Adapter)
			e.models[o.Model][o.Adapter] = true
		}
	})
	return Accepted
}

// report returns the state as of some hundred milliseconds earlier.
func (e *timedEngine) report(ctx context.Context) (EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.trouble && e.rng.IntN(5) == 0 {
		return EngineState{}, errors.New("no answer")
	}
	as := time.Now().Add(-e.between(0, 400*time.Millisecond))
	i := len(e.history) - 1
	for i > 0 && e.history[i].at.After(as) {
		i--
	}
	state, _ := e.history[i].state(true)
	e.note("reports %+v", state)
	return state, ctx.Err()
}

// announce sends an announcement, which may be late or lost.
func (e *timedEngine) announce(f *Fleet) {
	e.mu.Lock()
	s, delay := e.history[len(e.history)-1], time.Millisecond
	lost := e.trouble && e.rng.IntN(4) == 0
	if e.trouble && e.rng.IntN(3) == 0 {
		delay = e.between(0, maxAnnouncementDelay)
	}
	e.mu.Unlock()
	if lost {
		delay = -1
	}
	e.announceAs(f, s, delay)
}

// announceAs sends an announcement of the given state, which arrives after delay; never if
// that is negative.
func (e *timedEngine) announceAs(f *Fleet, s engineSnapshot, delay time.Duration) {
	e.mu.Lock()
	e.sequence++
	a := fleet.Announcement{
		ID: e.id, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, e.id[1]}), 80), Zone: "z", Service: "s",
		Born: time.UnixMilli(e.born), Sequence: e.sequence, Slots: 4, HasModels: true,
	}
	e.mu.Unlock()
	if delay < 0 {
		return
	}
	var state EngineState
	state, a.Models = s.state(false)
	time.AfterFunc(delay, func() {
		_ = f.Announce(context.Background(), a, state)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.note("announcement %d of process %d arrives: %v", a.Sequence, a.Born.UnixMilli(), state.Held)
	})
}

func decodeHistory(version uint64, _ []byte) (*site.Config, error) {
	e := &site.Engine{MemoryMB: 100*historyCopies + historySlots, AdapterSlots: historySlots, LoadsPerSecond: 10}
	for i := range historyModels {
		e.Models = append(e.Models, site.Model{
			Name: fmt.Sprint("m", i), MB: 100, StoreLoadTime: 3 * time.Second, DiskLoadTime: time.Second,
			Adapters: historyAdapters, AdapterMB: 1,
		})
	}
	return &site.Config{Version: version, Services: []site.Service{{Name: "s", Engine: e}}}, nil
}

// orderHistory is a fleet whose leader changes, with two engines.
type orderHistory struct {
	fleet   *Fleet
	engines []*timedEngine

	mu   sync.Mutex
	term uint64
}

func newOrderHistory(t *testing.T, seed uint64) *orderHistory {
	h := &orderHistory{term: 1}
	byID := make(map[string]*timedEngine)
	for i := range 2 {
		e := newTimedEngine(fmt.Sprint("t", i), rand.New(rand.NewPCG(seed, uint64(i+1))))
		h.engines, byID[e.id] = append(h.engines, e), e
	}
	p := testProcess()
	svc := newService("c1", p)
	svc.group = singleInstance(svc)
	svc.group.Leading = func() (uint64, bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.term, true
	}
	h.fleet = newFleet(svc, p.Log, p.Scope, "c1", &options{
		decode: decodeHistory, announcePeriod: historyHeartbeat, engineClient: EngineClient{
			Send: func(ctx context.Context, a fleet.Announcement, o EngineOrder) (SendResult, error) {
				return byID[a.ID].send(ctx, o)
			},
			Report: func(ctx context.Context, a fleet.Announcement) (EngineState, error) {
				return byID[a.ID].report(ctx)
			},
		},
	})
	_, err := h.fleet.StoreDocument(t.Context(), 3, []byte("x"))
	assert.NilError(t, err)
	return h
}

// close ends the orders in progress, and those that are still on their way.
func (h *orderHistory) close() {
	_ = h.fleet.Close()
	time.Sleep(maxLateOrder)
}

// changeLeader begins a new term.
func (h *orderHistory) changeLeader() {
	h.mu.Lock()
	h.term++
	h.mu.Unlock()
	for _, e := range h.engines {
		e.mu.Lock()
		e.note("new leader")
		e.mu.Unlock()
	}
}

// run runs the planner for d while requests ask for the given models.
func (h *orderHistory) run(d time.Duration, demand []*wire.ModelDemand) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		_, _ = h.fleet.Report(context.Background(), &wire.FleetRequest{
			Protocol: link.Protocol, Name: "e1", DocumentVersion: 3, Demand: demand,
		})
		h.fleet.tick(time.Now())
	}
}

// fetch asks for an adapter in the background.
func (h *orderHistory) fetch(target, model, adapter string) {
	req := &wire.FetchRequest{Protocol: link.Protocol, Target: target, Model: model, Adapter: adapter}
	h.fleet.wg.Go(func() { _, _ = h.fleet.Fetch(h.fleet.ctx, req) })
}

// exceeded returns how an engine was ordered to exceed its limits; empty if none was.
func (h *orderHistory) exceeded() string {
	for _, e := range h.engines {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.exceeded != "" {
			return fmt.Sprintf("%s: %s\n%s", e.id, e.exceeded, strings.Join(e.trace[max(len(e.trace)-maxTrace, 0):], "\n"))
		}
	}
	return ""
}

func demandFor(models ...string) (out []*wire.ModelDemand) {
	for _, m := range models {
		out = append(out, &wire.ModelDemand{Model: m, WorkMicrosPerSecond: 2e6, Waiting: 1})
	}
	return out
}

// playOrderHistory plays a drawn history and returns how an engine was ordered to exceed its
// limits; empty if none was.
func playOrderHistory(t *testing.T, seed uint64) (exceeded string) {
	rng := rand.New(rand.NewPCG(seed, 0))
	h := newOrderHistory(t, seed)
	defer h.close()
	for i, e := range h.engines {
		for j := range historyCopies {
			e.hold(fmt.Sprint("m", i+j))
		}
	}
	model := func() string { return fmt.Sprint("m", rng.IntN(historyModels)) }
	var demand []*wire.ModelDemand
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < historyTime && exceeded == ""; at += step {
		e := h.engines[rng.IntN(len(h.engines))]
		switch rng.IntN(200) {
		case 0, 1, 2:
			h.changeLeader()
		case 3:
			e.restart()
		case 4, 5, 6, 7:
			e.mu.Lock()
			e.trouble = !e.trouble
			e.mu.Unlock()
		case 8, 9, 10, 11, 12, 13:
			demand = demandFor(model(), model())
		}
		if at%historyHeartbeat == 0 {
			for _, x := range h.engines {
				x.announce(h.fleet)
			}
		}
		if at%time.Second == 0 {
			_ = h.fleet.updateRoster(t.Context(), "")
		}
		if rng.IntN(3) == 0 {
			h.fetch(e.id, model(), fmt.Sprint("a", rng.IntN(historyAdapters)))
		}
		h.run(step, demand)
		exceeded = h.exceeded()
	}
	return exceeded
}

// Guards against a leader that forgets what an engine may still load and then orders more
// than its memory or its adapter slots hold (LIMIT): orders and announcements are late or
// lost, engines restart, and the leader changes at any moment.
func TestOrdersStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		exceeded := ""
		synctest.Test(t, func(t *testing.T) { exceeded = playOrderHistory(t, seed) })
		if exceeded != "" {
			rt.Fatalf("limits exceeded by %s", exceeded)
		}
	})
}

// Guards against a new leader that reads the order count of an engine while that loads a
// model for the previous leader, and orders another one into the memory when it is done.
func TestLoadOfThePreviousLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newOrderHistory(t, 1)
		defer h.close()
		e := h.engines[0]
		e.loadTime = time.Second
		for i := range historyCopies - 1 {
			e.hold(fmt.Sprint("m", i))
		}
		before := e.history[len(e.history)-1]
		e.announceAs(h.fleet, before, 0)
		time.Sleep(10 * time.Millisecond)
		e.hold("m0", "a0")
		h.changeLeader()
		assert.Equal(t, e.execute(EngineOrder{Order: scale.Order{Op: scale.Load, Model: "m5"}}), Accepted)
		e.announceAs(h.fleet, before, 0)
		time.Sleep(500 * time.Millisecond)
		// The new leader finds the adapter in the engine's report.
		h.fetch(e.id, "m0", "a0")
		h.run(8*time.Second, demandFor("m6"))
		assert.Equal(t, h.exceeded(), "")
	})
}

// Guards against announcements that were sent before an adapter was loaded and arrive seconds
// later: the leader forgot the adapter and loaded more than the engine has slots for.
func TestAnnouncementsFromBeforeALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newOrderHistory(t, 1)
		defer h.close()
		e := h.engines[0]
		e.hold("m0")
		e.announce(h.fleet)
		time.Sleep(10 * time.Millisecond)
		before := e.history
		for i := range historySlots {
			h.fetch(e.id, "m0", fmt.Sprint("a", i))
			time.Sleep(3 * time.Second)
		}
		for range 2 {
			e.announceAs(h.fleet, before[len(before)-1], 0)
			time.Sleep(maxAnnouncementDelay)
		}
		h.fetch(e.id, "m0", "a4")
		time.Sleep(time.Second)
		assert.Equal(t, h.exceeded(), "")
	})
}
