package faults

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bulrushpath.example/lib/ledger"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/wire"
)

// engineCommand is a command that the engine has received.
type engineCommand struct {
	ledger.Command
	running, done bool
	waiters       []func(ledger.Result)
}

// engine is the simulated engine of one target. It accepts every load, so that the
// oracle detects overcommitted memory.
type engine struct {
	process
	sim      *simulation
	zone     string
	memory   uint64
	fencing  bool
	boot     int
	token    uint64
	resident map[ledger.Key]uint64
	commands map[string]*engineCommand
	// onCrash holds the functions to be called when the engine crashes, one for each
	// request.
	onCrash []func()
}

func (s *simulation) addTarget(i int) {
	e := &engine{
		process: process{name: fmt.Sprintf("t%d", i)}, sim: s, zone: fmt.Sprintf("z%d", i%3),
		memory: uint64(8 + s.randN(5)), fencing: s.chance(50),
	}
	s.engines = append(s.engines, e)
	e.start()
	s.addAgent(e)
}

func (e *engine) start() {
	e.down = false
	e.boot++
	e.token, e.onCrash = 0, nil
	e.resident, e.commands = map[ledger.Key]uint64{}, map[string]*engineCommand{}
}

// crash ends the engine, which restarts without models after back.
func (e *engine) crash(why string, back time.Duration) {
	if e.down {
		return
	}
	e.sim.logf("%s is lost (%s) with %v", e.name, why, e.resident)
	e.sim.oracle.losses++
	e.sim.oracle.lastLossAt = e.sim.now
	for m := range e.sim.oracle.copyLosses {
		if e.holdsModel(m) {
			e.sim.oracle.copyLosses[m]++
		}
	}
	callbacks := e.onCrash
	e.sim.kill(&e.process)
	e.resident, e.commands = nil, nil
	e.sim.checkModels()
	for _, broken := range callbacks {
		broken()
	}
	e.sim.after(back, e.start)
}

func (e *engine) bootID() string { return fmt.Sprintf("b%d", e.boot) }

func (e *engine) usedMemory() (n uint64) {
	used := maps.Clone(e.resident)
	for _, c := range e.commands {
		if c.running && c.Op == ledger.OpLoad {
			used[c.Key] = max(used[c.Key], c.Bytes)
		}
	}
	for _, b := range used {
		n += b
	}
	return n
}

func (e *engine) holdsModel(model string) bool {
	for k := range e.resident {
		if k.Model == model && k.Adapter == "" {
			return true
		}
	}
	return false
}

// settled reports whether e holds a usable copy of the model that the current plan keeps
// and no running command removes.
func (s *simulation) settled(lead *control, e *engine, model string) bool {
	a := s.agentOf(e)
	if a == nil || a.ledger.Stamp().Term != lead.term || lead.plans[e.name] == nil {
		return false
	}
	for k := range e.resident {
		kept := slices.ContainsFunc(lead.plans[e.name].GetKeep(), func(c *wire.Copy) bool {
			return ledger.ArtifactFromProto(c).Key == k
		})
		if k.Model != model || k.Adapter != "" || !kept || !a.ledger.Usable(k) {
			continue
		}
		for _, c := range e.commands {
			if c.running && c.Op == ledger.OpUnload && c.Key == k {
				return false
			}
		}
		return true
	}
	return false
}

func (e *engine) state() ledger.EngineState {
	s := ledger.EngineState{BootID: e.bootID(), Memory: e.memory, Fencing: e.fencing}
	for k, n := range e.resident {
		s.Resident = append(s.Resident, ledger.Artifact{Key: k, Bytes: n})
	}
	for id, c := range e.commands {
		s.Commands = append(s.Commands, ledger.CommandState{ID: id, Running: c.running})
	}
	return s
}

