package quorum

import (
	"net/netip"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// joinHelloHeartbeats is the number of heartbeat intervals between two Hello messages
	// to join a group.
	joinHelloHeartbeats = 5
	// rejoinTimeouts is the number of election timeouts without leader contact after which a
	// member sends Hello: it may have been replaced while it was down or partitioned.
	rejoinTimeouts = 3
	// replaceVoterTimeouts is the number of election timeouts without an answer after which a
	// voter is replaced by a learner that has caught up.
	replaceVoterTimeouts = 3
	// removeLearnerTimeouts is the number of election timeouts without an answer after which a
	// learner is removed.
	removeLearnerTimeouts = 8
	// maxLearners bounds the learners in the membership.
	maxLearners = 2
)

// sendJoinHellos sends Hello to all known members, if this one is to join a group or may
// have been removed from its group.
func (c *core) sendJoinHellos() {
	joining := c.cfg.join
	if !c.empty() {
		joining = c.now.Sub(c.lastContact) >= rejoinTimeouts*c.cfg.electionTimeout
	}
	if !joining || c.blocked || c.now.Before(c.joinHelloAt) {
		return
	}
	c.joinHelloAt = c.now.Add(joinHelloHeartbeats * c.cfg.heartbeat)
	for _, id := range c.knownIDs() {
		if id != c.cfg.id {
			c.sendHello(id)
		}
	}
}

// knownIDs returns the sorted ids of all members known to this one.
func (c *core) knownIDs() []string {
	ids := c.peerIDs()
	for _, m := range c.members.current().Members {
		ids = append(ids, m.Id)
	}
	for id := range c.knownAddrs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// recordHello records the Hello of a member that is not in the membership with its
// current disk.
func (c *core) recordHello(m *wire.QuorumMessage) {
	if m.Kind != wire.MessageKind_MESSAGE_KIND_HELLO || hasMember(c.members.current(), m.From, m.FromDisk) {
		return
	}
	addr, err := netip.ParseAddrPort(m.FromAddress)
	if err != nil {
		return
	}
	c.reports[m.From] = peerReport{
		diskID: m.FromDisk, empty: m.Empty, group: m.Group, peers: c.reports[m.From].peers, addr: addr, at: c.now,
	}
}

// recordAddrs records the addresses of members that another member reported.
func (c *core) recordAddrs(m *wire.Membership) {
	for _, x := range m.GetMembers() {
		if addr, err := netip.ParseAddrPort(x.Address); err == nil {
			c.knownAddrs[x.Id] = addr
		}
	}
}

// addr returns the address of a member. The settings take precedence over what the
// members report, because a member may have moved to another address.
func (c *core) addr(id string) netip.AddrPort {
	if addr, ok := c.cfg.peers[id]; ok {
		return addr
	}
	if m := findMember(c.members.current(), id); m != nil {
		if addr, err := netip.ParseAddrPort(m.Address); err == nil {
			return addr
		}
	}
	if r, ok := c.reports[id]; ok && r.addr.IsValid() {
		return r.addr
	}
	return c.knownAddrs[id]
}

// countMembers returns the numbers of voters and learners.
func countMembers(m *wire.Membership) (voters, learners int) {
	for _, x := range m.Members {
		if x.Voter {
			voters++
		} else {
			learners++
		}
	}
	return voters, learners
}

// nextJoiner returns the first id of a member outside the group that may join it; empty
// if there is none, or the group has its maximum number of members or learners.
func (c *core) nextJoiner() string {
	cur := c.members.current()
	voters, learners := countMembers(cur)
	if learners >= maxLearners || voters+learners >= c.cfg.voters+maxLearners {
		return ""
	}
	ids := make([]string, 0, len(c.reports))
	for id := range c.reports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if _, ok := c.joinable(id); ok && findMember(cur, id) == nil && c.addr(id).IsValid() {
			return id
		}
	}
	return ""
}

// unresponsiveFor reports whether a member has not answered this leader for n election
// timeouts.
func (c *core) unresponsiveFor(m *wire.Member, n int) bool {
	p := c.lead.peers[m.Id]
	if p == nil {
		return false
	}
	last := p.ackedAt
	if c.lead.since.After(last) {
		last = c.lead.since
	}
	return c.now.Sub(last) >= time.Duration(n)*c.cfg.electionTimeout
}

// memberToRemove returns a member to remove because it has not answered for long: a
// learner, or a voter if a learner has caught up. It returns nil if there is none.
func (c *core) memberToRemove(caughtUp bool) *wire.Member {
	for _, m := range c.members.current().Members {
		if caughtUp && m.Voter && c.unresponsiveFor(m, replaceVoterTimeouts) || !m.Voter && c.unresponsiveFor(m, removeLearnerTimeouts) {
			return m
		}
	}
	return nil
}
