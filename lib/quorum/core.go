package quorum

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

//go:generate stringer -type=role

// role is the role of a member in its current term.
type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

const (
	// maxInflightAppends bounds the appends with entries in flight to one member.
	maxInflightAppends = 8
	// maxBufferedAppends bounds the appends that are kept until their predecessors arrive.
	maxBufferedAppends = maxInflightAppends
	// maxAppendBytes bounds the size of the entries in one append.
	maxAppendBytes = 1 << 20
)

// coreConfig holds the settings of a core; they do not change during its lifetime.
type coreConfig struct {
	id     string
	diskID []byte
	// peers holds the addresses of the initial members.
	peers map[string]netip.AddrPort
	// voters is the intended number of voters.
	voters int
	// tolerance is the loss that the group must bear.
	tolerance Tolerance
	// zone and region are those of this member; empty if unknown.
	zone, region string
	// join is set if this member may only join an existing group, never form one.
	join bool
	// observer is set if this member has no disk: it sends Hello to learn who leads.
	observer bool
	// electionTimeout is the time without contact to a majority after which a leader steps down.
	electionTimeout time.Duration
	heartbeat       time.Duration
	// chunkBytes is the size of one snapshot chunk.
	chunkBytes int
	// unixMillis returns the time of day; nil for that of the clock passed to the core.
	unixMillis func() int64
	// random returns a number in [0, n).
	random func(n int64) int64
}

// hardState is the state that must be durable before any message that depends on it is sent.
type hardState struct {
	term uint64
	// vote and voteDisk are the id and disk identity of the candidate voted for in term.
	vote     string
	voteDisk []byte
	// group is the group id; empty if the data directory has never belonged to a group.
	group []byte
}

// output is the work that a call of the core leaves to its caller, in this order:
// send immediate; persist install, truncate, entries and hard; then send messages.
// Committed entries may be applied at any time, in order.
type output struct {
	// immediate holds the appends and snapshot chunks of a leader, which do not depend on
	// its own disk.
	immediate []*wire.QuorumMessage
	// install is a received snapshot, to be restored before commits are applied.
	install *snapshot
	// replaceLog is set if the log on disk conflicts with install and must be discarded.
	replaceLog bool
	// truncate is the first index to remove from the log on disk; 0 for none.
	truncate uint64
	entries  []*wire.LogEntry
	// hard is the new hard state; nil if it has not changed.
	hard *hardState
	// messages may be sent only after all of the above is durable.
	messages []*wire.QuorumMessage
	// commits are the newly committed entries.
	commits []*wire.LogEntry
}

// peerReport is what a peer last reported about its data directory.
type peerReport struct {
	diskID []byte
	empty  bool
	group  []byte
	// peers are the ids of the initial members in the settings of the peer.
	peers []string
	// addr is the address from a Hello message of the peer; invalid if there was none.
	addr netip.AddrPort
	// zone and region are those of the peer; empty if unknown.
	zone, region string
	// observer is set if the peer never joins a group.
	observer bool
	at       time.Time
}

