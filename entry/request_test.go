package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// Guards against failures of simple requests to one agent.
func TestOneRequest(t *testing.T) {
	env := newTestEnv(t, 1)
	got := env.generate("a joint")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, `{"text":"dovetail","tokens":2,"model":"patterns","version":"1","outcome":"completed"}`)
	assert.Equal(t, got.outcome(), outcomeCompleted)
	got = env.generate("a joint", "Accept", "text/event-stream")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "event: token\ndata: {\"index\":0,\"text\":\"dove\"}\n\n"+
		"event: token\ndata: {\"index\":1,\"text\":\"tail\"}\n\n"+
		"event: end\ndata: {\"outcome\":\"completed\",\"tokens\":2}\n\n")
	assert.Equal(t, got.outcome(), outcomeCompleted)
	got = env.send("GET", "/v1/call/ledger/orders?day=1", "")
	assert.Equal(t, got.body, "dovetail")
	assert.Equal(t, got.outcome(), outcomeCompleted)
	env.agents[0].run = respondWith(strings.Repeat("a", maxBufferedPlain), strings.Repeat("b", maxBufferedPlain))
	got = env.send("GET", "/v1/call/ledger/orders", "")
	assert.Equal(t, len(got.body), 2*maxBufferedPlain)
	assert.Equal(t, got.trailer.Get(headerOutcome), outcomeCompleted)
}

