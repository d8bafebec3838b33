package quorum

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// joinGroup starts three members. Members added later, whose ids begin with d, join
// through the given seeds.
func joinGroup(t *testing.T, seeds map[string]netip.AddrPort) *group {
	return newGroup(t, 3, func(s *Settings) {
		s.Voters = 3
		if !strings.HasPrefix(s.ID, "d") {
			return
		}
		s.Join = true
		own := s.Peers[s.ID]
		s.Peers = map[string]netip.AddrPort{s.ID: own}
		for id, addr := range seeds {
			s.Peers[id] = addr
		}
	})
}

// add starts a member with an empty disk, which joins the group.
func (g *group) add(id string) *member {
	g.tb.Helper()
	m := &member{id: id, addr: freeAddr(g.tb), dir: filepath.Join(g.tb.TempDir(), id)}
	g.mu.Lock()
	g.members = append(g.members, m)
	g.mu.Unlock()
	g.start(m)
	return m
}

// votersAre reports whether the voters known to the leader are exactly these members.
func (g *group) votersAre(ids ...string) bool {
	var got []string
	for _, s := range g.leader().node.Members() {
		if s.GetVoter() {
			got = append(got, s.GetId())
		}
	}
	return fmt.Sprint(got) == fmt.Sprint(ids)
}

// Guards against a group that keeps two of three voters after a member was replaced by
// an empty one at another address, and therefore stops at the next loss. The seeds of
// the new member include only one live member, which need not be the leader.
func TestReplacedAtAnotherAddress(t *testing.T) {
	seeds := map[string]netip.AddrPort{}
	g := joinGroup(t, seeds)
	g.propose("early")
	seeds["c2"] = g.members[2].addr
	for round := range 2 {
		lost := g.members[round]
		g.kill(lost)
		id := fmt.Sprintf("d%d", round)
		g.add(id)
		want := []string{"c2", "d0", "d1"}
		if round == 0 {
			want = []string{"c1", "c2", "d0"}
		}
		eventually(t, "voters "+fmt.Sprint(want), func() bool { return g.votersAre(want...) })
		g.propose(fmt.Sprint("replaced", round))
	}
	g.kill(g.members[2])
	g.propose("late")
	for _, m := range g.members[3:] {
		g.waitApplied(m, "early")
		g.waitApplied(m, "late")
	}
}

// Guards against new members that form a second group instead of joining the existing
// one, and so lose what the existing one has acknowledged.
func TestJoiningMembersFormNoGroup(t *testing.T) {
	seeds := map[string]netip.AddrPort{}
	g := joinGroup(t, seeds)
	g.propose("early")
	for _, m := range g.members {
		m.partitioned.Store(true)
	}
	a := &member{id: "d0", addr: freeAddr(t), dir: filepath.Join(t.TempDir(), "d0")}
	b := &member{id: "d1", addr: freeAddr(t), dir: filepath.Join(t.TempDir(), "d1")}
	seeds["d0"], seeds["d1"], seeds["c0"] = a.addr, b.addr, g.members[0].addr
	g.mu.Lock()
	g.members = append(g.members, a, b)
	g.mu.Unlock()
	g.start(a)
	g.start(b)
	time.Sleep(time.Second)
	for _, m := range []*member{a, b} {
		_, leads := m.node.Leading()
		assert.Assert(t, !leads)
		assert.Equal(t, len(m.node.Members()), 0)
	}
}

// Guards against a member that was replaced while it was down and still counts as a
// voter when it returns. It must become a learner, which can replace another voter.
func TestReplacedMemberReturns(t *testing.T) {
	seeds := map[string]netip.AddrPort{}
	g := joinGroup(t, seeds)
	g.propose("early")
	seeds["c2"] = g.members[2].addr
	away := g.members[0]
	g.kill(away)
	g.add("d0")
	eventually(t, "three voters", func() bool { return g.votersAre("c1", "c2", "d0") })
	g.start(away)
	eventually(t, "the returned member is a learner", func() bool {
		for _, s := range g.leader().node.Members() {
			if s.GetId() == "c0" {
				return !s.GetVoter() && s.GetReachable()
			}
		}
		return false
	})
	assert.Assert(t, g.votersAre("c1", "c2", "d0"))
	g.kill(g.members[1])
	eventually(t, "the returned member votes again", func() bool { return g.votersAre("c0", "c2", "d0") })
}

// Guards against an observer that cannot refer callers to the leader because its own settings
// name no member: the members, whose settings name it, must tell it where the group is.
func TestObserverKnowsTheLeader(t *testing.T) {
	g := newGroup(t, 3, func(s *Settings) {
		s.Voters = 3
		if strings.HasPrefix(s.ID, "o") {
			s.Observer, s.DataDir = true, ""
			delete(s.Peers, "c0")
			delete(s.Peers, "c1")
			delete(s.Peers, "c2")
		}
	})
	g.propose("early")
	o := g.add("o0")
	knowsLeader := func(m *member) func() bool {
		return func() bool {
			addr, ok := m.node.Leader()
			return ok && addr == g.leader().addr
		}
	}
	time.Sleep(2 * time.Second)
	_, ok := o.node.Leader()
	assert.Assert(t, !ok, "nobody can have told the observer")
	// The members are started again, with settings that name the observer.
	for _, m := range g.members[:3] {
		g.kill(m)
		g.start(m)
	}
	eventually(t, "the observer knows the leader", knowsLeader(o))
	g.kill(g.leader())
	eventually(t, "the observer knows the next leader", knowsLeader(o))
	assert.Assert(t, g.leader().node.Members() != nil)
	for _, m := range g.leader().node.Members() {
		assert.Assert(t, m.GetId() != "o0", "the observer is a member")
	}
}

// Guards against a change of the settings that has no effect while the member runs.
func TestToleranceChangesWhileRunning(t *testing.T) {
	seeds := map[string]netip.AddrPort{}
	g := joinGroup(t, seeds)
	g.propose("early")
	seeds["c0"] = g.members[0].addr
	g.add("d0")
	g.add("d1")
	voters := func() (n int) {
		for _, m := range g.leader().node.Members() {
			if m.GetVoter() {
				n++
			}
		}
		return n
	}
	set := func(tolerance Tolerance) {
		for _, m := range g.members {
			m.node.SetTolerance(tolerance)
		}
	}
	assert.Equal(t, voters(), 3)
	set(Tolerance{Members: 2})
	eventually(t, "five voters", func() bool { return voters() == 5 })
	g.propose("with five")
	set(Tolerance{Members: 1})
	eventually(t, "three voters", func() bool { return voters() == 3 })
	g.propose("with three")
}
