package store

import (
	"fmt"
	"os"
	"path/filepath"
)

const segmentSuffix = ".log"

// segment is one file of the log.
type segment struct {
	number uint64
	path   string
	// size is the length of the durable data in bytes, and head that of the header and of the record
	// that says where the segment begins.
	size, head int64
	// begins is the index from which on the segment holds the log: all before it is in earlier segments or
	// in the snapshot. It is 0 for a segment of an earlier version without a record.
	begins uint64
	// maxIndex is the highest index of any entry in the file.
	maxIndex uint64
}

// full reports whether the next record belongs in a new segment. A segment holds one record at least.
func (seg *segment) full(limit int64) bool { return seg.size >= limit && seg.size > seg.head }

// batch is a set of entries that share one write and one fsync (group commit).
type batch struct {
	entries []Entry
	done    chan struct{}
	err     error
	// reserved is set if all entries are those of AppendReserved.
	reserved bool
}

// createSegment creates the segment with the given number, with room for a record of n bytes, and
// makes it active. Without that room the active segment stays, and with it its own.
//
// The first record of all segments but the first one says where the segment begins, as the removal of a
// suffix that is not there. So it is known whether segments that are missing before it are covered by the
// snapshot.
func (s *Store) createSegment(number uint64, n int64) error {
	path := filepath.Join(s.dir, fmt.Sprintf("%020d%s", number, segmentSuffix))
	if err := s.syncTail(); err != nil {
		return err
	}
	begins, head := s.LastIndex()+1, []byte(segmentMagic)
	if s.active != nil {
		head = append(head, encodeRecord(s.checksumSeed(), record{truncateFrom: begins})...)
	}
	size := int64(len(head))
	err := s.writeFile(path, head)
	if err == nil {
		err = s.files.SyncDir(s.dir)
	}
	var f *os.File
	if err == nil {
		f, err = s.files.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	}
	reserved := int64(0)
	if err == nil && s.active != nil {
		reserved, err = reserve(s.files, f, size+n+logReserveBytes)
	}
	if err != nil {
		if f != nil {
			_ = f.Close()
		}
		if rmErr := s.removeUnfinished(path); rmErr != nil {
			s.writeErr, s.unfinished = rmErr, path
		}
		return fmt.Errorf("create segment: %w", err)
	}
	if s.active != nil {
		_ = s.files.Truncate(s.active, s.segments[len(s.segments)-1].size) // It needs no more room.
		_ = s.active.Close()
	}
	s.active, s.reserved = f, reserved
	s.segments = append(s.segments, &segment{number: number, path: path, size: size, head: size, begins: begins})
	return nil
}

// Append appends entries and makes them durable. The first index must follow the
// last one in the log. Concurrent calls share one fsync. After an error none of the
// entries counts as part of the log, and earlier entries are unaffected. Only after a
// failed fsync is it unknown until the next Open whether the entries were written.
func (s *Store) Append(entries []Entry) error { return s.append(entries, false) }

// AppendReserved is Append for a few small entries without which a member cannot stay in its group:
// they may use the room that Append leaves for them.
func (s *Store) AppendReserved(entries []Entry) error { return s.append(entries, true) }

func (s *Store) append(entries []Entry, reserved bool) error {
	if len(entries) == 0 {
		return nil
	}
	s.mu.Lock()
	for i, e := range entries {
		if want := s.queuedIndex + 1 + uint64(i); e.Index != want {
			s.mu.Unlock()
			return fmt.Errorf("append entry %d: expected entry %d", e.Index, want)
		}
	}
	s.queuedIndex = entries[len(entries)-1].Index
	b := s.pending
	if b != nil {
		b.entries = append(b.entries, entries...)
		b.reserved = b.reserved && reserved
		s.mu.Unlock()
		<-b.done
		return b.err
	}
	b = &batch{entries: append([]Entry(nil), entries...), done: make(chan struct{}), reserved: reserved}
	s.pending = b
	s.mu.Unlock()
	s.flush(b)
	return b.err
}

// flush writes the batch. Other callers can add entries to the batch until the
// previous write has ended.
func (s *Store) flush(b *batch) {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	s.mu.Lock()
	if s.pending == b {
		s.pending = nil
	}
	err := b.err
	s.mu.Unlock()
	if err == nil {
		if b.reserved {
			err = s.writeReservedRecord(record{entries: b.entries})
		} else {
			err = s.write(record{entries: b.entries})
		}
	}
	s.mu.Lock()
	b.err = err
	if err == nil {
		s.lastIndex = b.entries[len(b.entries)-1].Index
	} else {
		s.queuedIndex = s.lastIndex
		if s.pending != nil {
			// The waiting entries would follow entries that were not written.
			s.pending.err = err
			s.pending = nil
		}
	}
	s.mu.Unlock()
	close(b.done)
}

// write appends one record to the active segment, or to a new one, and syncs it. It fails, and
// writes nothing, if there would be no room for small records afterwards.
func (s *Store) write(r record) error {
	if err := s.heal(); err != nil {
		return err
	}
	b := encodeRecord(s.checksumSeed(), r)
	if seg := s.segments[len(s.segments)-1]; seg.full(s.segmentBytes) {
		if err := s.checkLimit(s.logBytes.Load(), int64(len(b))); err != nil {
			return fmt.Errorf("append to %s: %w", seg.path, err)
		}
		if err := s.createSegment(seg.number+1, int64(len(b))); err != nil {
			return err
		}
	} else if err := s.reserveLog(int64(len(b))); err != nil {
		return fmt.Errorf("append to %s: %w", seg.path, err)
	}
	return s.writeRecord(r, b)
}

