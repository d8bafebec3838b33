package quorum

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

//go:generate stringer -type=role

// role is what a member does in its term.
type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

const (
	// window is the number of appends with entries in flight per member.
	window = 8
	// stashSize bounds the appends that arrived before the ones they follow.
	stashSize = window
	// appendBytes bounds the entries of one append.
	appendBytes = 1 << 20
)

// coreConfig is what does not change while a core lives.
type coreConfig struct {
	id    string
	disk  []byte
	peers map[string]netip.AddrPort
	// voters is the number of voters that the group is to have.
	voters int
	// join says that this member never forms a group, only joins one.
	join bool
	// electionTimeout is the longest time that a leader goes without a majority.
	electionTimeout time.Duration
	heartbeat       time.Duration
	// chunkBytes is the size of one part of a snapshot.
	chunkBytes int
	// random returns a number in [0, n).
	random func(n int64) int64
}

// hardState must be durable before any message that depends on it is sent.
type hardState struct {
	term uint64
	// vote and voteDisk name the candidate that has the vote of term.
	vote     string
	voteDisk []byte
	// group is empty while the data directory has never belonged to a group.
	group []byte
}

// snapshot is the state after the entry at index.
type snapshot struct {
	index uint64
	term  uint64
	// data is an encoded wire.QuorumSnapshot.
	data []byte
	// membership and millis are decoded from data.
	membership *wire.Membership
	millis     int64
}

// newSnapshot decodes data, except for the state of the machine.
func newSnapshot(index, term uint64, data []byte) (*snapshot, error) {
	state := &wire.QuorumSnapshot{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, fmt.Errorf("decode snapshot %d: %w", index, err)
	}
	return &snapshot{
		index: index, term: term, data: data, membership: state.Membership, millis: state.UnixMillis,
	}, nil
}

// machine decodes the state of the machine; the leader keeps only data in memory.
func (s *snapshot) machine() ([]byte, error) {
	state := &wire.QuorumSnapshot{}
	if err := proto.Unmarshal(s.data, state); err != nil {
		return nil, fmt.Errorf("decode snapshot %d: %w", s.index, err)
	}
	return state.Machine, nil
}

// output is what the runner must do after a call of the core, in this order:
// send early, make durable what is to persist, then send messages. Entries to
// apply may be applied at any time, in order.
type output struct {
	// early holds appends of a leader, which do not depend on its own disk.
	early []*wire.QuorumMessage
	// install is a received snapshot, to be restored before commits.
	install *snapshot
	// replaceLog says that the log on disk conflicts with install.
	replaceLog bool
	// truncate is the index from which on entries are removed; 0 for none.
	truncate uint64
	entries  []*wire.LogEntry
	// hard is nil if it has not changed.
	hard *hardState
	// messages may be sent only when all of the above is durable.
	messages []*wire.QuorumMessage
	// commits are to be applied.
	commits []*wire.LogEntry
}

// sighting is what a peer last said about its data directory.
type sighting struct {
	disk  []byte
	empty bool
	group []byte
	// peers are the ids of the initial members in the peer's settings.
	peers []string
	// addr is invalid unless the peer introduced itself.
	addr netip.AddrPort
	at   time.Time
}

// core is the consensus protocol of one member: messages and time in; messages,
// entries to persist and entries to apply out. It is not safe for concurrent use.
type core struct {
	cfg coreConfig
	now time.Time

	role role
	hard hardState
	log  entryLog
	// commit is the highest index known to be committed; never decreases.
	commit uint64
	// applied is the highest index handed out in commits or install.
	applied uint64
	// persisted is the highest index known to be durable here.
	persisted uint64
	members   memberTable
	// snap is the newest snapshot; nil if there is none.
	snap *snapshot
	// blocked says that the disk cannot be written: this member must not lead.
	blocked bool
	// fault is a violation of the protocol that was seen here, such as a second
	// leader in a term; the member must be stopped.
	fault error

	// leaderID is the known leader of the term; empty if unknown.
	leaderID string
	// heard is when a leader was last heard, or the start of the process: what
	// was promised before a restart is not known.
	heard time.Time
	// electionAt is when the next election starts without news from a leader.
	electionAt time.Time
	// votes are the members that granted a (pre-)vote, this one included.
	votes map[string]bool
	// stash holds appends of the current leader that arrived too early.
	stash    []*wire.QuorumMessage
	incoming *incoming

	cold    coldStart
	lead    *leadership
	seen    map[string]sighting
	helloAt time.Time
	// joinAt is when this member introduces itself next, if it hears no leader.
	joinAt time.Time
	// learned holds the addresses of members that other members named.
	learned  map[string]netip.AddrPort
	sequence uint64
	out      output
}