// Guards against rejections with a wrong status or code, or without an outcome, a trace
// id or the error body.
func TestRefusals(t *testing.T) {
	env := newTestEnv(t, 1, func(_ *testEnv, cfg *Section) {
		cfg.MaxBody, cfg.MaxHeader, cfg.BodyTimeout = 1000, 2000, 50*time.Millisecond
		cfg.TargetWait = 10 * time.Millisecond
	})
	env.control.mu.Lock()
	env.server.config.Store(newConfigIndex(&wire.Config{
		Version:  9,
		Models:   append(env.control.config.Models, &wire.Model{Name: "nowhere"}),
		Services: append(env.control.config.Services, &wire.Service{Name: "routeless"}),
	}))
	env.control.mu.Unlock()
	model := []string{"Bulrush-Model", "patterns", "Content-Type", "text/plain"}
	issued := time.Now().Format(time.RFC3339)
	for _, x := range []struct {
		method, path, body string
		headers            []string
		status             int
		code               string
	}{
		{"POST", "/v1/nothing", "", nil, 404, "noEndpoint"},
		{"GET", "/v1/generate", "", model, 405, "badMethod"},
		{"POST", "/v1/generate", "x", nil, 400, "badHeader"},
		{"POST", "/v1/generate", "x", append(model, "Bulrush-Model", "none"), 404, "unknownModel"},
		{"POST", "/v1/generate", "x", append(model, "Bulrush-Model", "nowhere"), 503, "noTarget"},
		{"POST", "/v1/generate", "x", append(model, "Bulrush-Adapter", "none"), 404, "unknownAdapter"},
		{"POST", "/v1/generate", "x", append(model, "Bulrush-Priority", "10"), 400, "badHeader"},
		{"POST", "/v1/generate", "x", append(model, "Bulrush-Deadline", "0"), 400, "badHeader"},
		{"POST", "/v1/generate", "x", append(model, "Bulrush-NonIdempotent", "true"), 400, "badHeader"},
		{"POST", "/v1/generate", "x", append(model, "Bulrush-Non-Idempotent", "true"), 400, "badHeader"},
		{"POST", "/v1/generate", "", model, 400, "badBody"},
		{"POST", "/v1/generate", "\xff", model, 400, "badBody"},
		{"POST", "/v1/generate", "{", append(model, "Content-Type", "application/json"), 400, "badBody"},
		{"POST", "/v1/generate", `{"prompt":"x"} {}`, append(model, "Content-Type", "application/json"), 400, "badBody"},
		{"POST", "/v1/generate", "x", append(model, "Content-Type", "image/png"), 415, "badContentType"},
		{"POST", "/v1/generate", strings.Repeat("x", 1001), model, 413, "bodyTooLarge"},
		{"POST", "/v1/generate", "x", append(model, "X-Long", strings.Repeat("x", 2000)), 431, "headersTooLarge"},
		{"GET", "/v1/call/none/x", "", nil, 404, "unknownService"},
		{"GET", "/v1/call/routeless/x", "", nil, 404, "unknownRoute"},
		{"POST", "/v1/call/ledger/x/../pay", "", nil, 400, "badPath"},
		{"POST", "/v1/call/ledger/p%61y", "", nil, 400, "badHeader"},
		{"POST", "/v1/call/ledger//pay", "", nil, 400, "badPath"},
		{"POST", "/v1/call/ledger/pay", "", nil, 400, "badHeader"},
		{"POST", "/v1/call/ledger/pay", "", []string{"Idempotency-Key", "k"}, 400, "badHeader"},
		{"POST", "/v1/call/ledger/pay", "", []string{"Bulrush-Issued", issued}, 400, "badHeader"},
	} {
		got := env.send(x.method, x.path, x.body, x.headers...)
		var body struct {
			Error struct{ Code, Outcome, Trace string }
		}
		assert.NilError(t, json.Unmarshal([]byte(got.body), &body), "%+v", x)
		assert.Equal(t, got.status, x.status, "%+v", x)
		assert.Equal(t, body.Error.Code, x.code, "%+v", x)
		assert.Equal(t, got.outcome(), outcomeNotRun)
		assert.Equal(t, body.Error.Outcome, outcomeNotRun)
		assert.Equal(t, got.header.Get(headerTrace), body.Error.Trace)
		assert.Equal(t, got.header.Get("Retry-After") != "", x.status == 503)
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(env.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/generate HTTP/1.1\r\nHost: x\r\nBulrush-Model: patterns\r\nContent-Length: 9\r\n\r\nhalf")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, len(env.agents[0].received()), 0)
}

// Guards against an interrupted stream that reaches the caller, duplicated text after a
// resume, and a retry before the crash is reported.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, how := range []string{"cut", "reclaimed", "crashed"} {
		env := newTestEnv(t, 2)
		var broken atomic.Bool
		env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
			evs := events(req, "dove", "tail", "s")
			if broken.Swap(true) {
				return respondWith("dove", "tail", "s")(req, send)
			}
			for _, ev := range evs[:3] {
				_ = send(ev)
			}
			reason := map[string]wire.Reason{
				"reclaimed": wire.Reason_REASON_RECLAIMED, "crashed": wire.Reason_REASON_CRASHED,
			}[how]
			if reason != 0 {
				return send(&wire.RunEvent{RequestId: req.GetRequestId(), End: &wire.End{
					Outcome: wire.RunOutcome_RUN_OUTCOME_UNKNOWN, Reason: reason,
				}})
			}
			return nil
		})
		got := env.generate("a joint", "Accept", "text/event-stream")
		assert.NilError(t, got.err)
		assert.Equal(t, strings.Count(got.body, "event: token"), 3, got.body)
		assert.Assert(t, strings.Contains(got.body, `{"outcome":"completed","tokens":3}`), got.body)
		runs := append(env.agents[0].received(), env.agents[1].received()...)
		assert.Equal(t, len(runs), 2)
		assert.Equal(t, len(env.agents[0].received()), 1, "resumed on the same target")
		for _, q := range runs {
			if q.GetResumeIndex() == 0 {
				continue
			}
			assert.Equal(t, q.GetResumeIndex(), uint32(2))
			assert.Equal(t, string(q.GetResumeText()), "dovetail")
			assert.Equal(t, len(env.control.crashes) == 1, how == "cut")
			assert.Equal(t, q.GetAlone(), how == "cut")
		}
	}
}

