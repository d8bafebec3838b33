package quorum

import (
	"time"

	"bulrushpath.example/lib/wire"
)

// After a restart of all members at once, no lease of an earlier leader can be
// valid: it ended with the process of that leader. An election then need not wait
// until leases have run out. A member may ask for such a cold election once all
// members have answered this process that they have known no leader in theirs, and
// a member grants its vote as long as that is so.
//
// A leader B that is elected after it has answered serves only after a majority
// holds its first entry. One of them would have to grant the cold vote, which
// takes a log with that entry. The candidate can have it only from B, and has known
// a leader then, or from before its own restart, and B has restarted since.

// coldStart is the state of a cold election. It ends with the first leader that
// this process hears, or its own leadership.
type coldStart struct {
	// possible is false once this process has known a leader.
	possible bool
	// askAt is when the members are asked next.
	askAt time.Time
	// round numbers the questions of this process, unlike those of an earlier one.
	round uint64
	// restarted holds the members that have answered, complete those that would
	// vote for this one in the term after term.
	restarted, complete map[string]bool
	term                uint64
}

const (
	// coldShare is the part of the election timeout between two questions.
	coldShare = 6
	// roundBits is the number of random bits in the number of a round.
	roundBits = 62
)

func (c *core) beginCold() {
	c.cold = coldStart{possible: true, round: 1 + uint64(c.cfg.random(1<<roundBits)), restarted: map[string]bool{c.cfg.id: true}}
	c.cold.askAt = c.now.Add(time.Duration(c.cfg.random(int64(c.cfg.electionTimeout / coldShare))))
}

func (c *core) endCold() { c.cold = coldStart{} }

// waitCold sets the time of the next question; a member that has just voted for
// another one gives it time to lead.
func (c *core) waitCold() {
	pause := c.cfg.electionTimeout / coldShare
	c.cold.askAt = c.now.Add(pause + time.Duration(c.cfg.random(int64(pause))))
}

// tickCold asks the members when that is due.
func (c *core) tickCold() {
	s := &c.cold
	if !s.possible || c.role == preCandidate || c.blocked || !c.voter() || c.now.Before(s.askAt) {
		return
	}
	c.waitCold()
	s.complete, s.term = map[string]bool{c.cfg.id: true}, c.hard.term
	for _, m := range c.members.current().Members {
		if m.Id == c.cfg.id {
			continue
		}
		r := c.voteRequest(wire.MessageKind_MESSAGE_KIND_PRE_VOTE, m, c.hard.term+1)
		r.Cold, r.Round = true, s.round
		c.out.messages = append(c.out.messages, r)
	}
}

// stepColdReply takes the answer to a cold pre-vote. An empty member at the address
// of one that lost its disk has no vote, but shows that the process before it ended.
func (c *core) stepColdReply(m *wire.QuorumMessage) {
	s := &c.cold
	if !s.possible || s.complete == nil || c.role == preCandidate || m.Round != s.round || s.term != c.hard.term {
		return
	}
	if !m.Cold && !m.Empty {
		return
	}
	s.restarted[m.From] = true
	s.complete[m.From] = m.Accepted
	for _, x := range c.members.current().Members {
		if !s.restarted[x.Id] {
			return
		}
	}
	if c.wonBy(s.complete) {
		s.complete = nil
		c.startVote(voteCold)
	}
}

// coldReply says that m answers a cold pre-vote.
func coldReply(m *wire.QuorumMessage) bool {
	return m.Kind == wire.MessageKind_MESSAGE_KIND_PRE_VOTE && m.Round != 0
}
