package control

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

// fakeEngine follows the rules of an engine: it accepts an order only with the number of
// orders that it has accepted before, and crashes when its limits are exceeded.
type fakeEngine struct {
	mu           sync.Mutex
	models       map[string]map[string]bool
	count        uint64
	token        uint64
	adapterSlots int
	maxModels    int
	crashed      string
	accepted     []scale.Order
	// answer decides whether the nth order is executed at once, and whether the sender
	// gets the answer.
	answer func(n int) (executed, answered bool)
	sends  int
	// busy is the value of EngineState.Busy, and reports the number of reports.
	busy    bool
	reports int
	// delayed holds the orders that arrive late, for the test to execute.
	delayed []EngineOrder
	// blocked, if set, blocks the sending of orders until it is closed or the sender gives
	// up. These orders are neither executed nor answered.
	blocked chan struct{}
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		models: map[string]map[string]bool{}, adapterSlots: 2, maxModels: 3,
		answer: func(int) (bool, bool) { return true, true },
	}
}

func (e *fakeEngine) send(ctx context.Context, _ fleet.Announcement, o EngineOrder) (SendResult, error) {
	if e.blocked != nil {
		select {
		case <-e.blocked:
		case <-ctx.Done():
		}
		return Unanswered, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends++
	executed, answered := e.answer(e.sends)
	if !executed {
		e.delayed = append(e.delayed, o)
		return Unanswered, errors.New("no answer")
	}
	result := e.execute(o)
	if !answered {
		return Unanswered, errors.New("no answer")
	}
	return result, nil
}

// execute applies an order to the state of the engine. The caller holds mu.
func (e *fakeEngine) execute(o EngineOrder) SendResult {
	if o.Token < e.token {
		return Fenced
	}
	e.token = o.Token
	if o.AcceptedOrders != e.count {
		return Conflict
	}
	adapters, held := e.models[o.Model]
	switch {
	case o.Adapter == "" && o.Op == scale.Load:
		e.models[o.Model] = map[string]bool{}
	case o.Adapter == "":
		delete(e.models, o.Model)
	case !held:
		return Invalid
	case o.Op == scale.Load:
		adapters[o.Adapter] = true
	default:
		delete(adapters, o.Adapter)
	}
	e.count++
	e.accepted = append(e.accepted, o.Order)
	if len(e.models) > e.maxModels {
		e.crashed = "memory"
	}
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	if n > e.adapterSlots {
		e.crashed = "adapter slots"
	}
	if o.Op == scale.Unload && o.Adapter != "" {
		return AlreadyInEffect
	}
	return Accepted
}

func (e *fakeEngine) report(context.Context, fleet.Announcement) (EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	return e.state(), nil
}

func (e *fakeEngine) state() EngineState {
	s := EngineState{AcceptedOrders: e.count, Busy: e.busy}
	for m, adapters := range e.models {
		h := scale.ReportedModel{Model: m}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		s.Held = append(s.Held, h)
	}
	return s
}

func decodeFake(version uint64, content []byte) (*site.Config, error) {
	if string(content) == "bad" {
		return nil, errors.New("cannot be read")
	}
	e := &site.Engine{MemoryMB: 300, AdapterSlots: 2, LoadsPerSecond: 1000}
	for i := range 6 {
		e.Models = append(e.Models, site.Model{
			Name: fmt.Sprintf("m%d", i), MB: 99, StoreLoadTime: 10 * time.Millisecond, DiskLoadTime: 10 * time.Millisecond,
			Adapters: 9, AdapterMB: 1,
		})
	}
	return &site.Config{Version: version, Services: []site.Service{{Name: "s", Engine: e}}}, nil
}

// startFleet returns a fleet with a single control instance and one engine.
func startFleet(t *testing.T, e *fakeEngine) *Fleet {
	t.Helper()
	p := testProcess()
	svc := newService("c1", p)
	svc.group = singleInstance(svc)
	f := newFleet(svc, p.Log, p.Scope, "c1", &options{
		decode: decodeFake, engineClient: EngineClient{Send: e.send, Report: e.report}, announcePeriod: defaultAnnouncePeriod,
	})
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	_, err := f.StoreDocument(t.Context(), 3, []byte("x"))
	assert.NilError(t, err)
	return f
}

func announce(t *testing.T, f *Fleet, e *fakeEngine, sequence uint64) {
	t.Helper()
	e.mu.Lock()
	s := e.state()
	e.mu.Unlock()
	var models []fleet.Model
	for _, h := range s.Held {
		models = append(models, fleet.Model{Name: h.Model, Adapters: h.Adapters})
	}
	assert.NilError(t, f.Announce(t.Context(), fleet.Announcement{
		ID: "t1", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Service: "s",
		Born: time.UnixMilli(1), Sequence: sequence, Slots: 4, HasModels: true, Models: models,
	}, s))
}

func fetch(t *testing.T, f *Fleet, adapter string) error {
	t.Helper()
	reply, err := f.Fetch(t.Context(), &wire.FetchRequest{
		Protocol: link.Protocol, Target: "t1", Model: "m0", Adapter: adapter,
	})
	if err != nil {
		return err
	}
	if !reply.GetAccepted() {
		return errors.New(reply.GetMessage())
	}
	return nil
}

// Guards against a document that is replaced by one with an older or equal version, that
// is read back changed, or that is accepted although it is invalid.
func TestDocumentOrder(t *testing.T) {
	f := startFleet(t, newFakeEngine())
	for _, c := range []struct {
		name    string
		version uint64
		content string
		stored  bool
		invalid bool
	}{
		{"resend", 3, "x", false, false},
		{"other content with the stored version", 3, "y", false, false},
		{"older", 2, "old", false, false},
		{"invalid", 9, "bad", false, true},
		{"newer", 7, "new", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			before, err := f.ReadDocument(t.Context())
			assert.NilError(t, err)
			stored, err := f.StoreDocument(t.Context(), c.version, []byte(c.content))
			assert.Equal(t, errors.Is(err, ErrInvalid), c.invalid)
			assert.Equal(t, stored, c.stored)
			after, err := f.ReadDocument(t.Context())
			assert.NilError(t, err)
			want := string(before.GetContent())
			if c.stored {
				want = c.content
			}
			assert.Equal(t, string(after.GetContent()), want)
		})
	}
}

