package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// tickEmpty forms a group if possible. Only the member with the lowest id that is no
// observer does so: two members that form groups concurrently could list different disk
// identities for a third.
func (c *core) tickEmpty() {
	ids := c.peerIDs()
	if c.blocked || c.cfg.join || len(ids) == 0 {
		return
	}
	founders := c.founders(ids)
	if founders[0] == c.cfg.id && c.allEmpty(ids) {
		c.formGroup(founders)
		return
	}
	if founders[0] != c.cfg.id || c.now.Before(c.formHelloAt) {
		return
	}
	c.formHelloAt = c.now.Add(c.cfg.heartbeat)
	for _, id := range ids {
		if id != c.cfg.id {
			c.sendHello(id)
		}
	}
}

// founders returns the initial members that have a disk as far as is known.
func (c *core) founders(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return c.reports[id].observer })
}

// allEmpty reports whether all initial members have answered within the last
// election timeout, have never belonged to a group and are configured with the
// same initial members.
func (c *core) allEmpty(ids []string) bool {
	for _, id := range ids {
		r := c.reports[id]
		if id == c.cfg.id {
			continue
		}
		if !r.empty || c.now.Sub(r.at) > c.cfg.electionTimeout || !r.observer && !slices.Equal(r.peers, ids) {
			return false
		}
	}
	return true
}

// formGroup creates the first membership, in which the given initial members are voters.
func (c *core) formGroup(ids []string) {
	m := &wire.Membership{}
	for _, id := range ids {
		x := &wire.Member{Id: id, DiskId: c.cfg.diskID, Zone: c.cfg.zone, Region: c.cfg.region}
		if id != c.cfg.id {
			x = c.reportedMember(id)
		}
		x.Address, x.Voter = c.cfg.peers[id].String(), true
		m.Members = append(m.Members, x)
	}
	m.Group = groupID(m.Members)
	c.appendFirstEntry(&wire.LogEntry{Index: 1, Term: 1, Membership: m, UnixMillis: c.unixMillis()})
}

// appendFirstEntry sets the group of an empty member and appends first as its first log entry.
func (c *core) appendFirstEntry(first *wire.LogEntry) {
	c.hard.group, c.hard.term = first.Membership.Group, max(first.Term, c.hard.term)
	c.hardChanged()
	c.appendToLog(first)
	c.electionAt = c.now
	if len(first.Membership.Members) > 1 {
		c.retryElection()
	}
}

// acceptFirstEntry joins the group of m if its first entry lists this member with its
// empty disk.
func (c *core) acceptFirstEntry(m *wire.QuorumMessage) {
	if !c.empty() || m.Kind == wire.MessageKind_MESSAGE_KIND_APPEND || len(m.Entries) == 0 {
		return
	}
	first := m.Entries[0]
	if first.Index == 1 && first.Membership != nil && hasMember(first.Membership, c.cfg.id, c.cfg.diskID) {
		c.appendFirstEntry(proto.CloneOf(first))
	}
}

// firstEntry returns the first log entry, which empty members need to join; nil if it
// was compacted.
func (c *core) firstEntry() []*wire.LogEntry {
	if c.log.base == 0 && len(c.log.entries) > 0 {
		return c.log.entries[:1:1]
	}
	return nil
}

func (c *core) sendHello(id string) {
	m := c.request(wire.MessageKind_MESSAGE_KIND_HELLO, id, nil)
	m.Empty, m.Entries = c.empty(), c.firstEntry()
	m.FromAddress = c.cfg.peers[c.cfg.id].String()
	m.Zone, m.Region, m.Observer = c.cfg.zone, c.cfg.region, c.cfg.observer
	c.out.messages = append(c.out.messages, m)
}

// peerIDs returns the sorted ids of the initial members.
func (c *core) peerIDs() []string {
	ids := make([]string, 0, len(c.cfg.peers))
	for id := range c.cfg.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
