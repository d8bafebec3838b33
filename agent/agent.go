// Package agent implements the process that runs beside one target. It announces
// the target to control, admits and runs its requests, and is the only sender of
// load and unload commands to its engine.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/phuslu/log"
	tally "github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc/drpcmux"

	"bulrushpath.example/lib/admit"
	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/ledger"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
	// commandLease is how long after a successful Sync, counted from its sending,
	// the agent may send commands to the engine.
	commandLease = 10 * time.Second
	// The admission limits in effect until the first configuration arrives.
	initialShortMaxTokens  = 256
	initialLongSlotPercent = 50
	// deregisterTimeout bounds the wait for the sync loop to stop, and then the final
	// Sync. Control detects the end of the agent even if it receives no final Sync.
	deregisterTimeout = 2 * time.Second
)

// agent is the state of the process that runs beside one target.
type agent struct {
	settings *Settings
	log      *log.Logger
	scope    tally.Scope
	tracer   trace.Tracer

	pool   *link.Pool
	leader *link.LeaderClient
	// Exactly one of engine and plain is set, depending on the kind of target.
	engine *engineClient
	plain  *plainClient
	// address is where entry instances reach the agent.
	address netip.AddrPort
	// goroutines tracks the goroutines that may outlive the call that started them.
	goroutines sync.WaitGroup
	// backgroundCtx is the context of these goroutines. It is not the signal context,
	// because work in progress is completed after a signal.
	backgroundCtx context.Context
	// readMu serializes reads of the target's state.
	readMu sync.Mutex
	// connLimit bounds the connections of entry instances.
	connLimit link.ServerOption
	// syncRequested receives a value to request an immediate Sync.
	syncRequested chan struct{}
	// drainStarted is closed when the drain begins.
	drainStarted chan struct{}
	// idle receives a value when active reaches zero.
	idle chan struct{}

	mu     sync.Mutex
	ledger *ledger.Ledger
	admit  *admit.Admission
	demand demand
	// cfg is only ever replaced by a higher version.
	cfg *wire.Config
	// phase follows the target's state; draining and superseded override it in
	// announcements.
	phase    wire.Phase
	draining bool
	// superseded is set once the agent learns that another agent serves the target, and
	// never reset.
	superseded  bool
	incarnation uint64
	// leaseEnd is when the command lease expires, on the monotonic clock.
	leaseEnd time.Time
	// bootID is the boot ID of the target as last read. A plain service has none,
	// so the agent generates it.
	bootID string
	// slots is the number of slots in effect. For an engine it is the reported number,
	// limited by the settings, and until the first read the number in the settings. For
	// a plain service it is the number in the settings or plainSlots.
	slots       int
	failedReads int
	jobs        map[uint64]*job
	lastJob     uint64
	// active counts the jobs whose end record has not been sent and the settlements in
	// progress. The drain waits until it is zero.
	active  int
	timer   *time.Timer
	crashes map[string]*crash
	// closable holds the loads whose intents are to be closed at control.
	closable []ledger.Command
	verdicts map[string]suspectVerdict
	// suspectsVersion is the version of the list in verdicts.
	suspectsVersion uint64
	// cachedLoad caches the load figures measured at cachedAt. It is immutable, because
	// messages that are being sent share it.
	cachedLoad *wire.Load
	cachedAt   time.Time
	// undiagnosed counts, by fingerprint, the failed calls for which it is not known
	// yet whether the target crashed.
	undiagnosed map[string]int
	// localSuspects holds, by fingerprint, the requests that were running when the target
	// crashed, until control's list of suspects includes the crash.
	localSuspects map[string]localSuspect
}

// localSuspect is a suspect that control's list may not include yet.
type localSuspect struct {
	// version is the version of the first list that includes the crash; the
	// maximum value until control has answered the report.
	version uint64
	until   time.Time
}

// suspectVerdict is control's verdict on a fingerprint.
type suspectVerdict struct {
	verdict wire.Verdict
	// until is when the verdict expires; zero means never.
	until time.Time
}

func newSuspectVerdict(s *wire.Suspect) suspectVerdict {
	v := suspectVerdict{verdict: s.GetVerdict()}
	if ms := s.GetUntilUnixMillis(); ms != 0 {
		v.until = time.UnixMilli(ms)
	}
	return v
}

// Run serves the target of the settings until ctx is cancelled or the target starts
// leaving. It returns after all requests in progress have ended.
func Run(ctx context.Context, p *daemon.Process, s *Settings) error {
	a, err := newAgent(s, p)
	if err != nil {
		return err
	}
	return a.run(ctx)
}

