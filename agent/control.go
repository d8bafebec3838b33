package agent

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"bulrushpath.example/lib/ledger"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
	// syncWait is how long the leader may hold a Sync open (long poll). An agent
	// announces its target once per second; the leader's capacity is sized for no
	// more.
	syncWait = 950 * time.Millisecond
	// syncTimeout bounds one Sync, including a change of the leader.
	syncTimeout = 5 * time.Second
	// syncRetryDelay is the delay after a failed Sync, which has already tried all
	// control instances.
	syncRetryDelay = 250 * time.Millisecond
	// minSyncInterval is the minimum interval between Syncs that are answered immediately.
	minSyncInterval = 50 * time.Millisecond
	// intendTimeout bounds the recording of one load intent.
	intendTimeout = 5 * time.Second
)

// syncLoop registers the target and announces it periodically until drained is
// closed, ctx is cancelled or the agent is superseded.
func (a *agent) syncLoop(ctx context.Context, drained <-chan struct{}) {
	if !a.register(ctx) {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	// Requested Syncs run in parallel with the long poll, so that control learns of
	// a change without delay.
	wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-drained:
				return
			case <-a.syncRequested:
				if a.isSuperseded() {
					return
				}
				a.sync(ctx, 0, false)
			}
		}
	})
	for !a.isSuperseded() {
		began := time.Now()
		pause, wait := syncRetryDelay, syncWait
		if a.isDraining() {
			// The final Sync follows soon; a held one could arrive after it.
			wait = 0
		}
		if a.sync(ctx, wait, false) && wait > 0 {
			pause = minSyncInterval - time.Since(began)
		}
		select {
		case <-ctx.Done():
			return
		case <-drained:
			return
		case <-time.After(pause):
		}
	}
}

func (a *agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// register obtains the incarnation number from control and retries until it
// succeeds. It reports false if ctx is cancelled first.
func (a *agent) register(ctx context.Context) bool {
	nonce := make([]byte, 16)
	_, _ = rand.Read(nonce)
	for ctx.Err() == nil {
		var reply *wire.RegisterReply
		err := a.leader.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
			reply, err = c.Register(ctx, &wire.RegisterRequest{
				Protocol: link.Protocol, Target: a.settings.Agent.Target, Nonce: nonce,
			})
			return err
		})
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			a.log.Error().Str("event", "registerFailed").Err(err).Msg("")
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
			continue
		}
		a.mu.Lock()
		a.incarnation = reply.GetIncarnation()
		a.ledger.Register(reply.GetIncarnation(), reply.GetIntents())
		a.collectClosable()
		a.mu.Unlock()
		a.log.Info().Str("event", "registered").Uint64("incarnation", reply.GetIncarnation()).
			Int("openIntents", len(reply.GetIntents())).Msg("")
		return true
	}
	return false
}

func (a *agent) isSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}

// sync sends one announcement and applies the reply. It reports whether control
// replied.
func (a *agent) sync(ctx context.Context, wait time.Duration, leaving bool) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply *wire.SyncReply
	var sent time.Time
	err := a.leader.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		// The lease counts from the time of the request, which is before the
		// leader's reply.
		sent = time.Now()
		reply, err = c.Sync(ctx, a.syncRequest(wait, leaving))
		return err
	})
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			a.log.Warn().Str("event", "syncFailed").Err(err).Msg("")
		}
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applySyncReply(reply, sent)
	a.scheduleLocked()
	return true
}