// Guards against an instance that serves a document although no majority confirms its
// leadership.
func TestReadNeedsAMajority(t *testing.T) {
	f := startFleet(t, newFakeEngine())
	f.svc.group.Confirm = func(context.Context) error { return errors.New("no majority") }
	_, err := f.ReadDocument(t.Context())
	assert.Assert(t, err != nil)
	_, err = f.Report(t.Context(), &wire.FleetRequest{Protocol: link.Protocol, Name: "e1"})
	assert.Assert(t, err != nil)
}

// Guards against an order that an engine executes twice or never because the answer was
// lost, and against an engine whose limits are exceeded because the first attempt is
// executed late.
func TestOrdersWithLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(n int) (executed, answered bool)
	}{
		{"answered", func(int) (bool, bool) { return true, true }},
		{"first answer lost", func(n int) (bool, bool) { return true, n > 1 }},
		{"first order late", func(n int) (bool, bool) { return n > 1, true }},
		{"every second order late", func(n int) (bool, bool) { return n%2 == 0, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newFakeEngine()
			e.models["m0"] = map[string]bool{}
			e.answer = c.answer
			f := startFleet(t, e)
			announce(t, f, e, 1)
			for i := range 5 {
				assert.NilError(t, fetch(t, f, fmt.Sprintf("a%d", i)))
				// Recently used adapters are not evicted, so their last use is reset.
				f.mu.Lock()
				for _, a := range f.engines["t1"].Copies["m0"].Adapters {
					a.LastUsed = time.Time{}
				}
				f.mu.Unlock()
				e.mu.Lock()
				for _, o := range e.delayed {
					e.execute(o)
				}
				assert.Equal(t, e.crashed, "")
				assert.Assert(t, e.models["m0"][fmt.Sprintf("a%d", i)])
				e.mu.Unlock()
			}
		})
	}
}