// receive runs a command once per ID and answers a duplicate with the first result.
func (e *engine) receive(c ledger.Command, answer func(ledger.Result)) {
	if old, ok := e.commands[c.ID]; ok {
		if old.running {
			old.waiters = append(old.waiters, answer)
		} else {
			answer(old.result())
		}
		return
	}
	if e.fencing && c.Token < e.token {
		answer(ledger.ResultStale)
		return
	}
	e.token = max(e.token, c.Token)
	cmd := &engineCommand{Command: c, running: true, waiters: []func(ledger.Result){answer}}
	e.commands[c.ID] = cmd
	e.sim.logf("%s starts %v %v (%s)", e.name, c.Op, c.Key, c.ID)
	e.sim.checkMemory(e)
	d := map[ledger.Op]time.Duration{ledger.OpLoad: e.sim.randomDelay(300, 2500), ledger.OpUnload: e.sim.randomDelay(20, 300)}[c.Op]
	e.sim.schedule(&e.process, d, func() { e.finish(cmd, e.sim.chance(92)) })
}

func (c *engineCommand) result() ledger.Result {
	if c.done {
		return ledger.ResultDone
	}
	return ledger.ResultFailed
}

func (e *engine) finish(c *engineCommand, done bool) {
	c.running, c.done = false, done || c.Op == ledger.OpFence
	switch {
	case c.Op == ledger.OpLoad && done:
		e.sim.oracle.loads++
		e.resident[c.Key] = c.Bytes
	case c.Op == ledger.OpUnload && done:
		e.sim.oracle.unloads++
		delete(e.resident, c.Key)
	}
	e.sim.checkMemory(e)
	e.sim.checkModels()
	for _, answer := range c.waiters {
		answer(c.result())
	}
}

// agent is the process that runs beside a target. It holds the state that bulrush-agent
// keeps.
type agent struct {
	process
	sim         *simulation
	engine      *engine
	ledger      *ledger.Ledger
	nonce       []byte
	incarnation uint64
	version     uint64
	leaseEnd    time.Time
	lastRead    time.Time
	stale       bool
	closable    []ledger.Command
	// localSuspects holds the requests that were running when the engine crashed. They
	// may only run alone.
	localSuspects map[poison.Fingerprint]bool
	// suspects holds the list of suspects received from control.
	suspects poison.SuspectCache
	// runningAlongside holds the poison requests that the engine runs alongside other
	// requests.
	runningAlongside [][]byte
}

func (s *simulation) addAgent(e *engine) *agent {
	a := &agent{process: process{name: fmt.Sprintf("a%d/%s", len(s.agents), e.name)}, sim: s, engine: e}
	s.agents = append(s.agents, a)
	a.boot()
	return a
}

// agentOf returns the running agent with the highest incarnation at e.
func (s *simulation) agentOf(e *engine) (best *agent) {
	for _, a := range s.agents {
		if a.engine == e && !a.down && !a.stale && a.incarnation > 0 && (best == nil || a.incarnation > best.incarnation) {
			best = a
		}
	}
	return best
}

func (a *agent) boot() {
	a.generation++
	a.down, a.stale, a.incarnation, a.version, a.closable = false, false, 0, 0, nil
	a.ledger, a.leaseEnd, a.lastRead = ledger.New(), time.Time{}, time.Time{}
	a.localSuspects, a.suspects, a.runningAlongside = nil, poison.SuspectCache{}, nil
	a.nonce = fmt.Appendf(nil, "%s-%d", a.name, a.generation)
	a.register()
	a.sim.every(&a.process, 400*time.Millisecond, a.readState)
	a.sync()
}

func (a *agent) register() {
	req := &wire.RegisterRequest{Target: a.engine.name, Nonce: a.nonce}
	a.sim.command(&a.process, 10*time.Second, &wire.Command{Body: &wire.Command_Register{Register: req}},
		func(r *wire.CommandReply) {
			if r == nil {
				a.register()
				return
			}
			a.incarnation = r.GetRegister().GetIncarnation()
			a.sim.checkIncarnation(a.engine.name, a.nonce, a.incarnation)
			a.sim.logf("%s is incarnation %d, intents %v", a.name, a.incarnation, r.GetRegister().GetIntents())
			a.ledger.Register(a.incarnation, r.GetRegister().GetIntents())
		})
}

