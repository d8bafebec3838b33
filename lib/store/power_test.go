package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// powerEntries is the number of entries of the log in the tests of losses of power; each has a segment
// of its own.
const powerEntries = 7

// removedFiles plays the removal of files whose directory is not synced yet. A loss of power keeps or
// loses each of them by itself.
type removedFiles struct {
	dir string
	// unsynced holds the content of the removed files by name; order is that of their removal.
	unsynced map[string][]byte
	order    []string
	// lose is called before each sync of the directory that follows a removal.
	lose func()
}

func (r *removedFiles) files() Files {
	files := OSFiles()
	files.Remove = func(path string) error {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.HasSuffix(path, segmentSuffix) {
			r.unsynced[filepath.Base(path)] = content
			r.order = append(r.order, filepath.Base(path))
		}
		return os.Remove(path)
	}
	files.SyncDir = func(dir string) error {
		if len(r.order) > 0 {
			r.lose()
		}
		r.unsynced, r.order = map[string][]byte{}, nil
		return syncDir(dir)
	}
	return files
}

// afterPowerLoss returns the directory as a loss of power leaves it after the first n removals, of which
// those in the bits of kept were lost.
func (r *removedFiles) afterPowerLoss(tb testing.TB, n int, kept uint) string {
	dir := copyAfterCrash(tb, r.dir)
	for i, name := range r.order {
		if i >= n || kept&(1<<i) != 0 {
			assert.NilError(tb, os.WriteFile(filepath.Join(dir, name), r.unsynced[name], 0o600))
		}
	}
	return dir
}

// withoutBegins rewrites the segments as versions before that of their first record did.
func withoutBegins(tb testing.TB, dir string) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	assert.NilError(tb, err)
	for _, name := range names {
		b, err := os.ReadFile(name)
		assert.NilError(tb, err)
		if r, n, err := decodeRecord(seedOf(tb, dir), b[len(segmentMagic):]); err == nil && r.truncateFrom != 0 {
			b = append(b[:len(segmentMagic):len(segmentMagic)], b[len(segmentMagic)+n:]...)
		}
		assert.NilError(tb, os.WriteFile(name, b, 0o600))
	}
}

func seedOf(tb testing.TB, dir string) uint32 {
	s := &Store{dir: dir, files: OSFiles()}
	var err error
	s.meta, _, err = s.loadMeta()
	assert.NilError(tb, err)
	return s.checksumSeed()
}

// checkAfterPowerLoss opens the directory, checks its snapshot and the entries after it, appends one and
// opens it again.
func checkAfterPowerLoss(tb testing.TB, dir string, snapshot, last uint64) {
	for round := range uint64(2) {
		s, err := Open(dir, WithSegmentBytes(10))
		assert.NilError(tb, err)
		assert.Equal(tb, s.Snapshot().Index, snapshot)
		entries := s.Entries()
		assert.Equal(tb, len(entries), int(last+round-snapshot))
		for i, e := range entries {
			assert.Equal(tb, e.Index, snapshot+1+uint64(i))
		}
		assert.NilError(tb, s.Append(makeEntries(last+round+1, last+round+1, 2)))
		assert.NilError(tb, s.Close())
	}
}

// Guards against a member that never starts again after a loss of power while a snapshot replaces the
// log: of the covered segments, whose removal is not durable yet, some come back, with gaps between them.
func TestPowerLossWhileTheLogIsReplaced(t *testing.T) {
	for _, snapshot := range []uint64{powerEntries - 2, powerEntries} {
		for _, earlier := range []bool{false, true} {
			t.Run(fmt.Sprintf("snapshot=%d/earlier=%v", snapshot, earlier), func(t *testing.T) {
				r := &removedFiles{dir: t.TempDir(), unsynced: map[string][]byte{}}
				losses := 0
				r.lose = func() {
					for n := range len(r.order) + 1 {
						for kept := range uint(1) << n {
							dir := r.afterPowerLoss(t, n, kept)
							if earlier {
								withoutBegins(t, dir)
							}
							checkAfterPowerLoss(t, dir, snapshot, powerEntries)
							losses++
						}
					}
				}
				s := openStore(t, r.dir, WithFiles(r.files()), WithSegmentBytes(10))
				for i := uint64(1); i <= powerEntries; i++ {
					assert.NilError(t, s.Append(makeEntries(i, i, 1)))
				}
				assert.NilError(t, s.SaveSnapshot(Snapshot{Index: snapshot, Term: 1, Data: []byte("state")}, false))
				assert.NilError(t, s.Close())
				assert.Equal(t, losses, 1<<(snapshot+1)-1)
			})
		}
	}
}

