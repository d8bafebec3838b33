package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	tally "github.com/uber-go/tally/v4"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fakeAgent implements the Target service with a function.
type fakeAgent struct {
	*wire.DRPCTargetUnimplementedServer
	name string
	srv  *link.Server

	mu       sync.Mutex
	run      func(req *wire.RunRequest, send func(*wire.RunEvent) error) error
	requests []*wire.RunRequest
}

func (a *fakeAgent) Run(req *wire.RunRequest, st wire.DRPCTarget_RunStream) error {
	a.mu.Lock()
	a.requests = append(a.requests, req)
	run := a.run
	a.mu.Unlock()
	return run(req, st.Send)
}

func (a *fakeAgent) received() []*wire.RunRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*wire.RunRequest(nil), a.requests...)
}

// fakeControl implements the Control service, with claims and verdicts in memory.
type fakeControl struct {
	*wire.DRPCControlUnimplementedServer
	srv *link.Server

	mu             sync.Mutex
	config         *wire.Config
	term           uint64
	version        uint64
	warm           bool
	targets        []*wire.TargetRecord
	claims         map[string]*wire.ClaimRequest
	settleRequests []*wire.SettleRequest
	crashes        []*wire.CrashReport
	verdicts       map[string]wire.Verdict
	// countedCrashes holds the crashes already counted. permits maps a suspect to the
	// attempt that may run it.
	countedCrashes map[string]bool
	permits        map[string]string
	judgeRequests  []*wire.JudgeRequest
	// down makes Claim and Judge fail.
	down bool
}

func (c *fakeControl) Sync(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &wire.SyncReply{
		Protocol: link.Protocol, ConfigVersion: c.config.GetVersion(),
		DirectoryTerm: c.term, DirectoryVersion: c.version, DirectoryWhole: true, DirectoryWarm: c.warm,
	}
	if r.GetConfigVersion() < c.config.GetVersion() {
		reply.Config = c.config
	}
	for _, t := range c.targets {
		reply.Targets = append(reply.Targets, proto.Clone(t).(*wire.TargetRecord))
	}
	return reply, nil
}

func (c *fakeControl) quorumError() error {
	if c.down {
		return link.Errorf(link.CodeNoQuorum, "no quorum")
	}
	return nil
}

func (c *fakeControl) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.quorumError(); err != nil {
		return nil, err
	}
	existing := c.claims[r.GetKey()]
	switch {
	case existing == nil:
		c.claims[r.GetKey()] = r
	case !bytes.Equal(existing.GetDigest(), r.GetDigest()):
		return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH}, nil
	case !bytes.Equal(existing.GetAttempt(), r.GetAttempt()):
		return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_RUNNING}, nil
	}
	return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED}, nil
}

func (c *fakeControl) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settleRequests = append(c.settleRequests, r)
	existing := c.claims[r.GetKey()]
	if existing == nil || !bytes.Equal(existing.GetAttempt(), r.GetAttempt()) {
		return &wire.SettleReply{}, nil
	}
	delete(c.claims, r.GetKey())
	return &wire.SettleReply{Accepted: true}, nil
}

func (c *fakeControl) ReportCrash(_ context.Context, r *wire.CrashReport) (*wire.CrashReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, r)
	for _, f := range r.GetFingerprints() {
		crash := r.GetTarget() + r.GetBootId() + string(f)
		if c.countedCrashes[crash] {
			continue
		}
		c.countedCrashes[crash] = true
		if c.verdicts[string(f)] == 0 {
			c.verdicts[string(f)] = wire.Verdict_VERDICT_SUSPECT
		} else {
			c.verdicts[string(f)] = wire.Verdict_VERDICT_BLOCKED
		}
	}
	return &wire.CrashReply{}, nil
}

