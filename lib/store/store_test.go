package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func openStore(tb testing.TB, dir string, opts ...Option) *Store {
	tb.Helper()
	s, err := Open(dir, opts...)
	assert.NilError(tb, err)
	return s
}

func makeEntries(from, to, term uint64) []Entry {
	var out []Entry
	for i := from; i <= to; i++ {
		out = append(out, Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return out
}

func lastSegment(tb testing.TB, dir string) string {
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	assert.NilError(tb, err)
	return names[len(names)-1]
}

// copyAfterCrash returns a copy of a directory that an open store uses, which is what a
// crash of the process would leave.
func copyAfterCrash(tb testing.TB, dir string) string {
	to := tb.TempDir()
	assert.NilError(tb, os.CopyFS(to, os.DirFS(dir)))
	return to
}

// Guards against acknowledged state that is lost or changed by a crash, for any order
// of appends, truncations, snapshots and restarts. The oracle is a slice of entries.
func TestRestartKeepsState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		assert.NilError(rt, err)
		s := openStore(t, dir, WithSegmentBytes(200))
		defer func() { assert.NilError(rt, s.Close()) }()
		var base, baseTerm, term uint64
		var log []Entry
		var meta Meta
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				first := base + uint64(len(log)) + 1
				e := makeEntries(first, first+rapid.Uint64Range(0, 5).Draw(rt, "more"), term)
				assert.NilError(rt, s.Append(e))
				log = append(log, e...)
			},
			"truncate": func(rt *rapid.T) {
				n := rapid.IntRange(0, len(log)).Draw(rt, "keep")
				assert.NilError(rt, s.TruncateSuffix(base+uint64(n)+1))
				log = log[:n]
				term++
			},
			"snapshot": func(rt *rapid.T) {
				if len(log) == 0 {
					rt.Skip()
				}
				e := log[rapid.IntRange(0, len(log)-1).Draw(rt, "at")]
				assert.NilError(rt, s.SaveSnapshot(Snapshot(e), false))
				log, base, baseTerm = log[e.Index-base:], e.Index, e.Term
			},
			"install": func(rt *rapid.T) {
				term++
				to := base + rapid.Uint64Range(1, 20).Draw(rt, "ahead")
				assert.NilError(rt, s.SaveSnapshot(Snapshot{Index: to, Term: term, Data: []byte("x")}, true))
				log, base, baseTerm = nil, to, term
			},
			"meta": func(rt *rapid.T) {
				meta = Meta{Term: rapid.Uint64().Draw(rt, "term"), Vote: "b", VoteDisk: []byte{1}, Group: []byte{2}}
				assert.NilError(rt, s.SetMeta(meta))
			},
			"crash": func(rt *rapid.T) {
				disk := s.Meta().Disk
				assert.NilError(rt, s.Close())
				f, err := os.OpenFile(lastSegment(t, dir), os.O_APPEND|os.O_WRONLY, 0)
				assert.NilError(rt, err)
				lost := makeEntries(base+uint64(len(log))+1, base+uint64(len(log))+3, term)
				// A command may contain an encoded record with the seed of another disk.
				lost[1].Data = encodeRecord(0, record{entries: lost[:1]})
				torn := encodeRecord(s.checksumSeed(), record{entries: lost})
				_, err = f.Write(torn[:rapid.IntRange(0, len(torn)-1).Draw(rt, "written")])
				assert.NilError(rt, errors.Join(err, f.Close()))
				s = openStore(t, dir, WithSegmentBytes(200))
				assert.Equal(rt, s.Snapshot().Index, base)
				assert.Equal(rt, s.Snapshot().Term, baseTerm)
				got := s.Entries()
				assert.Equal(rt, len(got), len(log))
				for i, e := range got {
					assert.DeepEqual(rt, e, log[i])
				}
				meta.Disk = disk
				assert.DeepEqual(rt, s.Meta(), meta)
			},
		})
	})
}

