package store

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// loadSegments reads the log. A torn record at the end of the last segment is truncated.
func (s *Store) loadSegments(names []string) error {
	found, err := s.listSegments(names)
	if err != nil {
		return err
	}
	start := lastRun(found)
	s.segments = found[start:]
	for i, seg := range s.segments {
		if err := s.loadSegment(seg, i == len(s.segments)-1); err != nil {
			return err
		}
	}
	if err := s.checkStart(start > 0); err != nil {
		return err
	}
	dropped, err := s.reconcileSnapshot()
	if err != nil {
		return err
	}
	if err := s.dropLeftovers(found[:start]); err != nil {
		return err
	}
	if len(s.segments) == 0 {
		return s.createSegment(1, 0)
	}
	if n := len(s.segments); n > 1 && s.segments[n-1].size < int64(len(segmentMagic)) {
		// A crash interrupted the creation of the file. On a full disk its header could not be
		// written now.
		if err := s.files.Remove(s.segments[n-1].path); err != nil {
			return fmt.Errorf("remove unfinished segment: %w", err)
		}
		s.segments = s.segments[:n-1]
	}
	if err := s.openActive(); err != nil {
		return err
	}
	if dropped {
		// Without this record, the next replay would find new entries that do not
		// follow the dropped ones.
		if err := s.writeReservedRecord(record{truncateFrom: 1}); err != nil {
			return fmt.Errorf("truncate log before snapshot: %w", err)
		}
	}
	return nil
}

// listSegments returns the segments with the given file names, ordered by number.
func (s *Store) listSegments(names []string) ([]*segment, error) {
	slices.Sort(names)
	found := make([]*segment, len(names))
	for i, name := range names {
		path := filepath.Join(s.dir, name)
		number, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 10, 64)
		if err != nil {
			return nil, &DamageError{File: path, Reason: "file name is not a segment number"}
		}
		found[i] = &segment{number: number, path: path}
	}
	return found, nil
}

// lastRun returns the position of the first segment after the last gap in the numbers.
func lastRun(found []*segment) (start int) {
	for i := 1; i < len(found); i++ {
		if found[i].number != found[i-1].number+1 {
			start = i
		}
	}
	return start
}

// checkStart returns an error if entries are missing between the snapshot and the first segment. gap is
// set if segments are missing before it and earlier ones are there. They were removed together, and a
// loss of power has kept some: then all of them were covered by the snapshot.
func (s *Store) checkStart(gap bool) error {
	if len(s.segments) == 0 {
		return nil
	}
	first := s.segments[0]
	switch {
	case first.begins > s.snapshot.Index+1 && gap:
		return &DamageError{File: first.path, Reason: fmt.Sprintf("segment %d is missing before it", first.number-1)}
	case first.begins > s.snapshot.Index+1:
		return &DamageError{
			File:   first.path,
			Reason: fmt.Sprintf("log starts at entry %d, but the snapshot ends at %d", first.begins, s.snapshot.Index),
		}
	case gap && first.begins == 0 && (s.snapshot.Index == 0 || first.size < int64(len(segmentMagic))):
		// Segments are removed only after a snapshot, and after the next segment is complete.
		return &DamageError{File: first.path, Reason: fmt.Sprintf("segment %d is missing before it", first.number-1)}
	}
	return nil
}

// dropLeftovers removes the segments before a gap. The snapshot covers them, and their removal was not
// durable when the power was lost.
func (s *Store) dropLeftovers(leftovers []*segment) error {
	for _, seg := range leftovers {
		if err := s.files.Remove(seg.path); err != nil {
			return fmt.Errorf("remove covered segment: %w", err)
		}
	}
	return nil // openActive syncs the directory.
}

func (s *Store) loadSegment(seg *segment, last bool) error {
	data, err := s.readFile(seg.path)
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	records, valid, err := decodeSegment(seg.path, s.checksumSeed(), data, last)
	if err != nil {
		return err
	}
	seg.size, seg.head = valid, min(valid, int64(len(segmentMagic)))
	if len(records) > 0 {
		seg.begins = records[0].begins()
	}
	if len(records) > 0 && records[0].truncateFrom != 0 {
		seg.head += int64(len(encodeRecord(0, records[0])))
	}
	for _, r := range records {
		if err := s.replay(seg, r); err != nil {
			return err
		}
	}
	return nil
}

// replay applies one record of the log to the entries in memory.
func (s *Store) replay(seg *segment, r record) error {
	if r.truncateFrom != 0 {
		n := len(s.entries)
		for n > 0 && s.entries[n-1].Index >= r.truncateFrom {
			n--
		}
		s.entries = s.entries[:n]
		return nil
	}
	for _, e := range r.entries {
		if n := len(s.entries); n > 0 && e.Index != s.entries[n-1].Index+1 {
			return &DamageError{
				File:   seg.path,
				Reason: fmt.Sprintf("entry %d follows entry %d", e.Index, s.entries[n-1].Index),
			}
		}
		s.entries = append(s.entries, e)
		seg.maxIndex = max(seg.maxIndex, e.Index)
	}
	return nil
}

// reconcileSnapshot drops the entries that the snapshot covers. It drops the whole log
// if the log ends before the snapshot or has a different entry at the snapshot's index:
// the process was then killed after saving a received snapshot and before truncating
// the log.
func (s *Store) reconcileSnapshot() (dropped bool, err error) {
	s.lastIndex, s.queuedIndex = s.snapshot.Index, s.snapshot.Index
	if len(s.entries) == 0 {
		return false, nil
	}
	first, last := s.entries[0].Index, s.entries[len(s.entries)-1].Index
	if first > s.snapshot.Index+1 {
		return false, &DamageError{
			File:   s.segments[0].path,
			Reason: fmt.Sprintf("log starts at entry %d, but the snapshot ends at %d", first, s.snapshot.Index),
		}
	}
	conflict := first <= s.snapshot.Index && last >= s.snapshot.Index &&
		s.entries[s.snapshot.Index-first].Term != s.snapshot.Term
	if last < s.snapshot.Index || conflict {
		s.entries = nil
		return true, nil
	}
	s.entries = s.entries[s.snapshot.Index+1-first:]
	s.lastIndex, s.queuedIndex = last, last
	return false, nil
}

// openActive opens the last segment for appending and truncates a torn record.
func (s *Store) openActive() error {
	seg := s.segments[len(s.segments)-1]
	f, err := s.files.OpenFile(seg.path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	s.active = f
	if seg.size < int64(len(segmentMagic)) {
		// A crash interrupted the creation of the file.
		if err := s.files.Truncate(f, 0); err != nil {
			return fmt.Errorf("truncate torn segment header: %w", err)
		}
		if _, err := s.files.Write(f, []byte(segmentMagic)); err != nil {
			return fmt.Errorf("write segment header: %w", err)
		}
		seg.size, seg.head = int64(len(segmentMagic)), int64(len(segmentMagic))
	} else if err := s.files.Truncate(f, seg.size); err != nil {
		return fmt.Errorf("truncate torn record: %w", err)
	}
	if err := s.files.Sync(f); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	// The process may have crashed after creating the file and before syncing the
	// directory.
	if err := s.files.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}