// Guards against an answer without end that is kept until the process runs out of memory.
func TestEndlessTextIsCutOff(t *testing.T) {
	env := newTestEnv(t, 1)
	stopped := make(chan struct{})
	text := strings.Repeat("x", 64<<10)
	env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
		defer close(stopped)
		evs := events(req, text)
		err := send(evs[0])
		for i := uint32(0); err == nil; i++ {
			c := proto.CloneOf(evs[1])
			c.Chunk.Index, c.Chunk.Token = i, i
			err = send(c)
		}
		return err
	})
	got := env.generate("a joint")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.outcome(), outcomeUnknown)
	assert.Assert(t, strings.Contains(got.body, "answerTooLong"), got.body[:min(len(got.body), 300)])
	<-stopped
}

// Guards against hedges that do not help, exceed their budget, or run a non-idempotent
// request twice.
func TestHedge(t *testing.T) {
	env := newTestEnv(t, 2)
	for i := range 50 {
		env.generate(fmt.Sprintf("quick %d", i))
	}
	var hedged, hung atomic.Int64
	env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
		if req.GetHedge() {
			hedged.Add(1)
			return respondWith("hedge")(req, send)
		}
		hung.Add(1)
		time.Sleep(200 * time.Millisecond)
		return respondWith("main")(req, send)
	})
	got := env.generate("slow")
	assert.Assert(t, strings.Contains(got.body, "hedge"), got.body)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { env.generate(fmt.Sprintf("slow %d", i)) })
	}
	wg.Wait()
	// A burst of 10, and 5 per 100 of the 111 requests.
	assert.Assert(t, hedged.Load() >= 2 && hedged.Load() <= hedgeBurst+6, "%d hedges", hedged.Load())
	before := hedged.Load()
	env.generate("once", "Bulrush-Non-Idempotent", "true", "Idempotency-Key", "h",
		"Bulrush-Issued", time.Now().Format(time.RFC3339))
	assert.Equal(t, hedged.Load(), before)
}

// Guards against running a claimed request twice, dispatching without a claim, and
// keeping a key claimed although the request was certainly not run.
func TestClaims(t *testing.T) {
	env := newTestEnv(t, 2, func(_ *testEnv, cfg *Section) { cfg.ControlTimeout = 300 * time.Millisecond })
	var ran atomic.Int64
	env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
		ran.Add(1)
		time.Sleep(20 * time.Millisecond)
		return respondWith("paid")(req, send)
	})
	var wg sync.WaitGroup
	var completed atomic.Int64
	for range 10 {
		wg.Go(func() {
			switch got := env.pay("k1", "7 francs"); got.status {
			case 200:
				completed.Add(1)
			case 409:
				if got.outcome() != outcomeUnknown || got.header.Get("Retry-After") == "" {
					t.Errorf("%+v", got)
				}
			default:
				t.Errorf("%+v", got)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, ran.Load(), int64(1))
	assert.Equal(t, completed.Load(), int64(1))
	got := env.pay("k1", "8 francs")
	assert.Equal(t, got.status, 422)
	assert.Equal(t, got.outcome(), outcomeNotRun)

	env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
		return send(rejection(req, wire.Reason_REASON_QUEUE_FULL))
	})
	got = env.pay("k2", "7 francs")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.outcome(), outcomeNotRun)
	env.setRun(respondWith("paid"))
	assert.Equal(t, env.pay("k2", "7 francs").body, "paid")

	seen := len(env.agents[0].received()) + len(env.agents[1].received())
	env.control.mu.Lock()
	env.control.down = true
	env.control.mu.Unlock()
	got = env.pay("k3", "7 francs")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.outcome(), outcomeNotRun)
	assert.Equal(t, len(env.agents[0].received())+len(env.agents[1].received()), seen)
	assert.Equal(t, env.generate("still served").status, 200)
	env.control.mu.Lock()
	env.control.down = false
	env.control.mu.Unlock()
}

