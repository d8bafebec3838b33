package quorum

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	// catchUpRounds is the time, in tenths of the election timeout, after which a returned
	// or new member no longer counts as lost.
	catchUpRounds = 200
	// downRounds bounds the time for which a member is down.
	downRounds = 60
	// recoverRounds is the time within which a group with enough voters must serve again.
	recoverRounds = 100
)

// layout is a drawn deployment: the zone of each member, and what the group must bear.
type layout struct {
	name      string
	zones     []string
	tolerance Tolerance
}

// layouts holds deployments whose members are enough to bear the stated losses.
var layouts = []layout{
	{"one of three", strings.Fields("a b c"), Tolerance{Members: 1}},
	{"one of five in two zones", strings.Fields("a a a b b"), Tolerance{Members: 1}},
	{"two of six", strings.Fields("a a b b c c"), Tolerance{Members: 2}},
	{"two of five in unequal zones", strings.Fields("a a a b c"), Tolerance{Members: 2}},
	{"two of eight", strings.Fields("a a b b c c d d"), Tolerance{Members: 2}},
	{"three of nine", strings.Fields("a a a b b b c c c"), Tolerance{Members: 3}},
	{"a zone of seven members", strings.Fields("a a a b b c c"), Tolerance{Zones: 1}},
	{"two members or a zone", strings.Fields("a a b b c c"), Tolerance{Members: 2, Zones: 1}},
	{"two zones of five", strings.Fields("a a b c d e e"), Tolerance{Zones: 2}},
}

// tolerantSim is a simulated group that is formed by at most three seeds and joined by all
// other members.
type tolerantSim struct {
	*sim
	layout layout
	seeds  []string
	zones  map[string]string
	// started is set after the first start of the deployment, in which alone a group is formed.
	started bool
}

func newTolerantSim(l layout, randN func(n int) int) *tolerantSim {
	t := &tolerantSim{
		sim: newSim(0, noBug, randN), layout: l, zones: make(map[string]string),
	}
	t.configure = t.settings
	for i, zone := range l.zones {
		id := fmt.Sprintf("c%d", i)
		t.nodes = append(t.nodes, &simNode{id: id, disk: simDisk{id: t.newDisk()}})
		t.zones[id] = zone
	}
	t.drawSeeds()
	for _, n := range t.nodes {
		t.start(n)
	}
	t.started = true
	return t
}

// drawSeeds draws the three live members that the settings of members started from now on
// name.
func (t *tolerantSim) drawSeeds() {
	live := t.live()
	t.seeds = nil
	for range min(3, len(live)) {
		i := t.randN(len(live))
		t.seeds = append(t.seeds, live[i].id)
		live = slices.Delete(live, i, i+1)
	}
}

// live returns the members that have not been stopped.
func (t *tolerantSim) live() []*simNode {
	return slices.DeleteFunc(slices.Clone(t.nodes), func(n *simNode) bool { return n.partitioned })
}

// settings limits the peers of a member to what it is told: itself and the seeds.
func (t *tolerantSim) settings(n *simNode, s *Settings) {
	peers := map[string]netip.AddrPort{n.id: s.Peers[n.id]}
	for _, id := range t.seeds {
		peers[id] = s.Peers[id]
	}
	s.Peers, s.Tolerance, s.Zone, s.Region = peers, t.layout.tolerance, t.zones[n.id], "r"
	s.Join = t.started || !slices.Contains(t.seeds, n.id)
}

// wipe restarts a member with an empty disk.
func (t *tolerantSim) wipe(n *simNode) {
	n.disk = simDisk{id: t.newDisk()}
	t.start(n)
}

// stop takes a member down until it is started again.
func (t *tolerantSim) stop(n *simNode) { n.paused, n.partitioned = true, true }

// resume starts a member that was stopped: with its disk, with an empty one, or as a
// new member at another address.
func (t *tolerantSim) resume(n *simNode) {
	n.partitioned = false
	switch t.randN(3) {
	case 0:
		t.restart(n)
	case 1:
		t.wipe(n)
	default:
		n.partitioned = true
		id := fmt.Sprintf("n%d", len(t.nodes))
		t.zones[id] = t.zones[n.id]
		added := &simNode{id: id, disk: simDisk{id: t.newDisk()}}
		t.nodes = append(t.nodes, added)
		t.drawSeeds()
		t.start(added)
	}
}

