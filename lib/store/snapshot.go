package store

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sort"
)

const (
	snapshotSuffix = ".snap"
	snapshotMagic  = "BRPSNAP1"
)

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	// Index and Term are those of the last entry that the snapshot covers; 0 if there
	// is no snapshot.
	Index uint64
	Term  uint64
	Data  []byte
}

func snapshotName(index uint64) string { return fmt.Sprintf("%020d%s", index, snapshotSuffix) }

// loadSnapshot reads the newest snapshot and removes older ones, which remain if the
// process crashes after the rename.
func (s *Store) loadSnapshot(names []string) error {
	if len(names) == 0 {
		return nil
	}
	sort.Strings(names)
	name := names[len(names)-1]
	path := filepath.Join(s.dir, name)
	b, err := s.readFile(path)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	body, err := decodeFile(path, snapshotMagic, b)
	if err != nil {
		return err
	}
	if len(body) < 16 {
		return &DamageError{File: path, Offset: fileHeaderSize, Reason: "snapshot without index and term"}
	}
	s.snapshot = Snapshot{
		Index: binary.LittleEndian.Uint64(body),
		Term:  binary.LittleEndian.Uint64(body[8:]),
		Data:  body[16:],
	}
	if snapshotName(s.snapshot.Index) != name {
		return &DamageError{
			File: path, Offset: fileHeaderSize,
			Reason: fmt.Sprintf("holds index %d, which does not match the name", s.snapshot.Index),
		}
	}
	for _, old := range names[:len(names)-1] {
		if err := s.files.Remove(filepath.Join(s.dir, old)); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
	}
	return nil
}

// Snapshot returns the newest durable snapshot; its Index is 0 if there is none.
func (s *Store) Snapshot() Snapshot {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.snapshot
}

// SaveSnapshot makes a snapshot durable and removes the segments that it covers. The
// snapshot replaces the whole log if the log ends before it or if replaceLog is set,
// which is needed for a received snapshot that conflicts with the log. A snapshot
// older than the current one is ignored.
func (s *Store) SaveSnapshot(snap Snapshot, replaceLog bool) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	old := s.Snapshot().Index
	if snap.Index < old {
		return nil
	}
	if snap.Index > old {
		// ioMu is not held here, so that Append can continue while the file is written.
		body := binary.LittleEndian.AppendUint64(make([]byte, 0, 16+len(snap.Data)), snap.Index)
		body = binary.LittleEndian.AppendUint64(body, snap.Term)
		body = append(body, snap.Data...)
		if err := s.writeSnapshot(snapshotName(snap.Index), encodeFile(snapshotMagic, body)); err != nil {
			return fmt.Errorf("write snapshot: %w", err)
		}
	}
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	s.snapshot = snap
	if old != 0 && old != snap.Index {
		// The next snapshot gets the room of the old one. If this fails, the next Open removes it.
		_ = s.files.Rename(filepath.Join(s.dir, snapshotName(old)), filepath.Join(s.dir, spareSnapshotName))
	}
	s.prepareSpareSnapshot()
	if replaceLog || s.lastIndex < snap.Index {
		if err := s.writeReservedRecord(record{truncateFrom: 1}); err != nil {
			return fmt.Errorf("truncate log before snapshot: %w", err)
		}
		s.setLastIndex(snap.Index)
	}
	return s.removeSegments(snap.Index)
}