func (c *fakeControl) Judge(_ context.Context, r *wire.JudgeRequest) (*wire.JudgeReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.quorumError(); err != nil {
		return nil, err
	}
	c.judgeRequests = append(c.judgeRequests, r)
	f, attempt := string(r.GetFingerprint()), string(r.GetAttempt())
	if r.GetDone() && c.permits[f] == attempt {
		delete(c.permits, f)
		if r.GetCompleted() {
			delete(c.verdicts, f)
		}
	}
	v := max(c.verdicts[f], wire.Verdict_VERDICT_CLEAR)
	permit := !r.GetDone() && v == wire.Verdict_VERDICT_SUSPECT && (c.permits[f] == "" || c.permits[f] == attempt)
	if permit {
		c.permits[f] = attempt
	}
	return &wire.JudgeReply{Verdict: v, Permit: permit}, nil
}

// testEnv is an entry instance with a fake control and fake agents.
type testEnv struct {
	t       testing.TB
	control *fakeControl
	agents  []*fakeAgent
	server  *server
	url     string
	stop    func() error
}

// respondWith returns a run function that responds with the given tokens.
func respondWith(tokens ...string) func(*wire.RunRequest, func(*wire.RunEvent) error) error {
	return func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
		for _, ev := range events(req, tokens...) {
			if err := send(ev); err != nil {
				return err
			}
		}
		return nil
	}
}

// events returns the events of a complete response, starting at the resume index.
func events(req *wire.RunRequest, tokens ...string) []*wire.RunEvent {
	evs := []*wire.RunEvent{{RequestId: req.GetRequestId(), Started: &wire.Started{
		Status: 200, Version: "1", ContentType: "text/plain", Load: &wire.Load{Slots: 8},
	}}}
	end := &wire.End{Outcome: wire.RunOutcome_RUN_OUTCOME_COMPLETED, Tokens: uint32(len(tokens))}
	h := xxhash.New()
	for i := int(req.GetResumeIndex()); i < len(tokens); i++ {
		c := &wire.Chunk{Index: end.Chunks, Token: uint32(i), Data: []byte(tokens[i])}
		if req.GetService() != "" {
			c.Token = 0
		}
		end.Chunks++
		end.Bytes += uint64(len(tokens[i]))
		_, _ = h.Write(c.Data)
		evs = append(evs, &wire.RunEvent{RequestId: req.GetRequestId(), Chunk: c})
	}
	end.Xxhash = h.Sum64()
	return append(evs, &wire.RunEvent{RequestId: req.GetRequestId(), End: end})
}

func rejection(req *wire.RunRequest, reason wire.Reason) *wire.RunEvent {
	return &wire.RunEvent{RequestId: req.GetRequestId(), End: &wire.End{
		Outcome: wire.RunOutcome_RUN_OUTCOME_NOT_RUN, Reason: reason,
	}}
}

func testConfig() *wire.Config {
	return &wire.Config{
		Version: 1,
		Models:  []*wire.Model{{Name: "patterns", Version: "1", Team: "inlay", Adapters: []*wire.Adapter{{Name: "rose"}}}},
		Services: []*wire.Service{{Name: "ledger", Routes: []*wire.Route{
			{PathPrefix: "/"}, {Method: "POST", PathPrefix: "/pay", NonIdempotent: true},
		}}},
		Policy: &wire.Policy{HedgePercent: 5, DefaultDeadlineMillis: 20000},
	}
}

func newProcess() *daemon.Process {
	return &daemon.Process{
		Common: daemon.Common{Name: "e1", Zone: "a"},
		Log:    daemon.DiscardLogger(), Scope: tally.NoopScope,
		Tracer: sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())).Tracer("test"),
	}
}