// core is the consensus state machine of one member. It does no I/O: it takes
// messages and the time, and returns messages, entries to persist and entries to
// apply. It is not safe for concurrent use.
type core struct {
	cfg coreConfig
	now time.Time

	role role
	hard hardState
	log  entryLog
	// commit is the highest index known to be committed; it never decreases.
	commit uint64
	// applied is the highest index returned in commits or install.
	applied uint64
	// persisted is the highest index known to be durable on this member.
	persisted uint64
	// durableTerm is the highest term known to be durable on this member.
	durableTerm uint64
	// leaderTerm is the highest term in which a leader was known; at first the term at the
	// start of the process.
	leaderTerm uint64
	members    memberTable
	// snap is the newest snapshot; nil if there is none.
	snap *snapshot
	// blocked is set while the disk cannot be written, and after a fault: this member must
	// neither vote nor lead.
	blocked bool
	// full is set while the disk has no room for commands; see setFull.
	full bool
	// fault is a protocol violation detected by this member, such as a second
	// leader in a term; the member must be stopped.
	fault error

	// leaderID is the known leader of the term; empty if unknown.
	leaderID string
	// lastContact is the time of the last message from a leader, or at first the start
	// of the process, because the last contact before a restart is not known.
	lastContact time.Time
	// electionAt is when the next election starts if no leader is heard from.
	electionAt time.Time
	// votes holds the members that granted a (pre-)vote, this one included.
	votes map[string]bool
	// buffered holds appends of the current leader that arrived before their predecessors.
	buffered []*wire.QuorumMessage
	incoming *incomingSnapshot

	cold coldStart
	// lead is nil unless this member is the leader.
	lead *leaderState
	// reports holds the last report of each peer by its id; see setReport for their number.
	reports map[string]peerReport
	// seeds holds the addresses of the instances that the settings name now; nil if they are those of
	// the start.
	seeds map[string]netip.AddrPort
	// helloRounds is the number of rounds of Hello that this member has sent to join a group.
	helloRounds uint64
	// formHelloAt is when a member that forms a group sends Hello next.
	formHelloAt time.Time
	// joinHelloAt is when a member that has to join a group sends Hello next.
	joinHelloAt time.Time
	// knownAddrs holds the addresses of members as reported by other members.
	knownAddrs map[string]netip.AddrPort
	// leaderHint is the leader as last named by another member, at leaderHintAt. A member
	// outside the group has no other knowledge of the leader.
	leaderHint   netip.AddrPort
	leaderHintAt time.Time
	// sequence is the number of the last request.
	sequence uint64
	out      output
}

// newCore returns a core that starts from durable state.
func newCore(cfg coreConfig, now time.Time, hard hardState, snap *snapshot, entries []*wire.LogEntry) *core {
	c := &core{cfg: cfg, now: now, hard: hard, lastContact: now, reports: map[string]peerReport{}, knownAddrs: map[string]netip.AddrPort{}}
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
		// Entries are written before the hard state, so no vote of this term was sent.
		c.hard.term, c.hard.vote, c.hard.voteDisk = t, "", nil
	}
	if len(c.hard.group) == 0 {
		c.hard.group = c.members.current().Group
	}
	c.durableTerm, c.leaderTerm = c.hard.term, c.hard.term
	c.resetElection()
	c.beginColdStart()
	if c.voter() && c.quorumSize() == 1 {
		c.electionAt = now // No other member can have voted or led.
	}
	return c
}

// takeOutput returns the output of the calls since the last takeOutput, and clears it.
func (c *core) takeOutput() output {
	if c.commit > c.applied {
		c.out.commits = c.log.entries[c.applied-c.log.base : c.commit-c.log.base]
		c.applied = c.commit
	}
	out := c.out
	c.out = output{}
	return out
}

// empty reports whether the data directory has never belonged to a group.
func (c *core) empty() bool { return len(c.hard.group) == 0 }

// voter reports whether this member is a voter with its current disk identity.
func (c *core) voter() bool {
	m := findMember(c.members.current(), c.cfg.id)
	return m != nil && m.Voter && bytes.Equal(m.DiskId, c.cfg.diskID)
}

func (c *core) hardChanged() {
	h := c.hard
	c.out.hard = &h
}

// tick advances the clock to now. It must precede any other call after time has
// passed, so that a leader whose process was paused steps down first.
func (c *core) tick(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	if c.role == leader {
		c.tickLeader()
		return
	}
	c.sendJoinHellos()
	if c.empty() {
		c.tickEmpty()
		return
	}
	if c.now.Before(c.electionAt) {
		c.tickColdStart()
		return
	}
	if c.blocked || !c.voter() {
		c.resetElection()
		return
	}
	c.startPreVote()
}