// brokenWriter is the response writer of a caller that has disconnected.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against releasing the claim, and so running the request twice, when the caller
// disconnects before it receives the response of a request that ran.
func TestClaimIsKeptWhenTheCallerIsGone(t *testing.T) {
	env := newTestEnv(t, 1)
	req := httptest.NewRequest("POST", "/v1/call/ledger/pay", strings.NewReader("7 francs"))
	req.Header.Set("Idempotency-Key", "k")
	req.Header.Set("Bulrush-Issued", time.Now().Format(time.RFC3339))
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		env.server.ServeHTTP(brokenWriter{httptest.NewRecorder()}, req)
	}()
	assert.Equal(t, env.pay("k", "7 francs").status, 409)
	assert.Equal(t, len(env.agents[0].received()), 1)
}

// Guards against a request that crashes more than two targets although its callers
// retry, and against errors of other requests at the same time.
func TestPoison(t *testing.T) {
	env := newTestEnv(t, 5)
	first := *env
	env.startEntry(env.server.cfg)
	env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
		if string(req.GetBody()) == "poison" {
			return nil
		}
		return respondWith("well")(req, send)
	})
	var wg sync.WaitGroup
	for i := range 8 {
		through := []*testEnv{env, &first}[i%2]
		wg.Go(func() {
			for range 5 {
				if got := through.generate("poison"); got.status == 200 || got.outcome() == outcomeCompleted {
					t.Errorf("%+v", got)
				}
			}
		})
	}
	for i := range 20 {
		assert.Equal(t, env.generate(fmt.Sprintf("well %d", i)).status, 200)
	}
	wg.Wait()
	targets := map[string]bool{}
	for _, c := range env.control.crashes {
		targets[c.GetTarget()] = true
	}
	assert.Assert(t, len(targets) <= 2, "%v", targets)
	got := env.generate("poison")
	assert.Equal(t, got.status, 422)
	assert.Equal(t, got.outcome(), outcomeNotRun)
}

// Guards against a shutdown that cuts off a stream, rejects requests that the load
// balancer still sends, or stays ready.
func TestDrain(t *testing.T) {
	env := newTestEnv(t, 1, func(_ *testEnv, cfg *Section) { cfg.DrainQuiet = 300 * time.Millisecond })
	held := make(chan struct{})
	env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
		for i, ev := range events(req, "dove", "tail") {
			if i == 2 && string(req.GetBody()) == "long" {
				<-held
			}
			_ = send(ev)
		}
		return nil
	})
	assert.Equal(t, env.send("GET", "/readyz", "").status, 200)
	long := make(chan response, 1)
	go func() { long <- env.generate("long", "Accept", "text/event-stream") }()
	for len(env.agents[0].received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- env.stop() }()
	for !env.server.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	ready, late := env.send("GET", "/readyz", ""), env.generate("late")
	assert.Equal(t, ready.status, 503)
	assert.Equal(t, env.send("GET", "/healthz", "").status, 200)
	assert.Equal(t, late.status, 200)
	select {
	case <-stopped:
		t.Fatal("stopped with a stream in progress")
	case <-time.After(500 * time.Millisecond):
	}
	close(held)
	got := <-long
	assert.NilError(t, got.err)
	assert.Assert(t, strings.Contains(got.body, "event: end"))
	assert.NilError(t, <-stopped)
}