// Guards against a log that is read as complete although entries after its snapshot are missing: segments
// that the snapshot does not cover were lost, with or without covered ones.
func TestMissingSegmentsAreNotTakenForCovered(t *testing.T) {
	const snapshot = 3
	dir := t.TempDir()
	s := openStore(t, dir, WithSegmentBytes(10))
	for i := uint64(1); i <= powerEntries; i++ {
		assert.NilError(t, s.Append(makeEntries(i, i, 1)))
	}
	files := map[int]string{}
	for i, seg := range s.segments {
		files[i] = filepath.Base(seg.path)
	}
	before := copyAfterCrash(t, dir)
	assert.NilError(t, s.SaveSnapshot(Snapshot{Index: snapshot, Term: 1, Data: []byte("state")}, false))
	assert.NilError(t, s.Close())
	name := snapshotName(snapshot)
	content, err := os.ReadFile(filepath.Join(dir, name))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(before, name), content, 0o600))
	for _, earlier := range []bool{false, true} {
		// The last segment stays: a log that ends early can't be told from one that ended there.
		for missing := range uint(1) << (powerEntries - 1) {
			dir := copyAfterCrash(t, before)
			if earlier {
				withoutBegins(t, dir)
			}
			for i := range powerEntries - 1 {
				if missing&(1<<i) != 0 {
					assert.NilError(t, os.Remove(filepath.Join(dir, files[i])))
				}
			}
			if missing>>snapshot == 0 {
				checkAfterPowerLoss(t, dir, snapshot, powerEntries)
				continue
			}
			_, err := Open(dir)
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage), "missing %b: got %v", missing, err)
		}
	}
}

// Guards against a meta file that is written in place: the sync of the directory has failed after the
// exchange of names, so that the name of the meta file may still lead to the file that is the spare now.
func TestFailedSyncOfTheExchangedMetaFile(t *testing.T) {
	dir := t.TempDir()
	files := OSFiles()
	failing, exchanged := false, false
	files.Exchange = func(a, b string) error {
		exchanged = true
		return OSFiles().Exchange(a, b)
	}
	files.SyncDir = func(dir string) error {
		if failing {
			return syscall.EIO
		}
		exchanged = false
		return syncDir(dir)
	}
	files.OpenFile = func(path string, flag int, perm os.FileMode) (*os.File, error) {
		if flag&os.O_WRONLY != 0 && filepath.Base(path) == spareMetaName {
			assert.Check(t, !exchanged, "the spare is written before the exchange is durable")
		}
		return os.OpenFile(path, flag, perm)
	}
	s := openStore(t, dir, WithFiles(files))
	assert.NilError(t, s.SetMeta(Meta{Term: 1}))
	failing = true
	for range 2 {
		assert.ErrorIs(t, s.SetMeta(Meta{Term: 2}), syscall.EIO)
	}
	failing = false
	assert.NilError(t, s.SetMeta(Meta{Term: 3}))
	assert.NilError(t, s.Close())
	s = openStore(t, dir)
	assert.Equal(t, s.Meta().Term, uint64(3))
	assert.NilError(t, s.Close())
}

