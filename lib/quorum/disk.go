package quorum

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/store"
	"bulrushpath.example/lib/wire"
)

// writeRetryDelay is the delay before a failed write is retried, for example while the
// disk is full.
const writeRetryDelay = 200 * time.Millisecond

// diskStallTimeouts is the number of election timeouts after which a write in progress
// counts as a failure of the disk. Until then, new entries accumulate in memory.
const diskStallTimeouts = 8

// job holds what one step of the core persists, and the messages to send afterwards.
type job struct {
	install    *snapshot
	replaceLog bool
	truncate   uint64
	entries    []*wire.LogEntry
	hard       *hardState
	messages   []*wire.QuorumMessage
	// reply is sent to answer once the job is durable; both are nil if there is none.
	reply  *wire.QuorumMessage
	answer chan<- *wire.QuorumMessage
}

func (j *job) empty() bool {
	return j.install == nil && j.truncate == 0 && len(j.entries) == 0 && j.hard == nil &&
		len(j.messages) == 0 && j.reply == nil
}

// diskLoop persists jobs in order. The entries of jobs that are queued together share
// one fsync, unless a snapshot or truncation comes between them. A failed write is
// retried until it succeeds, and nothing that depends on it is sent before that.
func (n *Node) diskLoop() {
	var jobs []*job
	failed := false
	for {
		var retry <-chan time.Time
		if failed {
			retry = time.After(writeRetryDelay)
		}
		more, ok := n.jobs.wait(n.closing, retry)
		if !ok {
			return
		}
		jobs = append(jobs, more...)
		begin := n.clock()
		n.writeStart.Store(&begin)
		err := n.persist(jobs)
		switch {
		case err == nil:
			n.sendDurable(jobs)
			jobs = nil
			if failed && n.store.HasRoom(n.minRoom()) {
				failed = false
				n.log.Info().Str("event", "storageRecovered").Msg("")
				n.post(func() {
					n.setStorageErr(nil)
					n.setFull(nil)
				})
			}
		case store.IsFull(err):
			if !failed {
				n.log.Error().Str("event", "storageFailed").Err(err).Msg("")
			}
			failed = true
			jobs = n.persistWithoutRoom(jobs, err)
		default:
			n.log.Error().Str("event", "storageFailed").Err(err).Msg("")
			failed = true
			n.post(func() { n.setStorageErr(err) })
		}
		n.writeStart.Store(nil)
	}
}

// maxMinRoomBytes bounds minRoom.
const maxMinRoomBytes = 256 << 10

// minRoom is the room that the log must have again until commands are accepted.
func (n *Node) minRoom() int64 {
	if limit := n.settings.LogLimitBytes; limit > 0 {
		return min(limit/8, maxMinRoomBytes)
	}
	return maxMinRoomBytes
}

// persistWithoutRoom persists what needs no room of the disk after a write has failed with err, and
// returns the jobs that remain. Entries that are neither durable nor committed are dropped, so that
// votes, terms and memberships do not wait behind them.
func (n *Node) persistWithoutRoom(jobs []*job, err error) []*job {
	group := n.store.Meta().Group
	if len(group) == 0 {
		// Without its first entry, the member has no group that it could vote in.
		n.post(func() { n.setStorageErr(err) })
		return jobs
	}
	done := make(chan []*job, 1)
	n.post(func() {
		n.setFull(err)
		jobs := append(jobs, n.jobs.take()...)
		n.dropJobs(jobs)
		done <- jobs
	})
	select {
	case jobs = <-done:
	case <-n.closing:
		return jobs
	}
	if n.persist(jobs) == nil {
		n.sendDurable(jobs)
		return nil
	}
	// Committed entries or a snapshot remain. Terms and votes do not depend on them.
	var hard *hardState
	for _, j := range jobs {
		if j.hard != nil {
			hard = j.hard
		}
	}
	if hard != nil {
		if !sameID(hard.group, group) {
			return jobs
		}
		if err := n.persistHard(hard); err != nil {
			n.post(func() { n.setStorageErr(err) })
			return jobs
		}
	}
	durable := n.store.LastIndex()
	var ready, rest []*job
	for _, j := range jobs {
		j.hard = nil
		if j.needsLog(durable) {
			rest = append(rest, j)
		} else {
			ready = append(ready, j)
		}
	}
	n.sendDurable(ready)
	return rest
}

// needsLog reports whether a part of the job, or its reply, depends on entries after durable or on
// a snapshot.
func (j *job) needsLog(durable uint64) bool {
	return j.install != nil || j.truncate != 0 || len(j.entries) > 0 || j.reply != nil &&
		(j.reply.Kind == wire.MessageKind_MESSAGE_KIND_SNAPSHOT || acknowledges(j.reply, durable))
}

// acknowledges reports whether the reply r, nil for none, says that entries after index are durable.
func acknowledges(r *wire.QuorumMessage, index uint64) bool {
	return r != nil && r.Kind == wire.MessageKind_MESSAGE_KIND_APPEND && r.Accepted && r.LastIndex > index
}

// dropJobs removes the entries from the core and from jobs that are neither durable nor committed.
// It runs on the loop goroutine, while diskLoop waits.
func (n *Node) dropJobs(jobs []*job) {
	if durable, ok := durableAfter(jobs, n.store.LastIndex()); ok {
		dropEntries(jobs, n.core.dropUnpersisted(durable))
	}
}

// durableAfter returns the index of the last entry on disk that stays there once the jobs are done,
// if it is durable now. ok is false if the log on disk is not that of the core because a snapshot
// replaces it.
func durableAfter(jobs []*job, durable uint64) (_ uint64, ok bool) {
	for _, j := range jobs {
		if j.install != nil {
			return 0, false
		}
		if j.truncate != 0 {
			durable = min(durable, j.truncate-1)
		}
	}
	return durable, true
}

