package faults

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/quorum"
	"bulrushpath.example/lib/state"
	"bulrushpath.example/lib/wire"
)

// control is one control instance. It holds the state that bulrush-control keeps.
type control struct {
	process
	sim     *simulation
	index   int
	disk    *quorum.Disk
	disks   int
	replica *quorum.Replica
	machine *state.Machine
	table   *member.Table
	planner *place.Planner
	term    uint64
	plans   map[string]*wire.Plan
	acks    poison.Acks
}

func (s *simulation) addControl(i int) {
	c := &control{process: process{name: fmt.Sprintf("c%d", i)}, sim: s, index: i}
	s.controls = append(s.controls, c)
	c.newDisk()
}

func (c *control) newDisk() {
	c.disks++
	c.disk = &quorum.Disk{ID: fmt.Appendf(nil, "%s disk %d", c.name, c.disks)}
}

func (c *control) now() time.Time { return c.sim.localTime(&c.process) }

func (c *control) boot() {
	c.generation++
	c.down, c.clockLag, c.term = false, 0, 0
	c.machine, c.table = state.New(), member.New()
	peers := map[string]netip.AddrPort{}
	for i := range 3 {
		peers[fmt.Sprintf("c%d", i)] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i))
	}
	s := quorum.Settings{
		ID: c.name, Peers: peers, ElectionTimeout: 1500 * time.Millisecond,
		Heartbeat: 300 * time.Millisecond, SnapshotEntries: 60,
	}
	m := quorum.Machine{Apply: c.apply, Snapshot: c.machine.Snapshot, Restore: c.machine.Restore}
	var err error
	if c.replica, err = quorum.NewReplica(s, m, c.disk, c.now(), c.sim.rng.Int64N); err != nil {
		c.sim.failf("%s: %v", c.name, err)
		return
	}
	c.sim.every(&c.process, 150*time.Millisecond, func() { c.sendMessages(c.replica.Tick(c.now())) })
	c.sim.every(&c.process, 500*time.Millisecond, c.plan)
	c.sim.every(&c.process, 5*time.Second, func() {
		if c.machine.SweepDue(c.now()) {
			c.propose(&wire.Command{Body: &wire.Command_Sweep{Sweep: &wire.SweepRequest{Limit: 100}}},
				func(*wire.CommandReply) {})
		}
	})
}

func (c *control) apply(index uint64, at time.Time, cmd []byte) []byte {
	out := c.machine.Apply(index, at, cmd)
	if cfg := c.machine.Config(); cfg != nil {
		if _, ok := c.sim.oracle.configs[cfg.GetVersion()]; !ok {
			c.sim.checkContent(c.name, cfg)
		}
	}
	return out
}

func (c *control) sendMessages(out []*wire.QuorumMessage, err error) {
	if err != nil {
		c.sim.failf("%s: %v", c.name, err)
		return
	}
	for _, m := range out {
		to := c.sim.controls[m.To[1]-'0']
		c.sim.send(&c.process, &to.process, func() { to.sendMessages(to.replica.Step(to.now(), m)) })
	}
}

// checkLeading reports whether this instance may act as the leader. At the start of a
// term it resets the state that belongs to a term.
func (c *control) checkLeading() bool {
	term, ok := c.replica.Leading(c.now())
	if ok && term > c.term {
		c.term, c.planner, c.plans, c.acks = term, place.New(term), map[string]*wire.Plan{}, poison.Acks{}
		c.table.Reset(c.now(), term)
		c.sim.oracle.terms++
		c.sim.logf("%s leads term %d", c.name, term)
	}
	return ok
}

// leader returns the leader of the highest term, or nil.
func (s *simulation) leader() (best *control) {
	for _, c := range s.controls {
		if !c.down && !c.paused && c.replica != nil && c.checkLeading() && (best == nil || c.term > best.term) {
			best = c
		}
	}
	return best
}

