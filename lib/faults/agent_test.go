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

// engineCmd is a command that the engine has received.
type engineCmd struct {
	ledger.Command
	running, done bool
	waiters       []func(ledger.Result)
}

// engine is the simulated engine of one target. It accepts every load, so that the
// oracle detects overcommitted memory.
type engine struct {
	proc
	w        *world
	zone     string
	memory   uint64
	fencing  bool
	boot     int
	token    uint64
	resident map[ledger.Key]uint64
	cmds     map[string]*engineCmd
	// jobs holds the functions to be called when the engine crashes, one for each
	// request.
	jobs []func()
}

func (w *world) addTarget(i int) {
	e := &engine{
		proc: proc{name: fmt.Sprintf("t%d", i)}, w: w, zone: fmt.Sprintf("z%d", i%3),
		memory: uint64(8 + w.pick(5)), fencing: w.chance(50),
	}
	w.engines = append(w.engines, e)
	e.start()
	w.addAgent(e)
}

func (e *engine) start() {
	e.down = false
	e.boot++
	e.token, e.jobs = 0, nil
	e.resident, e.cmds = map[ledger.Key]uint64{}, map[string]*engineCmd{}
}

// lose crashes the engine. It restarts without models after back.
func (e *engine) lose(why string, back time.Duration) {
	if e.down {
		return
	}
	e.w.logf("%s is lost (%s) with %v", e.name, why, e.resident)
	e.w.oracle.losses++
	e.w.oracle.lossAt = e.w.now
	for m := range e.w.oracle.armed {
		if e.holdsModel(m) {
			e.w.oracle.armed[m]++
		}
	}
	jobs := e.jobs
	e.w.kill(&e.proc)
	e.resident, e.cmds = nil, nil
	e.w.checkModels()
	for _, broken := range jobs {
		broken()
	}
	e.w.after(back, e.start)
}

func (e *engine) bootID() string { return fmt.Sprintf("b%d", e.boot) }