// writeReservedRecord appends one small record to the active segment and syncs it.
func (s *Store) writeReservedRecord(r record) error {
	if err := s.heal(); err != nil {
		return err
	}
	return s.writeRecord(r, encodeRecord(s.checksumSeed(), r))
}

func (s *Store) writeRecord(r record, b []byte) error {
	seg := s.segments[len(s.segments)-1]
	if _, err := s.files.Write(s.active, b); err != nil {
		err = fmt.Errorf("append to %s: %w", seg.path, err)
		// Remove the part that was written, so that it does not precede the next
		// record.
		if cutErr := s.files.Truncate(s.active, seg.size); cutErr != nil {
			s.writeErr = fmt.Errorf("truncate incomplete record: %w", cutErr)
			return err
		}
		s.tailCut = true
		s.reserved = 0 // The room beyond the end is gone.
		_ = s.reserveLog(0)
		return err
	}
	if err := s.files.Sync(s.active); err != nil {
		// The kernel may drop dirty pages after a failed fsync, so a later successful
		// fsync does not prove that the data is durable. It is written again after heal.
		s.writeErr = fmt.Errorf("sync %s: %w", seg.path, err)
		return s.writeErr
	}
	s.tailCut = false
	seg.size += int64(len(b))
	s.countLog()
	if n := len(r.entries); n > 0 {
		seg.maxIndex = max(seg.maxIndex, r.entries[n-1].Index)
	}
	return nil
}

// heal makes the log writable again after a failure, if the disk is: it removes a segment whose creation
// has failed, and from the active one all that is not known to be durable. It returns writeErr if that
// is not possible yet. The caller holds ioMu.
//
// A sync after the removal proves that it is durable: what an earlier sync has covered is not written
// again, and what has failed is gone from the cache of the kernel, too.
func (s *Store) heal() error {
	if s.writeErr == nil {
		return nil
	}
	if s.unfinished != "" {
		if err := s.removeUnfinished(s.unfinished); err != nil {
			return s.writeErr
		}
		s.unfinished = ""
	}
	if err := s.files.Truncate(s.active, s.segments[len(s.segments)-1].size); err != nil {
		return s.writeErr
	}
	s.reserved = 0 // The room beyond the end is gone.
	if err := s.files.Sync(s.active); err != nil {
		return s.writeErr
	}
	s.writeErr, s.tailCut = nil, false
	return nil
}

// removeUnfinished durably removes a segment whose creation has failed. If it stayed behind, or came back
// after a loss of power, the next Open would end the log where it begins.
func (s *Store) removeUnfinished(path string) error {
	err := s.files.Remove(path)
	if err == nil || os.IsNotExist(err) {
		err = s.files.SyncDir(s.dir)
	}
	if err != nil {
		return fmt.Errorf("remove unfinished segment: %w", err)
	}
	return nil
}

// syncTail makes the removal of a part of a record from the active segment durable, if it is not yet. Only
// the last segment may end with such a part.
func (s *Store) syncTail() error {
	if !s.tailCut {
		return nil
	}
	if err := s.files.Sync(s.active); err != nil {
		s.writeErr = fmt.Errorf("sync %s: %w", s.active.Name(), err)
		return s.writeErr
	}
	s.tailCut = false
	return nil
}

// TruncateSuffix removes the entries with index from and higher. The removal is
// appended as a record instead of shortening the file, so that a crash never loses
// earlier entries.
func (s *Store) TruncateSuffix(from uint64) error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	if from <= s.snapshot.Index {
		return fmt.Errorf("truncate from entry %d: the snapshot covers %d", from, s.snapshot.Index)
	}
	if from > s.lastIndex {
		return nil
	}
	return s.truncate(from)
}

func (s *Store) truncate(from uint64) error {
	if err := s.writeReservedRecord(record{truncateFrom: from}); err != nil {
		return fmt.Errorf("truncate log: %w", err)
	}
	s.setLastIndex(from - 1)
	return nil
}

func (s *Store) setLastIndex(index uint64) {
	s.mu.Lock()
	s.lastIndex, s.queuedIndex = index, index
	s.mu.Unlock()
}

// TruncatePrefix removes the leading segments whose entries are all covered by the
// snapshot and have an index of at most through.
func (s *Store) TruncatePrefix(through uint64) error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.removeSegments(min(through, s.snapshot.Index))
}

// removeSegments removes the segments that are covered through the given index. A loss of power before
// their directory is synced keeps any of them, with gaps between them; see dropLeftovers.
func (s *Store) removeSegments(through uint64) error {
	removed := false
	if last := s.segments[len(s.segments)-1]; last.full(s.segmentBytes) && last.maxIndex <= through && s.heal() == nil {
		// The active segment is full and free as well once there is another one. If there is no
		// room for that, it stays until the next record.
		_ = s.createSegment(last.number+1, 0)
	}
	for len(s.segments) > 1 && s.segments[0].maxIndex <= through {
		if err := s.files.Remove(s.segments[0].path); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		s.segments = s.segments[1:]
		removed = true
	}
	s.countLog()
	if !removed {
		return nil
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}
