package quorum

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

var (
	errNotLeader      = errors.New("member is not the leader")
	errLeadershipLost = errors.New("leadership was lost")
)

// Disk is the durable state of a Replica. Writes to it are immediate.
type Disk struct {
	// ID is the disk identity. A disk that replaces a lost one must have a new identity.
	ID      []byte
	hard    hardState
	snap    *snapshot
	entries []*wire.LogEntry
}

// Empty reports whether the disk has never belonged to a group.
func (d *Disk) Empty() bool { return len(d.hard.group) == 0 }

// Replica is one member of the group without goroutines, clock, disk or network, for
// tests that simulate them. It runs the same consensus core as a Node.
type Replica struct {
	core     *core
	disk     *Disk
	machine  Machine
	outbox   []*wire.QuorumMessage
	pending  map[uint64]replicaProposal
	confirms []replicaConfirm
	// snapshotEntries is the number of applied entries after which a snapshot is taken.
	snapshotEntries uint64
	snapshotAt      uint64
}

type replicaProposal struct {
	term uint64
	done func([]byte, error)
}

type replicaConfirm struct {
	term, round, index uint64
	done               func(error)
}

// NewReplica starts a member from its disk. random returns a number in [0, n).
func NewReplica(s Settings, m Machine, d *Disk, now time.Time, random func(n int64) int64) (*Replica, error) {
	s.setDefaults()
	r := &Replica{disk: d, machine: m, pending: map[uint64]replicaProposal{}, snapshotEntries: uint64(s.SnapshotEntries)}
	if d.snap != nil {
		if err := r.restore(d.snap); err != nil {
			return nil, err
		}
	}
	r.core = newCore(s.coreConfig(d.ID, random), now, d.hard, d.snap, slices.Clone(d.entries))
	return r, nil
}

func (r *Replica) restore(s *snapshot) error {
	r.snapshotAt = s.index
	data, err := s.machineState()
	if err != nil {
		return err
	}
	return r.machine.Restore(data)
}

// Tick advances the clock and returns the messages to send.
func (r *Replica) Tick(now time.Time) ([]*wire.QuorumMessage, error) {
	r.core.tick(now)
	return r.flush(now, nil)
}

// Step takes a message and returns the messages to send.
func (r *Replica) Step(now time.Time, m *wire.QuorumMessage) ([]*wire.QuorumMessage, error) {
	return r.flush(now, r.core.step(now, m))
}

// Propose replicates command. It calls done with the result after the commit, or with
// an error if this member does not lead or the outcome is unknown. The messages are
// sent by the next Tick.
func (r *Replica) Propose(now time.Time, command []byte, done func([]byte, error)) {
	r.core.tick(now)
	if r.core.role != leader || r.core.lead.transferTarget != "" {
		done(nil, errNotLeader)
		return
	}
	r.pending[r.core.propose(command, nil)] = replicaProposal{r.core.hard.term, done}
	r.core.send()
}

// Confirm calls done when a majority has confirmed the leadership after the call and
// all entries committed before the call are applied, or with an error if the
// leadership is lost. The messages are sent by the next Tick.
func (r *Replica) Confirm(now time.Time, done func(error)) {
	r.core.tick(now)
	if r.core.role != leader {
		done(errNotLeader)
		return
	}
	round, index := r.core.confirm()
	r.confirms = append(r.confirms, replicaConfirm{r.core.hard.term, round, index, done})
}

// Leading returns the current term; ok is false if this member may not answer as leader
// at now.
func (r *Replica) Leading(now time.Time) (term uint64, ok bool) {
	c := r.core
	return c.hard.term, c.role == leader && c.applied >= c.lead.firstIndex && now.Before(c.leaseEnd())
}

// Voter reports whether this member is a voter with its current disk, by its own log.
func (r *Replica) Voter() bool { return r.core.voter() }

