package ledger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// fault is an error in a naive agent or its network; each must make the
// simulation overcommit the engine's memory.
type fault uint8

const (
	faultNone fault = iota
	// faultUnansweredIsFailed treats an unanswered command as failed.
	faultUnansweredIsFailed
	// faultIgnoreIntents ignores the open intents of earlier incarnations.
	faultIgnoreIntents
	// faultAnyBoot delivers commands to any boot of the engine.
	faultAnyBoot
	// faultReadOrder orders a read by its arrival instead of its start.
	faultReadOrder
)

// engineCommand is a command that the simulated engine has received.
type engineCommand struct {
	Command
	running bool
	done    bool
}

// message is a command in the network, or its answer if result is set.
type message struct {
	cmd    Command
	from   *agentProcess
	result Result
	// slow messages stay in the network for a long time.
	slow bool
}

// pendingRead is a read in progress.
type pendingRead struct {
	ticket    uint64
	stateRead bool
	state     EngineState
}

// agentProcess is one agent.
type agentProcess struct {
	l              *Ledger
	incarnation    uint64
	awaitingIntent []Command
	awaitingSend   []Command
	unanswered     []Command
	reads          []*pendingRead
	closable       []Command
	inUse          []Key
}

// simulation simulates an engine, the control group, the network and agents. It
// loses, delays, duplicates and reorders messages in flight.
type simulation struct {
	intn  func(n int) int
	fault fault
	now   time.Time

	memory   uint64
	fencing  bool
	boot     int
	token    uint64
	resident map[Key]uint64
	cmds     map[string]*engineCommand

	lastIncarnation uint64
	intents         map[string]*wire.Intent
	seq             uint64
	network         []message
	agents          []*agentProcess
	artifacts       []Artifact
	violation       string
}

func newSimulation(intn func(int) int, f fault) *simulation {
	s := &simulation{intn: intn, fault: f, now: time.Unix(1e9, 0), memory: 11, fencing: intn(2) == 0}
	s.intents = make(map[string]*wire.Intent)
	for _, m := range []string{"a", "b", "c"} {
		for _, v := range []string{"1", "2"} {
			s.artifacts = append(s.artifacts, Artifact{Key{m, v, ""}, uint64(3 + intn(3))})
		}
		s.artifacts = append(s.artifacts, Artifact{Key{m, "1", "x"}, 1})
	}
	s.restart()
	s.start()
	return s
}

func (s *simulation) restart() {
	s.boot++
	s.token = 0
	s.resident, s.cmds = make(map[Key]uint64), make(map[string]*engineCommand)
	if s.fault != faultAnyBoot {
		s.network = slices.DeleteFunc(s.network, func(m message) bool { return m.result == 0 })
	}
}

func (s *simulation) bootID() string { return fmt.Sprintf("b%d", s.boot) }

func (s *simulation) start() { s.agents = append(s.agents, &agentProcess{l: New()}) }

// register gives p its incarnation, possibly after its first reads.
func (s *simulation) register(p *agentProcess) {
	s.lastIncarnation++
	p.incarnation = s.lastIncarnation
	var open []*wire.Intent
	if s.fault != faultIgnoreIntents {
		for _, id := range slices.Sorted(maps.Keys(s.intents)) {
			open = append(open, s.intents[id])
		}
	}
	p.l.Register(s.lastIncarnation, open)
}

// check verifies that resident artifacts and running loads fit into the memory.
func (s *simulation) check() {
	used := maps.Clone(s.resident)
	for _, c := range s.cmds {
		if c.running && c.Op == OpLoad {
			used[c.Key] = c.Bytes
		}
	}
	var sum uint64
	for _, n := range used {
		sum += n
	}
	if sum > s.memory && s.violation == "" {
		s.violation = fmt.Sprintf("%d of %d bytes: %v", sum, s.memory, used)
	}
}

func (s *simulation) state() EngineState {
	st := EngineState{BootID: s.bootID(), Memory: s.memory, Fencing: s.fencing}
	for k, n := range s.resident {
		st.Resident = append(st.Resident, Artifact{k, n})
	}
	for _, id := range slices.Sorted(maps.Keys(s.cmds)) {
		st.Commands = append(st.Commands, CommandState{ID: id, Running: s.cmds[id].running})
	}
	return st
}