// Guards against damage that is read as valid data or silently truncated.
func TestDamageIsAnError(t *testing.T) {
	flip := func(b []byte, at int) []byte {
		b = bytes.Clone(b)
		b[at] ^= 0x40
		return b
	}
	record1 := len(segmentMagic) + len(encodeRecord(0, record{entries: makeEntries(1, 1, 1)}))
	for _, c := range []struct {
		name, file string
		change     func(b []byte) []byte
		offset     int64
	}{
		{"first record", "00000000000000000001.log", func(b []byte) []byte { return flip(b, record1-1) }, 8},
		{"length of a record", "00000000000000000001.log", func(b []byte) []byte { return flip(b, record1+2) }, int64(record1)},
		{"segment header", "00000000000000000001.log", func(b []byte) []byte { return flip(b, 0) }, 0},
		{"snapshot", "00000000000000000001.snap", func(b []byte) []byte { return flip(b, len(b)-1) }, fileHeaderSize},
		{"short snapshot", "00000000000000000001.snap", func(b []byte) []byte { return b[:len(b)-1] }, 8},
		{"meta", metaName, func(b []byte) []byte { return flip(b, len(b)-1) }, fileHeaderSize},
		{"short meta", metaName, func(b []byte) []byte { return b[:0] }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			s := openStore(t, dir)
			for i := uint64(1); i <= 3; i++ {
				assert.NilError(t, s.Append(makeEntries(i, i, 1)))
			}
			assert.NilError(t, s.SaveSnapshot(Snapshot{Index: 1, Term: 1, Data: []byte("state")}, false))
			assert.NilError(t, s.Close())
			path := filepath.Join(dir, c.file)
			b, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(path, c.change(b), 0o600))
			_, err = Open(dir)
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage), "got %v", err)
			assert.Equal(t, damage.File, path)
			assert.Equal(t, damage.Offset, c.offset)
			now, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.DeepEqual(t, now, c.change(b))
		})
	}
}

// Guards against accepting a data directory as empty or complete although its meta
// file or some of its segments are missing.
func TestMissingFileIsAnError(t *testing.T) {
	for _, name := range []string{metaName, "00000000000000000001.log", "00000000000000000002.log", "*.log"} {
		dir := t.TempDir()
		s := openStore(t, dir, WithSegmentBytes(10))
		for i := uint64(1); i <= 3; i++ {
			assert.NilError(t, s.Append(makeEntries(i, i, 1)))
		}
		assert.NilError(t, s.SetMeta(Meta{Term: 1}))
		assert.NilError(t, s.Close())
		removed, err := filepath.Glob(filepath.Join(dir, name))
		assert.NilError(t, err)
		for _, path := range removed {
			assert.NilError(t, os.Remove(path))
		}
		_, err = Open(dir)
		var damage *DamageError
		assert.Assert(t, errors.As(err, &damage), "%s: got %v", name, err)
	}
}

// Guards against lost acknowledged data, and against an incomplete record in front of
// later ones, when the disk is full for some time.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	files := OSFiles()
	var freeBytes atomic.Int64
	freeBytes.Store(1 << 30)
	files.Write = func(f *os.File, b []byte) (int, error) {
		n := min(int64(len(b)), max(freeBytes.Load(), 0))
		freeBytes.Add(-n)
		written, err := f.Write(b[:n])
		if err == nil && written < len(b) {
			err = &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
		}
		return written, err
	}
	s := openStore(t, dir, WithFiles(files), WithSegmentBytes(150))
	last := uint64(0)
	for _, free := range []int64{1 << 30, 0, 7, 40, 1 << 30, 20, 1 << 30} {
		freeBytes.Store(free)
		for range 10 {
			err := s.Append(makeEntries(last+1, last+2, 1))
			if err == nil {
				last += 2
				continue
			}
			assert.ErrorIs(t, err, syscall.ENOSPC)
			assert.ErrorContains(t, err, dir)
			assert.ErrorIs(t, s.SetMeta(Meta{Term: 99}), syscall.ENOSPC)
			snap := Snapshot{Index: 1, Term: 1, Data: make([]byte, 100)}
			assert.ErrorIs(t, s.SaveSnapshot(snap, false), syscall.ENOSPC)
			freeBytes.Store(free)
		}
		copied := openStore(t, copyAfterCrash(t, dir))
		assert.Equal(t, len(copied.Entries()), int(last))
		assert.Equal(t, copied.Meta().Term, uint64(0))
		assert.NilError(t, copied.Close())
	}
	assert.Equal(t, last > 40, true)
	assert.NilError(t, s.Close())
}

