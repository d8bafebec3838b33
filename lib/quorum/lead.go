package quorum

import (
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

// aloneLease is the lease of the only voter. It is a year, because no other member can replace it.
const aloneLease = 24 * 365 * time.Hour

// leadership is the state of a member while it leads.
type leadership struct {
	// since is the start of the leadership.
	since time.Time
	// first is the index of the first entry of this leader; entries of earlier terms
	// are committed only together with it.
	first uint64
	// quorumAt is the latest time for which a majority has answered requests sent then
	// or later; zero before a majority has answered.
	quorumAt time.Time
	// round is the number of the last confirmation round.
	round uint64
	// peers holds the replication progress of all other members, by id.
	peers map[string]*progress
	// heartbeatAt is when the next heartbeat is due.
	heartbeatAt time.Time
	// successor is the target of a leadership transfer, once its log is complete.
	successor string
	// transferAt is the start of the current step of the transfer.
	transferAt time.Time
	// handedOver is set when the successor was told to start its election: it may have
	// been elected, so this member must not answer as leader.
	handedOver bool
}

// progress is the replication progress of one other member.
type progress struct {
	disk []byte
	// match is the highest index known to be durable on the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set while the end of the log of the member is unknown: one append is sent at a time.
	probing bool
	// flights holds the unanswered requests by sequence number.
	flights map[uint64]flight
	// ackedAt is the latest send time of an answered request.
	ackedAt time.Time
	// round is the number of the latest confirmation round that the member answered.
	round uint64
	// goal is the last index of the log of the leader at the last heartbeat. A learner
	// that reaches it has caught up.
	goal uint64
	// snap is the snapshot being sent, of which offset bytes were acknowledged; nil for none.
	snap   *snapshot
	offset int
}

// flight is one unanswered request.
type flight struct {
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
	c.lead = &leadership{since: c.now, first: c.log.last() + 1, peers: map[string]*progress{}}
	c.syncPeers(c.lead.first)
	c.propose(nil, nil)
	c.tickLeader()
}

// syncPeers updates the table of peers to the current membership. New peers are
// probed with the entry at next, to find where their logs end.
func (c *core) syncPeers(next uint64) {
	cur := c.members.current()
	for id, p := range c.lead.peers {
		if !hasMember(cur, id, p.disk) {
			delete(c.lead.peers, id)
		}
	}
	for _, m := range cur.Members {
		if m.Id != c.cfg.id && c.lead.peers[m.Id] == nil {
			c.lead.peers[m.Id] = &progress{
				disk: m.DiskId, next: next, probing: true, flights: map[uint64]flight{},
			}
		}
	}
}

// propose appends one entry to the log of this leader and returns its index.
func (c *core) propose(command []byte, m *wire.Membership) uint64 {
	e := &wire.LogEntry{
		Index: c.log.last() + 1, Term: c.hard.term, Command: command, Membership: m,
		UnixMillis: max(c.now.UnixMilli(), c.log.lastMillis()),
	}
	c.appendToLog(e)
	if m != nil {
		c.syncPeers(e.Index)
	}
	return e.Index
}

// leaseEnd returns the time from which on this member must not answer as leader; zero if it must not now.
func (c *core) leaseEnd() time.Time {
	if c.role != leader || c.lead.handedOver {
		return time.Time{}
	}
	if c.quorumSize() == 1 && c.voter() {
		return c.now.Add(aloneLease)
	}
	if c.lead.quorumAt.IsZero() {
		return time.Time{}
	}
	return c.lead.quorumAt.Add(c.cfg.electionTimeout)
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
	c.updateQuorum()
	alive := l.since
	if l.quorumAt.After(alive) {
		alive = l.quorumAt
	}
	if c.now.Sub(alive) >= c.cfg.electionTimeout {
		c.becomeFollower(c.hard.term, "")
		return
	}
	if l.successor != "" && c.now.Sub(l.transferAt) >= c.cfg.electionTimeout {
		if l.handedOver {
			// The successor may still win the election, because the request may be delayed.
			c.becomeFollower(c.hard.term, "")
			return
		}
		l.successor = ""
	}
	if !c.now.Before(l.heartbeatAt) {
		l.heartbeatAt = c.now.Add(c.cfg.heartbeat)
		c.expireFlights()
		c.heartbeat()
		c.repair()
	}
	c.send()
}

// quorumOf returns the highest value that a majority of voters has reached.
func quorumOf[T any](c *core, self T, get func(p *progress) T, cmp func(a, b T) int) T {
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

func (c *core) updateQuorum() {
	c.lead.quorumAt = quorumOf(c, c.now, func(p *progress) time.Time { return p.ackedAt }, time.Time.Compare)
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
	n := quorumOf(c, c.persisted, func(p *progress) uint64 { return p.match }, compareIndex)
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
	return c.lead.round, max(c.commit, c.lead.first)
}

// confirmed returns the latest round that a majority has answered.
func (c *core) confirmed() uint64 {
	return quorumOf(c, c.lead.round, func(p *progress) uint64 { return p.round }, compareIndex)
}

// transfer starts to transfer the leadership to the voter with the most complete
// log; ok is false if no other voter is reachable.
func (c *core) transfer() (ok bool) {
	var best uint64
	c.lead.successor = ""
	for _, m := range c.members.current().Members {
		p := c.lead.peers[m.Id]
		if p == nil || !m.Voter || c.now.Sub(p.ackedAt) >= c.cfg.electionTimeout {
			continue
		}
		if c.lead.successor == "" || p.match > best {
			c.lead.successor, best = m.Id, p.match
		}
	}
	c.lead.transferAt = c.now
	c.send()
	return c.lead.successor != ""
}

// handOver tells the successor to start an election once its log is complete.
func (c *core) handOver() {
	l := c.lead
	p := l.peers[l.successor]
	if l.handedOver || p == nil || p.match != c.log.last() {
		return
	}
	l.handedOver, l.transferAt = true, c.now
	m := c.request(wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, l.successor, p.disk)
	c.out.messages = append(c.out.messages, m)
}

// repair keeps the group at its number of voters, one membership change at a time.
// A member that lost its disk is removed under its old disk identity. A new disk
// identity or a new member is added as learner. It becomes a voter when it has
// caught up and a voter is missing. A voter that has not answered for long is
// removed if a learner has caught up.
func (c *core) repair() {
	if c.lead.successor != "" || c.commit < c.lead.first || c.members.index() > c.commit {
		return
	}
	cur := c.members.current()
	for _, m := range cur.Members {
		p := c.lead.peers[m.Id]
		if p == nil {
			continue
		}
		silent := c.now.Sub(p.ackedAt) >= c.cfg.electionTimeout
		if s, ok := c.usable(m.Id); ok && silent && !sameDisk(s.diskID, m.DiskId) {
			c.propose(nil, withoutMember(cur, m.Id))
			return
		}
	}
	if id := c.nextJoiner(); id != "" {
		c.propose(nil, withMember(cur, &wire.Member{Id: id, Address: c.addr(id).String(), DiskId: c.reports[id].diskID}))
		return
	}
	ready := c.completeLearner()
	if voters, _ := countMembers(cur); ready != nil && voters < c.cfg.voters {
		c.propose(nil, withMember(cur, &wire.Member{
			Id: ready.Id, Address: ready.Address, DiskId: ready.DiskId, Voter: true,
		}))
		return
	}
	if m := c.memberToRemove(ready != nil); m != nil {
		c.propose(nil, withoutMember(cur, m.Id))
	}
}

// completeLearner returns a learner that has caught up with the end of the log at
// the last heartbeat; nil if there is none.
func (c *core) completeLearner() *wire.Member {
	var ready *wire.Member
	for _, m := range c.members.current().Members {
		p := c.lead.peers[m.Id]
		if p == nil || m.Voter || c.now.Sub(p.ackedAt) >= c.cfg.electionTimeout {
			continue
		}
		complete := p.goal > 0 && p.match >= p.goal
		p.goal = c.log.last()
		if complete && ready == nil {
			ready = m
		}
	}
	return ready
}

// usable returns what a peer reported; ok is false unless that is recent and the peer may join this group.
func (c *core) usable(id string) (peerReport, bool) {
	s, ok := c.reports[id]
	if !ok || c.now.Sub(s.at) >= 2*c.cfg.electionTimeout {
		return peerReport{}, false
	}
	return s, s.empty || sameDisk(s.group, c.hard.group)
}
