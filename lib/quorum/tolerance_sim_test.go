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
	// joins holds the members that were started with an empty disk after the first start.
	joins map[string]bool
}

func newTolerantSim(l layout, randN func(n int) int) *tolerantSim {
	t := &tolerantSim{
		sim: newSim(0, noBug, randN), layout: l, zones: make(map[string]string), joins: make(map[string]bool),
	}
	t.configure = t.settings
	for i, zone := range l.zones {
		id := fmt.Sprintf("c%d", i)
		t.nodes = append(t.nodes, &simNode{id: id, disk: simDisk{id: t.newDisk()}})
		t.zones[id] = zone
	}
	for len(t.seeds) < 3 {
		if id := t.nodes[randN(len(t.nodes))].id; !slices.Contains(t.seeds, id) {
			t.seeds = append(t.seeds, id)
		}
	}
	for _, n := range t.nodes {
		t.start(n)
	}
	return t
}

// settings limits the peers of a member to what it is told: itself and the seeds.
func (t *tolerantSim) settings(n *simNode, s *Settings) {
	peers := map[string]netip.AddrPort{n.id: s.Peers[n.id]}
	for _, id := range t.seeds {
		peers[id] = s.Peers[id]
	}
	s.Peers, s.Tolerance, s.Zone, s.Region = peers, t.layout.tolerance, t.zones[n.id], "r"
	s.Join = t.joins[n.id] || !slices.Contains(t.seeds, n.id)
}

// wipe restarts a member with an empty disk.
func (t *tolerantSim) wipe(n *simNode) {
	n.disk = simDisk{id: t.newDisk()}
	t.joins[n.id] = true
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
		t.joins[id] = true
		t.start(added)
	}
}

// drawLoss returns members that the group must bear to lose at the same time.
func (t *tolerantSim) drawLoss() (out []*simNode) {
	live := slices.DeleteFunc(slices.Clone(t.nodes), func(n *simNode) bool { return n.partitioned })
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

// acknowledge proposes a command until the leader has committed it, and returns it.
func (t *tolerantSim) acknowledge() (command string, ok bool) {
	for range recoverRounds {
		if n := t.liveLeader(); n != nil {
			t.propose(n)
			t.runWithoutFaults(1)
			if k := len(t.commands); k > 0 && strings.HasSuffix(t.commands[k-1].text, fmt.Sprintf(":%d", t.proposed)) {
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
