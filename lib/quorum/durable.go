package quorum

import (
	"time"

	"bulrushpath.example/lib/wire"
)

// entriesDurable records that the entries up to index, whose last one is of term, are on disk.
func (c *core) entriesDurable(now time.Time, index, term uint64) {
	c.tick(now)
	if t, ok := c.log.term(index); !ok || t != term {
		return // The entry was truncated or replaced during the write.
	}
	c.persisted = max(c.persisted, index)
	if c.role == leader {
		c.advanceCommit()
	}
}

// termDurable records that a hard state with the given term is on disk.
func (c *core) termDurable(now time.Time, term uint64) {
	c.tick(now)
	before := c.termIsDurable()
	c.durableTerm = max(c.durableTerm, term)
	if c.role == leader && !before && c.termIsDurable() {
		c.heartbeat()
		c.send()
	}
}

// termIsDurable reports whether the current term is on disk. A leader sends nothing before:
// the only voter, which needs no vote of others, could otherwise lead the same term again
// after a restart, with other entries.
func (c *core) termIsDurable() bool { return c.durableTerm >= c.hard.term }

// replyNeedsNoWrite reports whether the reply r to m depends on nothing that has yet to
// become durable. Heartbeats and pre-votes are answered at once then, so that a member with
// a slow disk does not look like a lost one. It must be called before takeOutput.
func (c *core) replyNeedsNoWrite(m, r *wire.QuorumMessage) bool {
	o := &c.out
	if o.hard != nil || o.install != nil || o.truncate != 0 || len(o.entries) > 0 || !c.termIsDurable() {
		return false
	}
	switch m.Kind {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		return len(m.Entries) == 0 && r.Accepted && r.LastIndex == m.PrevIndex && r.LastIndex <= c.persisted
	}
	return false
}

// setBlocked records whether writes to the disk fail; a leader or candidate steps down
// if they do. After a fault the member stays blocked.
func (c *core) setBlocked(blocked bool) {
	c.blocked = blocked || c.fault != nil
	if blocked && c.role != follower {
		c.becomeFollower(c.hard.term, "")
	}
}

// setFull records whether the disk has no room for commands. A member without room votes, and
// leads if no other one does.
func (c *core) setFull(full bool) {
	if full && !c.full && c.role != follower {
		c.becomeFollower(c.hard.term, "")
	}
	c.full = full
	if !full && c.role == follower && c.leaderID == "" {
		c.resetElection()
	}
}

// dropUnpersisted removes the entries that are neither on disk nor committed, as a crash would;
// durable is the index of the last entry on disk. This member has acknowledged none of them. It
// returns the index of the last entry that is kept.
//
// Committed entries stay: the member has applied them, and its answers to snapshots and hints
// refer to its commit index.
func (c *core) dropUnpersisted(durable uint64) uint64 {
	if c.role != follower {
		c.becomeFollower(c.hard.term, "")
	}
	keep := max(durable, c.commit, c.log.base)
	if keep < c.log.last() {
		c.log.truncate(keep + 1)
		c.members.truncate(keep + 1)
	}
	c.persisted = min(c.persisted, keep)
	c.buffered = nil
	return keep
}

// needsRoom reports whether a request carries commands that are not in the log, or a part of a
// snapshot.
func (c *core) needsRoom(m *wire.QuorumMessage) bool {
	if m.Kind == wire.MessageKind_MESSAGE_KIND_SNAPSHOT {
		return true
	}
	for _, e := range m.Entries {
		if t, found := c.log.term(e.Index); e.Command != nil && e.Index > c.log.base && (!found || t != e.Term) {
			return true
		}
	}
	return false
}