// deliver passes message i to the engine. One time in four the message also
// stays in the network as a duplicate.
func (s *simulation) deliver(i int) {
	m := s.network[i]
	if s.intn(4) > 0 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	if c, ok := s.cmds[m.cmd.ID]; ok {
		if !c.running {
			s.reply(m, c.done)
		}
		return
	}
	if s.fencing && m.cmd.Token < s.token {
		s.network = append(s.network, message{cmd: m.cmd, from: m.from, result: ResultStale})
		return
	}
	s.token = max(s.token, m.cmd.Token)
	s.cmds[m.cmd.ID] = &engineCommand{Command: m.cmd, running: true}
	if m.cmd.Op == OpFence {
		s.finish(m.cmd.ID, true)
		s.reply(m, true)
	}
}

func (s *simulation) reply(m message, done bool) {
	r := ResultFailed
	if done {
		r = ResultDone
	}
	s.network = append(s.network, message{cmd: m.cmd, from: m.from, result: r})
}

func (s *simulation) finish(id string, done bool) {
	c := s.cmds[id]
	c.running, c.done = false, done
	switch {
	case c.Op == OpLoad && done:
		s.resident[c.Key] = c.Bytes
	case c.Op == OpUnload && done:
		delete(s.resident, c.Key)
	}
}

func (p *agentProcess) removeUnanswered(c Command) bool {
	i := slices.IndexFunc(p.unanswered, func(o Command) bool { return o.ID == c.ID })
	if i >= 0 {
		p.unanswered = slices.Delete(p.unanswered, i, i+1)
	}
	return i >= 0
}

func (s *simulation) stepNetwork() {
	switch s.intn(8) {
	case 0, 1, 2, 3:
		if len(s.network) == 0 {
			return
		}
		i := s.intn(len(s.network))
		m := s.network[i]
		if m.slow && s.intn(60) > 0 {
			return
		}
		if m.result == 0 {
			s.deliver(i)
			return
		}
		s.network = slices.Delete(s.network, i, i+1)
		if m.from.removeUnanswered(m.cmd) {
			m.from.l.HandleResult(s.now, m.cmd.ID, m.result)
		}
	case 4, 5:
		ids := slices.Sorted(maps.Keys(s.cmds))
		ids = slices.DeleteFunc(ids, func(id string) bool { return !s.cmds[id].running })
		if len(ids) > 0 {
			id := ids[s.intn(len(ids))]
			s.finish(id, s.intn(6) > 0)
			for _, p := range s.agents {
				if slices.ContainsFunc(p.unanswered, func(o Command) bool { return o.ID == id }) {
					s.reply(message{cmd: s.cmds[id].Command, from: p}, s.cmds[id].done)
				}
			}
		}
	case 6:
		if len(s.network) > 0 {
			if i := s.intn(len(s.network)); !s.network[i].slow {
				s.network = slices.Delete(s.network, i, i+1)
			}
		}
	case 7:
		if s.intn(12) == 0 {
			s.restart()
		}
	}
}

func (s *simulation) plan(p *agentProcess) {
	var keep []Artifact
	for _, a := range s.artifacts {
		if s.intn(3) == 0 {
			keep = append(keep, a)
		}
	}
	s.seq++
	p.l.SetPlan(Stamp{1, s.seq}, keep)
}

func (s *simulation) stepAgent(p *agentProcess) {
	if p.incarnation == 0 && s.intn(20) == 0 {
		s.register(p)
		return
	}
	switch s.intn(12) {
	case 0:
		s.plan(p)
	case 1, 2:
		s.issueCommands(p)
	case 3, 4:
		s.recordIntent(p, s.intn(8) == 0)
	case 5, 6:
		s.send(p)
	case 7:
		// The attempt ends without an answer; the command may still arrive.
		if len(p.unanswered) > 0 {
			c := p.unanswered[s.intn(len(p.unanswered))]
			p.removeUnanswered(c)
			r := ResultUnknown
			if s.fault == faultUnansweredIsFailed {
				r = ResultFailed
			}
			p.l.HandleResult(s.now, c.ID, r)
		}
	case 8, 9:
		s.read(p)
	case 10:
		p.closable = append(p.closable, p.l.TakeClosable()...)
		if len(p.closable) > 0 && s.intn(2) == 0 {
			delete(s.intents, p.closable[0].ID)
			p.l.IntentClosed(p.closable[0].ID)
			p.closable = p.closable[1:]
		}
	case 11:
		s.use(p)
	}
}