// newTestEnv starts an entry instance with n agents that all serve the model and the
// service.
func newTestEnv(t testing.TB, n int, opts ...func(*testEnv, *Section)) *testEnv {
	env := &testEnv{t: t, control: &fakeControl{
		config: testConfig(), term: 1, version: 1, warm: true,
		claims: map[string]*wire.ClaimRequest{}, verdicts: map[string]wire.Verdict{},
		countedCrashes: map[string]bool{}, permits: map[string]string{},
	}}
	for i := range n {
		env.addAgent(fmt.Sprintf("t%d", i))
	}
	var err error
	env.control.srv, err = link.Listen(loopback, func(m *drpcmux.Mux) error {
		return wire.DRPCRegisterControl(m, env.control)
	})
	assert.NilError(t, err)
	var set Settings
	set.Defaults()
	set.Entry.Control = []netip.AddrPort{env.control.srv.Addr()}
	set.Entry.DrainQuiet = 50 * time.Millisecond
	for _, o := range opts {
		o(env, &set.Entry)
	}
	t.Cleanup(func() {
		_ = env.control.srv.Close()
		for _, a := range env.agents {
			_ = a.srv.Close()
		}
	})
	env.startEntry(&set.Entry)
	return env
}

// startEntry starts an entry instance. Later requests of the environment go to it.
func (env *testEnv) startEntry(cfg *Section) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(env.t, err)
	env.url = "http://" + ln.Addr().String()
	env.server = newServer(newProcess(), cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := env.server
	go func() { ended <- serveOn(ctx, s, ln) }()
	env.stop = sync.OnceValue(func() error { cancel(); return <-ended })
	stop := env.stop
	env.t.Cleanup(func() {
		// The server would otherwise wait 5 s for connections that carried no request.
		http.DefaultClient.CloseIdleConnections()
		assert.NilError(env.t, stop())
	})
	for s.config.Load() == nil {
		time.Sleep(time.Millisecond)
	}
}

// addAgent starts an agent that is registered as a model engine and as the service.
func (env *testEnv) addAgent(name string) *fakeAgent {
	a := &fakeAgent{name: name, run: respondWith("dove", "tail")}
	var err error
	a.srv, err = link.Listen(loopback, func(m *drpcmux.Mux) error { return wire.DRPCRegisterTarget(m, a) })
	assert.NilError(env.t, err)
	env.agents = append(env.agents, a)
	env.control.mu.Lock()
	defer env.control.mu.Unlock()
	base := wire.TargetRecord{
		Target: name, Address: a.srv.Addr().String(), Zone: "a", Phase: wire.Phase_PHASE_READY, Incarnation: 1, Slots: 8,
	}
	engine := proto.Clone(&base).(*wire.TargetRecord)
	engine.Kind = wire.TargetKind_TARGET_KIND_ENGINE
	engine.Resident = []*wire.Copy{{Model: "patterns", Version: "1"}, {Model: "patterns", Version: "1", Adapter: "rose"}}
	plain := proto.Clone(&base).(*wire.TargetRecord)
	plain.Target, plain.Kind, plain.Service = name+"s", wire.TargetKind_TARGET_KIND_PLAIN, "ledger"
	env.control.targets = append(env.control.targets, engine, plain)
	return a
}

// setRun sets the run function of all agents.
func (env *testEnv) setRun(run func(*wire.RunRequest, func(*wire.RunEvent) error) error) {
	for _, a := range env.agents {
		a.mu.Lock()
		a.run = run
		a.mu.Unlock()
	}
}

// response is a response as the caller receives it. err is set if the body was
// truncated.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

// outcome returns Bulrush-Outcome from the header or trailer.
func (resp response) outcome() string {
	if o := resp.header.Get(headerOutcome); o != "" {
		return o
	}
	return resp.trailer.Get(headerOutcome)
}

// send sends a request. headers are pairs of name and value.
func (env *testEnv) send(method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, env.url+path, bytes.NewReader([]byte(body)))
	assert.NilError(env.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, resp.Trailer, string(b), err}
}

// generate sends a prompt to the model.
func (env *testEnv) generate(prompt string, headers ...string) response {
	return env.send("POST", "/v1/generate", prompt,
		append([]string{"Bulrush-Model", "patterns", "Content-Type", "text/plain"}, headers...)...)
}

// pay sends a non-idempotent call.
func (env *testEnv) pay(key, body string) response {
	return env.send("POST", "/v1/call/ledger/pay", body,
		"Idempotency-Key", key, "Bulrush-Issued", time.Now().Format(time.RFC3339))
}