// newCore returns a core that continues from durable state.
func newCore(cfg coreConfig, now time.Time, hard hardState, snap *snapshot, entries []*wire.LogEntry) *core {
	c := &core{cfg: cfg, now: now, hard: hard, heard: now, seen: map[string]sighting{}, learned: map[string]netip.AddrPort{}}
	if snap != nil {
		c.snap = snap
		c.log.reset(snap.index, snap.term, snap.millis)
		c.commit, c.applied = snap.index, snap.index
		c.members.add(snap.index, snap.membership)
	}
	for _, e := range entries {
		c.log.append(e)
		if e.Membership != nil {
			c.members.add(e.Index, e.Membership)
		}
	}
	c.persisted = c.log.last()
	if t := c.log.lastTerm(); t > c.hard.term {
		// Entries are written before the hard state; no vote of this term was sent.
		c.hard.term, c.hard.vote, c.hard.voteDisk = t, "", nil
	}
	if len(c.hard.group) == 0 {
		c.hard.group = c.members.current().Group
	}
	c.resetElection()
	c.beginCold()
	if c.voter() && c.quorumSize() == 1 {
		c.electionAt = now // Nobody else can have promised anything.
	}
	return c
}

// take returns and clears what the calls since the last take produced.
func (c *core) take() output {
	if c.commit > c.applied {
		c.out.commits = c.log.entries[c.applied-c.log.base : c.commit-c.log.base]
		c.applied = c.commit
	}
	out := c.out
	c.out = output{}
	return out
}

// empty says that the data directory has never belonged to a group.
func (c *core) empty() bool { return len(c.hard.group) == 0 }

// voter says whether this member with this disk may take part in elections.
func (c *core) voter() bool {
	m := findMember(c.members.current(), c.cfg.id)
	return m != nil && m.Voter && bytes.Equal(m.DiskId, c.cfg.disk)
}

// sticky is how long a member that heard a leader helps no other candidate. It
// is longer than the leader's own limit by more than clocks drift apart in it.
func (c *core) sticky() time.Duration {
	return c.cfg.electionTimeout + c.cfg.electionTimeout/8
}

func (c *core) resetElection() {
	t := c.cfg.electionTimeout
	c.electionAt = c.now.Add(c.sticky() + time.Duration(c.cfg.random(int64(t))))
}

// retryElection sets the time of the next attempt after an election that may fail.
func (c *core) retryElection() {
	t := c.cfg.electionTimeout
	c.electionAt = c.now.Add(t/2 + time.Duration(c.cfg.random(int64(t))))
}

func (c *core) hardChanged() {
	h := c.hard
	c.out.hard = &h
}

// tick advances the clock to now. It must be called before other calls
// whenever time has passed, so that a leader that was paused steps down first.
func (c *core) tick(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	if c.role == leader {
		c.tickLeader()
		return
	}
	c.introduce()
	if c.empty() {
		c.tickEmpty()
		return
	}
	if c.now.Before(c.electionAt) {
		c.tickCold()
		return
	}
	if c.blocked || !c.voter() {
		c.resetElection()
		return
	}
	c.startPreVote()
}

