package control

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	tally "github.com/uber-go/tally/v4"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmetadata"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/quorum"
	"bulrushpath.example/lib/wire"
)

// testTimeout is the timeout for each condition; it is far longer than the tests need.
const testTimeout = 30 * time.Second

func testProcess() *daemon.Process {
	return &daemon.Process{Log: daemon.DiscardLogger(), Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer("")}
}

// singleInstance returns a group of one instance, which applies commands immediately.
// Tests replace some of its fields.
func singleInstance(s *service) *group {
	var mu sync.Mutex
	index := uint64(0)
	return &group{
		Propose: func(_ context.Context, command []byte) ([]byte, error) {
			mu.Lock()
			defer mu.Unlock()
			index++
			return s.apply(index, time.Now(), command), nil
		},
		Confirm:        func(context.Context) error { return nil },
		Leading:        func() (uint64, bool) { return 1, true },
		Leader:         func() (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		Members:        func() []*wire.MemberStatus { return nil },
		Transfer:       func(context.Context) error { return nil },
		AwaitTolerance: func(context.Context) error { return nil },
		SetTolerance:   func(quorum.Tolerance) {},
		SetPeers:       func(map[string]netip.AddrPort) {},
		Close:          func() error { return nil },
	}
}

// startService starts a service on the loopback interface and returns it with a client.
// Long polls end only when there is a change, so that a lost wake-up fails the test.
func startService(t *testing.T, change func(s *service)) (*service, wire.DRPCControlClient) {
	s := newService("c1", testProcess())
	s.group, s.maxWait = singleInstance(s), time.Hour
	if change != nil {
		change(s)
	}
	srv, err := link.Listen(netip.MustParseAddrPort("127.0.0.1:0"), s.register)
	assert.NilError(t, err)
	pool := link.NewPool()
	t.Cleanup(func() {
		assert.NilError(t, pool.Close())
		assert.NilError(t, srv.Close())
	})
	return s, wire.NewDRPCControlClient(pool.Conn(t.Context(), srv.Addr()))
}

func publishRequest(base uint64, model string) *wire.PublishRequest {
	return &wire.PublishRequest{
		Protocol: link.Protocol, PublicationId: []byte(model), BaseVersion: base, Operator: "o",
		Config: &wire.Config{Models: []*wire.Model{{Name: model, Version: "1", Bytes: 1, MinCopies: 1}}},
	}
}

func entrySync(config uint64) *wire.SyncRequest {
	return &wire.SyncRequest{
		Protocol: link.Protocol, Role: wire.Role_ROLE_ENTRY, Name: "e1", ConfigVersion: config,
		DirectoryTerm: 1, WaitMillis: 3_600_000,
	}
}

func agentSync(phase wire.Phase) *wire.SyncRequest {
	return &wire.SyncRequest{
		Protocol: link.Protocol, Role: wire.Role_ROLE_AGENT, Name: "t1", ConfigVersion: 1,
		Announcement: &wire.Announcement{
			Target: "t1", Address: "10.0.0.1:7", Zone: "z1", Kind: wire.TargetKind_TARGET_KIND_ENGINE, Phase: phase,
			Incarnation: 1, MemoryBytes: 100,
		},
	}
}

type syncResult struct {
	reply *wire.SyncReply
	err   error
}

// startSync sends a Sync in the background and returns once the service handles it.
func startSync(t *testing.T, s *service, c wire.DRPCControlClient, req *wire.SyncRequest) <-chan syncResult {
	out := make(chan syncResult, 1)
	go func() {
		reply, err := c.Sync(t.Context(), req)
		out <- syncResult{reply, err}
	}()
	eventually(t, "sync is in progress", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.activeCalls > 0
	})
	return out
}

func awaitResult(t *testing.T, ch <-chan syncResult) syncResult {
	t.Helper()
	select {
	case a := <-ch:
		return a
	case <-time.After(testTimeout):
		t.Fatal("the long poll was not answered")
		return syncResult{}
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", testTimeout, what)
		}
	}
}