// step handles one message and returns the reply if it is a request. The reply
// may be sent only after the output of this call is durable.
func (c *core) step(now time.Time, m *wire.QuorumMessage) *wire.QuorumMessage {
	c.tick(now)
	if m.Reply {
		c.stepReply(m)
		return nil
	}
	r := c.message(m.Kind, m.From, m.FromDisk)
	r.Reply, r.Sequence, r.Round = true, m.Sequence, m.Round
	if m.To == c.cfg.id && c.sameGroup(m) && contiguous(m) {
		c.recordHello(m)
		c.acceptFirstEntry(m)
		c.stepRequest(m, r)
	}
	if r.Term == 0 {
		r.Term = c.hard.term
	}
	r.Empty, r.Group = c.empty(), c.hard.group
	if m.Kind == wire.MessageKind_MESSAGE_KIND_HELLO {
		c.answerHello(r)
	}
	if r.Empty {
		r.Membership = &wire.Membership{}
		for _, id := range c.namedIDs() {
			x := &wire.Member{Id: id}
			if addr := c.addr(id); addr.IsValid() {
				x.Address = addr.String()
			}
			r.Membership.Members = append(r.Membership.Members, x)
		}
	}
	return r
}

// answerHello fills in the reply to a Hello message, which shows a member outside the
// group where it is and who leads it.
func (c *core) answerHello(r *wire.QuorumMessage) {
	r.Zone, r.Region, r.Observer = c.cfg.zone, c.cfg.region, c.cfg.observer
	if addr := c.leaderAddr(); addr.IsValid() {
		r.LeaderAddress = addr.String()
	}
	if !r.Empty {
		r.Membership = proto.CloneOf(c.members.current())
	}
}

// contiguous reports whether the entries of an append have consecutive indexes,
// beginning after PrevIndex.
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
	if m.Kind == wire.MessageKind_MESSAGE_KIND_HELLO || !bytes.Equal(m.ToDisk, c.cfg.diskID) {
		// The reply to a message for another disk identity only reports the current one.
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
			c.startElection(causeTransfer)
		}
	}
}

func (c *core) stepReply(m *wire.QuorumMessage) {
	if m.To != c.cfg.id || !bytes.Equal(m.ToDisk, c.cfg.diskID) {
		return
	}
	c.recordReply(m)
	if m.Empty && isColdPreVoteReply(m) {
		c.stepColdPreVoteReply(m)
	}
	if !hasMember(c.members.current(), m.From, m.FromDisk) || !c.sameGroup(m) || m.Empty {
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

// sameGroup returns false if m comes from a member of another group. It returns true if
// the sender or this member has never belonged to a group.
func (c *core) sameGroup(m *wire.QuorumMessage) bool {
	return len(m.Group) == 0 || c.empty() || bytes.Equal(m.Group, c.hard.group)
}

// message returns a message to a peer, without term and sequence number.
func (c *core) message(kind wire.MessageKind, to string, toDisk []byte) *wire.QuorumMessage {
	return &wire.QuorumMessage{
		Protocol: link.Protocol, Kind: kind, Group: c.hard.group,
		From: c.cfg.id, FromDisk: c.cfg.diskID, To: to, ToDisk: toDisk,
	}
}

// request returns a request in the current term with a new sequence number.
func (c *core) request(kind wire.MessageKind, to string, toDisk []byte) *wire.QuorumMessage {
	m := c.message(kind, to, toDisk)
	c.sequence++
	m.Sequence, m.Term = c.sequence, c.hard.term
	return m
}

// appendToLog appends entries to the log and to the output.
func (c *core) appendToLog(entries ...*wire.LogEntry) {
	c.log.append(entries...)
	c.out.entries = append(c.out.entries, entries...)
	for _, e := range entries {
		if e.Membership != nil {
			c.members.add(e.Index, e.Membership)
		}
	}
}

// setFault records a protocol violation; the member stops voting and leading.
func (c *core) setFault(format string, args ...any) {
	if c.fault == nil {
		c.fault = fmt.Errorf("protocol violation: "+format, args...)
	}
	c.setBlocked(true)
}
