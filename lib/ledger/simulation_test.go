package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

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
