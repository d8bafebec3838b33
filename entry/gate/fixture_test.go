package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
	"bulrushpath.example/lib/wire"
)

var testHeaders = Headers{
	RequestID: "T-Id", Deadline: "T-Deadline", Target: "T-Target", NotRun: "T-Not-Run", Seal: "T-Seal",
	Priority: "T-Priority", Instance: "T-Instance", Limit: "T-Limit", Leaving: "T-Leaving",
	Customer:     "T-Customer",
	StreamFields: []string{"t-version"},
	Reserved:     []string{"T-Target", "T-Hold", "T-Customer"},
}

// fakeControl replies to reports with a fixed target table and a configuration.
type fakeControl struct {
	wire.DRPCFleetUnimplementedServer
	mu      sync.Mutex
	targets []*wire.FleetTarget
	version uint64
	fetched []string
	refusal string
	down    bool
	// term is the term in the replies; 0 for 1.
	term uint64
	// count evaluates the lost requests as the control leader does.
	count poison.LossCounter
	// parts does the same for the parts of prompts.
	parts poison.PartCounter
	// beforeReply, if set, runs when a reply has been built; its error loses the reply.
	beforeReply func() error
	// loads holds the loads in each reply.
	loads []*wire.TargetLoad
	// permit, if set, answers requests for permits; nil is an error.
	permit func(req *wire.PermitRequest) *wire.PermitReply
	// limits holds the reported limits by target.
	limits map[string]*wire.TargetLimit
	// beforeFetch, if set, runs before an adapter is fetched.
	beforeFetch func()
	// allot, if set, answers calls about quotas; an error loses the reply.
	allot func(req *wire.AllotRequest) (*wire.AllotReply, error)
	// trials is the number of trials of suspect parts that are allowed.
	trials int
}

func (c *fakeControl) trialsLeft() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trials
}

func (c *fakeControl) setReply(before func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeReply = before
}

func (c *fakeControl) setPermit(permit func(req *wire.PermitRequest) *wire.PermitReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permit = permit
}

func (c *fakeControl) Permit(_ context.Context, req *wire.PermitRequest) (*wire.PermitReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.permit(req); reply != nil {
		return reply, nil
	}
	return nil, errors.New("no permit")
}

func (c *fakeControl) Allot(_ context.Context, req *wire.AllotRequest) (*wire.AllotReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allot == nil {
		return nil, errors.New("no quotas")
	}
	return c.allot(req)
}

func (c *fakeControl) setFetch(before func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeFetch = before
}

func (c *fakeControl) Report(_ context.Context, req *wire.FleetRequest) (*wire.FleetReply, error) {
	r, err := c.buildReply(req)
	c.mu.Lock()
	before := c.beforeReply
	c.mu.Unlock()
	if err == nil && before != nil {
		err = before()
	}
	return r, err
}

func (c *fakeControl) buildReply(req *wire.FleetRequest) (*wire.FleetReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, errors.New("down")
	}
	r := &wire.FleetReply{
		Protocol: link.Protocol, Term: max(c.term, 1), TableVersion: 1, Whole: true, Warm: true, Targets: c.targets, Entries: 1,
		Loads: c.loads,
	}
	for _, l := range req.GetLost() {
		c.count.RecordLoss(time.Now(), poison.Fingerprint(l.GetFingerprint()), poison.Process{Target: l.GetTarget(), BornMillis: l.GetBornMillis()})
	}
	for _, l := range req.GetLost() {
		process := poison.Process{Target: l.GetTarget(), BornMillis: l.GetBornMillis()}
		c.parts.RecordLoss(time.Now(), fingerprintsIn(l.GetParts()), process)
		c.parts.RecordCustomerLoss(time.Now(), fingerprintsIn(l.GetCustomerParts()), process)
	}
	for _, fp := range req.GetCompleted() {
		c.count.RecordCompletion(poison.Fingerprint(fp))
		c.parts.RecordCompletion(poison.Fingerprint(fp))
	}
	for _, l := range req.GetLimits() {
		if c.limits == nil {
			c.limits = make(map[string]*wire.TargetLimit)
		}
		c.limits[l.GetTarget()] = l
	}
	r.Suspects = append(c.count.Suspects(time.Now()), c.parts.Suspects(time.Now())...)
	if len(req.GetWanted()) > 0 && c.trials > 0 {
		c.trials--
		for i, s := range r.GetSuspects() {
			r.Suspects[i] = proto.CloneOf(s)
			r.Suspects[i].Trial = true
		}
	}
	if req.GetDocumentVersion() < c.version {
		r.Document = &wire.Document{Version: c.version, Content: []byte("x")}
	}
	return r, nil
}

