package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	tally "github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fakeControl is a control group with one instance that records the calls it receives.
type fakeControl struct {
	wire.DRPCControlUnimplementedServer
	srv *link.Server

	mu            sync.Mutex
	reply         wire.SyncReply
	last          *wire.SyncRequest
	intents       []*wire.Intent
	refuseIntents bool
	// unreachable makes Sync fail; failedSyncs counts the failures.
	unreachable bool
	failedSyncs int
	closed      []string
	settled     []*wire.SettleRequest
	crashes     []*wire.CrashReport
	// refuseCrashes makes it reject crash reports, like an instance that is not the
	// leader.
	refuseCrashes bool
}

func newFakeControl(t *testing.T) *fakeControl {
	c := &fakeControl{}
	srv, err := link.Listen(loopback, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterControl(mux, c) })
	assert.NilError(t, err)
	c.srv = srv
	t.Cleanup(func() { _ = srv.Close() })
	return c
}

func (c *fakeControl) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	select {
	case <-ctx.Done():
	case <-time.After(min(10*time.Millisecond, time.Duration(r.GetWaitMillis())*time.Millisecond)):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		c.failedSyncs++
		return nil, fmt.Errorf("control is unreachable")
	}
	c.last = r
	return &wire.SyncReply{
		Protocol: 1, Config: c.reply.GetConfig(), Plan: c.reply.GetPlan(), Superseded: c.reply.GetSuperseded(),
		SuspectsVersion: c.reply.GetSuspectsVersion(), Suspects: c.reply.GetSuspects(),
	}, nil
}

func (c *fakeControl) Register(context.Context, *wire.RegisterRequest) (*wire.RegisterReply, error) {
	return &wire.RegisterReply{Incarnation: 7}, nil
}

func (c *fakeControl) Intend(_ context.Context, r *wire.IntendRequest) (*wire.IntendReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.GetClose() {
		c.closed = append(c.closed, r.GetIntent().GetCommandId())
	} else {
		c.intents = append(c.intents, r.GetIntent())
	}
	return &wire.IntendReply{Accepted: !c.refuseIntents}, nil
}

func (c *fakeControl) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = append(c.settled, r)
	return &wire.SettleReply{Accepted: true}, nil
}

func (c *fakeControl) ReportCrash(_ context.Context, r *wire.CrashReport) (*wire.CrashReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuseCrashes {
		return nil, link.Errorf(link.CodeNotLeader, "no leader")
	}
	c.crashes = append(c.crashes, r)
	return &wire.CrashReply{}, nil
}

// withLock runs f with the lock held.
func (c *fakeControl) withLock(f func()) { runLocked(&c.mu, f) }

func runLocked(mu *sync.Mutex, f func()) {
	mu.Lock()
	defer mu.Unlock()
	f()
}

// fakeEngine is a model engine that answers generate requests with generate.
type fakeEngine struct {
	addr string
	srv  *http.Server

	mu       sync.Mutex
	state    stateJSON
	commands []commandJSON
	generate func(w http.ResponseWriter, r *http.Request, g generateJSON)
}

func newFakeEngine(t *testing.T) *fakeEngine {
	e := &fakeEngine{generate: echo, state: stateJSON{
		BootID: "b1", MemoryBytes: 100, Slots: 4,
		Resident: []copyJSON{{Model: "m", Version: "1", Bytes: 10}},
	}}
	e.listen(t, "127.0.0.1:0")
	return e
}

// startEngineAgent starts an agent for a fake engine with the given handler of generate
// requests.
func startEngineAgent(t *testing.T, change func(*Settings),
	generate func(http.ResponseWriter, *http.Request, generateJSON),
) (*fakeEngine, *testAgent) {
	e := newFakeEngine(t)
	e.generate = generate
	return e, startAgent(t, kindEngine, "http://"+e.addr, change)
}

func (e *fakeEngine) listen(t *testing.T, addr string) {
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	e.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(e.state)
	})
	mux.HandleFunc("POST /v1/commands", e.command)
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) {
		var g generateJSON
		_ = json.NewDecoder(r.Body).Decode(&g)
		e.mu.Lock()
		gen := e.generate
		e.mu.Unlock()
		gen(w, r, g)
	})
	srv := &http.Server{Handler: mux}
	e.srv = srv
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
}

func (e *fakeEngine) command(w http.ResponseWriter, r *http.Request) {
	var c commandJSON
	_ = json.NewDecoder(r.Body).Decode(&c)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, c)
	if c.Copy != nil {
		e.state.Resident = slices.DeleteFunc(e.state.Resident, func(x copyJSON) bool {
			return x.Model == c.Copy.Model && x.Version == c.Copy.Version && x.Adapter == c.Copy.Adapter
		})
		if c.Op == "load" {
			e.state.Resident = append(e.state.Resident, *c.Copy)
		}
	}
	_ = json.NewEncoder(w).Encode(commandReplyJSON{CommandID: c.CommandID, State: "done"})
}

