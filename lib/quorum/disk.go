package quorum

import (
	"fmt"
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
	for {
		jobs := n.jobs.wait(n.closing)
		if jobs == nil {
			return
		}
		begin := n.clock()
		n.writeStart.Store(&begin)
		failed := false
		for {
			err := n.persist(jobs)
			if err == nil {
				break
			}
			n.log.Error().Str("event", "storageFailed").Err(err).Msg("")
			failed = true
			n.post(func() { n.setStorageErr(err) })
			select {
			case <-n.closing:
				return
			case <-time.After(writeRetryDelay):
			}
		}
		n.writeStart.Store(nil)
		if failed {
			n.log.Info().Str("event", "storageRecovered").Msg("")
			n.post(func() { n.setStorageErr(nil) })
		}
		n.sendDurable(jobs)
	}
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
	meta := store.Meta{Term: hard.term, Vote: hard.vote, VoteDisk: hard.voteDisk, Group: hard.group}
	if err := n.store.SetMeta(meta); err != nil {
		return err
	}
	n.post(func() { n.core.termDurable(n.clock(), meta.Term) })
	return nil
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
	if err := n.store.Append(entries); err != nil {
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