func fingerprintsIn(list [][]byte) (out []poison.Fingerprint) {
	for _, fp := range list {
		out = append(out, poison.Fingerprint(fp))
	}
	return out
}

func (c *fakeControl) Fetch(_ context.Context, req *wire.FetchRequest) (*wire.FetchReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetched = append(c.fetched, req.GetTarget()+" "+req.GetModel()+"/"+req.GetAdapter())
	if before := c.beforeFetch; before != nil {
		c.mu.Unlock()
		before()
		c.mu.Lock()
	}
	return &wire.FetchReply{Accepted: c.refusal == "", Message: c.refusal}, nil
}

// receivedRequest is a request as received by a target.
type receivedRequest struct {
	method, uri, host, body string
	header                  http.Header
}

// fakeTarget serves requests with a handler and records them.
type fakeTarget struct {
	id        string
	srv       *httptest.Server
	mu        sync.Mutex
	received  []receivedRequest
	cancelled int
}

func (f *fakeTarget) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.received...)
}

// testT is the part of *testing.T and *rapid.T that a fixture uses.
type testT interface {
	assert.TestingT
	Helper()
	Cleanup(fn func())
	Context() context.Context
}

// fixture runs a Gateway between a client, fake targets and a fake control.
type fixture struct {
	t           testT
	gateway     *Gateway
	front       *httptest.Server
	control     *fakeControl
	controlAddr netip.AddrPort
	targets     []*fakeTarget
}

func routes() []site.Route {
	split := func(s string) []site.Split { return []site.Split{{Service: s, Weight: 1}} }
	return []site.Route{
		{Name: "safe", Host: "a.example", Prefix: "/safe/", Kind: site.Safe, Timeout: 3 * time.Second, MaxAttempts: 2, Splits: split("plain")},
		{Name: "once", Host: "a.example", Prefix: "/once/", Kind: site.Once, Timeout: 3 * time.Second, MaxAttempts: 2, Splits: split("plain")},
		{Name: "resumed", Host: "a.example", Prefix: "/resumed/", Kind: site.Stream, Timeout: 3 * time.Second, MaxAttempts: 2, Resumable: true, Splits: split("engines")},
		{Name: "stream", Host: "a.example", Prefix: "/stream/", Kind: site.Stream, Timeout: 3 * time.Second, MaxAttempts: 2, Splits: split("engines")},
	}
}

// setMaxAttempts activates a configuration with the given number of attempts on all routes.
func (fx *fixture) setMaxAttempts(n int) {
	cfg := *fx.gateway.index.Load().Config
	cfg.Version, cfg.Routes = cfg.Version+1, routes()
	for i := range cfg.Routes {
		cfg.Routes[i].MaxAttempts = n
	}
	fx.gateway.index.Store(site.NewIndex(&cfg))
}

// newFixture starts a Gateway with one target per handler. All targets hold model m.
func newFixture(t testT, service string, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	fx := &fixture{t: t, control: &fakeControl{version: 5}}
	for i, h := range handlers {
		f := &fakeTarget{id: fmt.Sprintf("t%d", i)}
		f.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			f.received = append(f.received, receivedRequest{r.Method, r.RequestURI, r.Host, string(body), r.Header.Clone()})
			f.mu.Unlock()
			w.Header().Set("T-Id", r.Header.Get("T-Id"))
			h(w, r)
			if r.Context().Err() != nil {
				f.mu.Lock()
				f.cancelled++
				f.mu.Unlock()
			}
		}))
		t.Cleanup(f.srv.Close)
		fx.targets = append(fx.targets, f)
		fx.control.targets = append(fx.control.targets, &wire.FleetTarget{
			Id: f.id, Address: f.srv.Listener.Addr().String(), Zone: "z", Service: service,
			Phase: wire.Phase_PHASE_READY, BornMillis: 1, Slots: 8,
			Models: []*wire.FleetModel{{Name: "m"}},
		})
	}
	srv, err := link.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(mux *drpcmux.Mux) error {
		return wire.DRPCRegisterFleet(mux, fx.control)
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	fx.controlAddr = srv.Addr()
	fx.startInstance("e1")
	return fx
}

