package quorum

import "bulrushpath.example/lib/wire"

// acceptLeader accepts the sender of m as leader. It returns false if the term of m is
// outdated. If this member leads that term, it sets a fault and returns false.
func (c *core) acceptLeader(m *wire.QuorumMessage) bool {
	if m.Term < c.hard.term {
		return false
	}
	if c.role == leader && m.Term == c.hard.term {
		c.setFault("%s and this member both lead term %d", m.From, m.Term)
		return false
	}
	if c.empty() {
		c.hard.group = m.Group
		c.hardChanged()
	}
	c.leaderTerm = m.Term
	c.becomeFollower(m.Term, m.From)
	c.lastContact = c.now
	c.endColdStart()
	return true
}

func (c *core) stepAppend(m, r *wire.QuorumMessage) {
	if !c.acceptLeader(m) {
		return
	}
	end, ok := c.acceptEntries(m)
	if !ok {
		r.HintIndex = c.nextIndexHint(m.PrevIndex)
		if m.PrevIndex > c.log.last() && len(c.buffered) < maxBufferedAppends && len(m.Entries) > 0 {
			// Concurrent requests may arrive out of order.
			c.buffered = append(c.buffered, m)
		}
		return
	}
	end = c.drainBuffered(end)
	r.Accepted, r.LastIndex = true, end
	if to := min(m.Commit, end); to > c.commit {
		c.commit = to
	}
}

// acceptEntries appends the entries of m and returns the last index that is now known
// to match the log of the leader; ok is false if the entry before them is missing
// or differs.
func (c *core) acceptEntries(m *wire.QuorumMessage) (end uint64, ok bool) {
	end = m.PrevIndex + uint64(len(m.Entries))
	if m.PrevIndex >= c.log.base {
		if t, found := c.log.term(m.PrevIndex); !found || t != m.PrevTerm {
			return 0, false
		}
	}
	for i, e := range m.Entries {
		if e.Index <= c.log.base {
			continue // The entry is committed and part of the snapshot.
		}
		t, found := c.log.term(e.Index)
		if found && t == e.Term {
			continue
		}
		if found && e.Index <= c.commit {
			c.setFault("leader %s overwrites committed entry %d", m.From, e.Index)
			return 0, false
		}
		if found {
			c.truncateFrom(e.Index)
		}
		c.appendToLog(m.Entries[i:]...)
		break
	}
	return end, true
}

// truncateFrom removes the entries from index on, which conflict with those of the leader.
func (c *core) truncateFrom(index uint64) {
	c.log.truncate(index)
	c.members.truncate(index)
	c.persisted = min(c.persisted, index-1)
	c.out.truncate = index
}

// drainBuffered handles the buffered appends that no longer have a gap before them, and
// returns the new end.
func (c *core) drainBuffered(end uint64) uint64 {
	for again := true; again; {
		again = false
		for i, m := range c.buffered {
			if m.Term != c.hard.term || m.PrevIndex > end {
				continue
			}
			c.buffered = append(c.buffered[:i:i], c.buffered[i+1:]...)
			if to, ok := c.acceptEntries(m); ok {
				end = max(end, to)
			}
			again = true
			break
		}
	}
	return end
}

// nextIndexHint returns the index from which the leader should send after an append
// with prev was rejected. It skips all entries of the conflicting term at once.
func (c *core) nextIndexHint(prev uint64) uint64 {
	if prev > c.log.last() {
		return c.log.last() + 1
	}
	t, _ := c.log.term(prev)
	for prev > c.commit+1 {
		if before, ok := c.log.term(prev - 1); !ok || before != t {
			break
		}
		prev--
	}
	return max(prev, c.commit+1)
}