// Guards against long polls that do not wake up for a new configuration, a leaving
// target or a new suspect, which would delay the change by up to a second.
func TestSyncWakesOnChange(t *testing.T) {
	s, c := startService(t, nil)
	ctx := t.Context()
	_, err := c.Publish(ctx, publishRequest(0, "m1"))
	assert.NilError(t, err)
	held := startSync(t, s, c, entrySync(1))
	_, err = c.Publish(ctx, publishRequest(1, "m2"))
	assert.NilError(t, err)
	assert.Equal(t, awaitResult(t, held).reply.GetConfig().GetVersion(), uint64(2))

	held = startSync(t, s, c, entrySync(2))
	_, err = c.Sync(ctx, agentSync(wire.Phase_PHASE_READY))
	assert.NilError(t, err)
	got := awaitResult(t, held).reply
	assert.Equal(t, got.GetTargets()[0].GetPhase(), wire.Phase_PHASE_READY)

	req := entrySync(2)
	req.DirectoryVersion = got.GetDirectoryVersion()
	held = startSync(t, s, c, req)
	_, err = c.Sync(ctx, agentSync(wire.Phase_PHASE_LEAVING))
	assert.NilError(t, err)
	got = awaitResult(t, held).reply
	assert.Assert(t, got.GetTargets()[0].GetRemoved())

	req.DirectoryVersion = got.GetDirectoryVersion()
	held = startSync(t, s, c, req)
	_, err = c.ReportCrash(ctx, &wire.CrashReport{
		Protocol: link.Protocol, Target: "t1", BootId: "b", Fingerprints: [][]byte{{1}},
	})
	assert.NilError(t, err)
	assert.Equal(t, len(awaitResult(t, held).reply.GetSuspects()), 1)
}

// Guards against a process that starts on an outdated configuration from a partitioned
// leader. A process that already has a configuration is served without the quorum.
func TestFirstReadNeedsConfirmation(t *testing.T) {
	_, c := startService(t, func(s *service) {
		s.group.Confirm = func(context.Context) error { return errors.New("no majority") }
	})
	_, err := c.Publish(t.Context(), publishRequest(0, "m1"))
	assert.NilError(t, err)
	_, err = c.Publish(t.Context(), publishRequest(1, "m2"))
	assert.NilError(t, err)
	_, err = c.Sync(t.Context(), entrySync(0))
	assert.Equal(t, link.CodeOf(err), link.CodeNoQuorum)
	reply, err := c.Sync(t.Context(), entrySync(1))
	assert.NilError(t, err)
	assert.Equal(t, reply.GetConfigVersion(), uint64(2))
}

// Guards against replies from an instance that does not lead or that lost the
// leadership during a long poll, and against accepting another protocol version or a
// malformed request.
func TestRefusals(t *testing.T) {
	leader := netip.MustParseAddrPort("127.0.0.1:9")
	var mu sync.Mutex
	leading := true
	s, c := startService(t, func(s *service) {
		s.group.Leader = func() (netip.AddrPort, bool) { return leader, true }
		s.group.Leading = func() (uint64, bool) {
			mu.Lock()
			defer mu.Unlock()
			return 1, leading
		}
	})
	held := startSync(t, s, c, entrySync(0))
	mu.Lock()
	leading = false
	mu.Unlock()
	s.onLeadershipChange(1, false)
	assert.Equal(t, link.CodeOf(awaitResult(t, held).err), link.CodeNotLeader)
	_, err := c.Claim(t.Context(), &wire.ClaimRequest{Protocol: link.Protocol})
	assert.Equal(t, link.CodeOf(err), link.CodeNotLeader)
	assert.Equal(t, err.Error(), leader.String())
	_, err = c.Status(t.Context(), &wire.StatusRequest{Protocol: link.Protocol})
	assert.Equal(t, link.CodeOf(err), link.CodeNotLeader)

	_, err = c.Judge(t.Context(), &wire.JudgeRequest{Protocol: 99})
	assert.Equal(t, link.CodeOf(err), link.CodeProtocol)
	assert.ErrorContains(t, err, "99")
	mu.Lock()
	leading = true
	mu.Unlock()
	_, err = c.Claim(t.Context(), &wire.ClaimRequest{Protocol: link.Protocol})
	assert.Equal(t, link.CodeOf(err), link.CodeInvalid)
	_, err = c.Sync(t.Context(), &wire.SyncRequest{Protocol: link.Protocol, Role: wire.Role_ROLE_AGENT, Name: "t1"})
	assert.Equal(t, link.CodeOf(err), link.CodeInvalid)
	reply, err := c.Publish(t.Context(), publishRequest(0, "two words"))
	assert.NilError(t, err)
	assert.Equal(t, reply.GetOutcome(), wire.PublishOutcome_PUBLISH_OUTCOME_INVALID)
}