// another returns a fixture with the same targets and control, and a Gateway of its own.
func (fx *fixture) another(name string) *fixture {
	fx.t.Helper()
	other := *fx
	other.startInstance(name)
	return &other
}

// startInstance starts the Gateway of the fixture.
func (fx *fixture) startInstance(name string) {
	t := fx.t
	t.Helper()
	p := &daemon.Process{
		Common: daemon.Common{Name: name, Zone: "z"}, Log: daemon.DiscardLogger(), Scope: tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""),
	}
	describe := func(h http.Header) (r steer.Request, err error) {
		r.Model, r.Adapter, _ = site.CutAdapter(h.Get("T-Model"))
		r.DeclaredTokens = -1
		if n, err := strconv.Atoi(h.Get("T-Tokens")); err == nil {
			r.DeclaredTokens = n
		}
		for _, id := range h.Get("T-Parts") {
			r.Parts = append(r.Parts, steer.Part{ID: uint64(id), Tokens: 10})
		}
		return r, nil
	}
	decode := func(version uint64, _ []byte) (*site.Config, error) {
		return &site.Config{
			Version: version, Routes: routes(), Limits: site.Limits{BodyBytes: 1000, HeaderBytes: 2000},
			Services: []site.Service{{Name: "plain", HealthPath: "/health"}, {Name: "engines", HealthPath: "/health", Engine: &site.Engine{KVTokens: 10_000, Models: []site.Model{{Name: "m"}, {Name: "rare"}}}}},
		}, nil
	}
	fx.gateway = New(p, testHeaders, describe, decode, func() []netip.AddrPort { return []netip.AddrPort{fx.controlAddr} },
		WithRetryLimit(steer.RetryLimit{Ratio: 1, Slack: 50, Window: time.Second}))
	fx.establishBudgets(fx.gateway.retryLimit)
	assert.NilError(t, fx.gateway.report(t.Context()))
	front, gateway := httptest.NewServer(fx.gateway), fx.gateway
	fx.front = front
	t.Cleanup(func() {
		front.Close()
		_ = gateway.Close()
	})
}

// removeTargets makes control report that all targets are gone.
func (fx *fixture) removeTargets() {
	fx.control.mu.Lock()
	for i, x := range fx.control.targets {
		gone := proto.CloneOf(x)
		gone.Removed = true
		fx.control.targets[i] = gone
	}
	fx.control.mu.Unlock()
	assert.Check(fx.t, fx.gateway.report(fx.t.Context()))
}

// establishBudgets replaces the retry budgets by those of an instance that has run alone for
// two windows.
func (fx *fixture) establishBudgets(limit steer.RetryLimit) {
	now := time.Now()
	fx.gateway.mu.Lock()
	defer fx.gateway.mu.Unlock()
	fx.gateway.budgets = steer.NewRetryBudgets(limit)
	for at := -2 * limit.Window; at <= 0; at += limit.Window / 10 {
		fx.gateway.budgets.SetInstances(now.Add(at), 1)
	}
}

// do sends a request through the Gateway and reads the response.
func (fx *fixture) do(ctx context.Context, method, path, body string, change func(r *http.Request)) (*http.Response, string, error) {
	fx.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, fx.front.URL+path, strings.NewReader(body))
	assert.NilError(fx.t, err)
	req.Host = "a.example"
	req.Header.Set("T-Id", "r1")
	req.Header.Set("T-Deadline", "2000")
	if strings.HasPrefix(path, "/resumed/") || strings.HasPrefix(path, "/stream/") {
		req.Header.Set("T-Model", "m")
	}
	if change != nil {
		change(req)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}

// countFailures sends n requests that may run only once, one after the other, and returns how many were not
// answered with 200.
func (fx *fixture) countFailures(n int) (failed int) {
	fx.t.Helper()
	for i := range n {
		res, _, err := fx.do(fx.t.Context(), http.MethodPost, "/once/1", "x", func(r *http.Request) {
			r.Header.Set("T-Id", fmt.Sprint("r", i))
		})
		assert.NilError(fx.t, err)
		if res.StatusCode != http.StatusOK {
			failed++
		}
	}
	return failed
}

func respondSealed(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Seal", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func respondNotRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(status)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_ = c.Close()
}

func writeEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("T-Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func eventText(from, to int) (out string) {
	for i := from; i <= to; i++ {
		out += fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
	}
	return out
}
