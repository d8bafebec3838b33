package quorum

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observedGroup starts three members, and adds two observers, o0 and o1, whose settings name the
// members only while named is set, and always each other.
func observedGroup(t *testing.T, named *bool) (g *group, observers []*member) {
	g = newGroup(t, 3, func(s *Settings) {
		s.Voters = 3
		if !strings.HasPrefix(s.ID, "o") {
			maps.DeleteFunc(s.Peers, func(id string, _ netip.AddrPort) bool { return strings.HasPrefix(id, "o") })
			return
		}
		s.Observer, s.DataDir = true, ""
		if !*named {
			maps.DeleteFunc(s.Peers, func(id string, _ netip.AddrPort) bool { return strings.HasPrefix(id, "c") })
		}
	})
	g.propose("early")
	return g, []*member{g.add("o0"), g.add("o1")}
}

func (g *group) refersToLeader(m *member) func() bool {
	return func() bool {
		addr, ok := m.node.Leader()
		return ok && addr == g.leader().addr
	}
}

// Guards against observers that nobody tells where the group is, because only the settings that the
// members had at their start count: the seeds are exchanged for observers, which then lose their memory.
func TestObserversAreFoundAfterSeedsChange(t *testing.T) {
	named := false
	g, observers := observedGroup(t, &named)
	time.Sleep(time.Second)
	for _, o := range observers {
		_, ok := o.node.Leader()
		assert.Assert(t, !ok, "nobody can have told %s", o.id)
	}
	seeds := map[string]netip.AddrPort{"o0": observers[0].addr, "o1": observers[1].addr}
	for _, m := range g.members[:3] {
		m.node.SetPeers(seeds)
	}
	for _, o := range observers {
		eventually(t, o.id+" knows the leader", g.refersToLeader(o))
	}
	g.kill(g.leader())
	for _, o := range observers {
		g.kill(o)
		g.start(o)
	}
	for _, o := range observers {
		eventually(t, o.id+" knows the next leader", g.refersToLeader(o))
	}
}

// Guards against observers that are forgotten by the group that they have known: their settings and
// those of the members name each other no more, as seeds may differ, and the observers lose their memory
// together, also while the leader changes.
func TestObserversAreRemembered(t *testing.T) {
	named := true
	g, observers := observedGroup(t, &named)
	for _, o := range observers {
		eventually(t, o.id+" knows the leader", g.refersToLeader(o))
	}
	named = false
	restart := func() {
		for _, o := range observers {
			g.kill(o)
		}
		for _, o := range observers {
			g.start(o)
		}
		for _, o := range observers {
			eventually(t, o.id+" knows the leader again", g.refersToLeader(o))
		}
	}
	restart()
	// The next leader knows the observers only from what they say while another one leads.
	lead := g.leader()
	for _, m := range g.members[:3] {
		if m != lead {
			g.kill(m)
			g.start(m)
			eventually(t, m.id+" knows the leader", g.refersToLeader(m))
		}
	}
	time.Sleep(2 * helloAllRounds * joinHelloHeartbeats * 30 * time.Millisecond)
	g.kill(g.leader())
	restart()
}

// Guards against a member that keeps a report of each instance that has ever been there, and against a
// leader that says Hello to all of them.
func TestOutsidersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	self := netip.MustParseAddrPort("127.0.0.1:7000")
	settings := Settings{ID: "c0", Listen: self, Peers: map[string]netip.AddrPort{"c0": self}}
	settings.setDefaults()
	c := newCore(settings.coreConfig([]byte("disk"), func(int64) int64 { return 0 }), now, hardState{}, nil, nil)
	c.tick(now)
	for i := range 10_000 {
		c.now = c.now.Add(time.Millisecond)
		c.setReport(fmt.Sprintf("o%d", i), peerReport{observer: true, addr: netip.AddrPortFrom(self.Addr(), uint16(i+1)), at: c.now})
	}
	assert.Equal(t, len(c.reports), maxReports)
	assert.Equal(t, len(c.outsiders()), maxOutsiders)
	assert.Assert(t, slices.Contains(c.outsiders(), "o9999"), "the latest is forgotten")
	c.setSeeds(map[string]netip.AddrPort{"s0": self, "s1": self})
	assert.Equal(t, len(c.outsiders()), maxOutsiders+2)
	c.now = c.now.Add(outsiderMemory)
	assert.DeepEqual(t, c.outsiders(), []string{"s0", "s1"})
}
