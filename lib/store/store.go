// Package store implements durable storage for a replicated log, its snapshots and a
// small metadata record in one data directory. A write is durable when its call has
// returned without an error.
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
)

const (
	tmpSuffix           = ".tmp"
	lockName            = "lock"
	defaultSegmentBytes = 4 << 20
)

// Store is an open data directory. Append may be called concurrently; the other
// methods must not run concurrently with Append calls on the same index range.
type Store struct {
	dir   string
	files Files
	// segmentBytes is the size at which a new segment is started.
	segmentBytes int64
	// logLimit bounds the room of all segments in bytes; 0 for no bound.
	logLimit int64
	lockFile *os.File

	// mu guards pending and queuedIndex, and the changes of lastIndex.
	mu sync.Mutex
	// pending collects the entries for the next write; nil if there are none.
	pending *batch
	// queuedIndex is the last index accepted into a batch.
	queuedIndex uint64

	// snapshotMu is held while a snapshot is saved. It is locked before ioMu.
	snapshotMu sync.Mutex

	// ioMu is held during every change of the log and of the meta file.
	ioMu sync.Mutex
	meta Meta
	// metaExchanged is set from an exchange of the meta file and its spare until the directory is synced.
	// Until then, a loss of power may give the spare the name of the meta file again, so it is not written.
	metaExchanged bool
	snapshot      Snapshot
	// entries holds the entries read by Open until Entries returns them.
	entries []Entry
	// lastIndex is the index of the last durable entry, or of the snapshot if the log
	// has no entry after it.
	lastIndex uint64
	// segments are ordered by number; the last one is active.
	segments []*segment
	active   *os.File
	// logBytes is the size of all segments.
	logBytes atomic.Int64
	// reserved is the length up to which the active segment has room.
	reserved int64
	// writeErr is set after a failed fsync of the active segment or an incomplete clean-up. What the
	// active segment holds behind its size is then unknown, and all writes to the log and the meta file
	// return this error until heal has removed it.
	writeErr error
	// tailCut is set from the removal of a part of a record from the active segment until a sync.
	tailCut bool
	// unfinished is the path of a segment that could not be removed after its creation had failed; empty
	// if there is none.
	unfinished string
}

// Option changes a Store.
type Option func(*Store)

// WithFiles replaces the file operations, so that tests can inject faults.
func WithFiles(f Files) Option { return func(s *Store) { s.files = f } }

// WithSegmentBytes sets the size at which a new segment file is started.
func WithSegmentBytes(n int64) Option { return func(s *Store) { s.segmentBytes = n } }

// WithLogLimit bounds the room of the log in bytes. Append fails beyond it, as on a full disk, until a
// snapshot has freed segments.
func WithLogLimit(n int64) Option { return func(s *Store) { s.logLimit = n } }

// Open opens the data directory. A missing or empty directory is initialized with a
// new random disk identity. Open truncates a last record that a crash left
// incomplete. Any other damage is returned as a *DamageError, and the damaged file is
// left unchanged.
func Open(dir string, opts ...Option) (*Store, error) {
	s := &Store{dir: dir, files: OSFiles(), segmentBytes: defaultSegmentBytes}
	for _, opt := range opts {
		opt(s)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create data directory: %w", err)
	}
	if err := s.lockDir(); err != nil {
		return nil, err
	}
	if err := s.load(); err != nil {
		_ = s.Close()
		return nil, err
	}
	s.prepareSpares()
	return s, nil
}

// lockDir locks the directory, because two processes with the same disk identity
// could vote twice in one term.
func (s *Store) lockDir() error {
	f, err := os.OpenFile(filepath.Join(s.dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("open lock file: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return fmt.Errorf("data directory %s is in use by another process: %w", s.dir, err)
	}
	s.lockFile = f
	return nil
}

func (s *Store) load() error {
	names, err := os.ReadDir(s.dir)
	if err != nil {
		return fmt.Errorf("list data directory: %w", err)
	}
	var segments, snapshots []string
	for _, n := range names {
		switch name := n.Name(); {
		case strings.HasSuffix(name, tmpSuffix):
			if err := s.files.Remove(filepath.Join(s.dir, name)); err != nil {
				return fmt.Errorf("remove unfinished file: %w", err)
			}
		case strings.HasSuffix(name, segmentSuffix):
			segments = append(segments, name)
		case strings.HasSuffix(name, snapshotSuffix):
			snapshots = append(snapshots, name)
		}
	}
	var found bool
	if s.meta, found, err = s.loadMeta(); err != nil {
		return err
	}
	if !found {
		if len(segments)+len(snapshots) > 0 {
			return &DamageError{
				File:   filepath.Join(s.dir, metaName),
				Reason: "file is missing, but the directory holds a log or a snapshot",
			}
		}
		s.meta = Meta{Disk: NewDiskID()}
		if err := s.saveMeta(s.meta); err != nil {
			return err
		}
	}
	// The first segment is created before the first term is stored, so a directory
	// with a term, a group or a snapshot must have a segment.
	if len(segments) == 0 && (s.meta.Term > 0 || len(s.meta.Group) > 0 || len(snapshots) > 0) {
		return &DamageError{File: s.dir, Reason: "all log segments are missing"}
	}
	if err := s.loadSnapshot(snapshots); err != nil {
		return err
	}
	return s.loadSegments(segments)
}

// LastIndex returns the index of the last durable entry, or of the snapshot if the log has no
// entry after it.
func (s *Store) LastIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastIndex
}

// Meta returns the metadata record.
func (s *Store) Meta() Meta {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.meta
}

// SetMeta replaces the metadata record, except for the disk identity.
func (s *Store) SetMeta(m Meta) error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	if err := s.heal(); err != nil {
		return err
	}
	m.Disk = s.meta.Disk
	if err := s.saveMeta(m); err != nil {
		return err
	}
	s.meta = m
	return nil
}

// Entries returns the log entries after the snapshot as read by Open and releases
// their memory. A second call returns nil.
func (s *Store) Entries() []Entry {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	e := s.entries
	s.entries = nil
	return e
}

// Close closes the files and unlocks the directory. It must not run concurrently with
// other methods.
func (s *Store) Close() error {
	var err error
	if s.active != nil {
		err = s.active.Close()
	}
	if lockErr := s.lockFile.Close(); lockErr != nil {
		err = errors.Join(err, lockErr)
	}
	if err != nil {
		return fmt.Errorf("close store: %w", err)
	}
	return nil
}