func (a *agent) readState() {
	ticket := a.ledger.BeginRead()
	a.sim.send(&a.process, &a.engine.process, func() {
		s := a.engine.state()
		a.sim.send(&a.engine.process, &a.process, func() {
			if a.ledger.Observe(ticket, s) {
				a.lastRead = a.sim.now
			}
			a.sendCommands()
		})
	})
}

func (a *agent) maySend() bool { return !a.stale && a.incarnation > 0 && a.sim.now.Before(a.leaseEnd) }

func (a *agent) sendCommands() {
	if a.maySend() {
		for _, c := range a.ledger.NextCommands(a.sim.now) {
			a.execute(c)
		}
	}
	a.closable = append(a.closable, a.ledger.TakeClosable()...)
	closing := a.closable
	a.closable = nil
	for _, c := range closing {
		a.intend(c, true, func(r *wire.IntendReply) {
			if r == nil {
				a.closable = append(a.closable, c)
				return
			}
			a.ledger.IntentClosed(c.ID)
		})
	}
}

func (a *agent) intend(c ledger.Command, closing bool, done func(*wire.IntendReply)) {
	req := &wire.IntendRequest{Close: closing, Intent: &wire.Intent{
		Target: a.engine.name, CommandId: c.ID, Copy: c.Proto(), Incarnation: a.incarnation,
	}}
	a.sim.command(&a.process, 5*time.Second, &wire.Command{Body: &wire.Command_Intend{Intend: req}},
		func(r *wire.CommandReply) {
			if r.GetError() != "" {
				r = nil
			}
			done(r.GetIntend())
		})
}

func (a *agent) handleResult(c ledger.Command, r ledger.Result) {
	a.ledger.HandleResult(a.sim.now, c.ID, r)
	a.stale = a.stale || r == ledger.ResultStale
	a.sendCommands()
}

func (a *agent) execute(c ledger.Command) {
	if !c.NeedsIntent {
		a.dial(c)
		return
	}
	a.intend(c, false, func(r *wire.IntendReply) {
		if r != nil && !r.GetAccepted() {
			a.supersede()
		}
		if r == nil || !a.ledger.IntentRecorded(c.ID) {
			a.handleResult(c, ledger.ResultNotSent)
			return
		}
		a.dial(c)
	})
}

// dial opens a connection, reads the engine's boot ID over it and then sends c.
func (a *agent) dial(c ledger.Command) {
	dialed := false
	a.sim.send(&a.process, &a.engine.process, func() {
		boot := a.engine.bootID()
		a.sim.send(&a.engine.process, &a.process, func() {
			if dialed {
				return
			}
			dialed = true
			if boot != c.BootID || !a.maySend() {
				a.handleResult(c, ledger.ResultNotSent)
				return
			}
			a.transmit(c)
		})
	})
	a.sim.schedule(&a.process, time.Second, func() {
		if !dialed {
			dialed = true
			a.handleResult(c, ledger.ResultNotSent)
		}
	})
}

// transmit sends c. Depending on the network it arrives once, late, twice or not at all.
func (a *agent) transmit(c ledger.Command) {
	ended, e := false, a.engine
	end := func(r ledger.Result) {
		if !ended {
			ended = true
			a.handleResult(c, r)
		}
	}
	copies, delay := 1, time.Duration(0)
	if a.sim.now.Before(a.sim.lossyCommandsUntil) {
		copies = a.sim.randN(3)
		delay = a.sim.randomDelay(1, 15000)
	}
	for range copies {
		a.sim.schedule(&e.process, delay+a.sim.randomDelay(1, 4), func() {
			if e.bootID() == c.BootID {
				e.receive(c, func(r ledger.Result) { a.sim.send(&e.process, &a.process, func() { end(r) }) })
			}
		})
		delay += a.sim.randomDelay(1, 5000)
	}
	a.sim.schedule(&a.process, 5*time.Second, func() { end(ledger.ResultUnknown) })
}

