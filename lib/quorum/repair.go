package quorum

import (
	"time"

	"bulrushpath.example/lib/wire"
)

// growTimeouts is the number of election timeouts for which acknowledgements wait for
// missing voters. A group that cannot be completed in that time has to serve as it is.
const growTimeouts = 10

// repairMembership keeps the group at its number of voters and its voters spread over
// zones, one membership change at a time. A member that lost its disk is removed under its
// old disk identity. A new disk identity or a new member is added as learner. It becomes a
// voter when it has caught up and a voter is missing or stands in a more crowded place. A
// voter that has not answered for long is removed if a learner has caught up.
func (c *core) repairMembership() {
	c.recordShortage()
	if c.lead.transferTarget != "" || c.commit < c.lead.firstIndex || c.members.index() > c.commit {
		return
	}
	cur := c.members.current()
	if m := c.lostDisk(); m != nil {
		c.propose(nil, withoutMember(cur, m.Id))
		return
	}
	if m := c.movedMember(); m != nil {
		c.propose(nil, withMember(cur, m))
		return
	}
	if m := c.nextJoiner(); m != nil {
		c.propose(nil, withMember(cur, m))
		return
	}
	learners := c.caughtUpLearners()
	if m := c.nextVoter(learners); m != nil {
		c.propose(nil, withMember(cur, asVoter(m)))
		return
	}
	if m := c.learnerInTheWay(); m != nil {
		c.propose(nil, withoutMember(cur, m.Id))
		return
	}
	if m := c.memberToRemove(len(learners) > 0); m != nil {
		c.propose(nil, withoutMember(cur, m.Id))
	}
}

// lostDisk returns a member that has reported another disk identity and does not answer
// under its old one; nil if there is none.
func (c *core) lostDisk() *wire.Member {
	for _, m := range c.members.current().Members {
		p := c.lead.peers[m.Id]
		if p == nil || c.now.Sub(p.ackedAt) < c.cfg.electionTimeout {
			continue
		}
		if r, ok := c.joinable(m.Id); ok && !sameID(r.diskID, m.DiskId) {
			return m
		}
	}
	return nil
}

// movedMember returns a member with the zone and region that it has reported, if the
// membership has others or none. Members of groups from earlier versions have none.
func (c *core) movedMember() *wire.Member {
	for _, m := range c.members.current().Members {
		zone, region, known := c.reportedPlace(m)
		if !known || zone == m.Zone && region == m.Region {
			continue
		}
		moved := asVoter(m)
		moved.Voter, moved.Zone, moved.Region = m.Voter, zone, region
		return moved
	}
	return nil
}

// reportedPlace returns the zone and region that a member has reported; ok is false if it
// has reported none.
func (c *core) reportedPlace(m *wire.Member) (zone, region string, ok bool) {
	if m.Id == c.cfg.id {
		return c.cfg.zone, c.cfg.region, c.cfg.zone != ""
	}
	r := c.reports[m.Id]
	return r.zone, r.region, r.zone != "" && sameID(r.diskID, m.DiskId)
}

// askPlaces sends Hello to the members whose zone is unknown.
func (c *core) askPlaces() {
	if c.cfg.zone == "" || c.now.Before(c.lead.askPlacesAt) {
		return
	}
	c.lead.askPlacesAt = c.now.Add(c.cfg.electionTimeout)
	for _, m := range c.members.current().Members {
		if m.Zone == "" && m.Id != c.cfg.id {
			c.sendHello(m.Id)
		}
	}
}

// asVoter returns a copy of m that is a voter.
func asVoter(m *wire.Member) *wire.Member {
	return &wire.Member{Id: m.Id, Address: m.Address, DiskId: m.DiskId, Zone: m.Zone, Region: m.Region, Voter: true}
}

// nextVoter returns the learner that becomes a voter now; nil if there is none. An even
// number of voters bears no more than the odd one below it, so the number grows by two.
func (c *core) nextVoter(learners []*wire.Member) *wire.Member {
	cur := c.members.current()
	best := leastCrowded(cur, learners, c.cfg.tolerance)
	if best == nil {
		return nil
	}
	voters, _ := countMembers(cur)
	switch {
	case voters < c.cfg.voters && len(learners) >= missingToOdd(voters):
		return best
	case voters == c.cfg.voters && !c.cfg.tolerance.bears(cur) && spreadsBetter(cur, best, c.cfg.id, c.cfg.tolerance):
		return best
	}
	return nil
}