func (a *agent) syncRequest(wait time.Duration, leaving bool) *wire.SyncRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := &a.settings.Agent
	ann := &wire.Announcement{
		Target: g.Target, Address: a.address.String(), Zone: a.settings.Process.Zone, Team: g.Team,
		Kind: wire.TargetKind_TARGET_KIND_ENGINE, Phase: a.announcedPhase(), Incarnation: a.incarnation,
		MemoryBytes: a.ledger.Memory(), Load: a.currentLoad(), Demand: a.demand.snapshot(time.Now()),
		Resident: wireCopies(a.ledger.Resident()), Pinned: wireCopies(a.ledger.Pinned()),
		Loading: wireCopies(a.ledger.Loading()),
	}
	a.scope.Gauge("running").Update(float64(ann.GetLoad().GetRunning()))
	a.scope.Gauge("queued").Update(float64(ann.GetLoad().GetQueued()))
	a.scope.Gauge("reservedBytes").Update(float64(a.ledger.Reserved()))
	if a.plain != nil {
		ann.Kind, ann.Service = wire.TargetKind_TARGET_KIND_PLAIN, g.Service
	}
	if st := a.ledger.Stamp(); st != (ledger.Stamp{}) {
		ann.PlanAck = &wire.Stamp{Term: st.Term, Sequence: st.Sequence}
	}
	return &wire.SyncRequest{
		Protocol: link.Protocol, Role: wire.Role_ROLE_AGENT, Name: g.Target, Zone: a.settings.Process.Zone,
		ConfigVersion: a.cfg.GetVersion(), SuspectsVersion: a.suspectsVersion, Announcement: ann,
		WaitMillis: uint32(wait.Milliseconds()), Leaving: leaving, AcceptPacked: true,
		RunningSuspects: a.runningSuspects(),
	}
}

func wireCopies(list []ledger.Artifact) []*wire.Copy {
	out := make([]*wire.Copy, 0, len(list))
	for _, x := range list {
		out = append(out, x.Proto())
	}
	return out
}

// applySyncReply applies the reply to the Sync that was sent at the given time. It is
// called with mu held.
func (a *agent) applySyncReply(reply *wire.SyncReply, sent time.Time) {
	if reply.GetSuperseded() {
		a.supersede("control knows a newer incarnation")
		return
	}
	if end := sent.Add(commandLease); end.After(a.leaseEnd) {
		a.leaseEnd = end
	}
	if cfg, err := wire.UnpackConfig(reply); err != nil {
		a.log.Warn().Str("event", "configUnreadable").Err(err).Msg("")
	} else if cfg != nil {
		a.applyConfig(cfg)
	}
	if v := reply.GetSuspectsVersion(); v != a.suspectsVersion {
		a.suspectsVersion = v
		clear(a.verdicts)
		for _, s := range reply.GetSuspects() {
			a.verdicts[string(s.GetFingerprint())] = newSuspectVerdict(s)
		}
		for fp, m := range a.localSuspects {
			if v >= m.version {
				delete(a.localSuspects, fp)
			}
		}
		// Control grants no permit to run a suspect until this agent has
		// acknowledged the list.
		a.requestSync()
	}
	if p := reply.GetPlan(); p != nil && a.engine != nil {
		keep := make([]ledger.Artifact, 0, len(p.GetKeep()))
		for _, c := range p.GetKeep() {
			keep = append(keep, ledger.ArtifactFromProto(c))
		}
		before := a.ledger.Stamp()
		stamp := ledger.Stamp{Term: p.GetStamp().GetTerm(), Sequence: p.GetStamp().GetSequence()}
		if a.ledger.SetPlan(stamp, keep) && stamp != before {
			a.log.Info().Str("event", "plan").Uint64("term", stamp.Term).
				Uint64("sequence", stamp.Sequence).Int("artifacts", len(keep)).Msg("")
			// A new leader plans no unloads until its term is acknowledged.
			a.requestSync()
		}
	}
	a.closeIntents()
}

// supersede permanently stops commands and new requests, because another agent
// serves this target. It is called with mu held.
func (a *agent) supersede(why string) {
	if a.superseded {
		return
	}
	a.superseded = true
	a.ledger.Stop()
	a.log.Error().Str("event", "superseded").Str("why", why).Uint64("incarnation", a.incarnation).Msg("")
	a.refuseQueued(wire.Reason_REASON_LEAVING, "another agent serves this target")
}