// Guards against a new leader that lets a request run although it crashed targets while
// there was no leader, because the crash reports have not reached the new leader yet.
func TestNewLeaderDelaysVerdicts(t *testing.T) {
	s, c := startService(t, nil)
	judge := func() wire.Verdict {
		reply, err := c.Judge(t.Context(), &wire.JudgeRequest{Protocol: link.Protocol, Fingerprint: []byte("f"), Attempt: []byte("a")})
		assert.NilError(t, err)
		return reply.GetVerdict()
	}
	assert.Equal(t, judge(), wire.Verdict_VERDICT_UNSPECIFIED)
	s.mu.Lock()
	s.reset(time.Now().Add(-member.Lease), 1)
	s.mu.Unlock()
	assert.Equal(t, judge(), wire.Verdict_VERDICT_CLEAR)
}

// Guards against plans that are not delivered, that are sent again after they were
// acknowledged, or that go to an agent whose target has a newer incarnation.
func TestPlanDelivery(t *testing.T) {
	s, c := startService(t, nil)
	ctx := t.Context()
	plan := &wire.Plan{Stamp: &wire.Stamp{Term: 1, Sequence: 5}, Keep: []*wire.Copy{{Model: "m", Version: "1"}}}
	var seen PlanView
	s.Plan = func(_ time.Time, view PlanView) map[string]*wire.Plan {
		seen = view
		return map[string]*wire.Plan{"t1": plan}
	}
	register := &wire.RegisterRequest{Protocol: link.Protocol, Target: "t1", Nonce: []byte("n1")}
	_, err := c.Register(ctx, register)
	assert.NilError(t, err)
	req := agentSync(wire.Phase_PHASE_READY)
	req.WaitMillis = 3_600_000
	held := startSync(t, s, c, req)
	eventually(t, "the announcement has been recorded", func() bool {
		s.runPlanner(time.Now())
		return len(seen.Targets) == 1
	})
	assert.Equal(t, seen.Term, uint64(1))
	assert.Equal(t, awaitResult(t, held).reply.GetPlan().GetStamp().GetSequence(), uint64(5))
	resend := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		clear(s.sentPlans)
	}
	resend()

	req.WaitMillis, req.Announcement.PlanAck = 0, plan.GetStamp()
	reply, err := c.Sync(ctx, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.GetPlan() == nil && !reply.GetSuperseded())

	register.Nonce = []byte("n2")
	_, err = c.Register(ctx, register)
	assert.NilError(t, err)
	req.Announcement.PlanAck = nil
	resend()
	reply, err = c.Sync(ctx, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.GetPlan() == nil && reply.GetSuperseded())
}

// Guards against a new leader that sends its whole directory with every reply, or never,
// while it is still collecting announcements.
func TestNewLeaderSendsEachRecordOnce(t *testing.T) {
	s, c := startService(t, nil)
	announce := func(name string) {
		req := agentSync(wire.Phase_PHASE_READY)
		req.Name, req.Announcement.Target = name, name
		_, err := c.Sync(t.Context(), req)
		assert.NilError(t, err)
	}
	req := entrySync(1)
	req.DirectoryTerm, req.DirectoryVersion, req.WaitMillis = 7, 3, 0
	names := func(warm, whole bool) (out []string) {
		// The table is not warm an hour before the start of the term and is warm an hour
		// after it, however slowly the test runs.
		now := time.Now().Add(-time.Hour)
		if warm {
			now = now.Add(2 * time.Hour)
		}
		reply, _, _ := s.buildReply(now, req, true)
		assert.Equal(t, reply.GetDirectoryWarm(), warm)
		assert.Equal(t, reply.GetDirectoryWhole(), whole)
		for _, r := range reply.GetTargets() {
			out = append(out, r.GetTarget())
		}
		return out
	}
	_, err := s.requireLeader()
	assert.NilError(t, err)
	announce("t1")
	assert.DeepEqual(t, names(false, true), []string{"t1"})
	assert.DeepEqual(t, names(false, false), []string(nil))
	announce("t2")
	assert.DeepEqual(t, names(false, false), []string{"t2"})
	req.ConfigVersion = 0 // A restarted entry instance has no directory.
	assert.DeepEqual(t, names(false, true), []string{"t1", "t2"})
	req.ConfigVersion = 1
	assert.DeepEqual(t, names(true, true), []string{"t1", "t2"})
}

