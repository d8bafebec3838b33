// Package agent runs beside one target: it announces the target, admits and runs
// its requests, and is the only writer of its load and unload commands.
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
	// leaseTime is how long commands may be sent after an answered Sync.
	leaseTime = 10 * time.Second
	// Limits until the first configuration arrives.
	firstShortMaxTokens  = 256
	firstLongSlotPercent = 50
	// deregisterTimeout bounds the last Sync; control notices the end anyway.
	deregisterTimeout = 2 * time.Second
)

// agent is the process beside one target.
type agent struct {
	set    *Settings
	log    *log.Logger
	scope  tally.Scope
	tracer trace.Tracer

	pool   *link.Pool
	leader *link.Leader
	// engine is nil beside a plain service, plain beside an engine.
	engine *engine
	plain  *plain
	// address is announced to entry instances.
	address netip.AddrPort
	// bg holds the goroutines that outlive one call.
	bg sync.WaitGroup
	// stop ends them; it is not the signal context, because work in progress
	// is finished after a signal.
	stop context.Context
	// readMu makes readings of the target's state follow each other.
	readMu sync.Mutex
	// wake asks for an announcement at once.
	wake chan struct{}
	// leave is closed when a drain begins.
	leave chan struct{}
	// idle gets a value when the last request in progress ends.
	idle chan struct{}

	mu     sync.Mutex
	ledger *ledger.Ledger
	admit  *admit.Admission
	demand demand
	// cfg is only replaced by a higher version.
	cfg *wire.Config
	// phase is what the target's state allows; a drain overrides it.
	phase    wire.Phase
	draining bool
	// superseded is set for good when a newer incarnation exists.
	superseded  bool
	incarnation uint64
	// leaseEnd bounds the sending of commands, by the monotonic clock.
	leaseEnd time.Time
	// boot is the boot id of the target as last read; for a plain service it
	// is made up by the agent.
	boot string
	// slots is what the engine reports.
	slots    int
	failures int
	jobs     map[uint64]*job
	lastJob  uint64
	// active counts admitted requests whose end has not been passed on.
	active  int
	timer   *time.Timer
	crashes map[string]*crash
	// closing holds ids of loads whose intents are to be closed at control.
	closing []ledger.Command
	judged  map[string]judged
	// suspectsVersion belongs to judged.
	suspectsVersion uint64
	// lastLoad holds the load figures of loadAt; it is not changed once sent.
	lastLoad *wire.Load
	loadAt   time.Time
	// unclear counts, by fingerprint, the requests whose call broke and of which it
	// is not known yet whether they crashed the target.
	unclear map[string]int
	// marked holds the fingerprints that were beside a crash here, until the list of
	// control includes it.
	marked map[string]mark
}

// mark is a suspicion that control may not have spread yet.
type mark struct {
	// version is that of the first list that includes it.
	version uint64
	until   time.Time
}

// judged is a fingerprint that control has ruled on.
type judged struct {
	verdict wire.Verdict
	// until is the zero time if the verdict has no end.
	until time.Time
}

func judgedOf(s *wire.Suspect) judged {
	j := judged{verdict: s.GetVerdict()}
	if ms := s.GetUntilUnixMillis(); ms != 0 {
		j.until = time.UnixMilli(ms)
	}
	return j
}

// Run serves the target of the settings until ctx ends or the target leaves, and
// all requests in progress have ended.
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
		return nil, fmt.Errorf("parse target url: %w", err)
	}
	a := &agent{
		set: s, log: p.Log, scope: p.Scope, tracer: p.Tracer,
		pool: link.NewPool(), wake: make(chan struct{}, 1), leave: make(chan struct{}),
		idle: make(chan struct{}, 1), ledger: ledger.New(), cfg: &wire.Config{},
		phase: wire.Phase_PHASE_STARTING, jobs: make(map[uint64]*job),
		crashes: make(map[string]*crash), judged: make(map[string]judged),
		unclear: make(map[string]int), marked: make(map[string]mark),
		demand: newDemand(),
	}
	a.leader = link.NewLeader(a.pool, s.Agent.Control)
	a.slots = s.Agent.Slots
	if s.Agent.Kind == kindPlain {
		a.plain = newPlain(u)
		if a.slots == 0 {
			a.slots = plainSlots
		}
	} else {
		a.engine = newEngine(s.Agent.URL)
	}
	a.admit = admit.New(a.limits())
	a.timer = time.AfterFunc(time.Hour, a.schedule)
	return a, nil
}

// limits returns the limits by the configuration in force.
func (a *agent) limits() admit.Config {
	out := admit.Config{
		Slots: a.slots, QueueLimit: a.set.Agent.QueueLimit, Team: a.set.Agent.Team,
		AgeBound: a.set.Agent.AgeBound, AgeStep: a.set.Agent.AgeStep,
		ShortMaxTokens: firstShortMaxTokens, LongSlotPercent: firstLongSlotPercent,
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

// run serves until ctx ends or the target leaves, then drains.
func (a *agent) run(ctx context.Context) error {
	srv, err := link.Listen(a.set.Agent.Listen, func(mux *drpcmux.Mux) error {
		return wire.DRPCRegisterTarget(mux, a)
	})
	if err != nil {
		return err
	}
	a.address = srv.Addr()
	if a.set.Agent.Advertise.IsValid() {
		a.address = a.set.Agent.Advertise
	}
	stop, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.stop = stop
	a.bg.Go(func() { a.watch(stop) })
	syncing, stopSync := context.WithCancel(stop)
	drained, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		a.syncLoop(syncing, drained)
	}()
	a.log.Info().Str("event", "serving").Str("target", a.set.Agent.Target).
		Str("address", a.address.String()).Msg("")

	select {
	case <-ctx.Done():
		a.drain("signal")
	case <-a.leave:
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
	a.bg.Wait()
	a.timer.Stop()
	if err := srv.Close(); err != nil {
		return fmt.Errorf("close server: %w", err)
	}
	return a.pool.Close()
}

// drain begins the drain: new and waiting requests are refused as not run.
func (a *agent) drain(why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return
	}
	a.draining = true
	a.log.Info().Str("event", "draining").Str("why", why).Int("active", a.active).Msg("")
	a.refuseWaiting(wire.Reason_REASON_LEAVING, "target is leaving")
	close(a.leave)
	a.announce()
}

// awaitIdle returns when nothing is in progress and the linger time is over.
func (a *agent) awaitIdle() {
	linger := time.NewTimer(a.set.Agent.Linger)
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

// announce asks for a Sync at once.
func (a *agent) announce() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// configure takes a configuration if its version is higher. It is called with mu held.
func (a *agent) configure(cfg *wire.Config) {
	if cfg.GetVersion() <= a.cfg.GetVersion() {
		return
	}
	a.cfg = cfg
	a.admit.Configure(a.limits())
	a.log.Info().Str("event", "configured").Uint64("version", cfg.GetVersion()).Msg("")
}

// schedule carries out what admission and ledger decide now.
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
			a.demand.unserved(now, a.jobs[r.ID].model())
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
	if at, ok := a.admit.Wake(now); ok {
		a.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
	a.sendCommands(now)
}

// randomID returns a random name.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
