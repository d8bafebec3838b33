// Package quorum replicates a state machine over a small group of members with
// durable disks. The protocol is a variant of Raft; section 7.11 of docs/design.md
// describes it.
package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/store"
	"bulrushpath.example/lib/wire"
)

const (
	// maxCommand bounds the size of a command, so that it fits into one message.
	maxCommand = 8 << 20
	// proposeBatch bounds the proposals that are queued, and those appended in one batch.
	proposeBatch = 1024
	// outstanding bounds the requests in flight to one peer, which accumulate if it does not answer.
	outstanding = 64
)

var errClosed = errors.New("member is closed")

// Node is one member of the group. It runs the consensus core on a disk and a network.
type Node struct {
	settings   Settings
	machine    Machine
	pool       *link.Pool
	log        *log.Logger
	clock      func() time.Time
	onLead     func(term uint64, leading bool)
	storeOpts  []store.Option
	chunkBytes int
	store      *store.Store

	// events run on the loop goroutine, the only one that uses the fields from core on.
	events    chan func()
	proposals chan *proposal
	confirms  chan *confirmation
	jobs      *queue[*job]
	leads     *queue[leadChange]
	closing   chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	closeOnce sync.Once
	closeErr  error
	// peers maps the id of another member to its *peer.
	peers  sync.Map
	status atomic.Pointer[status]
	// writing is the start of the disk write in progress; nil if there is none.
	writing atomic.Pointer[time.Time]

	core *core
	// pending holds the uncommitted proposals of this leader by log index.
	pending map[uint64]*proposal
	// waiting holds the Confirm calls of the round in progress, asked those for the next one.
	waiting []*confirmation
	asked   []*confirmation
	// handing holds the calls of Transfer in progress.
	handing []chan error
	// storageErr is the error that prevents writes to the disk; nil if there is none.
	storageErr error
	// stalling is set if watchDisk has set storageErr.
	stalling bool
	// broken is the error that stopped this member for good; unlike storageErr it is never cleared.
	broken error
	// sinceSnapshot is the size of the commands applied since the last attempt to take a snapshot.
	sinceSnapshot int64
	// snapshotAt is the index of the last attempt to take a snapshot, or of a restored one.
	snapshotAt uint64
	// saving is set while a snapshot is being written.
	saving bool
	// leading is the last leadership that was reported to OnLead and has not ended.
	leading leadChange
}

// status is the state that callers read without waiting for the loop.
type status struct {
	term uint64
	// ready is set if the member leads and has applied all entries of earlier terms.
	ready    bool
	leaseEnd time.Time
	leader   netip.AddrPort
	members  *wire.Membership
}

// peer is the connection state of another member, shared by the goroutines that send to it.
type peer struct {
	addr atomic.Pointer[netip.AddrPort]
	// inFlight is the number of unanswered requests.
	inFlight atomic.Int64
}

type leadChange struct {
	term    uint64
	leading bool
}

type result struct {
	value []byte
	err   error
}

// proposal is a call of Propose that waits for the commit of its command.
type proposal struct {
	command []byte
	term    uint64
	done    chan result
}

// confirmation is a call of Confirm that waits for a majority to answer its round.
type confirmation struct {
	term, round, index uint64
	done               chan error
}

