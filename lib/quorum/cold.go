package quorum

import (
	"time"

	"bulrushpath.example/lib/wire"
)

// After a restart of all members, no lease of an earlier leader is valid: it ended
// with the process of that leader. An election then need not wait for leases to
// expire; it is called a cold election here. A member A may start one once every
// other member has answered the running process of A that it has known no leader
// since its own start. A member votes in a cold election without the usual wait after
// leader contact only while it has known no leader since its start.
//
// This is also safe if a member B answers and then becomes leader. B serves only
// after a majority holds the first entry of B. A cold election needs the vote of a
// member of that majority, and such a member votes only for a candidate whose log has
// the entry. If A has received the entry in its running process, A has known a leader
// and starts no cold election. If A received it before its own restart, B must have
// restarted since then, because B has answered the running process of A that B has
// known no leader. The lease of B ended with the restart of B.

// coldStart is the state of cold elections. They end with the first message from a
// leader, or when this member becomes leader.
type coldStart struct {
	// possible is cleared once this process has known a leader.
	possible bool
	// preVoteAt is when the next cold pre-votes are sent.
	preVoteAt time.Time
	// round is a random number in the cold pre-votes of this process. Replies to those
	// of an earlier process have another one and are ignored.
	round uint64
	// restarted holds this member and those that have answered that they have known no
	// leader since their start. granted holds the answers to the latest pre-votes: whether
	// the member would vote for this one in the term after term.
	restarted, granted map[string]bool
	term               uint64
}

const (
	// coldRetryDivisor is the election timeout divided by the minimum time between two
	// rounds of cold pre-votes.
	coldRetryDivisor = 6
	// coldRoundBits is the number of random bits in coldStart.round.
	coldRoundBits = 62
)

func (c *core) beginColdStart() {
	c.cold = coldStart{possible: true, round: 1 + uint64(c.cfg.random(1<<coldRoundBits)), restarted: map[string]bool{c.cfg.id: true}}
	c.cold.preVoteAt = c.now.Add(time.Duration(c.cfg.random(int64(c.cfg.electionTimeout / coldRetryDivisor))))
}

func (c *core) endColdStart() { c.cold = coldStart{} }

// scheduleColdPreVote schedules the next cold pre-votes. A member that has just voted for
// another one waits as well, so that the candidate has time to become leader.
func (c *core) scheduleColdPreVote() {
	pause := c.cfg.electionTimeout / coldRetryDivisor
	c.cold.preVoteAt = c.now.Add(pause + time.Duration(c.cfg.random(int64(pause))))
}

// tickColdStart sends cold pre-votes to all other members when they are due.
func (c *core) tickColdStart() {
	s := &c.cold
	if !s.possible || c.role == preCandidate || c.blocked || !c.voter() || c.now.Before(s.preVoteAt) {
		return
	}
	c.scheduleColdPreVote()
	s.granted, s.term = map[string]bool{c.cfg.id: true}, c.hard.term
	for _, m := range c.members.current().Members {
		if m.Id == c.cfg.id {
			continue
		}
		r := c.voteRequest(wire.MessageKind_MESSAGE_KIND_PRE_VOTE, m, c.hard.term+1)
		r.Cold, r.Round = true, s.round
		c.out.messages = append(c.out.messages, r)
	}
}

// stepColdPreVoteReply handles the reply to a cold pre-vote. An empty member that replaces
// one with a lost disk has no vote, but its reply shows that the earlier process has
// ended.
func (c *core) stepColdPreVoteReply(m *wire.QuorumMessage) {
	s := &c.cold
	if !s.possible || s.granted == nil || c.role == preCandidate || m.Round != s.round || s.term != c.hard.term {
		return
	}
	if !m.Cold && !m.Empty {
		return
	}
	s.restarted[m.From] = true
	s.granted[m.From] = m.Accepted
	for _, x := range c.members.current().Members {
		if !s.restarted[x.Id] {
			return
		}
	}
	if c.hasMajority(s.granted) {
		s.granted = nil
		c.startElection(causeColdStart)
	}
}

// isColdPreVoteReply reports whether m is the reply to a cold pre-vote, the only kind
// of pre-vote that has a round.
func isColdPreVoteReply(m *wire.QuorumMessage) bool {
	return m.Kind == wire.MessageKind_MESSAGE_KIND_PRE_VOTE && m.Round != 0
}