// drawLoss returns members that the group must bear to lose at the same time.
func (t *tolerantSim) drawLoss() (out []*simNode) {
	live := t.live()
	if z := t.layout.tolerance.Zones; z > 0 && t.randN(2) == 0 {
		var zones []string
		for len(zones) < z {
			if zone := t.layout.zones[t.randN(len(t.layout.zones))]; !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
		}
		return slices.DeleteFunc(live, func(n *simNode) bool { return !slices.Contains(zones, t.zones[n.id]) })
	}
	for range t.layout.tolerance.Members {
		i := t.randN(len(live))
		out = append(out, live[i])
		live = slices.Delete(live, i, i+1)
	}
	return out
}

// disrupt takes members down for some time and waits until they no longer count as lost.
func (t *tolerantSim) disrupt() {
	lost := t.drawLoss()
	for _, n := range lost {
		t.stop(n)
	}
	t.runWithoutFaults(t.randN(downRounds))
	for _, n := range lost {
		t.resume(n)
	}
	t.runWithoutFaults(catchUpRounds)
}

// liveLeader returns a leader that runs and has committed an entry; nil if there is none.
func (t *tolerantSim) liveLeader() *simNode {
	for _, n := range t.nodes {
		if !n.paused && n.core.role == leader && n.core.commit >= n.core.lead.firstIndex {
			return n
		}
	}
	return nil
}

// acknowledge proposes a command until the leader has committed it and waits for no further
// voters, and returns it.
func (t *tolerantSim) acknowledge() (command string, ok bool) {
	for range recoverRounds {
		if n := t.liveLeader(); n != nil {
			t.propose(n)
			t.runWithoutFaults(1)
			k := len(t.commands)
			committed := k > 0 && strings.HasSuffix(t.commands[k-1].text, fmt.Sprintf(":%d", t.proposed))
			if committed && t.liveLeader() == n && !n.core.growing() {
				return t.commands[k-1].text, true
			}
		}
		t.runWithoutFaults(1)
	}
	return "", false
}

// loseDisks ends all members at the same time: those of lost start again with empty disks.
func (t *tolerantSim) loseDisks(lost []*simNode) {
	for _, n := range t.nodes {
		switch {
		case slices.Contains(lost, n):
			t.wipe(n)
		case !n.partitioned:
			t.restart(n)
		}
	}
}

// holds reports whether a leader has applied the command.
func (t *tolerantSim) holds(command string) bool {
	n := t.liveLeader()
	return n != nil && slices.Contains(n.state, command)
}

// voters returns the ids of the voters as known to the leader.
func (t *tolerantSim) voters() []string {
	n := t.liveLeader()
	if n == nil {
		return nil
	}
	ids, _ := memberIDs(n.core.members.current())
	return ids
}

// Guards against an acknowledgement by the three members that form the group, of what the
// stated loss can still take before the other voters are added.
func TestAcknowledgementWaitsForVoters(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		s := newTolerantSim(layouts[r.IntN(len(layouts))], r.IntN)
		command, ok := s.acknowledge()
		assert.NilError(t, s.err)
		assert.Assert(t, ok, "seed %d: no command is acknowledged", seed)
		s.loseDisks(s.drawLoss())
		s.runWithoutFaults(recoverRounds)
		assert.NilError(t, s.err)
		assert.Assert(t, s.holds(command), "seed %d, %s: %q is lost or nobody leads\n%s", seed, s.layout.name, command, dump(s.sim))
	}
}

// Guards against a group that never acknowledges, or has an even number of voters, because
// fewer members have a disk than the stated loss requires.
func TestFewerMembersThanVoters(t *testing.T) {
	for _, l := range []layout{
		{"two of three", strings.Fields("a b c"), Tolerance{Members: 2}},
		{"two of four", strings.Fields("a b c c"), Tolerance{Members: 2}},
		{"three of six", strings.Fields("a a b b c c"), Tolerance{Members: 3}},
	} {
		s := newTolerantSim(l, rand.New(rand.NewPCG(1, 5)).IntN)
		_, ok := s.acknowledge()
		assert.Assert(t, ok, "%s: no command is acknowledged", l.name)
		s.runWithoutFaults(catchUpRounds)
		assert.NilError(t, s.err)
		assert.Equal(t, len(s.voters()), len(l.zones)-1+len(l.zones)%2, l.name)
	}
}

