package quorum

import (
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

// singleVoterLease is the lease of the only voter. It is a year, because no other member
// can replace it.
const singleVoterLease = 24 * 365 * time.Hour

// leaderState is the state of a member while it leads.
type leaderState struct {
	// since is the start of the leadership.
	since time.Time
	// firstIndex is the index of the first entry of this leader; entries of earlier terms
	// are committed only together with it.
	firstIndex uint64
	// quorumContactAt is the latest time such that a majority has answered requests sent
	// at or after it; zero before a majority has answered.
	quorumContactAt time.Time
	// round is the number of the last confirmation round.
	round uint64
	// peers holds the replication progress of all other members, by id.
	peers map[string]*progress
	// heartbeatAt is when the next heartbeat is due.
	heartbeatAt time.Time
	// refusedAt is when a member last refused a request because its disk cannot be written.
	refusedAt time.Time
	// growing is set while acknowledgements should wait for missing voters.
	growing bool
	// shortSince is the time since which the group is short of voters; zero if it is not.
	shortSince time.Time
	// askPlacesAt is when the members without a known zone are asked next.
	askPlacesAt time.Time
	// transferTarget is the id of the voter that takes over the leadership once its log is
	// complete; empty if no transfer is in progress.
	transferTarget string
	// transferAt is the start of the current step of the transfer.
	transferAt time.Time
	// timeoutNowSent is set when the target was told to start its election: it may have
	// been elected, so this member must not answer as leader.
	timeoutNowSent bool
}

// progress is the replication progress of one other member.
type progress struct {
	diskID []byte
	// match is the highest index known to be durable on the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set while the end of the log of the member is unknown: one append is sent
	// at a time.
	probing bool
	// inflight holds the unanswered requests by sequence number.
	inflight map[uint64]inflightRequest
	// ackedAt is the latest send time of an answered request.
	ackedAt time.Time
	// round is the number of the latest confirmation round that the member answered.
	round uint64
	// catchUpIndex is the last index of the log of the leader at the last call of
	// caughtUpLearner. A learner that has reached it by the next call has caught up.
	catchUpIndex uint64
	// snap is the snapshot being sent, of which offset bytes were acknowledged; nil for none.
	snap   *snapshot
	offset int
}

// inflightRequest is one unanswered request.
type inflightRequest struct {
	sent time.Time
	// prev and last are the indexes before and of the last entry of an append; they
	// are equal for a heartbeat.
	prev, last uint64
	// chunk is set for a snapshot chunk.
	chunk bool
}

func (c *core) becomeLeader() {
	c.role, c.leaderID, c.votes = leader, c.cfg.id, nil
	c.endColdStart()
	c.leaderTerm = c.hard.term
	c.lead = &leaderState{since: c.now, firstIndex: c.log.last() + 1, peers: map[string]*progress{}}
	c.syncPeers(c.lead.firstIndex)
	c.updateGrowing()
	c.propose(nil, nil)
	c.tickLeader()
}

// syncPeers updates the table of peers to the current membership. New peers are
// probed with the entry at next, to find where their logs end.
func (c *core) syncPeers(next uint64) {
	cur := c.members.current()
	for id, p := range c.lead.peers {
		if !hasMember(cur, id, p.diskID) {
			delete(c.lead.peers, id)
		}
	}
	for _, m := range cur.Members {
		if m.Id != c.cfg.id && c.lead.peers[m.Id] == nil {
			c.lead.peers[m.Id] = &progress{
				diskID: m.DiskId, next: next, probing: true, inflight: map[uint64]inflightRequest{},
			}
		}
	}
}

// unixMillis returns the time of day for a log entry.
func (c *core) unixMillis() int64 {
	if c.cfg.unixMillis != nil {
		return c.cfg.unixMillis()
	}
	return c.now.UnixMilli()
}

// propose appends one entry to the log of this leader and returns its index.
func (c *core) propose(command []byte, m *wire.Membership) uint64 {
	e := &wire.LogEntry{
		Index: c.log.last() + 1, Term: c.hard.term, Command: command, Membership: m,
		UnixMillis: max(c.unixMillis(), c.log.lastMillis()),
	}
	c.appendToLog(e)
	if m != nil {
		c.syncPeers(e.Index)
	}
	return e.Index
}

// leaseEnd returns the time from which on this member must not answer as leader; zero if
// it must not answer even now.
func (c *core) leaseEnd() time.Time {
	if c.role != leader || c.lead.timeoutNowSent {
		return time.Time{}
	}
	if c.quorumSize() == 1 && c.voter() {
		return c.now.Add(singleVoterLease)
	}
	if c.lead.quorumContactAt.IsZero() {
		return time.Time{}
	}
	return c.lead.quorumContactAt.Add(c.cfg.electionTimeout)
}

func (c *core) quorumSize() int {
	n := 0
	for _, m := range c.members.current().Members {
		if m.Voter {
			n++
		}
	}
	return majority(n)
}

func (c *core) tickLeader() {
	l := c.lead
	c.updateQuorumContact()
	lastContact := l.since
	if l.quorumContactAt.After(lastContact) {
		lastContact = l.quorumContactAt
	}
	if c.now.Sub(lastContact) >= c.cfg.electionTimeout {
		c.becomeFollower(c.hard.term, "")
		return
	}
	if c.isRefused() {
		c.becomeFollower(c.hard.term, "")
		c.electionAt = c.now.Add(refusedElectionTimeouts * c.cfg.electionTimeout)
		return
	}
	if l.transferTarget != "" && c.now.Sub(l.transferAt) >= c.cfg.electionTimeout {
		if l.timeoutNowSent {
			// The target may still win the election, because the request may be delayed.
			c.becomeFollower(c.hard.term, "")
			return
		}
		l.transferTarget = ""
	}
	if !c.now.Before(l.heartbeatAt) {
		l.heartbeatAt = c.now.Add(c.cfg.heartbeat)
		c.expireInflight()
		c.heartbeat()
		c.askPlaces()
		c.repairMembership()
		c.updateGrowing()
	}
	c.send()
}

const (
	// unreadyTimeouts is the number of election timeouts after which a leader whose entries are refused
	// steps down if it has not committed its first entry.
	unreadyTimeouts = 4
	// refusedElectionTimeouts is the number of election timeouts for which it then lets others be
	// elected, who all wait for fullElectionTimeouts if their disks are full.
	refusedElectionTimeouts = 3 * fullElectionTimeouts
)

// isRefused reports whether this leader cannot begin to serve because others have no room for entries
// that only this member has. A member without these entries can be elected, and needs no room for them.
func (c *core) isRefused() bool {
	l, t := c.lead, c.cfg.electionTimeout
	return c.commit < l.firstIndex && c.now.Sub(l.since) >= unreadyTimeouts*t && !l.refusedAt.IsZero() && c.now.Sub(l.refusedAt) < t
}

// majorityValue returns the highest value that a majority of voters has reached.
func majorityValue[T any](c *core, self T, get func(p *progress) T, cmp func(a, b T) int) T {
	var values []T
	for _, m := range c.members.current().Members {
		switch {
		case !m.Voter:
		case m.Id == c.cfg.id:
			values = append(values, self)
		default:
			values = append(values, get(c.lead.peers[m.Id]))
		}
	}
	slices.SortFunc(values, cmp)
	return values[len(values)-majority(len(values))]
}

func (c *core) updateQuorumContact() {
	c.lead.quorumContactAt = majorityValue(c, c.now, func(p *progress) time.Time { return p.ackedAt }, time.Time.Compare)
}

func compareIndex(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// advanceCommit commits the entries that a majority has on disk. Entries of earlier
// terms are committed only together with an entry of this term: without it, a later
// leader could still overwrite them although a majority holds them.
func (c *core) advanceCommit() {
	n := majorityValue(c, c.persisted, func(p *progress) uint64 { return p.match }, compareIndex)
	if t, ok := c.log.term(n); ok && n > c.commit && t == c.hard.term {
		c.commit = n
	}
}

// confirm starts a round of heartbeats in which a majority confirms the leadership.
// When confirmed returns at least round, this member was leader after the call, and
// index covers all entries committed before the call.
func (c *core) confirm() (round, index uint64) {
	c.lead.round++
	c.heartbeat()
	return c.lead.round, max(c.commit, c.lead.firstIndex)
}

// confirmed returns the latest round that a majority has answered.
func (c *core) confirmed() uint64 {
	return majorityValue(c, c.lead.round, func(p *progress) uint64 { return p.round }, compareIndex)
}

// transfer starts to transfer the leadership to the voter with the most complete
// log; ok is false if no other voter is reachable.
func (c *core) transfer() (ok bool) {
	var best uint64
	c.lead.transferTarget = ""
	for _, m := range c.members.current().Members {
		p := c.lead.peers[m.Id]
		if p == nil || !m.Voter || c.now.Sub(p.ackedAt) >= c.cfg.electionTimeout {
			continue
		}
		if c.lead.transferTarget == "" || p.match > best {
			c.lead.transferTarget, best = m.Id, p.match
		}
	}
	c.lead.transferAt = c.now
	c.send()
	return c.lead.transferTarget != ""
}

// sendTimeoutNow tells the target of the transfer to start an election once its log is
// complete.
func (c *core) sendTimeoutNow() {
	l := c.lead
	p := l.peers[l.transferTarget]
	if l.timeoutNowSent || p == nil || p.match != c.log.last() {
		return
	}
	l.timeoutNowSent, l.transferAt = true, c.now
	m := c.request(wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, l.transferTarget, p.diskID)
	c.out.messages = append(c.out.messages, m)
}