// Guards against sending whole directories to all entry instances at once, which would
// delay announcements past their lease.
func TestWholeDirectoriesAreSpread(t *testing.T) {
	s := newService("c1", testProcess())
	s.reset(time.Now(), 1)
	now := time.Now()
	for i := range 1000 {
		a := agentSync(wire.Phase_PHASE_READY).GetAnnouncement()
		a.Target = fmt.Sprint("x", i)
		s.table.Announce(now, a)
	}
	first, second := entrySync(1), entrySync(1)
	first.DirectoryTerm, second.DirectoryTerm, second.Name = 0, 0, "e2"
	reply, _, _ := s.buildReply(now, first, true)
	assert.Equal(t, len(reply.GetTargets()), 1000)
	reply, changes, retryAfter := s.buildReply(now, second, true)
	assert.Assert(t, !changes && len(reply.GetTargets()) == 0 && reply.GetDirectoryTerm() == 0)
	assert.Equal(t, retryAfter, 1000*wholeDirectoryRecordTime)
	reply, _, _ = s.buildReply(now.Add(retryAfter), second, false)
	assert.Equal(t, len(reply.GetTargets()), 1000)
}

// Guards against a compressed configuration that differs from the plain one, or that is
// sent to a process that does not accept it.
func TestPackedConfiguration(t *testing.T) {
	s, c := startService(t, nil)
	for version := range uint64(2) {
		cfg := largeConfig()
		cfg.Models[0].Bytes += version
		_, err := s.Publish(t.Context(), &wire.PublishRequest{
			Protocol: link.Protocol, PublicationId: fmt.Append(nil, version), BaseVersion: version, Config: cfg,
		})
		assert.NilError(t, err)
		req := entrySync(0)
		plain, err := c.Sync(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, len(plain.GetPackedConfig()), 0)
		req.AcceptPacked = true
		packed, err := c.Sync(t.Context(), req)
		assert.NilError(t, err)
		assert.Assert(t, packed.GetConfig() == nil)
		got, err := wire.UnpackConfig(packed)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, plain.GetConfig()))
	}
	_, err := wire.UnpackConfig(&wire.SyncReply{PackedConfig: []byte{0xff}})
	assert.ErrorContains(t, err, "inflate")
}

