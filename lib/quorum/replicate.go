package quorum

import (
	"time"

	"bulrushpath.example/lib/wire"
)

// expireInflight treats requests unanswered for 4 election timeouts as lost; their
// entries are sent again.
func (c *core) expireInflight() {
	for _, p := range c.lead.peers {
		for seq, f := range p.inflight {
			if c.now.Sub(f.sent) >= 4*c.cfg.electionTimeout {
				c.dropRequest(p, seq)
			}
		}
	}
}

// requestFailed records that the request with the given sequence number to a peer got
// no answer.
func (c *core) requestFailed(now time.Time, to string, sequence uint64) {
	c.tick(now)
	if c.role != leader {
		return
	}
	if p := c.lead.peers[to]; p != nil {
		c.dropRequest(p, sequence)
	}
}

// requestRefused is requestFailed for a peer that has answered that its disk cannot be written.
func (c *core) requestRefused(now time.Time, to string, sequence uint64) {
	c.requestFailed(now, to, sequence)
	if c.role == leader {
		c.lead.refusedAt = c.now
	}
}

// dropRequest removes an unanswered request; the entries of an append are sent again.
func (c *core) dropRequest(p *progress, sequence uint64) {
	f, ok := p.inflight[sequence]
	if !ok {
		return
	}
	delete(p.inflight, sequence)
	if f.last > f.prev {
		p.restart(p.match + 1)
	}
}

// restart makes the leader send again from next on, one append at a time until one is
// accepted.
func (p *progress) restart(next uint64) {
	p.next, p.probing = max(next, p.match+1), true
	for seq, f := range p.inflight {
		if f.last > f.prev {
			delete(p.inflight, seq)
		}
	}
}

// inflightAppends returns the number of unanswered appends with entries.
func (p *progress) inflightAppends() (n int) {
	for _, f := range p.inflight {
		if f.last > f.prev {
			n++
		}
	}
	return n
}

// heartbeat sends an empty append to all members, and from time to time Hello to the outsiders.
func (c *core) heartbeat() {
	if !c.termIsDurable() {
		return
	}
	cur := c.members.current()
	for _, m := range cur.Members {
		p := c.lead.peers[m.Id]
		if p == nil {
			continue
		}
		// The member is known to have the entry at match, so it accepts the append. If that
		// entry was compacted, index 0 is sent, which precedes every log.
		prev := p.match
		term, ok := c.log.term(prev)
		if !ok {
			prev, term = 0, 0
		}
		c.sendAppend(m.Id, p, prev, term, nil)
	}
	c.tellOutsiders()
}

// send sends each member as many entries as its window allows.
func (c *core) send() {
	if !c.termIsDurable() {
		return
	}
	for _, m := range c.members.current().Members {
		if p := c.lead.peers[m.Id]; p != nil {
			c.sendTo(m.Id, p)
		}
	}
	if c.lead.transferTarget != "" {
		c.sendTimeoutNow()
	}
}

func (c *core) sendTo(id string, p *progress) {
	n := p.inflightAppends()
	if n == 0 && !p.probing && p.next > p.match+1 {
		// All requests were answered, but some entries were not accepted.
		p.restart(p.match + 1)
	}
	for p.next <= c.log.last() {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok {
			c.sendChunk(id, p)
			return
		}
		p.snap = nil
		if n >= maxInflightAppends || p.probing && n > 0 {
			return
		}
		entries := c.log.slice(p.next, maxAppendBytes)
		c.sendAppend(id, p, p.next-1, prevTerm, entries)
		n++
		if p.probing {
			return
		}
		p.next += uint64(len(entries))
	}
}

func (c *core) sendAppend(id string, p *progress, prev, prevTerm uint64, entries []*wire.LogEntry) {
	m := c.request(wire.MessageKind_MESSAGE_KIND_APPEND, id, p.diskID)
	m.PrevIndex, m.PrevTerm, m.Entries = prev, prevTerm, entries
	m.Commit, m.Round = c.commit, c.lead.round
	p.inflight[m.Sequence] = inflightRequest{sent: c.now, prev: prev, last: prev + uint64(len(entries))}
	c.out.immediate = append(c.out.immediate, m)
}

// sendChunk sends the next chunk of a snapshot to a member whose next entry is no
// longer in the log. There is one chunk in flight at a time.
func (c *core) sendChunk(id string, p *progress) {
	for _, f := range p.inflight {
		if f.chunk {
			return
		}
	}
	if p.snap == nil {
		p.snap, p.offset = c.snap, 0
	}
	end := min(p.offset+c.cfg.chunkBytes, len(p.snap.data))
	m := c.request(wire.MessageKind_MESSAGE_KIND_SNAPSHOT, id, p.diskID)
	m.LastIndex, m.LastTerm = p.snap.index, p.snap.term
	m.Snapshot, m.SnapshotOffset = p.snap.data[p.offset:end], uint64(p.offset)
	m.SnapshotDone, m.Round = end == len(p.snap.data), c.lead.round
	p.inflight[m.Sequence] = inflightRequest{sent: c.now, chunk: true}
	c.out.immediate = append(c.out.immediate, m)
}

// acknowledge records that a member has answered a request of this term; ok is false
// if the reply must be ignored.
func (c *core) acknowledge(m *wire.QuorumMessage) (p *progress, f inflightRequest, ok bool) {
	if c.role != leader || m.Term != c.hard.term {
		return nil, inflightRequest{}, false
	}
	p = c.lead.peers[m.From]
	if p == nil || !sameID(p.diskID, m.FromDisk) {
		return nil, inflightRequest{}, false
	}
	f, known := p.inflight[m.Sequence]
	delete(p.inflight, m.Sequence)
	if known && f.sent.After(p.ackedAt) {
		p.ackedAt = f.sent
		c.updateQuorumContact()
	}
	p.round = max(p.round, m.Round)
	return p, f, known || m.Accepted
}

func (c *core) stepAppendReply(m *wire.QuorumMessage) {
	p, f, ok := c.acknowledge(m)
	if !ok {
		return
	}
	if !m.Accepted {
		c.appendRejected(p, f, m.HintIndex)
		c.send()
		return
	}
	if m.LastIndex > p.match {
		p.match = m.LastIndex
		c.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	if f.last > f.prev {
		p.probing = false
	}
	c.send()
}

// appendRejected handles an append that did not match the log of the member.
func (c *core) appendRejected(p *progress, f inflightRequest, hint uint64) {
	for _, g := range p.inflight {
		if g.prev+1 <= hint && hint <= g.last {
			return // The missing entries are in flight.
		}
	}
	p.restart(min(hint, max(f.prev, 1)))
}

func (c *core) stepSnapshotReply(m *wire.QuorumMessage) {
	p, _, ok := c.acknowledge(m)
	if !ok || p.snap == nil || p.snap.index != m.LastIndex {
		return
	}
	switch {
	case m.Accepted && m.SnapshotDone:
		p.snap = nil
		p.match = max(p.match, m.LastIndex)
		p.next, p.probing = p.match+1, true
		c.advanceCommit()
	case m.SnapshotOffset <= uint64(len(p.snap.data)):
		p.offset = int(m.SnapshotOffset)
	}
	c.send()
}