// Guards against a loss that nobody notices: the last segment is empty, since the next record did not
// fit the disk, and the one before it is missing, with entries that the snapshot does not cover.
func TestMissingSegmentBeforeAnEmptyOne(t *testing.T) {
	dir := t.TempDir()
	files := OSFiles()
	full := false
	files.Write = func(f *os.File, b []byte) (int, error) {
		if full && len(b) > 100 {
			return 0, syscall.ENOSPC
		}
		return f.Write(b)
	}
	s := openStore(t, dir, WithFiles(files), WithSegmentBytes(10))
	for i := uint64(1); i <= 4; i++ {
		assert.NilError(t, s.Append(makeEntries(i, i, 1)))
	}
	assert.NilError(t, s.SaveSnapshot(Snapshot{Index: 2, Term: 1, Data: []byte("state")}, false))
	full = true
	assert.ErrorIs(t, s.Append([]Entry{{Index: 5, Term: 1, Data: make([]byte, 100)}}), syscall.ENOSPC)
	last := s.segments[len(s.segments)-1]
	assert.Equal(t, last.maxIndex, uint64(0), "the last segment is not empty")
	lost := s.segments[len(s.segments)-2]
	assert.Equal(t, lost.maxIndex, uint64(4))
	assert.NilError(t, s.Close())
	assert.NilError(t, os.Remove(lost.path))
	_, err := Open(dir)
	var damage *DamageError
	assert.Assert(t, errors.As(err, &damage), "got %v", err)
}

// fillSegment appends entries until the next one belongs in a new segment, and returns the last index.
func fillSegment(tb testing.TB, s *Store) (last uint64) {
	for !s.segments[len(s.segments)-1].full(s.segmentBytes) {
		last++
		assert.NilError(tb, s.Append(makeEntries(last, last, 1)))
	}
	return last
}

// Guards against entries that are lost with a segment that had been removed: its creation had failed for
// want of room, small records went to the segment before it, and a loss of power brings it back.
func TestRemovalOfAnUnfinishedSegmentIsDurable(t *testing.T) {
	r := &removedFiles{dir: t.TempDir(), unsynced: map[string][]byte{}, lose: func() {}}
	files := r.files()
	full := false
	files.Reserve = func(f *os.File, size int64) error {
		if full {
			return syscall.ENOSPC
		}
		return OSFiles().Reserve(f, size)
	}
	s := openStore(t, r.dir, WithFiles(files), WithSegmentBytes(200))
	last := fillSegment(t, s)
	full = true
	assert.ErrorIs(t, s.Append(makeEntries(last+1, last+1, 1)), syscall.ENOSPC)
	for range 3 {
		last++
		assert.NilError(t, s.AppendReserved(makeEntries(last, last, 2)))
		for kept := range uint(2) {
			copied := openStore(t, r.afterPowerLoss(t, len(r.order), kept))
			assert.Equal(t, copied.LastIndex(), last)
			assert.NilError(t, copied.Close())
		}
	}
	assert.NilError(t, s.Close())
}

// Guards against a member that does not start again because a part of a record is in a segment that is not
// the last one: its removal was not durable when the next segment was created, and the power was lost.
func TestRemovedPartOfARecordStaysRemoved(t *testing.T) {
	files := OSFiles()
	// torn holds the content of files from before a change of their length that is not synced.
	torn := map[string][]byte{}
	failing := false
	files.Write = func(f *os.File, b []byte) (int, error) {
		if failing {
			n, _ := f.Write(b[:len(b)-1])
			return n, syscall.ENOSPC
		}
		return f.Write(b)
	}
	files.Truncate = func(f *os.File, size int64) error {
		if content, err := os.ReadFile(f.Name()); err == nil && int64(len(content)) > size {
			torn[filepath.Base(f.Name())] = content
		}
		return f.Truncate(size)
	}
	files.Sync = func(f *os.File) error {
		delete(torn, filepath.Base(f.Name()))
		return f.Sync()
	}
	dir := t.TempDir()
	s := openStore(t, dir, WithFiles(files), WithSegmentBytes(200))
	last := fillSegment(t, s)
	failing = true
	assert.ErrorIs(t, s.AppendReserved(makeEntries(last+1, last+1, 1)), syscall.ENOSPC)
	failing = false
	for range 2 {
		last++
		assert.NilError(t, s.Append(makeEntries(last, last, 2)))
		copied := copyAfterCrash(t, dir)
		for name, content := range torn {
			assert.NilError(t, os.WriteFile(filepath.Join(copied, name), content, 0o600))
		}
		again := openStore(t, copied)
		assert.Equal(t, again.LastIndex(), last)
		assert.NilError(t, again.Close())
	}
	assert.Equal(t, len(s.segments), 2)
	assert.NilError(t, s.Close())
}