// Guards against reverting to an older configuration, replacing the directory with the
// incomplete one of a new leader, and staying ready without contact to control.
func TestSyncApplies(t *testing.T) {
	var set Settings
	set.Defaults()
	set.Entry.Control = append(set.Entry.Control, loopback)
	s := newServer(newProcess(), &set.Entry)
	sy := &syncer{s: s}
	now := time.Now()
	target := func(name string, phase wire.Phase) *wire.TargetRecord {
		return &wire.TargetRecord{
			Target: name, Address: "127.0.0.1:1", Phase: phase, Incarnation: 1, Kind: wire.TargetKind_TARGET_KIND_PLAIN,
		}
	}
	names := func() string {
		out := ""
		for _, n := range []string{"t1", "t2", "t3"} {
			if s.routing.table.Target(n) != nil {
				out += n
			}
		}
		return out
	}
	assert.Equal(t, s.notReadyReason(), "no configuration yet")
	ready := wire.Phase_PHASE_READY
	for i, x := range []struct {
		reply         *wire.SyncReply
		config        uint64
		term, version uint64
		names         string
	}{
		{&wire.SyncReply{
			Config: &wire.Config{Version: 5}, DirectoryTerm: 3, DirectoryVersion: 9, DirectoryWhole: true, DirectoryWarm: true,
			Targets: []*wire.TargetRecord{target("t1", ready), target("t2", ready)},
		}, 5, 3, 9, "t1t2"},
		{&wire.SyncReply{
			Config: &wire.Config{Version: 4}, DirectoryTerm: 2, DirectoryVersion: 99, DirectoryWhole: true, DirectoryWarm: true,
		}, 5, 3, 9, "t1t2"},
		{&wire.SyncReply{
			DirectoryTerm: 4, DirectoryVersion: 1, DirectoryWhole: true, Targets: []*wire.TargetRecord{target("t3", ready)},
		}, 5, 3, 9, "t1t2t3"},
		{&wire.SyncReply{
			DirectoryTerm: 4, DirectoryVersion: 2, DirectoryWhole: true, DirectoryWarm: true,
			Targets: []*wire.TargetRecord{target("t2", ready), target("t3", ready)},
		}, 5, 4, 2, "t2t3"},
		{&wire.SyncReply{
			Config: &wire.Config{Version: 6}, DirectoryTerm: 4, DirectoryVersion: 3, DirectoryWarm: true,
			Targets: []*wire.TargetRecord{{Target: "t2", Removed: true}},
		}, 6, 4, 3, "t3"},
	} {
		sy.apply(x.reply, now)
		assert.Equal(t, s.configVersion(), x.config, "step %d", i)
		assert.Equal(t, sy.term, x.term, "step %d", i)
		assert.Equal(t, sy.version, x.version, "step %d", i)
		assert.Equal(t, names(), x.names, "step %d", i)
	}
	clock := time.Duration(0)
	s.contact.Clock = func() time.Duration { return clock }
	s.contact.Answered(clock)
	assert.Equal(t, s.notReadyReason(), "")
	clock += set.Entry.ReadyWithout + time.Millisecond
	assert.Equal(t, s.notReadyReason(), "no contact to control")
	assert.NilError(t, s.Close())
}

// BenchmarkRequest measures a request through the entry instance without and with its
// HTTP connection, and a call to the fake agent alone. The difference is the cost of
// the entry instance.
func BenchmarkRequest(b *testing.B) {
	env := newTestEnv(b, 4)
	newRequest := func() *http.Request {
		req, _ := http.NewRequestWithContext(context.Background(), "POST", env.url+"/v1/generate", strings.NewReader("a joint"))
		req.Header.Set("Bulrush-Model", "patterns")
		req.Header.Set("Content-Type", "text/plain")
		return req
	}
	b.Run("agentAlone", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ctx := context.Background()
			req := &wire.RunRequest{RequestId: newRandomID(), Body: []byte("a joint")}
			st, err := wire.NewDRPCTargetClient(env.server.pool.Conn(ctx, env.agents[0].srv.Addr())).Run(ctx, req)
			for ; err == nil; _, err = st.Recv() {
			}
		}
	})
	b.Run("entry", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w := httptest.NewRecorder()
			env.server.ServeHTTP(w, newRequest())
			if w.Code != 200 {
				b.Fatal(w.Body)
			}
		}
	})
	b.Run("entryAndHTTP", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			resp, err := http.DefaultClient.Do(newRequest())
			if err != nil || resp.StatusCode != 200 {
				b.Fatal(resp, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}