func (c *control) propose(cmd *wire.Command, answer func(*wire.CommandReply)) {
	if !c.checkLeading() {
		answer(nil)
		return
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		c.sim.failf("encode command: %v", err)
	}
	c.replica.Propose(c.now(), data, func(out []byte, err error) {
		if err != nil {
			answer(nil)
			return
		}
		reply := &wire.CommandReply{}
		if err := proto.Unmarshal(out, reply); err != nil {
			c.sim.failf("decode reply: %v", err)
		}
		answer(reply)
	})
	c.sendMessages(c.replica.Tick(c.now()))
}

// judge decides whether a suspect request may run, like bulrush-control.
func (c *control) judge(req *wire.JudgeRequest, answer func(*wire.JudgeReply)) {
	fp, now := req.GetFingerprint(), c.now()
	ended := c.table.Warm(now) && c.acks.AllEnforce(c.machine.SuspectsVersion(), fp, c.table.Live(now))
	if !req.GetDone() && c.machine.Suspect(fp) && !ended {
		req = proto.CloneOf(req)
		req.Attempt = nil
	}
	c.propose(&wire.Command{Body: &wire.Command_Judge{Judge: req}}, func(r *wire.CommandReply) {
		if r == nil {
			answer(nil)
			return
		}
		answer(poison.LeaderReply(r.GetJudge(), req.GetDone(), c.table.Warm(c.now())))
	})
}

// command has the control leader replicate cmd.
func (s *simulation) command(p *process, limit time.Duration, cmd *wire.Command, done func(*wire.CommandReply)) {
	callLeader(s, p, limit, func(c *control, answer func(*wire.CommandReply)) { c.propose(cmd, answer) }, done)
}

// plan runs the planner, like bulrush-control.
func (c *control) plan() {
	if !c.checkLeading() {
		return
	}
	now := c.now()
	c.table.Tick(now)
	live := c.table.Live(now)
	v := place.View{Term: c.term, Config: c.machine.Config(), Targets: live, Warm: c.table.Warm(now)}
	for target, p := range c.planner.Tick(now, v) {
		c.plans[target] = p
	}
	seen := map[string]bool{}
	for _, a := range live {
		seen[a.GetTarget()] = true
	}
	for target := range c.plans {
		if !seen[target] {
			delete(c.plans, target)
		}
	}
	c.sim.checkModels()
}

// sync answers one Sync. For a first read, the leader first has a majority confirm its
// leadership.
func (c *control) sync(req *wire.SyncRequest, answer func(*wire.SyncReply)) {
	switch {
	case !c.checkLeading():
		answer(nil)
	case req.GetConfigVersion() > 0:
		answer(c.syncReply(req))
	default:
		c.replica.Confirm(c.now(), func(err error) {
			if err != nil || !c.checkLeading() {
				answer(nil)
				return
			}
			answer(c.syncReply(req))
		})
		c.sendMessages(c.replica.Tick(c.now()))
	}
}

func (c *control) syncReply(req *wire.SyncRequest) *wire.SyncReply {
	now, r := c.now(), &wire.SyncReply{SuspectsVersion: req.GetSuspectsVersion(), DirectoryWarm: c.table.Warm(c.now())}
	a := req.GetAnnouncement()
	r.Superseded = a != nil && c.machine.Incarnation(req.GetName()) > a.GetIncarnation()
	if !r.GetSuperseded() {
		c.table.RecordSync(now, req.GetRole(), req.GetName(), req.GetZone(), req.GetConfigVersion())
		if a != nil {
			c.acks[req.GetName()] = poison.Ack{Version: req.GetSuspectsVersion(), Running: req.GetRunningSuspects()}
			c.table.Announce(now, a)
		}
	}
	if cfg := c.machine.Config(); cfg.GetVersion() > req.GetConfigVersion() {
		r.Config = cfg
	}
	if v := c.machine.SuspectsVersion(); v > req.GetSuspectsVersion() {
		r.SuspectsVersion, r.Suspects = v, c.machine.Suspects()
	}
	if a == nil {
		r.Targets = c.table.ChangesSince(0, 0).Targets
	} else if p := c.plans[req.GetName()]; !r.GetSuperseded() && member.CompareStamps(p.GetStamp(), a.GetPlanAck()) > 0 {
		r.Plan = p
	}
	return r
}