// step handles one message and returns the reply if it is a request. The reply
// may be sent only when the output of this call is durable.
func (c *core) step(now time.Time, m *wire.QuorumMessage) *wire.QuorumMessage {
	c.tick(now)
	if m.Reply {
		c.stepReply(m)
		return nil
	}
	r := c.message(m.Kind, m.From, m.FromDisk)
	r.Reply, r.Sequence, r.Round = true, m.Sequence, m.Round
	if m.To == c.cfg.id && c.sameGroup(m) && contiguous(m) {
		c.meet(m)
		c.adopt(m)
		c.stepRequest(m, r)
	}
	if r.Term == 0 {
		r.Term = c.hard.term
	}
	r.Empty, r.Group = c.empty(), c.hard.group
	if m.Kind == wire.MessageKind_MESSAGE_KIND_HELLO && !r.Empty {
		r.Membership = proto.CloneOf(c.members.current())
	}
	if r.Empty {
		r.Membership = &wire.Membership{}
		for _, id := range c.peerIDs() {
			r.Membership.Members = append(r.Membership.Members, &wire.Member{Id: id})
		}
	}
	return r
}

// contiguous says that the entries of an append follow each other and what the
// message says is before them.
func contiguous(m *wire.QuorumMessage) bool {
	if m.Kind != wire.MessageKind_MESSAGE_KIND_APPEND {
		return true
	}
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(i) {
			return false
		}
	}
	return true
}

func (c *core) stepRequest(m, r *wire.QuorumMessage) {
	if m.Kind == wire.MessageKind_MESSAGE_KIND_HELLO || !bytes.Equal(m.ToDisk, c.cfg.disk) {
		// A message for another disk identity is answered with this one.
		return
	}
	switch m.Kind {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.stepPreVote(m, r)
	case wire.MessageKind_MESSAGE_KIND_VOTE:
		c.stepVote(m, r)
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		c.stepAppend(m, r)
	case wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.stepSnapshot(m, r)
	case wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if m.Term == c.hard.term && c.role == follower && c.voter() && !c.blocked {
			r.Accepted = true
			c.startVote(voteTransfer)
		}
	}
}

