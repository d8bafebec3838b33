package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// A member must still be able to vote, and to replace its log by a snapshot, when other files have
// filled the disk. So the meta file and the snapshot each have a spare file with allocated room for
// the next version, which then takes their place, and the active segment has allocated room beyond
// its end for small records.
const (
	spareMetaName     = "meta.spare"
	spareSnapshotName = "snapshot.spare"
	// spareMetaBytes is the room of the spare meta file, one block of the usual file systems.
	spareMetaBytes = 4 << 10
	// logReserveBytes is the room for records of AppendReserved and of removed suffixes. It is
	// enough for some hundred elections.
	logReserveBytes = 64 << 10
	// reserveStepBytes is the room that is allocated at once for further records, so that not
	// each of them needs an allocation.
	reserveStepBytes = 64 << 10
	// spareSnapshotMargin is the growth of the next snapshot for which its spare file has room. A
	// configuration of 5 MB fits a disk of 16 MB with it.
	spareSnapshotMargin = 128 << 10
)

// IsFull reports whether err, of a method of Store, means that the disk has no room.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// cannotReserve reports whether err means that the file system does not allocate in advance or
// does not exchange names. Then only an ordinary write shows whether there is room.
func cannotReserve(err error) bool {
	return errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) || errors.Is(err, syscall.EINVAL)
}

// HasRoom reports whether n bytes of records fit the log, with the room for small records left.
func (s *Store) HasRoom(n int64) bool {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.heal() == nil && s.reserveLog(n) == nil
}

// MayFit returns an error that says why a record of n bytes does not fit the disk, as far as its file
// system tells, or the limit of the log; nil if it may fit. Unlike HasRoom, it allocates nothing and
// waits for no write.
func (s *Store) MayFit(n int64) error {
	if free, err := s.files.Free(s.dir); err == nil && n+logReserveBytes > free {
		return fmt.Errorf("%d bytes do not fit the %d that are free: %w", n, free, syscall.ENOSPC)
	}
	return s.checkLimit(s.logBytes.Load(), n)
}

// checkLimit returns an error if a log with the given size has no room for a record of n bytes, and
// small ones after it, within its limit.
func (s *Store) checkLimit(size, n int64) error {
	if s.logLimit > 0 && size+n+logReserveBytes+reserveStepBytes > s.logLimit {
		return fmt.Errorf("log of %d bytes has no room for %d more within its limit of %d: %w", size, n, s.logLimit, syscall.EDQUOT)
	}
	return nil
}

// countLog updates logBytes. The caller holds ioMu, or no other goroutine uses s yet.
func (s *Store) countLog() {
	size := int64(0)
	for _, seg := range s.segments {
		size += seg.size
	}
	s.logBytes.Store(size)
}

// reserveLog allocates the room for a record of n bytes in the active segment, and for small
// records after it. The caller holds ioMu.
func (s *Store) reserveLog(n int64) error {
	if err := s.checkLimit(s.logBytes.Load(), n); err != nil {
		return err
	}
	want := s.segments[len(s.segments)-1].size + n + logReserveBytes
	if want <= s.reserved {
		return nil
	}
	reserved, err := reserve(s.files, s.active, want)
	if err != nil {
		return err
	}
	s.reserved = reserved
	return nil
}

// reserve allocates want bytes for f, and if possible some more. It returns how many.
func reserve(files Files, f *os.File, want int64) (int64, error) {
	err := files.Reserve(f, want+reserveStepBytes)
	if err == nil {
		return want + reserveStepBytes, nil
	}
	if IsFull(err) {
		err = files.Reserve(f, want)
	}
	if err != nil && !cannotReserve(err) {
		return 0, fmt.Errorf("allocate %d bytes for %s: %w", want, f.Name(), err)
	}
	return want, nil
}