// Guards against a leader that gives the slot of an adapter to another one although the engine
// may still execute an unanswered attempt, because a later attempt had no room.
func TestUnansweredAttemptKeepsItsSlot(t *testing.T) {
	e := newFakeEngine()
	e.models["m0"] = map[string]bool{}
	f := startFleet(t, e)
	announce(t, f, e, 1)
	e.answer = func(int) (bool, bool) {
		// A late announcement lists adapters that are gone.
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, name := range []string{"a8", "a9"} {
			f.engines["t1"].Copies["m0"].Adapters[name] = &scale.Adapter{}
		}
		return false, false
	}
	assert.ErrorContains(t, fetch(t, f, "a1"), Unanswered.String())
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, f.engines["t1"].Copies["m0"].Adapters["a1"] != nil)
}

// Guards against a report for each request that wants an adapter of an engine which executes an
// order of the previous leader.
func TestBusyEngineIsNotAskedAllTheTime(t *testing.T) {
	e := newFakeEngine()
	e.models["m0"] = map[string]bool{}
	e.busy = true
	f := startFleet(t, e)
	announce(t, f, e, 1)
	for range 20 {
		assert.ErrorContains(t, fetch(t, f, "a1"), errEngineBusy.Error())
	}
	e.mu.Lock()
	e.busy = false
	reports := e.reports
	e.mu.Unlock()
	assert.Assert(t, reports <= 2, "%d reports", reports)
	time.Sleep(effectPollInterval)
	assert.NilError(t, fetch(t, f, "a1"))
}

// Guards against the eviction of an adapter in use, and against orders to an engine
// whose adapter slots are all in use.
func TestAdaptersInUseAreNotEvicted(t *testing.T) {
	e := newFakeEngine()
	e.models["m0"] = map[string]bool{}
	f := startFleet(t, e)
	announce(t, f, e, 1)
	assert.NilError(t, fetch(t, f, "a1"))
	assert.NilError(t, fetch(t, f, "a2"))
	err := fetch(t, f, "a3")
	assert.ErrorContains(t, err, errNoFreeSlot.Error())
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, len(e.accepted), 2)
}

// Guards against a new leader that sends orders before those of the previous leader have
// ended, in deployments whose engines do not check fencing tokens.
func TestNewLeaderPauses(t *testing.T) {
	e := newFakeEngine()
	e.models["m0"] = map[string]bool{}
	f := startFleet(t, e)
	f.orderPause = time.Hour
	announce(t, f, e, 1)
	assert.ErrorContains(t, fetch(t, f, "a1"), errOrdersPaused.Error())
	f.tick(time.Now().Add(time.Minute))
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, e.sends, 0)
}

// Guards against orders from an instance that no longer leads.
func TestDeposedLeaderGivesNoOrders(t *testing.T) {
	e := newFakeEngine()
	e.models["m0"] = map[string]bool{}
	f := startFleet(t, e)
	announce(t, f, e, 1)
	f.svc.group.Leading = func() (uint64, bool) { return 1, false }
	assert.Equal(t, link.CodeOf(fetch(t, f, "a1")), link.CodeNotLeader)
	result, err := f.sendOrder(1, f.engines["t1"], scale.Order{Op: scale.Load, Model: "m0", Adapter: "a1"})
	assert.Equal(t, result, NotSent)
	assert.Error(t, err, "target or leadership lost")
	assert.Equal(t, e.sends, 0)
}