func (s *simulation) issueCommands(p *agentProcess) {
	for _, c := range p.l.NextCommands(s.now) {
		if c.Op == OpUnload && slices.Contains(p.inUse, c.Key) {
			s.violation = fmt.Sprintf("unload of %v in use", c.Key)
		}
		if c.NeedsIntent {
			p.awaitingIntent = append(p.awaitingIntent, c)
		} else {
			p.awaitingSend = append(p.awaitingSend, c)
		}
	}
}

// recordIntent stores the next intent in the control group; if lost is set, the reply
// does not arrive.
func (s *simulation) recordIntent(p *agentProcess, lost bool) {
	if len(p.awaitingIntent) == 0 {
		return
	}
	c := p.awaitingIntent[0]
	p.awaitingIntent = p.awaitingIntent[1:]
	accepted := p.incarnation == s.lastIncarnation
	if accepted {
		s.intents[c.ID] = &wire.Intent{CommandId: c.ID, Copy: c.Proto(), Incarnation: p.incarnation}
	}
	switch {
	case lost:
		p.l.HandleResult(s.now, c.ID, ResultNotSent)
	case !accepted:
		p.l.Stop()
		p.l.HandleResult(s.now, c.ID, ResultNotSent)
	case p.l.IntentRecorded(c.ID):
		p.awaitingSend = append(p.awaitingSend, c)
	}
}

// send sends the next issued command, possibly long after it was issued.
func (s *simulation) send(p *agentProcess) {
	if len(p.awaitingSend) == 0 {
		return
	}
	c := p.awaitingSend[0]
	p.awaitingSend = p.awaitingSend[1:]
	if c.BootID != s.bootID() && s.fault != faultAnyBoot {
		p.l.HandleResult(s.now, c.ID, ResultNotSent)
		return
	}
	p.unanswered = append(p.unanswered, c)
	s.network = append(s.network, message{cmd: c, from: p, slow: s.intn(3) == 0})
}

func (s *simulation) read(p *agentProcess) {
	if len(p.reads) == 0 || len(p.reads) < 3 && s.intn(4) == 0 {
		p.reads = append(p.reads, &pendingRead{ticket: p.l.BeginRead()})
		return
	}
	i := s.intn(len(p.reads))
	r := p.reads[i]
	if !r.stateRead {
		r.stateRead, r.state = true, s.state()
		return
	}
	if s.fault == faultReadOrder {
		r.ticket = p.l.BeginRead()
	}
	p.l.Observe(r.ticket, r.state)
	p.reads = slices.Delete(p.reads, i, i+1)
}

func (s *simulation) use(p *agentProcess) {
	if len(p.inUse) > 0 && s.intn(2) == 0 {
		p.l.Release(p.inUse[0])
		p.inUse = p.inUse[1:]
		return
	}
	a := s.artifacts[s.intn(len(s.artifacts))]
	if p.l.Usable(a.Key) && len(p.inUse) < 2 {
		p.l.Acquire(a.Key)
		p.inUse = append(p.inUse, a.Key)
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(100 * time.Millisecond)
	switch n := s.intn(20); {
	case n < 8:
		s.stepNetwork()
	case n == 8 && s.intn(5) == 0:
		s.start()
	case n == 9 && s.intn(5) == 0 && len(s.agents) > 1:
		i := s.intn(len(s.agents))
		s.agents = slices.Delete(s.agents, i, i+1)
	default:
		s.stepAgent(s.agents[s.intn(len(s.agents))])
	}
	s.check()
}

// converge runs one new agent without faults until the plan should be reached. An
// engine without fencing is restarted first, because only a restart ends the
// unanswered commands there.
func (s *simulation) converge() {
	if !s.fencing {
		s.restart()
	}
	p := &agentProcess{l: New()}
	s.register(p)
	want := map[Key]uint64{}
	keep := []Artifact{s.artifacts[0], s.artifacts[2], s.artifacts[3]}
	for _, a := range keep {
		want[a.Key] = a.Bytes
	}
	p.l.SetPlan(Stamp{2, 1}, keep)
	for range 30 {
		s.now = s.now.Add(maxBackoff)
		for id, c := range s.cmds {
			if c.running {
				s.finish(id, true)
			}
		}
		p.l.Observe(p.l.BeginRead(), s.state())
		for _, c := range p.l.NextCommands(s.now) {
			p.l.IntentRecorded(c.ID)
			s.cmds[c.ID] = &engineCommand{Command: c, running: true}
			s.check()
			s.finish(c.ID, true)
			p.l.HandleResult(s.now, c.ID, ResultDone)
		}
	}
	if s.violation == "" && !maps.Equal(s.resident, want) {
		s.violation = fmt.Sprintf("plan %v is not reached: %v, reserved %d", want, s.resident, p.l.Reserved())
	}
}

// Guards against overcommitted memory, an unload of an artifact that running
// requests use, and a reservation that is never released.
func TestOracleMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.IntRange(0, 1<<20)
		s := newSimulation(func(n int) int { return draw.Draw(t, "n") % n }, faultNone)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			s.step()
		}
		s.converge()
		assert.Equal(t, s.violation, "")
	})
}

