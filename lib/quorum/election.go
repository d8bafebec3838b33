package quorum

import (
	"bytes"
	"time"

	"bulrushpath.example/lib/wire"
)

// maxBackoffDoublings bounds the delay of elections, as a power of two.
const maxBackoffDoublings = 3

// minElectionTimeout is the time after contact with a leader during which a member
// grants no vote. It exceeds the election timeout, after which the leader steps down
// by its own clock, by an eighth: more than clocks drift apart in that time.
func (c *core) minElectionTimeout() time.Duration {
	return c.cfg.electionTimeout + c.cfg.electionTimeout/8
}

func (c *core) resetElection() {
	t := c.cfg.electionTimeout
	c.electionAt = c.now.Add(c.electionBackoff()*(c.minElectionTimeout()+time.Duration(c.cfg.random(int64(t)))) + c.fullDelay())
}

// retryElection schedules the next election in case the one that starts now fails.
func (c *core) retryElection() {
	t := c.cfg.electionTimeout
	c.electionAt = c.now.Add(c.electionBackoff() * (t/2 + time.Duration(c.cfg.random(int64(t)))))
}

// fullElectionTimeouts is the number of election timeouts by which a member without room for commands
// lets others go first. They have one or two elections in that time.
const fullElectionTimeouts = 4

// fullDelay is the time by which this member starts elections later because its disk is full.
func (c *core) fullDelay() time.Duration {
	if !c.full || c.quorumSize() == 1 {
		return 0
	}
	return fullElectionTimeouts * c.cfg.electionTimeout
}

// electionBackoff is the factor by which the next election is delayed. It doubles with each
// term that ended without a leader, because a sync on a slow disk may take longer than an
// election. All members count the same terms, so voters wait as long as candidates.
func (c *core) electionBackoff() time.Duration {
	failed := max(c.hard.term-c.leaderTerm, 1) - 1
	return 1 << min(failed, maxBackoffDoublings)
}

// becomeFollower makes this member a follower of the leader id in term; id is empty if
// the leader is unknown.
func (c *core) becomeFollower(term uint64, id string) {
	if term > c.hard.term {
		c.hard.term, c.hard.vote, c.hard.voteDisk = term, "", nil
		c.hardChanged()
	}
	if c.role == leader || id != "" {
		c.resetElection()
	}
	if c.leaderID != id {
		c.buffered, c.incoming = nil, nil
	}
	c.role, c.leaderID, c.lead, c.votes = follower, id, nil, nil
}

// startPreVote asks whether an election could be won, without raising the term, so that
// a member that was partitioned does not depose a working leader.
func (c *core) startPreVote() {
	c.role, c.leaderID = preCandidate, ""
	c.votes = map[string]bool{c.cfg.id: true}
	c.retryElection()
	if c.won() {
		c.startElection(causeTimeout)
		return
	}
	c.requestVotes(wire.MessageKind_MESSAGE_KIND_PRE_VOTE, c.hard.term+1, causeTimeout)
}

// electionCause is the reason for an election. It decides whether a voter refuses
// because of recent leader contact.
type electionCause int

const (
	// causeTimeout: no leader has been heard from for the election timeout.
	causeTimeout electionCause = iota
	// causeTransfer: the leader transfers its leadership.
	causeTransfer
	// causeColdStart: all members have restarted; see coldStart.
	causeColdStart
)

// startElection raises the term and starts an election.
func (c *core) startElection(cause electionCause) {
	c.becomeFollower(c.hard.term+1, "")
	c.role = candidate
	c.hard.vote, c.hard.voteDisk = c.cfg.id, c.cfg.diskID
	c.hardChanged()
	c.votes = map[string]bool{c.cfg.id: true}
	c.retryElection()
	if c.won() {
		c.becomeLeader()
		return
	}
	c.requestVotes(wire.MessageKind_MESSAGE_KIND_VOTE, c.hard.term, cause)
}

func (c *core) requestVotes(kind wire.MessageKind, term uint64, cause electionCause) {
	for _, m := range c.members.current().Members {
		if m.Id == c.cfg.id || !m.Voter {
			continue
		}
		r := c.voteRequest(kind, m, term)
		r.Transfer, r.Cold = cause == causeTransfer, cause == causeColdStart
		c.out.messages = append(c.out.messages, r)
	}
}

// voteRequest returns a request to m for a (pre-)vote in term.
func (c *core) voteRequest(kind wire.MessageKind, m *wire.Member, term uint64) *wire.QuorumMessage {
	r := c.request(kind, m.Id, m.DiskId)
	r.Term, r.Entries = term, c.firstEntry()
	r.LastIndex, r.LastTerm = c.log.last(), c.log.lastTerm()
	return r
}

func (c *core) won() bool { return c.hasMajority(c.votes) }

// hasMajority reports whether votes include a majority of the voters.
func (c *core) hasMajority(votes map[string]bool) bool {
	voters, granted := 0, 0
	for _, m := range c.members.current().Members {
		if !m.Voter {
			continue
		}
		voters++
		if votes[m.Id] {
			granted++
		}
	}
	return granted >= majority(voters)
}

// mayGrantVote reports whether a (pre-)vote for the sender of m may be granted, apart
// from term and log. An empty or blocked member never votes. A leader, or a member
// with recent leader contact, votes only for a leadership transfer. A member that has
// known no leader since its start also votes in a cold election.
func (c *core) mayGrantVote(m *wire.QuorumMessage) bool {
	if c.empty() || c.blocked {
		return false
	}
	return m.Transfer || m.Cold && c.cold.possible || c.role != leader && c.now.Sub(c.lastContact) >= c.minElectionTimeout()
}

// upToDate reports whether the log of the sender of m is at least as up to date as this one.
func (c *core) upToDate(m *wire.QuorumMessage) bool {
	if t := c.log.lastTerm(); m.LastTerm != t {
		return m.LastTerm > t
	}
	return m.LastIndex >= c.log.last()
}

func (c *core) stepPreVote(m, r *wire.QuorumMessage) {
	r.Cold = m.Cold && c.cold.possible
	if c.mayGrantVote(m) && m.Term > c.hard.term && c.upToDate(m) {
		r.Accepted, r.Term = true, m.Term
	}
}

func (c *core) stepVote(m, r *wire.QuorumMessage) {
	if m.Term < c.hard.term || !c.mayGrantVote(m) {
		return
	}
	if m.Term > c.hard.term {
		c.becomeFollower(m.Term, "")
	}
	canVote := c.hard.vote == "" || c.hard.vote == m.From && bytes.Equal(c.hard.voteDisk, m.FromDisk)
	if !canVote || !c.upToDate(m) {
		return
	}
	c.hard.vote, c.hard.voteDisk = m.From, m.FromDisk
	c.hardChanged()
	c.resetElection()
	c.scheduleColdPreVote()
	r.Accepted = true
}

func (c *core) stepVoteReply(m *wire.QuorumMessage) {
	pre := m.Kind == wire.MessageKind_MESSAGE_KIND_PRE_VOTE
	switch {
	case isColdPreVoteReply(m):
		c.stepColdPreVoteReply(m)
		return
	case !m.Accepted:
		return
	case pre && c.role == preCandidate && m.Term == c.hard.term+1:
	case !pre && c.role == candidate && m.Term == c.hard.term:
	default:
		return
	}
	c.votes[m.From] = true
	if !c.won() {
		return
	}
	if pre {
		c.startElection(causeTimeout)
	} else {
		c.becomeLeader()
	}
}