// flush processes the output of the core until there is none.
func (r *Replica) flush(now time.Time, reply *wire.QuorumMessage) ([]*wire.QuorumMessage, error) {
	for {
		out := r.core.takeOutput()
		r.persist(&out)
		r.outbox = append(append(r.outbox, out.immediate...), out.messages...)
		if out.hard != nil {
			r.core.termDurable(now, out.hard.term)
		}
		if out.install != nil {
			if err := r.restore(out.install); err != nil {
				return nil, err
			}
		}
		for _, e := range out.commits {
			r.apply(now, e)
		}
		if len(out.entries) == 0 && out.hard == nil {
			break
		}
		if len(out.entries) == 0 {
			continue
		}
		last := out.entries[len(out.entries)-1]
		r.core.entriesDurable(now, last.Index, last.Term)
	}
	r.completeCalls(now)
	if reply != nil {
		r.outbox = append(r.outbox, reply)
	}
	if err := r.maybeSnapshot(); err != nil {
		return nil, err
	}
	out := r.outbox
	r.outbox = nil
	// The core iterates over maps; a fixed order makes runs with the same seed identical.
	slices.SortStableFunc(out, func(a, b *wire.QuorumMessage) int { return cmp.Compare(a.To, b.To) })
	return out, r.core.fault
}

func (r *Replica) persist(out *output) {
	d := r.disk
	if s := out.install; s != nil {
		d.saveSnapshot(s, out.replaceLog)
	}
	if out.truncate != 0 {
		i := slices.IndexFunc(d.entries, func(e *wire.LogEntry) bool { return e.Index >= out.truncate })
		if i >= 0 {
			d.entries = d.entries[:i:i]
		}
	}
	d.entries = append(d.entries, out.entries...)
	if out.hard != nil {
		d.hard = *out.hard
	}
}

func (d *Disk) saveSnapshot(s *snapshot, replaceLog bool) {
	d.snap = s
	if replaceLog {
		d.entries = nil
	}
	for len(d.entries) > 0 && d.entries[0].Index <= s.index {
		d.entries = d.entries[1:]
	}
}

func (r *Replica) apply(now time.Time, e *wire.LogEntry) {
	var value []byte
	if e.Membership == nil && e.Command != nil {
		value = r.machine.Apply(e.Index, time.UnixMilli(e.UnixMillis), e.Command)
	}
	p, ok := r.pending[e.Index]
	if !ok {
		return
	}
	delete(r.pending, e.Index)
	if term, leads := r.Leading(now); p.term != e.Term || !leads || term != p.term {
		p.done(nil, errLeadershipLost)
		return
	}
	p.done(value, nil)
}

// completeCalls answers the calls that have succeeded or can no longer succeed.
func (r *Replica) completeCalls(now time.Time) {
	c := r.core
	confirms := r.confirms
	r.confirms = nil
	for _, confirm := range confirms {
		term, leads := r.Leading(now)
		switch {
		case c.role != leader || c.hard.term != confirm.term:
			confirm.done(errLeadershipLost)
		case c.confirmed() < confirm.round || c.applied < confirm.index:
			r.confirms = append(r.confirms, confirm)
		case !leads || term != confirm.term:
			confirm.done(errLeadershipLost)
		default:
			confirm.done(nil)
		}
	}
	if c.role == leader {
		return
	}
	pending := r.pending
	r.pending = map[uint64]replicaProposal{}
	for _, index := range slices.Sorted(maps.Keys(pending)) {
		pending[index].done(nil, errLeadershipLost)
	}
}

func (r *Replica) maybeSnapshot() error {
	c := r.core
	if r.snapshotEntries == 0 || c.applied-r.snapshotAt < r.snapshotEntries || c.persisted < c.applied {
		return nil
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	snap, err := c.compact(data, r.snapshotEntries/4)
	if err != nil {
		return err
	}
	r.snapshotAt = c.applied
	// The core keeps some entries before the snapshot for members that are slightly
	// behind; they are not needed on disk.
	r.disk.saveSnapshot(snap, false)
	return nil
}
