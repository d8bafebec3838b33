package quorum

import (
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

// aloneLease is the lease of the only voter, which cannot be replaced by another.
const aloneLease = 24 * 365 * time.Hour

// leadership is what a member knows only while it leads.
type leadership struct {
	since time.Time
	// first is the index of the leader's first entry; earlier entries are
	// committed only together with it.
	first uint64
	// quorumAt is the latest time at which requests were sent that a majority
	// has answered; zero before the first answers.
	quorumAt time.Time
	// round numbers the confirmations of leadership.
	round uint64
	// peers holds all other members.
	peers       map[string]*progress
	heartbeatAt time.Time
	// successor gets the leadership as soon as its log is complete.
	successor  string
	transferAt time.Time
	// handedOver says that the successor may have been elected: this member
	// gives no answers any more.
	handedOver bool
}

// progress is what the leader knows about one other member.
type progress struct {
	disk []byte
	// match is the highest index known to be durable there.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing says that only one append is sent until it is accepted.
	probing bool
	// flights are the requests without an answer, by number.
	flights map[uint64]flight
	// ackedAt is when the latest request that was answered was sent.
	ackedAt time.Time
	// round is the latest confirmation round answered.
	round uint64
	// goal is the end of this leader's log at the last heartbeat, for a learner.
	goal uint64
	// snap is the snapshot being sent, from offset on; nil for none.
	snap   *snapshot
	offset int
}

// flight is one request without an answer.
type flight struct {
	sent time.Time
	// prev and last delimit the entries of an append; equal for a heartbeat.
	prev, last uint64
	chunk      bool
}

func (c *core) becomeLeader() {
	c.role, c.leaderID, c.votes = leader, c.cfg.id, nil
	c.endCold()
	c.lead = &leadership{since: c.now, first: c.log.last() + 1, peers: map[string]*progress{}}
	c.syncPeers(c.lead.first)
	c.propose(nil, nil)
	c.tickLeader()
}

// syncPeers fits the table of peers to the membership; new ones are first sent
// the entry next, which shows where their logs end.
func (c *core) syncPeers(next uint64) {
	cur := c.members.current()
	for id, p := range c.lead.peers {
		if !names(cur, id, p.disk) {
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

// propose appends one entry of this leader and returns its index.
func (c *core) propose(command []byte, m *wire.Membership) uint64 {
	e := &wire.LogEntry{
		Index: c.log.last() + 1, Term: c.hard.term, Command: command, Membership: m,
		UnixMillis: max(c.now.UnixMilli(), c.log.lastMillis()),
	}
	c.store(e)
	if m != nil {
		c.syncPeers(e.Index)
	}
	return e.Index
}

// leaseEnd is when this member must not answer as leader any more.
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
			// The successor may still win with a late message.
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

// quorumOf returns the value that a majority of voters has reached.
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

// advanceCommit commits what a majority has on disk. Entries of earlier terms
// are committed only by one of this term: a majority alone could still lose them.
func (c *core) advanceCommit() {
	n := quorumOf(c, c.persisted, func(p *progress) uint64 { return p.match }, compareIndex)
	if t, ok := c.log.term(n); ok && n > c.commit && t == c.hard.term {
		c.commit = n
	}
}

// confirm starts a round in which a majority confirms the leadership. When
// confirmed returns at least round, this member led after the call, and index
// covers everything committed before it.
func (c *core) confirm() (round, index uint64) {
	c.lead.round++
	c.heartbeat()
	return c.lead.round, max(c.commit, c.lead.first)
}

func (c *core) confirmed() uint64 {
	return quorumOf(c, c.lead.round, func(p *progress) uint64 { return p.round }, compareIndex)
}

// transfer hands the leadership to the member with the most complete log; ok
// is false if there is no other voter that answers.
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

// handOver tells the successor to start its election if its log is complete.
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
// A member whose disk was lost is removed under its old identity. A new identity
// or a new member is added as learner; it becomes a voter when it has caught up
// and a voter is missing, or has been silent for long.
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
		if s, ok := c.usable(m.Id); ok && silent && !sameDisk(s.disk, m.DiskId) {
			c.propose(nil, without(cur, m.Id))
			return
		}
	}
	if id := c.newcomer(); id != "" {
		c.propose(nil, with(cur, &wire.Member{Id: id, Address: c.addr(id).String(), DiskId: c.seen[id].disk}))
		return
	}
	ready := c.completeLearner()
	if voters, _ := counts(cur); ready != nil && voters < c.cfg.voters {
		c.propose(nil, with(cur, &wire.Member{
			Id: ready.Id, Address: ready.Address, DiskId: ready.DiskId, Voter: true,
		}))
		return
	}
	if m := c.replaceable(ready != nil); m != nil {
		c.propose(nil, without(cur, m.Id))
	}
}

// completeLearner returns a learner whose log is complete except for what was
// appended since the last heartbeat; nil if there is none.
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

// usable returns the recent sighting of a peer that may join this group.
func (c *core) usable(id string) (sighting, bool) {
	s, ok := c.seen[id]
	if !ok || c.now.Sub(s.at) >= 2*c.cfg.electionTimeout {
		return sighting{}, false
	}
	return s, s.empty || sameDisk(s.group, c.hard.group)
}
