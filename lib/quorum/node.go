// Package quorum replicates a state machine over a small group of members with
// durable disks. The protocol is a variant of Raft; section 7.11 of docs/design.md
// describes it.
package quorum

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/store"
	"bulrushpath.example/lib/wire"
)

const (
	// maxCommandBytes bounds the size of a command, so that it fits into one message.
	maxCommandBytes = 8 << 20
	// maxProposalBatch is the capacity of the channels for calls of Propose and of Confirm,
	// and bounds the queued proposals that are appended together with the first one.
	maxProposalBatch = 1024
	// maxInflightRequests bounds the unanswered requests to one peer, which accumulate if
	// it does not answer.
	maxInflightRequests = 64
)

var errClosed = errors.New("member is closed")

// Node is one member of the group. It runs the consensus core on a disk and a network.
type Node struct {
	settings           Settings
	machine            Machine
	pool               *link.Pool
	log                *log.Logger
	clock              func() time.Time
	onLeadershipChange func(term uint64, leading bool)
	onFull             func(full bool)
	storeOpts          []store.Option
	chunkBytes         int
	// store is nil for an observer.
	store *store.Store

	// events run on the loop goroutine, the only one that uses the fields from core on.
	events            chan func()
	proposals         chan *proposal
	confirms          chan *confirmation
	jobs              *queue[*job]
	leadershipChanges *queue[leadershipChange]
	closing           chan struct{}
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
	closeOnce         sync.Once
	closeErr          error
	// peers maps the id of another member to its *peer.
	peers  sync.Map
	status atomic.Pointer[status]
	// writeStart is the start of the disk write in progress; nil if there is none.
	writeStart atomic.Pointer[time.Time]

	core *core
	// pending holds the uncommitted proposals of this leader by log index.
	pending map[uint64]*proposal
	// roundConfirms holds the calls of Confirm in the round in progress, queuedConfirms
	// those that wait for the next round.
	roundConfirms  []*confirmation
	queuedConfirms []*confirmation
	// transfers holds the calls of Transfer in progress.
	transfers []chan error
	// storageErr is the error that prevents writes to the disk; nil if there is none.
	storageErr error
	// full is the error of a write for which the disk had no room; nil if it has. Unlike storageErr,
	// it keeps this member from accepting commands alone.
	full error
	// handOverAt is the earliest time of the next attempt to let another member lead that may have
	// room.
	handOverAt time.Time
	// diskStalled is set if watchDisk has set storageErr.
	diskStalled bool
	// stopErr is the error that stopped this member until its process is restarted; unlike
	// storageErr it is never cleared.
	stopErr error
	// sinceSnapshot is the size of the commands applied since the last attempt to take a snapshot.
	sinceSnapshot int64
	// snapshotAt is the index of the last attempt to take a snapshot, or of a restored one.
	snapshotAt uint64
	// savingSnapshot is set while a snapshot is being written, and snapshotFailed if the last attempt
	// failed. snapshotRetryAt is the earliest time of an attempt that no limit of the settings requires.
	savingSnapshot, snapshotFailed bool
	snapshotRetryAt                time.Time
	// reportedLeadership is the last leadership that was reported to OnLeadershipChange and
	// has not ended.
	reportedLeadership leadershipChange
	reported           reportedState
}

// status is the state that callers read without waiting for the loop.
type status struct {
	term uint64
	// ready is set if the member leads and has applied all entries of earlier terms.
	ready    bool
	leaseEnd time.Time
	leader   netip.AddrPort
	members  *wire.Membership
	// growing is set while acknowledgements should wait for missing voters.
	growing bool
}

// peer is the connection state of another member, shared by the goroutines that send to it.
type peer struct {
	addr atomic.Pointer[netip.AddrPort]
	// inFlight is the number of unanswered requests.
	inFlight atomic.Int64
}