// Guards against acknowledging that a target leaves before the entry instances have been
// told, and against an acknowledgement that never comes because one of them is silent.
func TestLeavingIsToldFirst(t *testing.T) {
	e := newFakeEngine()
	f := startFleet(t, e)
	announce(t, f, e, 1)
	report := func(name string) *wire.FleetReply {
		f.mu.Lock()
		_, version := f.table.Version()
		f.mu.Unlock()
		reply, err := f.Report(t.Context(), &wire.FleetRequest{
			Protocol: link.Protocol, Name: name, Term: 1, TableVersion: version, DocumentVersion: 3,
		})
		assert.NilError(t, err)
		return reply
	}
	report("e1")
	report("silent")
	f.mu.Lock()
	f.entries["silent"].lastReport = time.Now().Add(-2 * entryLease)
	f.mu.Unlock()
	done := make(chan error, 1)
	start := time.Now()
	go func() { done <- f.Leave(context.Background(), "t1", time.Time{}) }()
	time.Sleep(50 * time.Millisecond)
	select {
	case <-done:
		t.Fatal("acknowledged before e1 was told")
	default:
	}
	reply, err := f.Report(t.Context(), &wire.FleetRequest{
		Protocol: link.Protocol, Name: "e1", Term: 1, TableVersion: 1, DocumentVersion: 3,
	})
	assert.NilError(t, err)
	assert.Assert(t, reply.GetTargets()[0].GetRemoved())
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(start) < propagationTimeout+time.Second)
}

// Guards against an instance that keeps the leadership during its shutdown while one of
// its calls waits, so that no instance accepts calls (found in a replay of hunt-581c-35).
func TestStopDoesNotWaitForLongCalls(t *testing.T) {
	e := newFakeEngine()
	e.models["m0"] = map[string]bool{}
	e.blocked = make(chan struct{})
	f := startFleet(t, e)
	transferred := make(chan time.Time, 1)
	f.svc.group.Transfer = func(context.Context) error {
		transferred <- time.Now()
		return nil
	}
	announce(t, f, e, 1)
	done := make(chan error, 1)
	go func() { done <- fetch(t, f, "a1") }()
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	f.stop()
	assert.NilError(t, f.svc.shutdown(5*time.Second))
	assert.Assert(t, (<-transferred).Sub(start) < time.Second)
	assert.Assert(t, <-done != nil)
}

// Guards against a request that crashes further targets because different entry
// instances reported its failures, and against blocking a request because targets
// aborted a reply without crashing.
func TestLostRequestsAreCountedTogether(t *testing.T) {
	e := newFakeEngine()
	f := startFleet(t, e)
	announce(t, f, e, 1)
	fp := make([]byte, poison.FingerprintSize)
	report := func(name, target string, completed ...[]byte) wire.Verdict {
		req := &wire.FleetRequest{Protocol: link.Protocol, Name: name, DocumentVersion: 3, Completed: completed}
		if target != "" {
			req.Lost = []*wire.LostRequest{{Fingerprint: fp, Target: target, BornMillis: 1}}
		}
		reply, err := f.Report(t.Context(), req)
		assert.NilError(t, err)
		if len(reply.GetSuspects()) == 0 {
			return wire.Verdict_VERDICT_CLEAR
		}
		return reply.GetSuspects()[0].GetVerdict()
	}
	assert.Equal(t, report("e1", "t1"), wire.Verdict_VERDICT_CLEAR)
	assert.Equal(t, report("e2", "t2"), wire.Verdict_VERDICT_SUSPECT)
	assert.Equal(t, report("e1", "t3"), wire.Verdict_VERDICT_BLOCKED)
	assert.Equal(t, report("e3", ""), wire.Verdict_VERDICT_BLOCKED)
	time.Sleep(1100 * time.Millisecond)
	announce(t, f, e, 2)
	assert.Equal(t, report("e3", ""), wire.Verdict_VERDICT_BLOCKED, "sent before the loss, perhaps")
	time.Sleep(poison.AliveDelay - time.Second)
	announce(t, f, e, 2)
	assert.Equal(t, report("e3", ""), wire.Verdict_VERDICT_BLOCKED, "a late copy")
	// Number 1 was at most 6 s late: five more may have been sent before the loss, and are later still.
	announce(t, f, e, 7)
	assert.Equal(t, report("e3", ""), wire.Verdict_VERDICT_BLOCKED, "sent before the loss, perhaps")
	announce(t, f, e, 8)
	assert.Equal(t, report("e3", ""), wire.Verdict_VERDICT_SUSPECT, "t1 is alive")
	assert.Equal(t, report("e3", "", fp), wire.Verdict_VERDICT_CLEAR, "a target completed it")
}