// Guards against a missing span in the caller's trace, and against spans for calls that
// are not traced.
func TestSpanContinuesTheTrace(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	_, c := startService(t, func(s *service) {
		s.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("")
	})
	req := &wire.RegisterRequest{Protocol: link.Protocol, Target: "t1", Nonce: []byte("n")}
	_, err := c.Register(t.Context(), req)
	assert.NilError(t, err)
	ctx := drpcmetadata.Add(t.Context(), traceparentKey, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	_, err = c.Register(ctx, req)
	assert.NilError(t, err)
	eventually(t, "the span has ended", func() bool { return len(spans.Ended()) > 0 })
	assert.Equal(t, len(spans.Started()), 1)
	assert.Equal(t, spans.Ended()[0].Name(), "Control.Register")
	assert.Equal(t, spans.Ended()[0].SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
}

// Guards against calls that are aborted by a planned stop, and against calls that start
// during it.
func TestShutdownFinishesCalls(t *testing.T) {
	transferred := false
	s, c := startService(t, func(s *service) {
		s.group.Transfer = func(context.Context) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			transferred = s.activeCalls == 0
			return nil
		}
	})
	held := startSync(t, s, c, entrySync(0))
	assert.NilError(t, s.shutdown(testTimeout))
	assert.NilError(t, awaitResult(t, held).err)
	assert.Assert(t, transferred)
	_, err := c.Sync(t.Context(), entrySync(0))
	assert.Equal(t, link.CodeOf(err), link.CodeNotLeader)
}

// Guards against a version that is reported in effect while a process does not have it,
// or before a new leader knows all processes.
func TestInEffect(t *testing.T) {
	s, c := startService(t, nil)
	for _, age := range []time.Duration{-time.Hour, time.Hour} {
		_, err := s.requireLeader()
		assert.NilError(t, err)
		s.mu.Lock()
		s.table.Reset(time.Now().Add(-age), 1)
		s.mu.Unlock()
		st, err := c.Status(t.Context(), &wire.StatusRequest{Protocol: link.Protocol})
		assert.NilError(t, err)
		assert.Equal(t, st.GetWarm(), age > 0)
	}
	_, err := c.Publish(t.Context(), publishRequest(0, "m1"))
	assert.NilError(t, err)
	_, err = c.Publish(t.Context(), publishRequest(1, "m2"))
	assert.NilError(t, err)
	warm := time.Now().Add(time.Hour)
	s.mu.Lock()
	s.table.RecordSync(warm, wire.Role_ROLE_ENTRY, "e1", "z", 1)
	s.mu.Unlock()
	s.expireLeases(warm)
	assert.Equal(t, len(s.pendingPublications), 1)
	s.mu.Lock()
	s.table.RecordSync(warm, wire.Role_ROLE_ENTRY, "e1", "z", 2)
	s.mu.Unlock()
	s.expireLeases(warm)
	assert.Equal(t, len(s.pendingPublications), 0)
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPublishToAll measures the time from a publication until all agents have
// received it. Each agent waits in a long poll on its own connection.
func BenchmarkPublishToAll(b *testing.B) {
	for _, agents := range []int{100, 1000, 6400} {
		for _, packed := range []bool{false, true} {
			b.Run(fmt.Sprint("agents=", agents, "/packed=", packed), func(b *testing.B) {
				benchmarkPublish(b, agents, packed)
			})
		}
	}
}

func benchmarkPublish(b *testing.B, agents int, packed bool) {
	s := newService("c1", testProcess())
	s.group, s.maxWait = singleInstance(s), time.Hour
	srv, err := link.Listen(netip.MustParseAddrPort("127.0.0.1:0"), s.register)
	assert.NilError(b, err)
	pool := link.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan uint64, agents)
	var wg sync.WaitGroup
	for i := range agents {
		wg.Go(func() {
			c := wire.NewDRPCControlClient(pool.Conn(ctx, srv.Addr()))
			req := agentSync(wire.Phase_PHASE_READY)
			req.Name, req.WaitMillis, req.ConfigVersion = fmt.Sprint("x", i), 3_600_000, 0
			req.Announcement.Target, req.AcceptPacked = req.Name, packed
			for ctx.Err() == nil {
				if reply, err := c.Sync(ctx, req); err == nil && reply.GetConfigVersion() > req.GetConfigVersion() {
					if _, err := wire.UnpackConfig(reply); err != nil {
						b.Error(err)
					}
					req.ConfigVersion = reply.GetConfigVersion()
					got <- req.GetConfigVersion()
				}
			}
		})
	}
	cfg := largeConfig()
	version := uint64(0)
	publish := func() {
		cfg.Models[0].Bytes++
		reply, err := s.Publish(ctx, &wire.PublishRequest{
			Protocol: link.Protocol, PublicationId: fmt.Append(nil, version), BaseVersion: version, Config: cfg,
		})
		assert.NilError(b, err)
		version++
		assert.Equal(b, reply.GetVersion(), version)
		for range agents {
			assert.Equal(b, <-got, version)
		}
	}
	publish()
	b.ResetTimer()
	before := cpuTime()
	for range b.N {
		publish()
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N*agents), "cpu-us/agent")
	b.ReportMetric(float64(proto.Size(cfg)), "B/config")
	if packed {
		data, err := wire.PackConfig(cfg)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data)), "B/config")
	}
	cancel()
	wg.Wait()
	assert.NilError(b, pool.Close())
	assert.NilError(b, srv.Close())
}

// largeConfig returns a configuration of the largest intended size: 360 models with 3
// adapters each.
func largeConfig() *wire.Config {
	cfg := &wire.Config{}
	for i := range 360 {
		m := &wire.Model{Name: fmt.Sprint("team-model-", i), Version: "2026-12-01", Bytes: 14 << 30, MinCopies: 2, MaxCopies: 40}
		for j := range 3 {
			m.Adapters = append(m.Adapters, &wire.Adapter{Name: fmt.Sprint("workshop-", i, "-", j), Bytes: 80 << 20})
		}
		cfg.Models = append(cfg.Models, m)
	}
	return cfg
}
