package quorum

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// snapshot is the replicated state after applying the entry at index.
type snapshot struct {
	index uint64
	term  uint64
	// data is an encoded wire.QuorumSnapshot.
	data []byte
	// membership and millis are decoded from data.
	membership *wire.Membership
	millis     int64
}

// newSnapshot decodes data, except for the state of the state machine.
func newSnapshot(index, term uint64, data []byte) (*snapshot, error) {
	state := &wire.QuorumSnapshot{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, fmt.Errorf("decode snapshot %d: %w", index, err)
	}
	return &snapshot{
		index: index, term: term, data: data, membership: state.Membership, millis: state.UnixMillis,
	}, nil
}

// machineState decodes the state of the state machine. It is not cached: the leader
// keeps only data in memory.
func (s *snapshot) machineState() ([]byte, error) {
	state := &wire.QuorumSnapshot{}
	if err := proto.Unmarshal(s.data, state); err != nil {
		return nil, fmt.Errorf("decode snapshot %d: %w", s.index, err)
	}
	return state.Machine, nil
}

// incomingSnapshot is a snapshot of which the first chunks have been received.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

func (c *core) stepSnapshot(m, r *wire.QuorumMessage) {
	if !c.acceptLeader(m) {
		return
	}
	if m.LastIndex <= c.commit {
		c.incoming = nil
		r.Accepted, r.SnapshotDone, r.LastIndex = true, true, m.LastIndex
		return
	}
	in := c.incoming
	if in == nil || in.index != m.LastIndex || in.term != m.LastTerm {
		in = &incomingSnapshot{index: m.LastIndex, term: m.LastTerm}
		c.incoming = in
	}
	r.LastIndex, r.SnapshotOffset = in.index, uint64(len(in.data))
	if m.SnapshotOffset != uint64(len(in.data)) {
		return
	}
	in.data = append(in.data, m.Snapshot...)
	r.SnapshotOffset = uint64(len(in.data))
	r.Accepted = true
	if !m.SnapshotDone {
		return
	}
	c.incoming = nil
	snap, err := newSnapshot(in.index, in.term, in.data)
	if err != nil {
		r.Accepted, r.SnapshotOffset = false, 0
		return
	}
	r.SnapshotDone = true
	c.install(snap)
}

// install replaces the state by a snapshot of the leader. Later log entries are kept
// if the log contains the last entry that the snapshot covers.
func (c *core) install(s *snapshot) {
	if t, ok := c.log.term(s.index); ok && t == s.term {
		c.log.compact(s.index)
		c.members.compact(s.index)
	} else {
		c.log.reset(s.index, s.term, s.millis)
		c.members = memberTable{}
		c.members.add(s.index, s.membership)
		c.out.replaceLog = true
		c.persisted = s.index
	}
	c.buffered = nil
	c.snap, c.commit, c.applied = s, s.index, s.index
	c.persisted = max(c.persisted, s.index)
	c.out.install = s
}

// compact takes a snapshot with the given state of the state machine at the last
// applied entry. It removes the entries before it from memory, except for the last
// keep ones, which serve members that are slightly behind.
func (c *core) compact(machine []byte, keep uint64) (*snapshot, error) {
	index := c.applied
	term, _ := c.log.term(index)
	millis := c.log.baseMillis
	if index > c.log.base {
		millis = c.log.at(index).UnixMillis
	}
	members := c.members.asOf(index)
	data, err := proto.Marshal(&wire.QuorumSnapshot{
		Membership: members, UnixMillis: millis, Machine: machine,
	})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot %d: %w", index, err)
	}
	c.snap = &snapshot{index: index, term: term, data: data, membership: members, millis: millis}
	if index > keep {
		c.log.compact(index - keep)
		c.members.compact(index - keep)
	}
	return c.snap, nil
}