// learnerInTheWay returns a learner to remove, because there is no room for another one that
// would spread the voters better than any learner does; nil if there is none.
func (c *core) learnerInTheWay() *wire.Member {
	cur, t := c.members.current(), c.cfg.tolerance
	if _, learners := countMembers(cur); learners < maxLearners || t.bears(cur) {
		return nil
	}
	joiner := leastCrowded(cur, c.joiners(), t)
	if joiner == nil || !spreadsBetter(cur, joiner, c.cfg.id, t) {
		return nil
	}
	var worst *wire.Member
	for _, m := range cur.Members {
		switch {
		case m.Voter:
		case !crowdingAt(cur, joiner, true, t).less(crowdingAt(cur, m, true, t)):
			return nil
		case worst == nil || crowdingAt(cur, worst, true, t).less(crowdingAt(cur, m, true, t)):
			worst = m
		}
	}
	return worst
}

// missingToOdd returns how many voters are missing to the next odd number.
func missingToOdd(voters int) int { return 1 + voters%2 }

// caughtUpLearners returns the reachable learners whose logs reach the end that the log of
// this leader had at the previous call. Calls are at least one heartbeat apart.
func (c *core) caughtUpLearners() (out []*wire.Member) {
	for _, m := range c.members.current().Members {
		p := c.lead.peers[m.Id]
		if p == nil || m.Voter || c.now.Sub(p.ackedAt) >= c.cfg.electionTimeout {
			continue
		}
		caughtUp := p.catchUpIndex > 0 && p.match >= p.catchUpIndex
		p.catchUpIndex = c.log.last()
		if caughtUp {
			out = append(out, m)
		}
	}
	return out
}

// recordShortage records since when the group has too few voters or bears too little.
func (c *core) recordShortage() {
	switch {
	case !c.short():
		c.lead.shortSince = time.Time{}
	case c.lead.shortSince.IsZero():
		c.lead.shortSince = c.now
	}
}

// short reports whether the group has too few voters or bears less than it has to.
func (c *core) short() bool {
	voters, _ := countMembers(c.members.current())
	return voters < c.cfg.voters || !c.cfg.tolerance.bears(c.members.current())
}

// updateGrowing records whether acknowledgements should wait for missing voters.
func (c *core) updateGrowing() { c.lead.growing = c.isGrowing() }

// growing reports whether acknowledgements should wait, as of the last heartbeat.
func (c *core) growing() bool { return c.role == leader && c.lead.growing }

// isGrowing reports whether the group is short of voters that are about to be added. A loss
// that the group must bear could still take what is committed now.
func (c *core) isGrowing() bool {
	if !c.short() {
		return false
	}
	if since := c.lead.shortSince; !since.IsZero() && c.now.Sub(since) >= growTimeouts*c.cfg.electionTimeout {
		return false
	}
	if c.now.Sub(c.lead.since) < replaceVoterTimeouts*c.cfg.electionTimeout {
		return true // Members that can be added may not have reached this leader yet.
	}
	return c.canGrow()
}

// canGrow reports whether learners and members outside the group suffice for the next odd
// number of voters, or spread the voters better.
func (c *core) canGrow() bool {
	cur := c.members.current()
	candidates := c.joiners()
	for _, m := range cur.Members {
		if !m.Voter {
			candidates = append(candidates, m)
		}
	}
	if voters, _ := countMembers(cur); voters < c.cfg.voters {
		return len(candidates) >= missingToOdd(voters)
	}
	best := leastCrowded(cur, candidates, c.cfg.tolerance)
	return best != nil && spreadsBetter(cur, best, c.cfg.id, c.cfg.tolerance)
}

// joinable returns the last report of a peer and whether it is recent and the peer may
// join this group: its disk is empty or belongs to the group.
func (c *core) joinable(id string) (peerReport, bool) {
	r, ok := c.reports[id]
	if !ok || c.now.Sub(r.at) >= 2*c.cfg.electionTimeout {
		return peerReport{}, false
	}
	return r, !r.observer && (r.empty || sameID(r.group, c.hard.group))
}