// Guards against one fsync per caller: appends that wait at the same time share one.
func TestGroupCommit(t *testing.T) {
	files := OSFiles()
	var syncs atomic.Int64
	started, gate := make(chan struct{}, 64), make(chan struct{})
	files.Sync = func(f *os.File) error {
		syncs.Add(1)
		started <- struct{}{}
		<-gate
		return f.Sync()
	}
	dir := t.TempDir()
	assert.NilError(t, openStore(t, dir).Close())
	close(gate)
	s := openStore(t, dir, WithFiles(files))
	gate = make(chan struct{})
	for len(started) > 0 {
		<-started
	}
	syncs.Store(0)
	var wg sync.WaitGroup
	appendOne := func(i uint64) {
		for {
			s.mu.Lock()
			next := s.queuedIndex+1 == i
			s.mu.Unlock()
			if next {
				break
			}
		}
		assert.Check(t, s.Append(makeEntries(i, i, 1)) == nil)
	}
	wg.Go(func() { appendOne(1) })
	<-started
	for i := uint64(2); i <= 20; i++ {
		wg.Go(func() { appendOne(i) })
	}
	for queued := false; !queued; {
		s.mu.Lock()
		queued = s.queuedIndex == 20
		s.mu.Unlock()
	}
	close(gate)
	wg.Wait()
	assert.Equal(t, syncs.Load(), int64(2))
	assert.NilError(t, s.Close())
}

// Guards against two processes that use the same disk identity.
func TestDirectoryIsLocked(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	_, err := Open(dir)
	assert.ErrorContains(t, err, "in use")
	assert.NilError(t, s.Close())
	again := openStore(t, dir)
	assert.DeepEqual(t, again.Meta().Disk, s.Meta().Disk)
	assert.NilError(t, again.Close())
}

// Guards against damaged or truncated segment files that are read as valid or cause a
// panic: the decoded records are a prefix of those written.
func FuzzDecodeSegment(f *testing.F) {
	f.Add(uint8(3), uint16(0), uint16(20), byte(1))
	f.Add(uint8(2), uint16(30), uint16(0), byte(0))
	f.Fuzz(func(t *testing.T, records uint8, cut, at uint16, change byte) {
		data := []byte(segmentMagic)
		ends := []int{len(data)}
		for i := range uint64(records % 16) {
			data = append(data, encodeRecord(0, record{entries: makeEntries(2*i+1, 2*i+2, i)})...)
			ends = append(ends, len(data))
		}
		whole := bytes.Clone(data)
		data = data[:len(data)-int(cut)%(len(data)+1)]
		if len(data) > 0 {
			data[int(at)%len(data)] ^= change
		}
		for _, last := range []bool{true, false} {
			got, valid, err := decodeSegment("x", 0, data, last)
			var damage *DamageError
			if err != nil {
				assert.Assert(t, errors.As(err, &damage))
				continue
			}
			assert.Assert(t, valid == 0 || bytes.Equal(data[:valid], whole[:valid]))
			assert.Assert(t, last || valid == int64(len(data)))
			assert.Assert(t, valid == 0 || ends[len(got)] == int(valid))
			for i, r := range got {
				assert.Equal(t, r.entries[0].Index, uint64(2*i+1))
			}
		}
	})
}

// Guards against accepting malformed records: any bytes that decode must encode to the
// same bytes again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(0, record{entries: makeEntries(1, 2, 3)}))
	f.Add(encodeRecord(0, record{truncateFrom: 7}))
	f.Add(binary.LittleEndian.AppendUint64(nil, 1<<31))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, n, err := decodeRecord(0, b); err == nil {
			assert.DeepEqual(t, encodeRecord(0, r), b[:n])
		}
	})
}