func (e *engine) used() (n uint64) {
	used := maps.Clone(e.resident)
	for _, c := range e.cmds {
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
func (w *world) settled(lead *control, e *engine, model string) bool {
	a := w.agentOf(e)
	if a == nil || a.l.Stamp().Term != lead.term || lead.plans[e.name] == nil {
		return false
	}
	for k := range e.resident {
		kept := slices.ContainsFunc(lead.plans[e.name].GetKeep(), func(c *wire.Copy) bool {
			return ledger.FromCopy(c).Key == k
		})
		if k.Model != model || k.Adapter != "" || !kept || !a.l.Usable(k) {
			continue
		}
		for _, c := range e.cmds {
			if c.running && c.Op == ledger.OpUnload && c.Key == k {
				return false
			}
		}
		return true
	}
	return false
}

func (e *engine) state() ledger.State {
	s := ledger.State{Boot: e.bootID(), Memory: e.memory, Fencing: e.fencing}
	for k, n := range e.resident {
		s.Resident = append(s.Resident, ledger.Artifact{Key: k, Bytes: n})
	}
	for id, c := range e.cmds {
		s.Commands = append(s.Commands, ledger.CommandState{ID: id, Running: c.running})
	}
	return s
}

// take runs a command once per ID and answers a duplicate with the first result.
func (e *engine) take(c ledger.Command, answer func(ledger.Result)) {
	if old, ok := e.cmds[c.ID]; ok {
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
	cmd := &engineCmd{Command: c, running: true, waiters: []func(ledger.Result){answer}}
	e.cmds[c.ID] = cmd
	e.w.logf("%s starts %v %v (%s)", e.name, c.Op, c.Key, c.ID)
	e.w.checkMemory(e)
	d := map[ledger.Op]time.Duration{ledger.OpLoad: e.w.ms(300, 2500), ledger.OpUnload: e.w.ms(20, 300)}[c.Op]
	e.w.later(&e.proc, d, func() { e.finish(cmd, e.w.chance(92)) })
}

func (c *engineCmd) result() ledger.Result {
	if c.done {
		return ledger.ResultDone
	}
	return ledger.ResultFailed
}

func (e *engine) finish(c *engineCmd, done bool) {
	c.running, c.done = false, done || c.Op == ledger.OpFence
	switch {
	case c.Op == ledger.OpLoad && done:
		e.w.oracle.loads++
		e.resident[c.Key] = c.Bytes
	case c.Op == ledger.OpUnload && done:
		e.w.oracle.unloads++
		delete(e.resident, c.Key)
	}
	e.w.checkMemory(e)
	e.w.checkModels()
	for _, answer := range c.waiters {
		answer(c.result())
	}
}

// agent is the process that runs beside a target. It holds the state that bulrush-agent
// keeps.
type agent struct {
	proc
	w       *world
	e       *engine
	l       *ledger.Ledger
	nonce   []byte
	inc     uint64
	version uint64
	lease   time.Time
	readAt  time.Time
	gone    bool
	closing []ledger.Command
	// marked holds the requests that were running when the engine crashed. They may
	// only run alone.
	marked map[poison.Fingerprint]bool
	// book holds the list of suspects received from control.
	book poison.Book
	// beside holds the poison requests that the engine runs alongside other requests.
	beside [][]byte
}

func (w *world) addAgent(e *engine) *agent {
	a := &agent{proc: proc{name: fmt.Sprintf("a%d/%s", len(w.agents), e.name)}, w: w, e: e}
	w.agents = append(w.agents, a)
	a.boot()
	return a
}

// agentOf returns the running agent with the highest incarnation at e.
func (w *world) agentOf(e *engine) (best *agent) {
	for _, a := range w.agents {
		if a.e == e && !a.down && !a.gone && a.inc > 0 && (best == nil || a.inc > best.inc) {
			best = a
		}
	}
	return best
}

func (a *agent) boot() {
	a.life++
	a.down, a.gone, a.inc, a.version, a.closing = false, false, 0, 0, nil
	a.l, a.lease, a.readAt = ledger.New(), time.Time{}, time.Time{}
	a.marked, a.book, a.beside = nil, poison.Book{}, nil
	a.nonce = fmt.Appendf(nil, "%s-%d", a.name, a.life)
	a.register()
	a.w.every(&a.proc, 400*time.Millisecond, a.read)
	a.sync()
}

func (a *agent) register() {
	req := &wire.RegisterRequest{Target: a.e.name, Nonce: a.nonce}
	a.w.command(&a.proc, 10*time.Second, &wire.Command{Body: &wire.Command_Register{Register: req}},
		func(r *wire.CommandReply) {
			if r == nil {
				a.register()
				return
			}
			a.inc = r.GetRegister().GetIncarnation()
			a.w.registered(a.e.name, a.nonce, a.inc)
			a.w.logf("%s is incarnation %d, intents %v", a.name, a.inc, r.GetRegister().GetIntents())
			a.l.Register(a.inc, r.GetRegister().GetIntents())
		})
}

func (a *agent) read() {
	ticket := a.l.BeginRead()
	a.w.send(&a.proc, &a.e.proc, func() {
		s := a.e.state()
		a.w.send(&a.e.proc, &a.proc, func() {
			if a.l.Observe(ticket, s) {
				a.readAt = a.w.now
			}
			a.drive()
		})
	})
}

func (a *agent) mayCommand() bool { return !a.gone && a.inc > 0 && a.w.now.Before(a.lease) }

func (a *agent) drive() {
	if a.mayCommand() {
		for _, c := range a.l.Next(a.w.now) {
			a.execute(c)
		}
	}
	a.closing = append(a.closing, a.l.Closable()...)
	closing := a.closing
	a.closing = nil
	for _, c := range closing {
		a.intend(c, true, func(r *wire.IntendReply) {
			if r == nil {
				a.closing = append(a.closing, c)
				return
			}
			a.l.Closed(c.ID)
		})
	}
}

func (a *agent) intend(c ledger.Command, closing bool, done func(*wire.IntendReply)) {
	req := &wire.IntendRequest{Close: closing, Intent: &wire.Intent{
		Target: a.e.name, CommandId: c.ID, Copy: c.Copy(), Incarnation: a.inc,
	}}
	a.w.command(&a.proc, 5*time.Second, &wire.Command{Body: &wire.Command_Intend{Intend: req}},
		func(r *wire.CommandReply) {
			if r.GetError() != "" {
				r = nil
			}
			done(r.GetIntend())
		})
}

func (a *agent) answered(c ledger.Command, r ledger.Result) {
	a.l.Answered(a.w.now, c.ID, r)
	a.gone = a.gone || r == ledger.ResultStale
	a.drive()
}

func (a *agent) execute(c ledger.Command) {
	if !c.Intend {
		a.dial(c)
		return
	}
	a.intend(c, false, func(r *wire.IntendReply) {
		if r != nil && !r.GetAccepted() {
			a.supersede()
		}
		if r == nil || !a.l.Intended(c.ID) {
			a.answered(c, ledger.ResultNotSent)
			return
		}
		a.dial(c)
	})
}

// dial opens a connection, reads the engine's boot ID over it and then sends c.
func (a *agent) dial(c ledger.Command) {
	dialed := false
	a.w.send(&a.proc, &a.e.proc, func() {
		boot := a.e.bootID()
		a.w.send(&a.e.proc, &a.proc, func() {
			if dialed {
				return
			}
			dialed = true
			if boot != c.Boot || !a.mayCommand() {
				a.answered(c, ledger.ResultNotSent)
				return
			}
			a.transmit(c)
		})
	})
	a.w.later(&a.proc, time.Second, func() {
		if !dialed {
			dialed = true
			a.answered(c, ledger.ResultNotSent)
		}
	})
}

// transmit sends c. Depending on the network it arrives once, late, twice or not at all.
func (a *agent) transmit(c ledger.Command) {
	ended, e := false, a.e
	end := func(r ledger.Result) {
		if !ended {
			ended = true
			a.answered(c, r)
		}
	}
	copies, delay := 1, time.Duration(0)
	if a.w.now.Before(a.w.badCommands) {
		copies = a.w.pick(3)
		delay = a.w.ms(1, 15000)
	}
	for range copies {
		a.w.later(&e.proc, delay+a.w.ms(1, 4), func() {
			if e.bootID() == c.Boot {
				e.take(c, func(r ledger.Result) { a.w.send(&e.proc, &a.proc, func() { end(r) }) })
			}
		})
		delay += a.w.ms(1, 5000)
	}
	a.w.later(&a.proc, 5*time.Second, func() { end(ledger.ResultUnknown) })
}

func (a *agent) supersede() {
	a.gone = true
	a.l.Stop()
}

func wireCopies(list []ledger.Artifact) (out []*wire.Copy) {
	for _, x := range list {
		out = append(out, x.Copy())
	}
	return out
}

// runningSuspects returns the suspects that the engine runs alongside other requests.
func (a *agent) runningSuspects() (out [][]byte) {
	if len(a.e.jobs) == 0 {
		a.beside = nil
	}
	for _, fp := range a.beside {
		if a.book.Suspect(poison.Fingerprint(fp), a.w.now) {
			out = append(out, fp)
		}
	}
	return out
}

func (a *agent) sync() {
	again := func() { a.w.later(&a.proc, a.w.ms(450, 550), a.sync) }
	if a.inc == 0 || a.gone {
		again()
		return
	}
	phase, sent, floor := wire.Phase_PHASE_STARTING, a.w.now, uint64(0)
	if a.w.now.Sub(a.readAt) < time.Second {
		phase = wire.Phase_PHASE_READY
	}
	if a.version == 0 {
		floor = a.w.oracle.accepted
	}
	st := a.l.Stamp()
	req := &wire.SyncRequest{
		Role: wire.Role_ROLE_AGENT, Name: a.e.name, ConfigVersion: a.version,
		SuspectsVersion: a.book.Version(), RunningSuspects: a.runningSuspects(),
		Announcement: &wire.Announcement{
			Target: a.e.name, Zone: a.e.zone, Team: "x", Kind: wire.TargetKind_TARGET_KIND_ENGINE, Phase: phase,
			Incarnation: a.inc, MemoryBytes: a.l.Memory(), Load: &wire.Load{Slots: 8},
			Resident: wireCopies(a.l.Resident()), Pinned: wireCopies(a.l.Pinned()), Loading: wireCopies(a.l.Loading()),
		},
	}
	if st != (ledger.Stamp{}) {
		req.Announcement.PlanAck = &wire.Stamp{Term: st.Term, Sequence: st.Sequence}
	}
	ask(a.w, &a.proc, 2*time.Second, func(c *control, answer func(*wire.SyncReply)) { c.sync(req, answer) },
		func(r *wire.SyncReply) {
			a.synced(r, sent, floor)
			again()
		})
}

func (a *agent) synced(r *wire.SyncReply, sent time.Time, floor uint64) {
	switch {
	case r == nil || a.gone:
		return
	case r.GetSuperseded():
		a.supersede()
		return
	}
	if end := sent.Add(10 * time.Second); end.After(a.lease) {
		a.lease = end
	}
	if cfg := r.GetConfig(); cfg.GetVersion() > a.version {
		a.w.holds(a.name, cfg, floor)
		a.version = cfg.GetVersion()
	} else if floor > a.version {
		a.w.failf("%s reads no configuration, although version %d was accepted before", a.name, floor)
	}
	a.book.Replace(r.GetSuspectsVersion(), r.GetSuspects())
	if p := r.GetPlan(); p != nil {
		var keep []ledger.Artifact
		for _, c := range p.GetKeep() {
			keep = append(keep, ledger.FromCopy(c))
		}
		a.l.SetPlan(ledger.Stamp{Term: p.GetStamp().GetTerm(), Sequence: p.GetStamp().GetSequence()}, keep)
	}
	a.drive()
}