type leadershipChange struct {
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
	s.setDefaults()
	if err := s.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		settings: s, machine: m, pool: pool, log: daemon.DiscardLogger(), clock: link.NewClock(link.SinceBoot),
		onLeadershipChange: func(uint64, bool) {}, onFull: func(bool) {}, chunkBytes: defaultChunkBytes,
		events: make(chan func(), 256), proposals: make(chan *proposal, maxProposalBatch),
		confirms: make(chan *confirmation, maxProposalBatch), closing: make(chan struct{}),
		jobs: newQueue[*job](), leadershipChanges: newQueue[leadershipChange](),
		pending: map[uint64]*proposal{},
	}
	for _, opt := range opts {
		opt(n)
	}
	if s.Observer {
		n.startCore(store.NewDiskID(), hardState{}, nil, nil)
		return n, nil
	}
	var err error
	storeOpts := append([]store.Option{store.WithSegmentBytes(s.segmentBytes()), store.WithLogLimit(s.LogLimitBytes)}, n.storeOpts...)
	if n.store, err = store.Open(s.DataDir, storeOpts...); err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	if err := n.start(); err != nil {
		_ = n.store.Close()
		return nil, err
	}
	return n, nil
}

// start reads the durable state and starts the member with it.

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
	n.startCore(n.store.Meta().Disk, hard, snap, entries)
	return nil
}

// startCore starts the goroutines of the member.
func (n *Node) startCore(diskID []byte, hard hardState, snap *snapshot, entries []*wire.LogEntry) {
	cfg := n.settings.coreConfig(diskID, rand.Int64N)
	cfg.chunkBytes = n.chunkBytes
	cfg.unixMillis = func() int64 { return time.Now().UnixMilli() }
	n.core = newCore(cfg, n.clock(), hard, snap, entries)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.publishStatus()
	n.wg.Go(n.loop)
	n.wg.Go(n.diskLoop)
	n.wg.Go(n.leadershipLoop)
}