// deregister tells control that this process will send no further Sync.
func (a *agent) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	a.mu.Lock()
	known := a.incarnation != 0 && !a.superseded
	a.mu.Unlock()
	if known {
		a.sync(ctx, 0, true)
	}
}

// maySendCommands reports whether the agent may send commands now.
func (a *agent) maySendCommands() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaseHeld(time.Now())
}

func (a *agent) leaseHeld(now time.Time) bool {
	return !a.superseded && now.Before(a.leaseEnd)
}

// sendCommands starts the commands that the ledger decides on. It is called with mu
// held.
func (a *agent) sendCommands(now time.Time) {
	if a.engine == nil || !a.leaseHeld(now) || a.draining {
		return
	}
	for _, c := range a.ledger.NextCommands(now) {
		a.goroutines.Go(func() { a.execute(c) })
	}
}

// execute runs a command and reports its result to the ledger.
func (a *agent) execute(c ledger.Command) {
	ctx := a.backgroundCtx
	result, err := a.runCommand(ctx, c)
	ev := a.log.Info()
	if err != nil {
		ev = a.log.Warn().Err(err)
	}
	ev.Str("event", "command").Str("id", c.ID).Str("op", c.Op.String()).Str("model", c.Model).
		Str("version", c.Version).Str("adapter", c.Adapter).Str("result", result.String()).Msg("")
	a.scope.Tagged(map[string]string{"op": c.Op.String(), "result": result.String()}).
		Counter("commands").Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.HandleResult(time.Now(), c.ID, result)
	if result == ledger.ResultStale {
		a.supersede("engine has seen a larger fencing token")
	}
	a.collectClosable()
	a.closeIntents()
	a.scheduleLocked()
	a.requestSync()
}

// runCommand records the intent of c at control if it needs one, and sends c to the
// engine.
func (a *agent) runCommand(ctx context.Context, c ledger.Command) (ledger.Result, error) {
	if c.NeedsIntent {
		accepted, err := a.recordIntent(ctx, c, false)
		if err != nil {
			return ledger.ResultNotSent, err
		}
		a.mu.Lock()
		if !accepted {
			a.supersede("control refused a load intent")
		}
		ok := a.ledger.IntentRecorded(c.ID)
		a.mu.Unlock()
		if !ok {
			return ledger.ResultNotSent, errIntentRefused
		}
	}
	return a.engine.command(ctx, c, a.maySendCommands)
}

// recordIntent opens or closes the intent of a load at control, and reports whether
// control accepted it.
func (a *agent) recordIntent(ctx context.Context, c ledger.Command, closing bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, intendTimeout)
	defer cancel()
	var reply *wire.IntendReply
	err := a.leader.Call(ctx, func(ctx context.Context, cl wire.DRPCControlClient) (err error) {
		reply, err = cl.Intend(ctx, &wire.IntendRequest{Protocol: link.Protocol, Close: closing, Intent: &wire.Intent{
			Target: a.settings.Agent.Target, CommandId: c.ID, Copy: c.Proto(), Incarnation: a.incarnation,
		}})
		return err
	})
	return reply.GetAccepted(), err
}

// collectClosable adds the loads whose intents the ledger no longer needs to closable.
// It is called with mu held.
func (a *agent) collectClosable() { a.closable = append(a.closable, a.ledger.TakeClosable()...) }

// closeIntents closes, in the background, the intents of loads whose outcome is
// known. A failed attempt is repeated after the next Sync reply or command result. It is
// called with mu held.
func (a *agent) closeIntents() {
	for _, c := range a.closable {
		a.goroutines.Go(func() {
			_, err := a.recordIntent(a.backgroundCtx, c, true)
			a.mu.Lock()
			defer a.mu.Unlock()
			if err != nil {
				a.closable = append(a.closable, c)
				return
			}
			a.ledger.IntentClosed(c.ID)
		})
	}
	a.closable = nil
}
