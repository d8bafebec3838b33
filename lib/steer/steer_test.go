package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_000_000)

var engines = Selection{Zone: "a", KVTokens: 260_000}

// readyEngines returns n ready engines with the resident model m.
func readyEngines(n int) []*Target {
	out := make([]*Target, n)
	for i := range out {
		out[i] = &Target{
			ID: fmt.Sprintf("t%d", i), Addr: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a",
			Ready: true, Slots: 64, Models: map[string]*Model{"m": {Adapters: map[string]bool{}}},
		}
	}
	return out
}

func skipNone(*Target) bool { return false }

// draft returns a request with a long prompt, whose first two parts are shared by all
// drafts of the document.
func draft(document, own uint64) *Request {
	return &Request{
		Model: "m", PromptTokens: 9200, OutputTokens: 50,
		Parts: []Part{{1, 2500}, {100 + document, 3800}, {10_000 + own, 2900}},
	}
}

// chat returns a request with a short prompt.
func chat(session uint64) *Request {
	return &Request{
		Model: "m", PromptTokens: 800, OutputTokens: 290,
		Parts: []Part{{2, 120}, {3, 80}, {20_000 + session, 600}},
	}
}

// Sends requests with shared prefixes one after the other. Guards against a balancer
// that ignores cached prefixes, so that every engine prefills each of them.
func TestSharedPromptsHitTheCache(t *testing.T) {
	targets := readyEngines(8)
	now := start
	read := 0
	for i := range 200 {
		now = now.Add(500 * time.Millisecond)
		r := draft(uint64(i%10), uint64(i))
		c := Pick(now, engines, r, targets, skipNone)
		read += c.PrefillTokens
		c.Target.StartRequest(now, r, engines, c.PrefillTokens)
		c.Target.AddFirstOutput(now, 100*time.Millisecond, c.Base, c.PrefillTokens)
		c.Target.EndRequest(r, c.PrefillTokens, true)
	}
	// 200 unique parts, and at most 3 prefills of each of the 10 documents.
	assert.Assert(t, read <= 200*2900+30*6300, "read %d tokens", read)
}

// Selects targets on two entry instances that haven't exchanged any state. Guards
// against different first choices, with which each instance would have every document
// prefilled once.
func TestInstancesAgreeOnTheFirstTarget(t *testing.T) {
	for document := range uint64(20) {
		a := Pick(start, engines, draft(document, 1), readyEngines(8), skipNone)
		b := Pick(start, engines, draft(document, 2), readyEngines(8), skipNone)
		assert.Equal(t, a.Target.ID, b.Target.ID)
	}
}

// Sends many prompts with one shared document at once. Guards against overloading the
// target that has the document cached.
func TestPeakOfOneDocumentSpreads(t *testing.T) {
	targets := readyEngines(4)
	for i := range 40 {
		r := draft(1, uint64(i))
		c := Pick(start, engines, r, targets, skipNone)
		c.Target.StartRequest(start, r, engines, c.PrefillTokens)
	}
	for _, x := range targets {
		assert.Assert(t, x.Own.Running >= 4 && x.Own.Running <= 20, "%s runs %d", x.ID, x.Own.Running)
	}
}

// Sends short chats while some targets prefill long prompts. Guards against streams that
// stall during these prefills although other targets have few of them.
func TestChatsAvoidTargetsThatReadPrompts(t *testing.T) {
	targets := readyEngines(4)
	targets[0].Others.PromptRate, targets[1].Others.PromptRate = 20_000, 20_000
	for i := range 20 {
		r := chat(uint64(i))
		c := Pick(start, engines, r, targets, skipNone)
		c.Target.StartRequest(start, r, engines, c.PrefillTokens)
		assert.Assert(t, c.Target == targets[2] || c.Target == targets[3], "chose %s", c.Target.ID)
	}
}

// Sends a long draft while one target runs many streams. Guards against delaying all of
// them by its prefill when another target runs none.
func TestDraftsAvoidTargetsWithManyStreams(t *testing.T) {
	targets := readyEngines(2)
	targets[0].Others.Running = 30
	c := Pick(start, engines, draft(1, 1), targets, skipNone)
	assert.Equal(t, c.Target, targets[1])
}

// An engine with running streams is slow for some hundred milliseconds. Guards against
// sending it a long prompt in that time, which would stall all of its streams for longer
// than their clients accept. Also guards against avoiding an engine that has merely
// prefilled a prompt, or one that has recovered.
func TestDraftsAvoidTargetsThatAreSlowNow(t *testing.T) {
	targets := readyEngines(2)
	c := Pick(start, engines, draft(1, 1), targets, skipNone)
	first := c.Target
	first.StartRequest(start, draft(1, 1), engines, c.PrefillTokens)
	first.AddFirstOutput(start, c.Base, c.Base, c.PrefillTokens)
	now := start
	events := func(n int, pause time.Duration) {
		for range n {
			now = now.Add(pause)
			first.AddGap(now, pause)
		}
	}
	chosen := func() bool { return Pick(now, engines, draft(1, 2), targets, skipNone).Target == first }
	events(60, 25*time.Millisecond)
	assert.Assert(t, chosen())
	events(2, 110*time.Millisecond)
	assert.Assert(t, chosen(), "two gaps during a concurrent prefill")
	events(4, 63*time.Millisecond)
	assert.Assert(t, !chosen(), "currently slow")
	events(1, 70*time.Millisecond)
	events(20, 25*time.Millisecond)
	assert.Assert(t, chosen(), "recovered")
	now = now.Add(200 * time.Millisecond)
	assert.Assert(t, !chosen(), "all streams are stalled")
	first.EndRequest(draft(1, 1), c.PrefillTokens, true)
	assert.Assert(t, chosen(), "no active stream")
}

