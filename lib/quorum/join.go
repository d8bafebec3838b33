package quorum

import (
	"maps"
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
	// leaderHintTimeouts is the number of election timeouts for which a member outside the
	// group believes which leader it was told.
	leaderHintTimeouts = 3
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
	leader, known := c.recentLeaderHint()
	c.helloRounds++
	toAll := !known || c.helloRounds%helloAllRounds == 0
	for _, id := range c.knownIDs() {
		if id != c.cfg.id && (toAll || c.addr(id) == leader) {
			c.sendHello(id)
		}
	}
}

// namedIDs returns the ids that an empty member names to others. A member that may form a
// group names only the initial members, because all of them must name the same ones.
func (c *core) namedIDs() []string {
	if c.cfg.join {
		return c.knownIDs()
	}
	return c.peerIDs()
}

// recordLeaderHint records which leader the sender of a reply to Hello knows.
func (c *core) recordLeaderHint(m *wire.QuorumMessage) {
	if addr, err := netip.ParseAddrPort(m.LeaderAddress); err == nil {
		c.leaderHint, c.leaderHintAt = addr, c.now
	}
}

// recentLeaderHint returns the leader as named by another member; ok is false if none has
// named one lately, or this member is in the group and has to hear from the leader itself.
func (c *core) recentLeaderHint() (addr netip.AddrPort, ok bool) {
	ok = c.leaderHint.IsValid() && c.now.Sub(c.leaderHintAt) < leaderHintTimeouts*c.cfg.electionTimeout &&
		!hasMember(c.members.current(), c.cfg.id, c.cfg.diskID)
	return c.leaderHint, ok
}

// leaderAddr returns the address of the known leader; invalid if it is unknown.
func (c *core) leaderAddr() netip.AddrPort {
	if c.leaderID != "" {
		return c.addr(c.leaderID)
	}
	if addr, ok := c.recentLeaderHint(); ok {
		return addr
	}
	return netip.AddrPort{}
}

// knownIDs returns the sorted ids of all members known to this one.
func (c *core) knownIDs() []string {
	ids := c.settingsIDs()
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
// current disk. A member outside the group learns from it where the group is, even if its
// own seeds do not know.
func (c *core) recordHello(m *wire.QuorumMessage) {
	if m.Kind != wire.MessageKind_MESSAGE_KIND_HELLO || hasMember(c.members.current(), m.From, m.FromDisk) {
		return
	}
	addr, err := netip.ParseAddrPort(m.FromAddress)
	if err != nil {
		return
	}
	if c.empty() && !m.Empty {
		c.knownAddrs[m.From] = addr
	}
	c.setReport(m.From, peerReport{
		diskID: m.FromDisk, empty: m.Empty, group: m.Group, peers: c.reports[m.From].peers, addr: addr,
		zone: m.Zone, region: m.Region, observer: m.Observer, at: c.now,
	})
}

// recordReply records the report in a reply of a peer.
func (c *core) recordReply(m *wire.QuorumMessage) {
	old := c.reports[m.From]
	report := peerReport{
		diskID: m.FromDisk, empty: m.Empty, group: m.Group, addr: old.addr, zone: old.zone, region: old.region,
		observer: old.observer, at: c.now,
	}
	for _, x := range m.Membership.GetMembers() {
		report.peers = append(report.peers, x.Id)
	}
	if m.Kind == wire.MessageKind_MESSAGE_KIND_HELLO {
		report.zone, report.region, report.observer = m.Zone, m.Region, m.Observer
		c.recordLeaderHint(m)
	}
	c.recordAddrs(m.Membership)
	c.setReport(m.From, report)
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
	if addr := c.namedAddr(id); addr.IsValid() {
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

// reportedMember returns a learner with the disk and the place that it has reported.
func (c *core) reportedMember(id string) *wire.Member {
	r := c.reports[id]
	return &wire.Member{Id: id, Address: c.addr(id).String(), DiskId: r.diskID, Zone: r.zone, Region: r.region}
}

// nextJoiner returns the member outside the group that joins it next, as a learner: the one
// where the group has the fewest members. It returns nil if there is none, or the group has
// its maximum number of members or learners.
func (c *core) nextJoiner() *wire.Member {
	voters, learners := countMembers(c.members.current())
	if learners >= maxLearners || voters+learners >= c.cfg.voters+maxLearners {
		return nil
	}
	return leastCrowded(c.members.current(), c.joiners(), c.cfg.tolerance)
}

// joiners returns the members outside the group that may join it, ordered by id.
func (c *core) joiners() (out []*wire.Member) {
	for _, id := range slices.Sorted(maps.Keys(c.reports)) {
		if _, ok := c.joinable(id); ok && findMember(c.members.current(), id) == nil && c.addr(id).IsValid() {
			out = append(out, c.reportedMember(id))
		}
	}
	return out
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

// memberToRemove returns a member to remove; nil if there is none. It is a learner that has
// not answered for long, a voter that has not if a learner has caught up, or one of too
// many voters.
func (c *core) memberToRemove(caughtUp bool) *wire.Member {
	cur := c.members.current()
	for _, m := range cur.Members {
		if caughtUp && m.Voter && c.unresponsiveFor(m, replaceVoterTimeouts) || !m.Voter && c.unresponsiveFor(m, removeLearnerTimeouts) {
			return m
		}
	}
	if voters, _ := countMembers(cur); voters <= c.cfg.voters {
		return nil
	}
	return mostCrowdedVoter(cur, c.cfg.id, c.cfg.tolerance)
}