// prepareSpares creates the spare files as far as there is room, and gives the active segment
// its room. It is tried again with the next write that it serves. The caller holds ioMu, or no
// other goroutine uses s yet.
func (s *Store) prepareSpares() {
	s.countLog()
	_ = s.reserveLog(0)
	s.prepareSpareMeta()
	s.prepareSpareSnapshot()
}

// prepareSpareMeta writes the spare meta file, if there is none.
func (s *Store) prepareSpareMeta() {
	path := filepath.Join(s.dir, spareMetaName)
	if info, err := os.Stat(path); err == nil && info.Size() > 0 {
		return
	}
	if err := s.writeFile(path, make([]byte, spareMetaBytes)); err != nil {
		_ = s.files.Remove(path)
	}
}

// prepareSpareSnapshot gives the spare file the room for a snapshot that is longer than the last
// one by the margin.
func (s *Store) prepareSpareSnapshot() {
	f, err := s.files.OpenFile(filepath.Join(s.dir, spareSnapshotName), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	n := int64(fileHeaderSize + 16 + len(s.snapshot.Data))
	if err := s.files.Reserve(f, n+spareSnapshotMargin); IsFull(err) {
		_ = s.files.Reserve(f, n)
	}
	_ = f.Close()
}

// swapMeta writes the meta file in the room of its spare file, which takes its place. done is
// false if that is not possible here.
func (s *Store) swapMeta(data []byte) (done bool, err error) {
	spare := filepath.Join(s.dir, spareMetaName)
	if info, err := os.Stat(spare); err != nil || info.Size() == 0 || len(data) > spareMetaBytes {
		return false, nil
	}
	if err := s.syncExchange(); err != nil {
		return false, err
	}
	if err := s.overwriteFile(spare, data); err != nil {
		return false, fmt.Errorf("write spare file: %w", err)
	}
	err = s.files.Exchange(spare, filepath.Join(s.dir, metaName))
	switch {
	case cannotReserve(err), errors.Is(err, os.ErrNotExist):
		return false, nil // The first meta file has nothing to swap with.
	case err != nil:
		return false, fmt.Errorf("swap names: %w", err)
	}
	s.metaExchanged = true
	return true, s.syncExchange()
}

// syncExchange makes the last exchange of the meta file and its spare durable, if it is not yet.
func (s *Store) syncExchange() error {
	if !s.metaExchanged {
		return nil
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	s.metaExchanged = false
	return nil
}

// overwriteFile replaces the content of a file in the room that it has, and syncs it.
func (s *Store) overwriteFile(path string, data []byte) error {
	f, err := s.files.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = s.files.Write(f, data); err == nil {
		err = s.files.Truncate(f, int64(len(data)))
	}
	if err == nil {
		if err = s.files.Sync(f); err != nil {
			err = fmt.Errorf("sync %s: %w", path, err)
		}
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// writeSnapshot durably writes the file of a new snapshot in the room of the spare file.
func (s *Store) writeSnapshot(name string, data []byte) error {
	path, spare := filepath.Join(s.dir, name), filepath.Join(s.dir, spareSnapshotName)
	tmp := path + tmpSuffix
	if _, err := os.Stat(spare); err == nil {
		if err := s.files.Rename(spare, tmp); err != nil {
			return fmt.Errorf("use spare file: %w", err)
		}
	}
	if err := s.writeReserved(tmp, data); err != nil {
		// The room stays, for the next attempt.
		if renameErr := s.files.Rename(tmp, spare); renameErr != nil {
			_ = s.files.Remove(tmp)
		}
		return err
	}
	if err := s.files.Rename(tmp, path); err != nil {
		_ = s.files.Remove(tmp)
		return fmt.Errorf("rename: %w", err)
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}

// writeReserved is overwriteFile, except that it takes no room if there is not enough for all of
// the data.
func (s *Store) writeReserved(path string, data []byte) error {
	f, err := s.files.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = s.files.Reserve(f, int64(len(data)))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil && !cannotReserve(err) {
		return fmt.Errorf("allocate %d bytes: %w", len(data), err)
	}
	return s.overwriteFile(path, data)
}
