package quorum

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

func (s *sim) leader() *simNode {
	for _, n := range s.nodes {
		if n.core.role == leader && n.core.commit >= n.core.lead.firstIndex {
			return n
		}
	}
	return nil
}

// runFor runs the group without new faults for d, in steps of a millisecond.
func (s *sim) runFor(d time.Duration) {
	for range int(d / time.Millisecond) {
		s.advance(time.Millisecond)
		for _, n := range s.nodes {
			s.persistAll(n)
		}
		for k := len(s.net); k > 0 && len(s.net) > 0; k-- {
			s.deliver(0, false)
		}
	}
}

// Guards against a wait for the lease of a leader that cannot exist. After a restart
// of all members, in half of the runs one of them without its disk, a new leader must
// be elected before a member with leader contact would vote for another one.
func TestRestartOfAllElectsAtOnce(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := newSim(3, noBug, r.IntN)
		s.runWithoutFaults(60)
		assert.Assert(t, s.leader() != nil)
		s.propose(s.leader())
		s.runWithoutFaults(2)
		for i, n := range s.nodes {
			if s.diskLossesLeft = 1; i == 0 && seed%2 == 0 {
				s.loseDisk(n)
			} else {
				s.restart(n)
			}
			s.runFor(time.Duration(r.IntN(4)) * time.Millisecond)
		}
		s.runFor(simTimeout)
		assert.NilError(t, s.err)
		assert.Assert(t, s.leader() != nil, "no leader with seed %d", seed)
	}
}

// electedWithinLease restarts all members except the leader, whose heartbeats are lost.
// It reports whether another member leads before the lease of the old leader has ended.
func electedWithinLease(t *testing.T, bug injectedBug) bool {
	s := newSim(3, bug, rand.New(rand.NewPCG(1, 7)).IntN)
	s.runWithoutFaults(60)
	old := s.leader()
	for _, n := range s.nodes {
		if n != old {
			s.restart(n)
		}
	}
	for end := old.core.leaseEnd(); s.now.Before(end); {
		s.net = slices.DeleteFunc(s.net, func(m *wire.QuorumMessage) bool { return m.Kind == wire.MessageKind_MESSAGE_KIND_APPEND })
		s.runFor(time.Millisecond)
		for _, n := range s.nodes {
			if n != old && n.core.role == leader {
				return true
			}
		}
	}
	s.runFor(4 * simTimeout)
	assert.Assert(t, s.leader() != nil)
	assert.NilError(t, s.err)
	return false
}

// Guards against a leader that is replaced within its lease because all other members
// have restarted. With an injected bug, the election ignores the answer of the old
// leader, which shows that the check detects it.
func TestRestartOfOthersKeepsTheLeader(t *testing.T) {
	assert.Assert(t, !electedWithinLease(t, noBug))
	assert.Assert(t, electedWithinLease(t, coldElectionWithLeader))
}

// Guards against cold elections that violate a safety property when most members
// repeatedly restart at the same time.
func TestSafetyOfHerds(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 3))
		s := newSim(3, noBug, r.IntN)
		s.runWithoutFaults(60)
		s.massRestarts = true
		for range 200 {
			if s.randN(12) == 0 {
				s.restartMost()
			}
			if s.randomStep(); s.err != nil {
				t.Fatalf("seed %d: %v", seed, s.err)
			}
		}
	}
}

// Guards against a Node that waits for leases after a restart of all members although
// the simulated core does not. The election timeout is far above the time that an
// election takes.
func TestRestartOfAllNodesElectsAtOnce(t *testing.T) {
	const timeout = 5 * time.Second
	g := newGroup(t, 3, func(s *Settings) { s.ElectionTimeout = timeout })
	g.propose("one")
	for _, m := range g.members {
		g.kill(m)
	}
	begun := time.Now()
	for _, m := range g.members {
		g.start(m)
	}
	g.leader()
	took := time.Since(begun)
	assert.Assert(t, took < timeout, "took %v", took)
}
