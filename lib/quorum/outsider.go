package quorum

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// An outsider is an instance that is not in the group but has to know where it is: an observer, or a
// member that is to join. One that has lost its memory may know only others like it, so the leader
// tells each outsider that its settings name or that it remembers.

const (
	// maxReports bounds the peers whose last report a member keeps. Members and those that the settings
	// name are never forgotten.
	maxReports = 64
	// maxOutsiders bounds the observers to which a leader says Hello although its settings do not
	// name them, and outsiderMemory the time since they were last heard from.
	maxOutsiders   = 16
	outsiderMemory = 10 * time.Minute
	// helloAllRounds is the number of rounds of Hello of which one goes to all known members, and
	// not only to the leader, so that the next leader knows this instance as well.
	helloAllRounds = 10
)

// setSeeds replaces the instances that the settings name. The initial members, which form a group,
// stay those of the start.
func (c *core) setSeeds(seeds map[string]netip.AddrPort) { c.seeds = maps.Clone(seeds) }

// named reports whether the settings name this instance, now or at the start.
func (c *core) named(id string) bool {
	_, now := c.seeds[id]
	_, first := c.cfg.peers[id]
	return now || first
}

// namedAddr returns the address of an instance in the settings; invalid if they do not name it.
func (c *core) namedAddr(id string) netip.AddrPort {
	if addr, ok := c.seeds[id]; ok {
		return addr
	}
	return c.cfg.peers[id]
}

// settingsIDs returns the sorted ids of the instances that the settings name, now or at the start.
func (c *core) settingsIDs() []string {
	ids := slices.AppendSeq(c.peerIDs(), maps.Keys(c.seeds))
	slices.Sort(ids)
	return slices.Compact(ids)
}

// outsiders returns the sorted ids of the outsiders to which this leader says Hello.
func (c *core) outsiders() []string {
	cur := c.members.current()
	ids := slices.Concat(c.settingsIDs(), c.rememberedObservers())
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == c.cfg.id || findMember(cur, id) != nil })
	slices.Sort(ids)
	return slices.Compact(ids)
}

// rememberedObservers returns the observers that this member has heard from lately, the latest first.
func (c *core) rememberedObservers() []string {
	var ids []string
	for id, r := range c.reports {
		if r.observer && r.addr.IsValid() && c.now.Sub(r.at) < outsiderMemory {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(c.reports[b].at.Compare(c.reports[a].at), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), maxOutsiders)]
}

// setReport records what a peer has reported. Beyond maxReports, the oldest report of a peer that is
// no member and that the settings do not name makes room.
func (c *core) setReport(id string, r peerReport) {
	c.reports[id] = r
	if len(c.reports) <= maxReports {
		return
	}
	var oldest string
	cur := c.members.current()
	for other, x := range c.reports {
		if other == id || c.named(other) || findMember(cur, other) != nil {
			continue
		}
		if oldest == "" || x.at.Before(c.reports[oldest].at) {
			oldest = other
		}
	}
	delete(c.reports, oldest)
}

// tellOutsiders tells the outsiders where the group is, when that is due.
func (c *core) tellOutsiders() {
	if c.now.Before(c.joinHelloAt) {
		return
	}
	c.joinHelloAt = c.now.Add(joinHelloHeartbeats * c.cfg.heartbeat)
	for _, id := range c.outsiders() {
		c.sendHello(id)
	}
}