// Shows that the property above can fail: each fault of a naive agent leads to
// overcommitted memory. The simulation runs from fixed seeds, which reaches
// longer and rarer sequences of events than rapid does.
func TestShortcutsOvercommit(t *testing.T) {
	runs := func(f fault) (string, int) {
		for seed := range 3000 {
			r := rand.New(rand.NewPCG(uint64(seed), 1))
			s := newSimulation(r.IntN, f)
			for range 1500 {
				s.step()
			}
			if f == faultNone {
				s.converge()
			}
			if s.violation != "" {
				return s.violation, seed
			}
		}
		return "", 0
	}
	for _, f := range []fault{faultUnansweredIsFailed, faultIgnoreIntents, faultAnyBoot, faultReadOrder} {
		violation, seed := runs(f)
		assert.Check(t, violation != "", "fault %d caused no violation", f)
		t.Logf("fault %d: seed %d: %s", f, seed, violation)
	}
	violation, seed := runs(faultNone)
	assert.Equal(t, violation, "", "seed %d", seed)
}

// Guards against open intents that add up to more than the memory, which would
// leave the next incarnation no room for any load.
func TestAbandonedLoadIsReservedUntilClosed(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := New()
	l.Register(1, nil)
	l.Observe(l.BeginRead(), EngineState{BootID: "b", Memory: 9})
	l.SetPlan(Stamp{1, 1}, []Artifact{{Key{"m", "1", ""}, 5}})
	id := l.NextCommands(now)[0].ID
	l.HandleResult(now, id, ResultNotSent)
	l.SetPlan(Stamp{1, 2}, []Artifact{{Key{"n", "1", ""}, 5}})
	assert.Equal(t, len(l.NextCommands(now)), 0)
	assert.Equal(t, l.TakeClosable()[0].ID, id)
	l.IntentClosed(id)
	assert.Equal(t, len(l.NextCommands(now)), 1)
}

// Guards against closing an intent of an earlier incarnation before the fence
// has reached the engine or while the engine executes the load, and against
// resending that load, whose intent the earlier agent may close at any time.
func TestIntentsOfEarlierIncarnations(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := Artifact{Key{"m", "1", ""}, 4}
	for _, fencing := range []bool{true, false} {
		l := New()
		l.Register(2, []*wire.Intent{{CommandId: "1-1-b", Copy: a.Proto(), Incarnation: 1}})
		l.SetPlan(Stamp{1, 1}, []Artifact{a})
		s := EngineState{BootID: "b", Memory: 9, Fencing: fencing}
		l.Observe(l.BeginRead(), s)
		cmd := l.NextCommands(now)[0]
		assert.Assert(t, cmd.ID != "1-1-b" && cmd.Token == 2)
		assert.Equal(t, cmd.Op == OpFence, fencing)
		beforeFence := l.BeginRead()
		l.IntentRecorded(cmd.ID)
		l.HandleResult(now, cmd.ID, ResultDone)
		l.Observe(beforeFence, s)
		open := func(want int) {
			t.Helper()
			assert.Equal(t, len(l.Pinned()), want)
			assert.Equal(t, l.Reserved(), uint64(4))
		}
		if !fencing {
			// The load of this incarnation is done; the older one may still arrive.
			open(0)
			l.SetPlan(Stamp{1, 2}, nil)
			assert.Equal(t, len(l.NextCommands(now)), 0, "unloading would free nothing")
			continue
		}
		open(1)
		s.Commands = []CommandState{{ID: "1-1-b", Running: true}}
		l.Observe(l.BeginRead(), s)
		open(1)
		s.Commands, s.Resident = []CommandState{{ID: "1-1-b"}}, []Artifact{a}
		l.Observe(l.BeginRead(), s)
		open(0)
		assert.Equal(t, l.TakeClosable()[0].ID, "1-1-b")
	}
}