func (c *core) stepReply(m *wire.QuorumMessage) {
	if m.To != c.cfg.id || !bytes.Equal(m.ToDisk, c.cfg.disk) {
		return
	}
	saw := sighting{disk: m.FromDisk, empty: m.Empty, group: m.Group, addr: c.seen[m.From].addr, at: c.now}
	for _, x := range m.Membership.GetMembers() {
		saw.peers = append(saw.peers, x.Id)
	}
	c.learn(m.Membership)
	c.seen[m.From] = saw
	if m.Empty && coldReply(m) {
		c.stepColdReply(m)
	}
	if !names(c.members.current(), m.From, m.FromDisk) || !c.sameGroup(m) || m.Empty {
		return
	}
	if m.Term > c.hard.term && (m.Kind != wire.MessageKind_MESSAGE_KIND_PRE_VOTE || !m.Accepted) {
		c.becomeFollower(m.Term, "")
		return
	}
	switch m.Kind {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE, wire.MessageKind_MESSAGE_KIND_VOTE:
		c.stepVoteReply(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		c.stepAppendReply(m)
	case wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.stepSnapshotReply(m)
	}
}

// sameGroup says that m does not come from a member of another group.
func (c *core) sameGroup(m *wire.QuorumMessage) bool {
	return len(m.Group) == 0 || c.empty() || bytes.Equal(m.Group, c.hard.group)
}

// message returns a message of this term to a peer.
func (c *core) message(kind wire.MessageKind, to string, toDisk []byte) *wire.QuorumMessage {
	return &wire.QuorumMessage{
		Protocol: link.Protocol, Kind: kind, Group: c.hard.group,
		From: c.cfg.id, FromDisk: c.cfg.disk, To: to, ToDisk: toDisk,
	}
}

// request returns a request of this term with a number of its own.
func (c *core) request(kind wire.MessageKind, to string, toDisk []byte) *wire.QuorumMessage {
	m := c.message(kind, to, toDisk)
	c.sequence++
	m.Sequence, m.Term = c.sequence, c.hard.term
	return m
}

// store appends entries to the log and to the output.
func (c *core) store(entries ...*wire.LogEntry) {
	c.log.append(entries...)
	c.out.entries = append(c.out.entries, entries...)
	for _, e := range entries {
		if e.Membership != nil {
			c.members.add(e.Index, e.Membership)
		}
	}
}

// durable reports that the entries up to index, the last one of term, are on disk.
func (c *core) durable(now time.Time, index, term uint64) {
	c.tick(now)
	if t, ok := c.log.term(index); !ok || t != term {
		return // Truncated or replaced meanwhile.
	}
	c.persisted = max(c.persisted, index)
	if c.role == leader {
		c.advanceCommit()
	}
}

// setBlocked reports whether the disk can be written.
func (c *core) setBlocked(blocked bool) {
	c.blocked = blocked || c.fault != nil
	if blocked && c.role != follower {
		c.becomeFollower(c.hard.term, "")
	}
}

// broken notes a violation of the protocol; this member takes part no longer.
func (c *core) broken(format string, args ...any) {
	if c.fault == nil {
		c.fault = fmt.Errorf("protocol violated: "+format, args...)
	}
	c.setBlocked(true)
}

// tickEmpty forms a group. Only the member with the lowest id does so, because
// two members that form groups at once could name different disks of a third.
func (c *core) tickEmpty() {
	ids := c.peerIDs()
	if len(ids) == 0 || ids[0] != c.cfg.id || c.blocked || c.cfg.join {
		return
	}
	if c.allEmpty(ids) {
		c.form(ids)
		return
	}
	if c.now.Before(c.helloAt) {
		return
	}
	c.helloAt = c.now.Add(c.cfg.heartbeat)
	for _, id := range ids {
		if id != c.cfg.id {
			c.sendHello(id)
		}
	}
}

// allEmpty says that all initial members answered within the last election
// timeout, have never belonged to a group and name the same initial members.
func (c *core) allEmpty(ids []string) bool {
	for _, id := range ids {
		s := c.seen[id]
		if id == c.cfg.id {
			continue
		}
		if !s.empty || c.now.Sub(s.at) > c.cfg.electionTimeout || !slices.Equal(s.peers, ids) {
			return false
		}
	}
	return true
}

func (c *core) form(ids []string) {
	m := &wire.Membership{}
	for _, id := range ids {
		disk := c.cfg.disk
		if id != c.cfg.id {
			disk = c.seen[id].disk
		}
		m.Members = append(m.Members, &wire.Member{
			Id: id, Address: c.cfg.peers[id].String(), DiskId: disk, Voter: true,
		})
	}
	m.Group = groupID(m.Members)
	c.join(&wire.LogEntry{Index: 1, Term: 1, Membership: m, UnixMillis: c.now.UnixMilli()})
}

// join makes first the first entry of an empty member.
func (c *core) join(first *wire.LogEntry) {
	c.hard.group, c.hard.term = first.Membership.Group, max(first.Term, c.hard.term)
	c.hardChanged()
	c.store(first)
	c.electionAt = c.now
	if len(first.Membership.Members) > 1 {
		c.retryElection()
	}
}

// adopt joins the group of m if its first entry names this empty disk.
func (c *core) adopt(m *wire.QuorumMessage) {
	if !c.empty() || m.Kind == wire.MessageKind_MESSAGE_KIND_APPEND || len(m.Entries) == 0 {
		return
	}
	first := m.Entries[0]
	if first.Index == 1 && first.Membership != nil && names(first.Membership, c.cfg.id, c.cfg.disk) {
		c.join(proto.CloneOf(first))
	}
}

// firstEntry returns the first entry of the log for members that have not got it.
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
	c.out.messages = append(c.out.messages, m)
}

// peerIDs returns the ids of the initial members in order.
func (c *core) peerIDs() []string {
	ids := make([]string, 0, len(c.cfg.peers))
	for id := range c.cfg.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