func newAgent(s *Settings, p *daemon.Process) (*agent, error) {
	u, err := url.Parse(s.Agent.URL)
	if err != nil {
		return nil, fmt.Errorf("parse target URL: %w", err)
	}
	a := &agent{
		settings: s, log: p.Log, scope: p.Scope, tracer: p.Tracer,
		connLimit: link.WithConns(p.Conns, p.Limits(daemon.ShareMain).Conns),
		pool:      link.NewPool(), syncRequested: make(chan struct{}, 1), drainStarted: make(chan struct{}),
		idle: make(chan struct{}, 1), ledger: ledger.New(), cfg: &wire.Config{},
		phase: wire.Phase_PHASE_STARTING, jobs: make(map[uint64]*job),
		crashes: make(map[string]*crash), verdicts: make(map[string]suspectVerdict),
		undiagnosed: make(map[string]int), localSuspects: make(map[string]localSuspect),
		demand: newDemand(),
	}
	a.leader = link.NewLeaderClient(a.pool, s.Agent.Control)
	a.slots = s.Agent.Slots
	if s.Agent.Kind == kindPlain {
		a.plain = newPlainClient(u)
		if a.slots == 0 {
			a.slots = plainSlots
		}
	} else {
		a.engine = newEngineClient(s.Agent.URL)
	}
	a.admit = admit.New(a.limits())
	a.timer = time.AfterFunc(time.Hour, a.schedule)
	return a, nil
}

// limits returns the admission limits of the configuration in effect.
func (a *agent) limits() admit.Config {
	out := admit.Config{
		Slots: a.slots, QueueLimit: a.settings.Agent.QueueLimit, Team: a.settings.Agent.Team,
		AgeBound: a.settings.Agent.AgeBound, AgeStep: a.settings.Agent.AgeStep,
		ShortMaxTokens: initialShortMaxTokens, LongSlotPercent: initialLongSlotPercent,
	}
	if p := a.cfg.GetPolicy(); p != nil {
		out.ShortMaxTokens, out.LongSlotPercent = p.GetShortMaxTokens(), p.GetLongSlotPercent()
	}
	for _, t := range a.cfg.GetTeams() {
		if t.GetName() == out.Team {
			out.LendPercent = t.GetLendPercent()
		}
	}
	return out
}

// run serves until ctx is cancelled or the target starts leaving, then drains.
func (a *agent) run(ctx context.Context) error {
	srv, err := link.Listen(a.settings.Agent.Listen, func(mux *drpcmux.Mux) error {
		return wire.DRPCRegisterTarget(mux, a)
	}, a.connLimit)
	if err != nil {
		return err
	}
	a.address = srv.Addr()
	if a.settings.Agent.Advertise.IsValid() {
		a.address = a.settings.Agent.Advertise
	}
	stop, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.backgroundCtx = stop
	a.goroutines.Go(func() { a.pollTarget(stop) })
	syncing, stopSync := context.WithCancel(stop)
	drained, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		a.syncLoop(syncing, drained)
	}()
	a.log.Info().Str("event", "serving").Str("target", a.settings.Agent.Target).
		Str("address", a.address.String()).Msg("")

	select {
	case <-ctx.Done():
		a.drain("signal")
	case <-a.drainStarted:
	}
	a.awaitIdle()
	close(drained)
	select {
	case <-stopped:
	case <-time.After(deregisterTimeout):
	}
	stopSync()
	<-stopped
	a.deregister(stop)
	cancel()
	a.goroutines.Wait()
	a.timer.Stop()
	if err := srv.Close(); err != nil {
		return fmt.Errorf("close server: %w", err)
	}
	return a.pool.Close()
}

// drain begins the drain. From then on, new and queued requests are refused with
// the outcome not-run.
func (a *agent) drain(why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return
	}
	a.draining = true
	a.log.Info().Str("event", "draining").Str("why", why).Int("active", a.active).Msg("")
	a.refuseQueued(wire.Reason_REASON_LEAVING, "target is leaving")
	close(a.drainStarted)
	a.requestSync()
}

// awaitIdle blocks until the linger time has passed and no request is active.
func (a *agent) awaitIdle() {
	linger := time.NewTimer(a.settings.Agent.Linger)
	defer linger.Stop()
	<-linger.C
	for {
		a.mu.Lock()
		n := a.active
		a.mu.Unlock()
		if n == 0 {
			return
		}
		<-a.idle
	}
}

// requestSync requests an immediate Sync. It does not block.
func (a *agent) requestSync() {
	select {
	case a.syncRequested <- struct{}{}:
	default:
	}
}

// applyConfig applies cfg if its version is higher than the current one. It is called
// with mu held.
func (a *agent) applyConfig(cfg *wire.Config) {
	if cfg.GetVersion() <= a.cfg.GetVersion() {
		return
	}
	a.cfg = cfg
	a.admit.Configure(a.limits())
	a.log.Info().Str("event", "configured").Uint64("version", cfg.GetVersion()).Msg("")
}

// schedule carries out the decisions that admission and the ledger make now.
func (a *agent) schedule() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduleLocked()
}

func (a *agent) scheduleLocked() {
	now := time.Now()
	for {
		step := a.admit.Step(now)
		for _, r := range step.Refuse {
			a.jobs[r.ID].refuse(admitReason(r.Reason), "waited too long", r.RetryAfter)
			a.demand.recordUnserved(now, a.jobs[r.ID].model())
			delete(a.jobs, r.ID)
		}
		for _, id := range step.Reclaim {
			a.jobs[id].cancel(errReclaimed)
		}
		again := false
		for _, id := range step.Start {
			again = !a.start(now, a.jobs[id]) || again
		}
		if !again {
			break
		}
	}
	if at, ok := a.admit.NextStep(now); ok {
		a.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
	a.sendCommands(now)
}

// randomID returns a random 64-bit ID in hexadecimal.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