// A target is down. Guards against requests that keep failing there while other targets
// could serve them, and against refusing requests when all targets are in back-off.
func TestUnreachableTargetIsAvoided(t *testing.T) {
	targets := readyEngines(2)
	first := Pick(start, engines, draft(1, 1), targets, skipNone).Target
	first.AddFailure(start, true)
	for i := range uint64(10) {
		assert.Assert(t, Pick(start, engines, draft(1, i), targets, skipNone).Target != first)
	}
	for _, x := range targets {
		x.AddFailure(start, true)
	}
	assert.Assert(t, Pick(start, engines, draft(1, 1), targets, skipNone).Target != nil)
	late := start.Add(maxBackoff * 4)
	assert.Equal(t, Pick(late, engines, draft(1, 1), targets, skipNone).Candidates, 2)
}

// A target that passes its health checks fails part of its requests. Guards against
// sending it further traffic.
func TestFailingTargetLosesTraffic(t *testing.T) {
	targets := readyEngines(3)
	for i := range targets {
		targets[i].Models = nil
	}
	for range 3 {
		targets[0].AddFailure(start, false)
	}
	for range 20 {
		c := Pick(start, Selection{Zone: "a"}, &Request{}, targets, skipNone)
		assert.Assert(t, c.Target != targets[0])
		c.Target.StartRequest(start, &Request{}, Selection{}, 0)
	}
}

// Requests need an adapter while a target loads a model, which takes seconds. Guards
// against sending them there, where they would wait for an adapter that another target
// can fetch at once (incident inc-2b23).
func TestAdaptersAvoidTargetsWithOrders(t *testing.T) {
	targets := readyEngines(2)
	r := draft(1, 1)
	r.Adapter = "a1"
	first := Pick(start, engines, r, targets, skipNone).Target
	first.OrderInProgress = true
	assert.Assert(t, Pick(start, engines, r, targets, skipNone).Target != first)
	first.Models["m"].Adapters["a1"] = true
	assert.Equal(t, Pick(start, engines, r, targets, skipNone).Target, first)
}

// Guards against selecting a target where the model is being unloaded or loaded, or one
// that is draining.
func TestOnlyServingTargetsAreChosen(t *testing.T) {
	targets := readyEngines(4)
	targets[0].Models["m"].Leaving = true
	targets[1].Models["m"].ReadyAt = start.Add(time.Second)
	targets[2].Ready = false
	for i := range uint64(10) {
		assert.Equal(t, Pick(start, engines, draft(i, i), targets, skipNone).Target, targets[3])
	}
	until, ok := LoadingUntil("m", targets)
	assert.Assert(t, ok)
	assert.Equal(t, until, start.Add(time.Second))
	c := Pick(start, engines, draft(1, 1), targets, func(x *Target) bool { return x == targets[3] })
	assert.Assert(t, c.Target == nil)
}

// Guards against load counters that don't return to zero, which would make a target look
// loaded forever.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := readyEngines(3)
		type run struct {
			c       Choice
			r       *Request
			started bool
		}
		var open []run
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			switch k := rapid.IntRange(0, 2).Draw(t, "step"); {
			case k == 0 || len(open) == 0:
				r := draft(uint64(i%4), uint64(i))
				c := Pick(now, engines, r, targets, skipNone)
				c.Target.StartRequest(now, r, engines, c.PrefillTokens)
				open = append(open, run{c: c, r: r})
			case k == 1:
				x := &open[len(open)-1]
				if !x.started {
					x.c.Target.AddFirstOutput(now, time.Second, x.c.Base, x.c.PrefillTokens)
					x.started = true
				}
			default:
				x := open[0]
				open = open[1:]
				x.c.Target.EndRequest(x.r, x.c.PrefillTokens, x.started)
			}
		}
		for _, x := range open {
			x.c.Target.EndRequest(x.r, x.c.PrefillTokens, x.started)
		}
		for _, x := range targets {
			x.Own.PromptRate = 0
			if x.Own != (Load{}) {
				t.Fatalf("%s keeps %+v", x.ID, x.Own)
			}
		}
	})
}

// Guards against reporting demand after it has ended, and against not reporting a model
// for which requests wait.
func TestDemand(t *testing.T) {
	var d Demand
	for i := range 10 {
		d.Add(start.Add(time.Duration(i)*100*time.Millisecond), draft(1, uint64(i)), 4000)
	}
	now := start.Add(time.Second)
	report := d.Report(now)
	assert.Equal(t, len(report), 1)
	// 10 requests of about 0.1 s within one second.
	work := report[0].GetWorkMicrosPerSecond() / 1e6
	assert.Assert(t, work > 0.3 && work < 1.2, "work %f", work)
	d.AddWaiting(now, "rare", 1)
	assert.Equal(t, len(d.Report(now)), 2)
	d.AddWaiting(now, "rare", -1)
	assert.Equal(t, len(d.Report(now.Add(time.Minute))), 0)
}

// Guards against choosing a target that has named a limit and takes the request only later
// than another one.
func TestLimitedTargetIsWeighedByItsTurn(t *testing.T) {
	targets := readyEngines(2)
	targets[0].Limit, targets[0].FreeAt = 2, start.Add(400*time.Millisecond)
	targets[1].Own.PromptTokens = 4000
	c := Pick(start, engines, chat(1), targets, skipNone)
	assert.Equal(t, c.Target, targets[1])
	targets[0].FreeAt = start.Add(20 * time.Millisecond)
	c = Pick(start, engines, chat(1), targets, skipNone)
	assert.Equal(t, c.Target, targets[0])
	assert.Assert(t, c.Wait >= 20*time.Millisecond)
}