// dropEntries removes the entries after keep from jobs, and the replies that acknowledge them.
func dropEntries(jobs []*job, keep uint64) {
	for _, j := range jobs {
		j.entries = slices.DeleteFunc(slices.Clone(j.entries), func(e *wire.LogEntry) bool { return e.Index > keep })
		if acknowledges(j.reply, keep) {
			if j.answer != nil {
				j.answer <- nil
			}
			j.reply, j.answer = nil, nil
		}
	}
}

// setFull records that the disk has no room for commands; nil clears it.
func (n *Node) setFull(err error) {
	n.full = err
	n.core.setFull(err != nil)
	n.onFull(err != nil)
}

// watchDisk marks the storage as failed while a write takes too long, so that the
// member takes no part in the group until it completes.
func (n *Node) watchDisk() {
	var took time.Duration
	if begin := n.writeStart.Load(); begin != nil {
		took = n.clock().Sub(*begin)
	}
	stalled := took >= diskStallTimeouts*n.settings.ElectionTimeout
	switch {
	case stalled && n.storageErr == nil:
		err := fmt.Errorf("disk write has not completed for %v", took.Round(time.Millisecond))
		n.log.Error().Str("event", "storageStalled").Err(err).Msg("")
		n.setStorageErr(err)
		n.diskStalled = true
	case !stalled && n.diskStalled:
		n.diskStalled = false
		n.setStorageErr(nil)
	}
}

// persist writes the jobs to disk. It removes from them what is durable, so that
// another call after a failure continues where this one ended.
func (n *Node) persist(jobs []*job) error {
	if n.store == nil {
		return nil // An observer keeps nothing.
	}
	var hard *hardState
	for i := 0; i < len(jobs); {
		j := jobs[i]
		if j.install != nil {
			s := store.Snapshot{Index: j.install.index, Term: j.install.term, Data: j.install.data}
			if err := n.store.SaveSnapshot(s, j.replaceLog); err != nil {
				return err
			}
			j.install = nil
		}
		if j.truncate != 0 {
			if err := n.store.TruncateSuffix(j.truncate); err != nil {
				return err
			}
			j.truncate = 0
		}
		end := i + 1
		for end < len(jobs) && jobs[end].install == nil && jobs[end].truncate == 0 {
			end++
		}
		if err := n.appendEntries(jobs[i:end]); err != nil {
			return err
		}
		i = end
	}
	// Only the newest hard state is written, after the entries: if it is missing
	// after a crash, the next start takes the term from the log.
	for _, j := range jobs {
		if j.hard != nil {
			hard = j.hard
		}
	}
	if hard == nil {
		return nil
	}
	if err := n.persistHard(hard); err != nil {
		return err
	}
	for _, j := range jobs {
		j.hard = nil
	}
	return nil
}

func (n *Node) persistHard(hard *hardState) error {
	meta := store.Meta{Term: hard.term, Vote: hard.vote, VoteDisk: hard.voteDisk, Group: hard.group}
	if err := n.store.SetMeta(meta); err != nil {
		return err
	}
	n.post(func() { n.core.termDurable(n.clock(), meta.Term) })
	return nil
}

// maxReservedEntries bounds the entries that may use the room for small records at once.
const maxReservedEntries = 16

func (j *job) hasCommands() bool {
	return slices.ContainsFunc(j.entries, func(e *wire.LogEntry) bool { return e.Command != nil })
}

// appendEntries writes the entries of consecutive jobs with one fsync.
func (n *Node) appendEntries(jobs []*job) error {
	var entries []store.Entry
	for _, j := range jobs {
		for _, e := range j.entries {
			data, err := proto.Marshal(e)
			if err != nil {
				return fmt.Errorf("encode entry %d: %w", e.Index, err)
			}
			entries = append(entries, store.Entry{Index: e.Index, Term: e.Term, Data: data})
		}
	}
	write := n.store.Append
	if len(entries) <= maxReservedEntries && !slices.ContainsFunc(jobs, (*job).hasCommands) {
		write = n.store.AppendReserved
	}
	if err := write(entries); err != nil {
		return err
	}
	if len(entries) > 0 {
		last := entries[len(entries)-1]
		n.post(func() { n.core.entriesDurable(n.clock(), last.Index, last.Term) })
	}
	for _, j := range jobs {
		j.entries = nil
	}
	return nil
}

// sendDurable sends the messages and replies of jobs that are durable.
func (n *Node) sendDurable(jobs []*job) {
	for _, j := range jobs {
		for _, m := range j.messages {
			n.dispatch(m)
		}
		if j.reply != nil {
			j.answer <- j.reply
		}
	}
}

// loadState decodes the durable state of a core from the store.
func loadState(s *store.Store) (hardState, *snapshot, []*wire.LogEntry, error) {
	m := s.Meta()
	hard := hardState{term: m.Term, vote: m.Vote, voteDisk: m.VoteDisk, group: m.Group}
	var snap *snapshot
	if stored := s.Snapshot(); stored.Index > 0 {
		var err error
		if snap, err = newSnapshot(stored.Index, stored.Term, stored.Data); err != nil {
			return hardState{}, nil, nil, err
		}
	}
	stored := s.Entries()
	entries := make([]*wire.LogEntry, len(stored))
	for i, e := range stored {
		entries[i] = &wire.LogEntry{}
		if err := proto.Unmarshal(e.Data, entries[i]); err != nil {
			return hardState{}, nil, nil, fmt.Errorf("decode entry %d: %w", e.Index, err)
		}
	}
	return hard, snap, entries, nil
}