// loop handles all events of the core, which is not safe for concurrent use.
func (n *Node) loop() {
	ticker := time.NewTicker(max(n.settings.Heartbeat/2, time.Millisecond))
	defer ticker.Stop()
	defer n.finishCallsOnClose()
	n.core.tick(n.clock())
	for {
		n.processOutput(nil, nil)
		for n.startRound() {
			n.processOutput(nil, nil)
		}
		select {
		case <-n.closing:
			return
		case fn := <-n.events:
			fn()
		case p := <-n.proposals:
			n.proposeAll(p)
		case confirm := <-n.confirms:
			n.queuedConfirms = append(n.queuedConfirms, confirm)
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
		if i == maxProposalBatch {
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
	err := n.notServingError()
	if err == nil {
		err = n.noRoomError(len(p.command))
	}
	if err != nil {
		p.done <- result{err: err}
		return
	}
	p.term = n.core.hard.term
	n.pending[n.core.propose(p.command, nil)] = p
}

// notServingError returns the error for new calls of Propose and Confirm if this member
// cannot serve them as leader; nil if it can.
func (n *Node) notServingError() error {
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

const (
	// checkedCommandBytes is the size from which on a command is accepted only if the disk has room for
	// it. Smaller ones fit the room that the log has in advance, or fail when they are written.
	checkedCommandBytes = 64 << 10
	// handOverPeriod is the interval at which a leader without room lets another member lead. It is
	// long because each change of leader takes the service some seconds, and the others may have no
	// room either.
	handOverPeriod = 30 * time.Second
)

// noRoomError returns the error for a command of the given size if the disk has no room for it.
func (n *Node) noRoomError(size int) error {
	err := n.full
	if err == nil && n.store != nil && size >= checkedCommandBytes {
		err = n.store.MayFit(int64(size))
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, syscall.EDQUOT) && n.full == nil {
		// The next snapshot makes room.
		return link.Errorf(link.CodeStorage, "storage of member %s: %w", n.settings.ID, err)
	}
	if now := n.clock(); !now.Before(n.handOverAt) && n.core.lead.transferTarget == "" {
		n.handOverAt = now.Add(handOverPeriod)
		n.core.transfer()
	}
	return link.Errorf(link.CodeStorage, "storage of member %s: %w", n.settings.ID, err)
}

// startRound starts a confirmation round for all queued calls of Confirm. There is
// one round at a time, so that many calls share its messages. It reports whether
// the core may have output.
func (n *Node) startRound() bool {
	if len(n.roundConfirms) > 0 {
		return false
	}
	for more := true; more; {
		select {
		case confirm := <-n.confirms:
			n.queuedConfirms = append(n.queuedConfirms, confirm)
		default:
			more = false
		}
	}
	calls := n.queuedConfirms
	n.queuedConfirms = nil
	if len(calls) == 0 {
		return false
	}
	n.core.tick(n.clock())
	if err := n.notServingError(); err != nil {
		for _, confirm := range calls {
			confirm.done <- err
		}
		return true
	}
	round, index := n.core.confirm()
	for _, confirm := range calls {
		confirm.term, confirm.round, confirm.index = n.core.hard.term, round, index
	}
	n.roundConfirms = calls
	return true
}

// processOutput executes the output of the core. A reply, if not nil, is sent to answer
// once the output is durable.
func (n *Node) processOutput(reply *wire.QuorumMessage, answer chan<- *wire.QuorumMessage) {
	if n.core.fault != nil {
		n.stop(n.core.fault)
	}
	out := n.core.takeOutput()
	n.updateAddrs(out.immediate)
	n.updateAddrs(out.messages)
	for _, m := range out.immediate {
		n.dispatch(m)
	}
	j := &job{
		install: out.install, replaceLog: out.replaceLog, truncate: out.truncate, entries: out.entries,
		hard: out.hard, messages: out.messages, reply: reply, answer: answer,
	}
	if !j.empty() {
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
	n.publishStatus()
	for _, a := range answers {
		a()
	}
	n.completeCalls()
	n.maybeSnapshot()
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
	machine, err := s.machineState()
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
	if n.stopErr == nil {
		n.log.Error().Str("event", "memberStopped").Err(err).Msg("")
		n.setStorageErr(err)
		n.stopErr = err
	}
}

// setStorageErr records an error that prevents writes to the disk; nil clears it.
func (n *Node) setStorageErr(err error) {
	if n.stopErr != nil {
		return
	}
	n.storageErr = err
	n.core.setBlocked(err != nil)
}

// publishStatus updates the status for callers and reports changes of leadership.
func (n *Node) publishStatus() {
	c := n.core
	st := &status{term: c.hard.term, leaseEnd: c.leaseEnd(), members: c.members.current()}
	st.ready = c.role == leader && c.applied >= c.lead.firstIndex
	st.leader, st.growing = c.leaderAddr(), c.growing()
	n.status.Store(st)
	n.logState()
	now := leadershipChange{term: st.term, leading: st.ready}
	if n.reportedLeadership.leading && (!now.leading || now.term != n.reportedLeadership.term) {
		n.leadershipChanges.put(leadershipChange{term: n.reportedLeadership.term})
		n.reportedLeadership = leadershipChange{}
	}
	if now.leading && !n.reportedLeadership.leading {
		n.leadershipChanges.put(now)
		n.reportedLeadership = now
	}
}

// leadershipLoop calls the function set by OnLeadershipChange, so that it does not
// block the loop.
func (n *Node) leadershipLoop() {
	for {
		changes, ok := n.leadershipChanges.wait(n.closing, nil)
		if !ok {
			return
		}
		for _, l := range changes {
			n.log.Info().Str("event", "leadership").Uint64("term", l.term).Bool("leading", l.leading).Msg("")
			n.onLeadershipChange(l.term, l.leading)
		}
	}
}

// completeCalls answers the calls of Confirm and Transfer that have succeeded or can no
// longer succeed.
func (n *Node) completeCalls() {
	c := n.core
	if c.role != leader {
		n.finishCalls()
		return
	}
	kept := n.roundConfirms[:0]
	for _, confirm := range n.roundConfirms {
		switch {
		case confirm.term != c.hard.term:
			confirm.done <- link.Errorf(link.CodeNoQuorum, "leadership was lost")
		case c.confirmed() >= confirm.round && c.applied >= confirm.index:
			confirm.done <- nil
		default:
			kept = append(kept, confirm)
		}
	}
	n.roundConfirms = kept
	if c.lead.transferTarget == "" {
		for _, done := range n.transfers {
			done <- link.Errorf(link.CodeOther, "leadership transfer did not complete within the election timeout")
		}
		n.transfers = nil
	}
}

// finishCalls answers all waiting calls after the leadership has ended: Transfer has
// succeeded, Propose and Confirm fail.
func (n *Node) finishCalls() {
	err := link.Errorf(link.CodeNoQuorum, "leadership was lost")
	if storageErr := cmp.Or(n.storageErr, n.full); storageErr != nil {
		err = link.Errorf(link.CodeStorage, "storage of member %s: %w", n.settings.ID, storageErr)
	}
	for _, confirm := range n.roundConfirms {
		confirm.done <- err
	}
	for _, done := range n.transfers {
		done <- nil
	}
	for index, p := range n.pending {
		p.done <- result{err: err}
		delete(n.pending, index)
	}
	n.roundConfirms, n.transfers = nil, nil
}

// finishCallsOnClose answers all waiting calls when the node closes.
func (n *Node) finishCallsOnClose() {
	n.storageErr = errClosed
	n.finishCalls()
}

// snapshotRetryDelay is the delay after which a snapshot that failed is tried again, and after which
// one is taken to free the log of a full disk.
const snapshotRetryDelay = 5 * time.Second

// maybeSnapshot takes a snapshot and compacts the log if it has reached a limit of the
// settings, or if the disk is full.
func (n *Node) maybeSnapshot() {
	c := n.core
	failed := n.snapshotFailed || n.full != nil && c.applied > n.snapshotAt
	due := c.applied-n.snapshotAt >= uint64(n.settings.SnapshotEntries) ||
		n.sinceSnapshot >= n.settings.SnapshotBytes || failed && !n.clock().Before(n.snapshotRetryAt)
	if !due || n.savingSnapshot || c.applied == n.snapshotAt && !n.snapshotFailed || c.persisted < c.applied || n.storageErr != nil {
		return
	}
	n.snapshotRetryAt = n.clock().Add(snapshotRetryDelay)
	snap, err := c.snap, error(nil)
	if c.applied > n.snapshotAt || snap == nil {
		snap, err = n.compact()
	}
	n.snapshotAt, n.sinceSnapshot, n.snapshotFailed = c.applied, 0, err != nil
	if err != nil {
		n.log.Error().Str("event", "snapshotFailed").Err(err).Msg("")
		return
	}
	n.savingSnapshot = true
	n.wg.Go(func() {
		err := n.store.SaveSnapshot(store.Snapshot{Index: snap.index, Term: snap.term, Data: snap.data}, false)
		if err != nil {
			n.log.Error().Str("event", "snapshotFailed").Uint64("index", snap.index).Err(err).Msg("")
		}
		n.post(func() { n.savingSnapshot, n.snapshotFailed = false, err != nil })
	})
}

// compact takes a snapshot of the state machine at the last applied entry.
func (n *Node) compact() (*snapshot, error) {
	machine, err := n.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	// Some entries stay in memory, so that a member slightly behind needs no snapshot.
	keep := n.core.log.tail(n.core.applied, uint64(n.settings.SnapshotEntries/4), n.settings.SnapshotBytes/4)
	return n.core.compact(machine, keep)
}