// Guards against a group of three voters of an earlier version, whose membership names no
// zones, that does not grow after an upgrade, and against one that keeps voters which the
// settings no longer ask for.
func TestSettingsChangeTheVoters(t *testing.T) {
	l := layout{"upgraded", strings.Fields("a b c a b c"), Tolerance{}}
	s := newTolerantSim(l, rand.New(rand.NewPCG(2, 5)).IntN)
	s.configure = func(n *simNode, settings *Settings) {
		s.settings(n, settings)
		settings.Zone, settings.Region, settings.Voters = "", "", 3
	}
	s.started = false
	s.loseDisks(s.nodes)
	s.started = true
	command, ok := s.acknowledge()
	assert.Assert(t, ok)
	assert.Equal(t, len(s.voters()), 3)

	s.configure = s.settings
	for _, want := range []struct {
		tolerance Tolerance
		voters    int
	}{{Tolerance{Members: 2, Zones: 1}, 5}, {Tolerance{Members: 1, Zones: 1}, 3}} {
		s.layout.tolerance = want.tolerance
		s.loseDisks(nil)
		s.runWithoutFaults(catchUpRounds)
		assert.NilError(t, s.err)
		assert.Equal(t, len(s.voters()), want.voters)
		assert.Assert(t, want.tolerance.bears(s.liveLeader().core.members.current()), "%s", dump(s.sim))
		assert.Assert(t, s.holds(command))
	}
}

// Guards against an acknowledged command that is lost, or a group that never has a leader
// again, because the disks that the group must bear to lose were lost right after the
// acknowledgement while all other members lost power. Three seeds form the group; before
// the final loss, members are down, wiped and replaced.
func TestToleratedLossKeepsTheAcknowledged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var r *rand.Rand
		seed := func() { r = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "step"), 0)) }
		seed()
		s := newTolerantSim(rapid.SampledFrom(layouts).Draw(rt, "layout"), func(n int) int { return r.IntN(n) })
		s.runWithoutFaults(catchUpRounds)
		for range rapid.IntRange(0, 3).Draw(rt, "disruptions") {
			seed()
			s.disrupt()
		}
		seed()
		command, ok := s.acknowledge()
		assert.NilError(rt, s.err)
		assert.Assert(rt, ok, "no command is acknowledged before the loss\n%s", dump(s.sim))
		s.loseDisks(s.drawLoss())
		s.runWithoutFaults(recoverRounds)
		assert.NilError(rt, s.err)
		assert.Assert(rt, s.holds(command), "%s: %q is lost or nobody leads\n%s", s.layout.name, command, dump(s.sim))
		_, ok = s.acknowledge()
		assert.Assert(rt, ok, "%s: no command is acknowledged after the loss\n%s", s.layout.name, dump(s.sim))
	})
}

// Guards against a group that never forms, or has a member without a disk, because an
// observer is among the seeds of the first start; it may have the lowest id.
func TestObserverAmongTheSeeds(t *testing.T) {
	for observer := range 3 {
		r := rand.New(rand.NewPCG(uint64(observer), 6))
		s := &tolerantSim{sim: newSim(0, noBug, r.IntN), zones: map[string]string{}}
		s.layout = layout{"observer", strings.Fields("a b c a b c"), Tolerance{Members: 1}}
		for i, zone := range s.layout.zones {
			id := fmt.Sprintf("c%d", i)
			s.nodes = append(s.nodes, &simNode{id: id, disk: simDisk{id: s.newDisk()}})
			s.zones[id] = zone
		}
		s.seeds = []string{"c0", "c1", "c2"}
		without := s.seeds[observer]
		s.configure = func(n *simNode, settings *Settings) {
			s.settings(n, settings)
			settings.Observer = n.id == without
		}
		for _, n := range s.nodes {
			s.start(n)
		}
		s.started = true
		command, ok := s.acknowledge()
		assert.Assert(t, ok, "observer %s", without)
		s.runWithoutFaults(catchUpRounds)
		assert.NilError(t, s.err)
		assert.Equal(t, len(s.voters()), 3)
		assert.Assert(t, findMember(s.liveLeader().core.members.current(), without) == nil)
		assert.Assert(t, s.node(without).core.leaderAddr().IsValid(), "the observer knows no leader")
		s.loseDisks(s.drawLoss())
		s.runWithoutFaults(recoverRounds)
		assert.Assert(t, s.holds(command))
	}
}
