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
	proc
	w       *world
	index   int
	disk    *quorum.Disk
	disks   int
	rep     *quorum.Replica
	machine *state.Machine
	table   *member.Table
	planner *place.Planner
	term    uint64
	plans   map[string]*wire.Plan
	acks    poison.Acks
}

func (w *world) addControl(i int) {
	c := &control{proc: proc{name: fmt.Sprintf("c%d", i)}, w: w, index: i}
	w.controls = append(w.controls, c)
	c.newDisk()
}

func (c *control) newDisk() {
	c.disks++
	c.disk = &quorum.Disk{ID: fmt.Appendf(nil, "%s disk %d", c.name, c.disks)}
}

func (c *control) now() time.Time { return c.w.clock(&c.proc) }

func (c *control) boot() {
	c.life++
	c.down, c.lag, c.term = false, 0, 0
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
	if c.rep, err = quorum.NewReplica(s, m, c.disk, c.now(), c.w.rng.Int64N); err != nil {
		c.w.failf("%s: %v", c.name, err)
		return
	}
	c.w.every(&c.proc, 150*time.Millisecond, func() { c.pump(c.rep.Tick(c.now())) })
	c.w.every(&c.proc, 500*time.Millisecond, c.plan)
	c.w.every(&c.proc, 5*time.Second, func() {
		if c.machine.Due(c.now()) {
			c.propose(&wire.Command{Body: &wire.Command_Sweep{Sweep: &wire.SweepRequest{Limit: 100}}},
				func(*wire.CommandReply) {})
		}
	})
}

func (c *control) apply(index uint64, at time.Time, cmd []byte) []byte {
	out := c.machine.Apply(index, at, cmd)
	if cfg := c.machine.Config(); cfg != nil {
		if _, ok := c.w.oracle.configs[cfg.GetVersion()]; !ok {
			c.w.content(c.name, cfg)
		}
	}
	return out
}

func (c *control) pump(out []*wire.QuorumMessage, err error) {
	if err != nil {
		c.w.failf("%s: %v", c.name, err)
		return
	}
	for _, m := range out {
		to := c.w.controls[m.To[1]-'0']
		c.w.send(&c.proc, &to.proc, func() { to.pump(to.rep.Step(to.now(), m)) })
	}
}

// lead reports whether this instance may act as the leader. At the start of a term it
// resets the state that belongs to a term.
func (c *control) lead() bool {
	term, ok := c.rep.Leading(c.now())
	if ok && term > c.term {
		c.term, c.planner, c.plans, c.acks = term, place.New(term), map[string]*wire.Plan{}, poison.Acks{}
		c.table.Lead(c.now(), term)
		c.w.oracle.terms++
		c.w.logf("%s leads term %d", c.name, term)
	}
	return ok
}

// leader returns the leader of the highest term, or nil.
func (w *world) leader() (best *control) {
	for _, c := range w.controls {
		if !c.down && !c.paused && c.rep != nil && c.lead() && (best == nil || c.term > best.term) {
			best = c
		}
	}
	return best
}

func (c *control) propose(cmd *wire.Command, answer func(*wire.CommandReply)) {
	if !c.lead() {
		answer(nil)
		return
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		c.w.failf("encode command: %v", err)
	}
	c.rep.Propose(c.now(), data, func(out []byte, err error) {
		if err != nil {
			answer(nil)
			return
		}
		reply := &wire.CommandReply{}
		if err := proto.Unmarshal(out, reply); err != nil {
			c.w.failf("decode reply: %v", err)
		}
		answer(reply)
	})
	c.pump(c.rep.Tick(c.now()))
}

// judge decides whether a suspect request may run, like bulrush-control.
func (c *control) judge(req *wire.JudgeRequest, answer func(*wire.JudgeReply)) {
	fp, now := req.GetFingerprint(), c.now()
	ended := c.table.Warm(now) && c.acks.Ended(c.machine.SuspectsVersion(), fp, c.table.Live(now))
	if !req.GetDone() && c.machine.Suspect(fp) && !ended {
		req = proto.CloneOf(req)
		req.Attempt = nil
	}
	c.propose(&wire.Command{Body: &wire.Command_Judge{Judge: req}}, func(r *wire.CommandReply) {
		if r == nil {
			answer(nil)
			return
		}
		answer(poison.Ruling(r.GetJudge(), req.GetDone(), c.table.Warm(c.now())))
	})
}

// command has the control leader replicate cmd.
func (w *world) command(p *proc, limit time.Duration, cmd *wire.Command, done func(*wire.CommandReply)) {
	ask(w, p, limit, func(c *control, answer func(*wire.CommandReply)) { c.propose(cmd, answer) }, done)
}

// plan runs the planner, like bulrush-control.
func (c *control) plan() {
	if !c.lead() {
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
	c.w.checkModels()
}

// sync answers one Sync. For a first read, the leader first has a majority confirm its
// leadership.
func (c *control) sync(req *wire.SyncRequest, answer func(*wire.SyncReply)) {
	switch {
	case !c.lead():
		answer(nil)
	case req.GetConfigVersion() > 0:
		answer(c.syncReply(req))
	default:
		c.rep.Confirm(c.now(), func(err error) {
			if err != nil || !c.lead() {
				answer(nil)
				return
			}
			answer(c.syncReply(req))
		})
		c.pump(c.rep.Tick(c.now()))
	}
}

func (c *control) syncReply(req *wire.SyncRequest) *wire.SyncReply {
	now, r := c.now(), &wire.SyncReply{SuspectsVersion: req.GetSuspectsVersion(), DirectoryWarm: c.table.Warm(c.now())}
	a := req.GetAnnouncement()
	r.Superseded = a != nil && c.machine.Incarnation(req.GetName()) > a.GetIncarnation()
	if !r.GetSuperseded() {
		c.table.Seen(now, req.GetRole(), req.GetName(), req.GetZone(), req.GetConfigVersion())
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
		r.Targets = c.table.Since(0, 0).Targets
	} else if p := c.plans[req.GetName()]; !r.GetSuperseded() && member.CompareStamps(p.GetStamp(), a.GetPlanAck()) > 0 {
		r.Plan = p
	}
	return r
}