// Guards against a read that ends a load although it began too early to tell
// whether the artifact is resident, whose memory would then count as free.
func TestOldReadEndsNoLoad(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := Artifact{Key{"m", "1", ""}, 4}
	l := New()
	l.Register(1, nil)
	l.Observe(l.BeginRead(), EngineState{BootID: "b", Memory: 9, Resident: []Artifact{a}})
	l.SetPlan(Stamp{1, 1}, nil)
	old := l.BeginRead()
	l.HandleResult(now, l.NextCommands(now)[0].ID, ResultDone)
	l.SetPlan(Stamp{1, 2}, []Artifact{a})
	id := l.NextCommands(now)[0].ID
	l.IntentRecorded(id)
	l.Observe(old, EngineState{BootID: "b", Memory: 9, Resident: []Artifact{a}, Commands: []CommandState{{ID: id}}})
	assert.Equal(t, l.Reserved(), uint64(4))
}

// Guards against wrongly ordered commands: an adapter loaded before its model
// or kept without it, an old version unloaded while requests use it, loads
// beyond the free memory, and a plan older than the current one.
func TestOrderOfCommands(t *testing.T) {
	now := time.Unix(1e9, 0)
	v1, v2 := Artifact{Key{"m", "1", ""}, 4}, Artifact{Key{"m", "2", ""}, 4}
	x1, x2 := Artifact{Key{"m", "1", "x"}, 1}, Artifact{Key{"m", "2", "x"}, 1}
	l := New()
	l.Register(1, nil)
	l.Observe(l.BeginRead(), EngineState{BootID: "b", Memory: 10, Resident: []Artifact{v1, x1}})
	next := func(want ...string) []Command {
		t.Helper()
		cmds := l.NextCommands(now)
		got := []string{}
		for _, c := range cmds {
			got = append(got, fmt.Sprint(c.Op, " ", c.Version, c.Adapter))
		}
		assert.DeepEqual(t, got, append([]string{}, want...))
		return cmds
	}
	finish := func(cmds []Command) {
		for _, c := range cmds {
			l.IntentRecorded(c.ID)
			l.HandleResult(now, c.ID, ResultDone)
		}
	}
	l.SetPlan(Stamp{2, 1}, []Artifact{x2, v2, x1, v1})
	finish(next("OpLoad 2"))
	finish(next("OpLoad 2x"))
	assert.Assert(t, !l.SetPlan(Stamp{1, 9}, nil), "an older plan is refused")
	l.Acquire(x1.Key)
	l.SetPlan(Stamp{2, 2}, []Artifact{v2, x2})
	next()
	assert.Assert(t, !l.Usable(v1.Key), "what the plan drops gets no new requests")
	l.Release(x1.Key)
	unload := next("OpUnload 1x")
	next()
	finish(unload)
	finish(next("OpUnload 1"))
	assert.DeepEqual(t, l.Resident(), []Artifact{v2, x2})
	version, ok := l.PickVersion("m", "1", "x")
	assert.Assert(t, ok && version == "2")
	assert.Equal(t, l.Reserved(), uint64(5))
}

// Guards against a copy that a new leader counts while an unload from an earlier
// plan is in flight: the leader drops the other copies, then the unload arrives
// and removes the last one.
func TestUnloadWithoutAnswerIsNotResident(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := Artifact{Key{"m", "1", ""}, 3}
	l := New()
	l.Register(1, nil)
	state := EngineState{BootID: "b", Memory: 10, Resident: []Artifact{a}}
	l.Observe(l.BeginRead(), state)
	l.SetPlan(Stamp{1, 1}, nil)
	cmds := l.NextCommands(now)
	assert.Equal(t, len(cmds), 1)
	l.SetPlan(Stamp{2, 1}, []Artifact{a})
	for _, r := range []Result{0, ResultUnknown} {
		if r != 0 {
			l.HandleResult(now, cmds[0].ID, r)
		}
		l.Observe(l.BeginRead(), state)
		assert.Equal(t, len(l.Resident()), 0)
		assert.DeepEqual(t, l.Pinned(), []Artifact{a})
		assert.Equal(t, l.Reserved(), a.Bytes)
	}
	l.HandleResult(now, cmds[0].ID, ResultFailed)
	assert.DeepEqual(t, l.Resident(), []Artifact{a})
	assert.Equal(t, len(l.Pinned()), 0)
}