// Guards against a new leader that knows no targets until they announce themselves
// again, that restores a target that has left, or that keeps restored targets forever.
func TestNewLeaderRecallsTargets(t *testing.T) {
	e := newFakeEngine()
	e.models["m0"] = map[string]bool{}
	f := startFleet(t, e)
	announce(t, f, e, 1)
	assert.NilError(t, f.updateRoster(t.Context(), ""))
	f.svc.group.Leading = func() (uint64, bool) { return 2, true }
	report := func() *wire.FleetReply {
		reply, err := f.Report(t.Context(), &wire.FleetRequest{Protocol: link.Protocol, Name: "e1", DocumentVersion: 3})
		assert.NilError(t, err)
		return reply
	}
	reply := report()
	assert.Equal(t, len(reply.GetTargets()), 1)
	assert.Equal(t, reply.GetTargets()[0].GetModels()[0].GetName(), "m0")
	f.tick(time.Now().Add(restoredTargetLease + time.Second))
	assert.Equal(t, len(report().GetTargets()), 0)

	announce(t, f, e, 2)
	assert.NilError(t, f.Leave(t.Context(), "t1", time.Time{}))
	f.svc.group.Leading = func() (uint64, bool) { return 3, true }
	assert.Equal(t, len(report().GetTargets()), 0)
}

func partBytes(n uint64) []byte {
	fp := poison.PartFingerprint("s", n)
	return fp[:]
}

// Guards against data races between calls and the planner, which can crash the process.
func TestConcurrentCallsAndTicks(t *testing.T) {
	e := newFakeEngine()
	f := startFleet(t, e)
	announce(t, f, e, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	loop := func(do func(n uint64)) {
		wg.Go(func() {
			for n := uint64(2); ctx.Err() == nil; n++ {
				do(n)
			}
		})
	}
	marshal := func(m proto.Message, err error) {
		if err == nil {
			_, err = proto.Marshal(m)
		}
		if err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	}
	for i := range 3 {
		loop(func(n uint64) {
			reply, err := f.Report(ctx, &wire.FleetRequest{
				Protocol: link.Protocol, Name: fmt.Sprint("e", i), DocumentVersion: 3, Term: 1, TableVersion: n % 7,
				Loads:  []*wire.TargetLoad{{Target: "t1", Running: uint32(n % 5), MemoryTokens: n % 3, Adapters: []string{"m0/a1"}}},
				Demand: []*wire.ModelDemand{{Model: fmt.Sprint("m", n%3), WorkMicrosPerSecond: 1e6, Waiting: 1}},
				Cached: []*wire.CachedPrompt{{Target: "t1", Key: n, Tokens: 9}},
				Lost: []*wire.LostRequest{{
					Fingerprint: make([]byte, poison.FingerprintSize), Target: fmt.Sprint("t", n%4), BornMillis: 1,
					Parts: [][]byte{partBytes(n % 5), partBytes(n % 3)},
				}},
				Wanted: [][]byte{partBytes(n % 5)}, Completed: [][]byte{partBytes(n % 7)},
			})
			marshal(reply, err)
		})
		loop(func(n uint64) {
			reply, err := f.Fetch(ctx, &wire.FetchRequest{Protocol: link.Protocol, Target: "t1", Model: "m0", Adapter: fmt.Sprint("a", n%4)})
			marshal(reply, err)
		})
	}
	loop(func(n uint64) { announce(t, f, e, n) })
	loop(func(uint64) { f.tick(time.Now()) })
	loop(func(uint64) { assert.Check(t, f.saveLosses(ctx) == nil || ctx.Err() != nil) })
	loop(func(n uint64) {
		f.clearVerdict(poison.Fingerprint(partBytes(n % 5)))
		marshal(&wire.FleetReply{Suspects: f.lostSuspects(time.Now())}, nil)
	})
	wg.Wait()
}