func (e *fakeEngine) withLock(f func()) { runLocked(&e.mu, f) }

func writeToken(w http.ResponseWriter, id string, index uint32, text string) {
	_ = json.NewEncoder(w).Encode(map[string]any{"requestId": id, "index": index, "text": text})
	_ = http.NewResponseController(w).Flush()
}

func writeFinal(w http.ResponseWriter, id string, tokens uint32) {
	_ = json.NewEncoder(w).Encode(map[string]any{"requestId": id, "done": true, "tokens": tokens})
}

// echo generates the tokens from resumeIndex to maxTokens.
func echo(w http.ResponseWriter, _ *http.Request, g generateJSON) {
	for i := g.ResumeIndex; i < g.MaxTokens; i++ {
		writeToken(w, g.RequestID, i, fmt.Sprintf("t%d ", i))
	}
	writeFinal(w, g.RequestID, max(g.MaxTokens, g.ResumeIndex))
}

// testAgent is an agent under test with a fake control instance.
type testAgent struct {
	*agent
	t       *testing.T
	control *fakeControl
	pool    *link.Pool
	cancel  context.CancelFunc
	done    chan error
}

// startAgent starts an agent for the target at url and waits until it is announced as
// ready.
func startAgent(t *testing.T, kind, url string, change func(*Settings)) *testAgent {
	c := newFakeControl(t)
	s := new(Settings)
	s.Defaults()
	s.Process.Name, s.Process.Zone = "a1", "z1"
	s.Agent.Target, s.Agent.Kind, s.Agent.URL, s.Agent.Team = "t1", kind, url, "own"
	s.Agent.Service, s.Agent.Listen = "svc", loopback
	s.Agent.Control = []netip.AddrPort{c.srv.Addr()}
	s.Agent.PollPeriod, s.Agent.Linger = 10*time.Millisecond, time.Millisecond
	if change != nil {
		change(s)
	}
	a, err := newAgent(s, &daemon.Process{
		Common: s.Process, Log: daemon.DiscardLogger(), Scope: tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""),
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	b := &testAgent{agent: a, t: t, control: c, pool: link.NewPool(), cancel: cancel, done: make(chan error, 1)}
	go func() { b.done <- a.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-a.drainStarted
		_ = b.pool.Close()
	})
	b.waitUntil("target is announced as ready", func() bool {
		ann := c.last.GetAnnouncement()
		return ann.GetPhase() == wire.Phase_PHASE_READY && ann.GetIncarnation() == 7
	})
	return b
}

// waitUntil waits until ok returns true. ok is called with the lock of control held.
func (b *testAgent) waitUntil(what string, ok func() bool) {
	b.t.Helper()
	for range 2000 {
		met := false
		b.control.withLock(func() { met = ok() })
		if met {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatalf("timed out waiting until %s", what)
}

// disconnectControl makes control unreachable and waits until the Syncs that were
// answered before have ended.
func (b *testAgent) disconnectControl() {
	b.control.withLock(func() { b.control.unreachable = true })
	b.waitUntil("Syncs that were answered have ended", func() bool { return b.control.failedSyncs > 2 })
}

// result is what the entry instance received for a request.
type result struct {
	text    string
	started *wire.Started
	end     *wire.End
	err     error
}

// call runs req at the agent and checks the totals in the end record.
func (b *testAgent) call(ctx context.Context, req *wire.RunRequest) result {
	req.Protocol = 1
	if req.RequestId == nil {
		req.RequestId = []byte{1, 2}
	}
	conn, err := b.pool.Dial(ctx, b.address)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	st, err := wire.NewDRPCTargetClient(conn).Run(ctx, req)
	if err != nil {
		return result{err: err}
	}
	var out result
	var data []byte
	for {
		ev, err := st.Recv()
		if err != nil {
			out.err = err
			return out
		}
		if ev.GetStarted() != nil {
			out.started = ev.GetStarted()
		}
		data = append(data, ev.GetChunk().GetData()...)
		if ev.GetEnd() != nil {
			out.end, out.text = ev.GetEnd(), string(data)
			assert.Check(b.t, ev.GetEnd().GetXxhash() == xxhash.Sum64(data) && ev.GetEnd().GetBytes() == uint64(len(data)))
			return out
		}
	}
}

func generateRequest() *wire.RunRequest {
	return &wire.RunRequest{Team: "own", Model: "m", MaxTokens: 3, Body: []byte("p"), Fingerprint: []byte("fp")}
}