func (a *agent) supersede() {
	a.stale = true
	a.ledger.Stop()
}

func wireCopies(list []ledger.Artifact) (out []*wire.Copy) {
	for _, x := range list {
		out = append(out, x.Proto())
	}
	return out
}

// runningSuspects returns the suspects that the engine runs alongside other requests.
func (a *agent) runningSuspects() (out [][]byte) {
	if len(a.engine.onCrash) == 0 {
		a.runningAlongside = nil
	}
	for _, fp := range a.runningAlongside {
		if a.suspects.Suspect(poison.Fingerprint(fp), a.sim.now) {
			out = append(out, fp)
		}
	}
	return out
}

func (a *agent) sync() {
	again := func() { a.sim.schedule(&a.process, a.sim.randomDelay(450, 550), a.sync) }
	if a.incarnation == 0 || a.stale {
		again()
		return
	}
	phase, sent, floor := wire.Phase_PHASE_STARTING, a.sim.now, uint64(0)
	if a.sim.now.Sub(a.lastRead) < time.Second {
		phase = wire.Phase_PHASE_READY
	}
	if a.version == 0 {
		floor = a.sim.oracle.accepted
	}
	st := a.ledger.Stamp()
	req := &wire.SyncRequest{
		Role: wire.Role_ROLE_AGENT, Name: a.engine.name, ConfigVersion: a.version,
		SuspectsVersion: a.suspects.Version(), RunningSuspects: a.runningSuspects(),
		Announcement: &wire.Announcement{
			Target: a.engine.name, Zone: a.engine.zone, Team: "x", Kind: wire.TargetKind_TARGET_KIND_ENGINE, Phase: phase,
			Incarnation: a.incarnation, MemoryBytes: a.ledger.Memory(), Load: &wire.Load{Slots: 8},
			Resident: wireCopies(a.ledger.Resident()), Pinned: wireCopies(a.ledger.Pinned()), Loading: wireCopies(a.ledger.Loading()),
		},
	}
	if st != (ledger.Stamp{}) {
		req.Announcement.PlanAck = &wire.Stamp{Term: st.Term, Sequence: st.Sequence}
	}
	callLeader(a.sim, &a.process, 2*time.Second, func(c *control, answer func(*wire.SyncReply)) { c.sync(req, answer) },
		func(r *wire.SyncReply) {
			a.applySyncReply(r, sent, floor)
			again()
		})
}

func (a *agent) applySyncReply(r *wire.SyncReply, sent time.Time, floor uint64) {
	switch {
	case r == nil || a.stale:
		return
	case r.GetSuperseded():
		a.supersede()
		return
	}
	if end := sent.Add(10 * time.Second); end.After(a.leaseEnd) {
		a.leaseEnd = end
	}
	if cfg := r.GetConfig(); cfg.GetVersion() > a.version {
		a.sim.checkReadConfig(a.name, cfg, floor)
		a.version = cfg.GetVersion()
	} else if floor > a.version {
		a.sim.failf("%s reads no configuration, although version %d was accepted before", a.name, floor)
	}
	a.suspects.Replace(r.GetSuspectsVersion(), r.GetSuspects())
	if p := r.GetPlan(); p != nil {
		var keep []ledger.Artifact
		for _, c := range p.GetKeep() {
			keep = append(keep, ledger.ArtifactFromProto(c))
		}
		a.ledger.SetPlan(ledger.Stamp{Term: p.GetStamp().GetTerm(), Sequence: p.GetStamp().GetSequence()}, keep)
	}
	a.sendCommands()
}
