package store

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// pageBytes is the unit in which a kernel writes files to a disk.
const pageBytes = 4 << 10

// cachedFile is a file as its disk has it. Writes are in the cache of the kernel until a sync; one that
// fails drops them from what later syncs write, although reads still find them.
type cachedFile struct {
	// stable is the content on the disk, and dirty holds the numbers of the pages that the next sync writes.
	stable []byte
	dirty  map[int]bool
}

// kernelCache plays the cache of a kernel for all files of a store.
type kernelCache struct {
	mu    sync.Mutex
	files map[string]*cachedFile
	// failing is set while syncs fail.
	failing bool
}

func (k *kernelCache) file(path string) *cachedFile {
	if k.files[path] == nil {
		k.files[path] = &cachedFile{dirty: map[int]bool{}}
	}
	return k.files[path]
}

func (k *kernelCache) operations() Files {
	files := OSFiles()
	files.Write = func(f *os.File, b []byte) (int, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		info, err := f.Stat()
		if err != nil {
			return 0, err
		}
		n, err := f.Write(b)
		for at := info.Size(); at < info.Size()+int64(n); at++ { // All these files are appended to.
			k.file(f.Name()).dirty[int(at/pageBytes)] = true
		}
		return n, err
	}
	files.Truncate = func(f *os.File, size int64) error {
		k.mu.Lock()
		defer k.mu.Unlock()
		c := k.file(f.Name())
		for page := range c.dirty {
			if int64(page)*pageBytes >= size {
				delete(c.dirty, page)
			}
		}
		if info, err := f.Stat(); err == nil && size < info.Size() && size%pageBytes > 0 {
			c.dirty[int(size/pageBytes)] = true // The rest of the page is set to zero.
		}
		return f.Truncate(size)
	}
	files.Sync = func(f *os.File) error {
		k.mu.Lock()
		defer k.mu.Unlock()
		c := k.file(f.Name())
		defer clear(c.dirty)
		if k.failing {
			return syscall.EIO
		}
		r, err := os.Open(f.Name())
		if err != nil {
			return err
		}
		defer func() { _ = r.Close() }()
		content, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		old := c.stable
		c.stable = make([]byte, len(content))
		copy(c.stable, old)
		for page := range c.dirty {
			begin, end := page*pageBytes, min((page+1)*pageBytes, len(content))
			if begin < end {
				copy(c.stable[begin:end], content[begin:end])
			}
		}
		return nil
	}
	return files
}

func (k *kernelCache) setFailing(failing bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing = failing
}

// afterPowerLoss returns a copy of the directory in which the log is as the disk has it.
func (k *kernelCache) afterPowerLoss(tb testing.TB, dir string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	to := copyAfterCrash(tb, dir)
	for path, c := range k.files {
		if filepath.Ext(path) == segmentSuffix {
			assert.NilError(tb, os.WriteFile(filepath.Join(to, filepath.Base(path)), c.stable, 0o600))
		}
	}
	return to
}

// Guards against acknowledging a write that a failed sync has dropped, and against a log that stays closed
// for good after a sync has failed: the disk was full for a moment. What is acknowledged afterwards is on
// the disk, and what has failed is not in the log.
func TestFailedSyncIsNotAcknowledged(t *testing.T) {
	for _, size := range []int{10, 3000, 10_000} {
		k := &kernelCache{files: map[string]*cachedFile{}}
		dir := t.TempDir()
		s := openStore(t, dir, WithFiles(k.operations()))
		entry := func(index, term uint64) []Entry {
			return []Entry{{Index: index, Term: term, Data: slices.Repeat([]byte{byte(term)}, size)}}
		}
		var want []Entry
		next, term := uint64(1), uint64(1)
		check := func(dir string) {
			t.Helper()
			copied := openStore(t, dir)
			assert.DeepEqual(t, copied.Entries(), want)
			assert.NilError(t, copied.Close())
		}
		for range 4 {
			assert.NilError(t, s.Append(entry(next, term)))
			want = append(want, entry(next, term)...)
			next++
			term++
			k.setFailing(true)
			for range 2 {
				assert.ErrorIs(t, s.Append(entry(next, term)), syscall.EIO)
				assert.ErrorIs(t, s.SetMeta(Meta{Term: term}), syscall.EIO)
			}
			k.setFailing(false)
			term++
			assert.NilError(t, s.Append(entry(next, term)))
			want = append(want, entry(next, term)...)
			next++
			check(k.afterPowerLoss(t, dir))
		}
		assert.NilError(t, s.SetMeta(Meta{Term: term}))
		assert.NilError(t, s.Close())
		check(dir)
	}
}

// Guards against a log that stays closed after a write whose part could not be removed, or after a segment
// that could not be removed: the disk refused all changes for a moment.
func TestRefusedCleanUpIsRepeated(t *testing.T) {
	files := OSFiles()
	refusing := false
	refuse := func(fn func() error) error {
		if refusing {
			return syscall.ENOSPC
		}
		return fn()
	}
	files.Write = func(f *os.File, b []byte) (int, error) {
		if refusing {
			n, _ := f.Write(b[:len(b)/2])
			return n, syscall.ENOSPC
		}
		return f.Write(b)
	}
	files.Truncate = func(f *os.File, size int64) error { return refuse(func() error { return f.Truncate(size) }) }
	files.Remove = func(path string) error { return refuse(func() error { return os.Remove(path) }) }
	files.SyncDir = func(dir string) error { return refuse(func() error { return syncDir(dir) }) }
	for _, segmentBytes := range []int64{10, 1 << 20} {
		dir := t.TempDir()
		s := openStore(t, dir, WithFiles(files), WithSegmentBytes(segmentBytes))
		for i := uint64(1); i <= 6; i++ {
			refusing = true
			for range 2 {
				assert.ErrorIs(t, s.Append(makeEntries(i, i, 100+i)), syscall.ENOSPC)
			}
			refusing = false
			assert.NilError(t, s.Append(makeEntries(i, i, 1)))
			copied := openStore(t, copyAfterCrash(t, dir))
			assert.DeepEqual(t, copied.Entries(), makeEntries(1, i, 1))
			assert.NilError(t, copied.Close())
		}
		assert.NilError(t, s.Close())
	}
}