// Open opens the data directory and starts the member. The caller must serve
// Exchange at Settings.Listen.
func Open(s Settings, m Machine, pool *link.Pool, opts ...Option) (*Node, error) {
	s.fill()
	if err := s.check(); err != nil {
		return nil, err
	}
	n := &Node{
		settings: s, machine: m, pool: pool, log: daemon.Discard(), clock: time.Now,
		onLead: func(uint64, bool) {}, chunkBytes: 256 << 10,
		events: make(chan func(), 256), proposals: make(chan *proposal, proposeBatch),
		confirms: make(chan *confirmation, proposeBatch), closing: make(chan struct{}),
		jobs: newQueue[*job](), leads: newQueue[leadChange](),
		pending: map[uint64]*proposal{},
	}
	for _, opt := range opts {
		opt(n)
	}
	var err error
	if n.store, err = store.Open(s.DataDir, n.storeOpts...); err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	if err := n.start(); err != nil {
		_ = n.store.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) start() error {
	hard, snap, entries, err := loadState(n.store)
	if err != nil {
		return err
	}
	if snap != nil {
		if err := n.restore(snap); err != nil {
			return err
		}
	}
	n.core = newCore(coreConfig{
		id: n.settings.ID, diskID: n.store.Meta().Disk, peers: n.settings.Peers,
		voters: n.settings.Voters, join: n.settings.Join,
		electionTimeout: n.settings.ElectionTimeout, heartbeat: n.settings.Heartbeat,
		chunkBytes: n.chunkBytes, random: rand.Int64N,
	}, n.clock(), hard, snap, entries)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.publish()
	n.wg.Go(n.loop)
	n.wg.Go(n.diskLoop)
	n.wg.Go(n.leadLoop)
	return nil
}

// loop handles all events of the core, which is not safe for concurrent use.
func (n *Node) loop() {
	ticker := time.NewTicker(max(n.settings.Heartbeat/2, time.Millisecond))
	defer ticker.Stop()
	defer n.abandon()
	n.core.tick(n.clock())
	for {
		n.advance(nil, nil)
		for n.startRound() {
			n.advance(nil, nil)
		}
		select {
		case <-n.closing:
			return
		case fn := <-n.events:
			fn()
		case p := <-n.proposals:
			n.proposeAll(p)
		case w := <-n.confirms:
			n.asked = append(n.asked, w)
		case <-ticker.C:
			n.watchDisk()
			n.core.tick(n.clock())
		}
	}
}

// post runs fn on the loop goroutine; fn is discarded if the node is closing.
func (n *Node) post(fn func()) {
	select {
	case n.events <- fn:
	case <-n.closing:
	}
}

// proposeAll appends p and the proposals queued after it, so that they share one
// append and one fsync.
func (n *Node) proposeAll(p *proposal) {
	n.core.tick(n.clock())
	for i := 0; ; i++ {
		n.proposeOne(p)
		if i == proposeBatch {
			break
		}
		select {
		case p = <-n.proposals:
			continue
		default:
		}
		break
	}
	if n.core.role == leader {
		n.core.send()
	}
}

func (n *Node) proposeOne(p *proposal) {
	if err := n.refusal(); err != nil {
		p.done <- result{err: err}
		return
	}
	p.term = n.core.hard.term
	n.pending[n.core.propose(p.command, nil)] = p
}

// refusal returns the error for new calls if this member cannot serve them as leader; nil if it can.
func (n *Node) refusal() error {
	switch {
	case n.storageErr != nil:
		return link.Errorf(link.CodeStorage, "storage of member %s: %w", n.settings.ID, n.storageErr)
	case n.core.role != leader:
		return link.NotLeader(n.core.addr(n.core.leaderID))
	case n.core.lead.transferTarget != "":
		return link.NotLeader(n.core.addr(n.core.lead.transferTarget))
	}
	return nil
}

// startRound starts a confirmation round for all queued calls of Confirm. There is
// one round at a time, so that many calls share its messages. It reports whether
// the core may have output.
func (n *Node) startRound() bool {
	if len(n.waiting) > 0 {
		return false
	}
	for more := true; more; {
		select {
		case w := <-n.confirms:
			n.asked = append(n.asked, w)
		default:
			more = false
		}
	}
	calls := n.asked
	n.asked = nil
	if len(calls) == 0 {
		return false
	}
	n.core.tick(n.clock())
	if err := n.refusal(); err != nil {
		for _, w := range calls {
			w.done <- err
		}
		return true
	}
	round, index := n.core.confirm()
	for _, w := range calls {
		w.term, w.round, w.index = n.core.hard.term, round, index
	}
	n.waiting = calls
	return true
}

// advance processes the output of the core. A reply, if not nil, is sent to answer
// once the output is durable.
func (n *Node) advance(reply *wire.QuorumMessage, answer chan<- *wire.QuorumMessage) {
	if n.core.fault != nil {
		n.stop(n.core.fault)
	}
	out := n.core.takeOutput()
	n.locate(out.immediate)
	n.locate(out.messages)
	for _, m := range out.immediate {
		n.dispatch(m)
	}
	j := &job{
		install: out.install, replaceLog: out.replaceLog, truncate: out.truncate, entries: out.entries,
		hard: out.hard, messages: out.messages, reply: reply, answer: answer,
	}
	if !j.idle() {
		n.jobs.put(j)
	}
	if out.install != nil {
		if err := n.restore(out.install); err != nil {
			// The state machine may be partly restored and cannot be used.
			n.stop(err)
		}
	}
	var answers []func()
	for _, e := range out.commits {
		if a := n.apply(e); a != nil {
			answers = append(answers, a)
		}
	}
	// Callers check the published leadership again after they are answered.
	n.publish()
	for _, a := range answers {
		a()
	}
	n.settle()
	n.compact()
}

// apply applies a committed entry and returns a function that answers its proposal;
// nil if the proposal was not made on this member.
func (n *Node) apply(e *wire.LogEntry) func() {
	var value []byte
	if e.Membership == nil && e.Command != nil {
		value = n.machine.Apply(e.Index, time.UnixMilli(e.UnixMillis), e.Command)
		n.sinceSnapshot += int64(len(e.Command))
	}
	p := n.pending[e.Index]
	if p == nil {
		return nil
	}
	delete(n.pending, e.Index)
	r := result{value: value}
	if p.term != e.Term {
		r = result{err: link.Errorf(link.CodeNoQuorum, "leadership was lost")}
	}
	return func() { p.done <- r }
}

func (n *Node) restore(s *snapshot) error {
	n.snapshotAt, n.sinceSnapshot = s.index, 0
	machine, err := s.machine()
	if err == nil {
		err = n.machine.Restore(machine)
	}
	if err != nil {
		return fmt.Errorf("restore snapshot %d: %w", s.index, err)
	}
	return nil
}

// stop ends the participation of this member until its process is restarted.
func (n *Node) stop(err error) {
	if n.broken == nil {
		n.log.Error().Str("event", "memberStopped").Err(err).Msg("")
		n.setStorage(err)
		n.broken = err
	}
}

// setStorage records an error that prevents writes to the disk; nil clears it.
func (n *Node) setStorage(err error) {
	if n.broken != nil {
		return
	}
	n.storageErr = err
	n.core.setBlocked(err != nil)
}

// publish updates the status for callers and reports changes of leadership.
func (n *Node) publish() {
	c := n.core
	st := &status{term: c.hard.term, leaseEnd: c.leaseEnd(), members: c.members.current()}
	st.ready = c.role == leader && c.applied >= c.lead.firstIndex
	st.leader = n.core.addr(c.leaderID)
	n.status.Store(st)
	now := leadChange{term: st.term, leading: st.ready}
	if n.leading.leading && (!now.leading || now.term != n.leading.term) {
		n.leads.put(leadChange{term: n.leading.term})
		n.leading = leadChange{}
	}
	if now.leading && !n.leading.leading {
		n.leads.put(now)
		n.leading = now
	}
}

// leadLoop calls the function set by OnLead, so that it does not block the loop.
func (n *Node) leadLoop() {
	for {
		changes := n.leads.wait(n.closing)
		if changes == nil {
			return
		}
		for _, l := range changes {
			n.log.Info().Str("event", "leadership").Uint64("term", l.term).Bool("leading", l.leading).Msg("")
			n.onLead(l.term, l.leading)
		}
	}
}

// settle answers the calls of Confirm and Transfer that have succeeded or can no longer succeed.
func (n *Node) settle() {
	c := n.core
	if c.role != leader {
		n.dropCalls()
		return
	}
	kept := n.waiting[:0]
	for _, w := range n.waiting {
		switch {
		case w.term != c.hard.term:
			w.done <- link.Errorf(link.CodeNoQuorum, "leadership was lost")
		case c.confirmed() >= w.round && c.applied >= w.index:
			w.done <- nil
		default:
			kept = append(kept, w)
		}
	}
	n.waiting = kept
	if c.lead.transferTarget == "" {
		for _, h := range n.handing {
			h <- link.Errorf(link.CodeOther, "leadership transfer did not complete within the election timeout")
		}
		n.handing = nil
	}
}

// dropCalls answers all waiting calls after the leadership has ended; that is success for Transfer.
func (n *Node) dropCalls() {
	err := link.Errorf(link.CodeNoQuorum, "leadership was lost")
	if n.storageErr != nil {
		err = link.Errorf(link.CodeStorage, "storage of member %s: %w", n.settings.ID, n.storageErr)
	}
	for _, w := range n.waiting {
		w.done <- err
	}
	for _, h := range n.handing {
		h <- nil
	}
	for index, p := range n.pending {
		p.done <- result{err: err}
		delete(n.pending, index)
	}
	n.waiting, n.handing = nil, nil
}

// abandon answers all waiting calls when the node closes.
func (n *Node) abandon() {
	n.storageErr = errClosed
	n.dropCalls()
}

// compact takes a snapshot and truncates the log if it has reached a limit of the settings.
func (n *Node) compact() {
	c := n.core
	long := c.applied-n.snapshotAt >= uint64(n.settings.SnapshotEntries) ||
		n.sinceSnapshot >= n.settings.SnapshotBytes
	if !long || n.saving || c.applied == n.snapshotAt || c.persisted < c.applied || n.storageErr != nil {
		return
	}
	machine, err := n.machine.Snapshot()
	var snap *snapshot
	if err == nil {
		// The newest quarter stays in memory, so that a member slightly behind needs no snapshot.
		snap, err = c.compact(machine, uint64(n.settings.SnapshotEntries/4))
	}
	// A failed attempt is repeated only after as many entries again.
	n.snapshotAt, n.sinceSnapshot = c.applied, 0
	if err != nil {
		n.log.Error().Str("event", "snapshotFailed").Err(err).Msg("")
		return
	}
	n.saving = true
	n.wg.Go(func() {
		err := n.store.SaveSnapshot(store.Snapshot{Index: snap.index, Term: snap.term, Data: snap.data}, false)
		if err != nil {
			n.log.Error().Str("event", "snapshotFailed").Uint64("index", snap.index).Err(err).Msg("")
		}
		n.post(func() { n.saving = false })
	})
}
