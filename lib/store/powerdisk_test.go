package store

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// powerDisk plays a disk that loses power: of what is not synced, each change of a name and each change of
// a content is kept or lost by itself, and a content may be torn. The files in the directory are as the
// process sees them.
type powerDisk struct {
	r   *rand.Rand
	dir string
	// seen maps the names to the files as the process sees them, and durable those that a loss of power
	// keeps. changes holds the changes of names since the last sync of the directory.
	seen, durable map[string]*powerFile
	changes       []func(names map[string]*powerFile)
	// left is the number of operations until the power is lost, and lost is set afterwards. The operations
	// of the store fail then.
	left int
	lost bool
	// failing is the share of operations that fail for want of room.
	failing float64
}

// powerFile is a file by its content on the disk.
type powerFile struct {
	// stable is the content that the last sync has made durable, and synced is set after the first one.
	stable []byte
	synced bool
}

var errPower = errors.New("power lost")

// newPowerDisk returns the disk whose names and contents are those of the directory.
func newPowerDisk(tb testing.TB, r *rand.Rand, dir string) *powerDisk {
	d := &powerDisk{r: r, dir: dir, seen: map[string]*powerFile{}, left: 1 << 30}
	entries, err := os.ReadDir(dir)
	assert.NilError(tb, err)
	for _, e := range entries {
		content, err := os.ReadFile(filepath.Join(dir, e.Name()))
		assert.NilError(tb, err)
		d.seen[e.Name()] = &powerFile{stable: content, synced: true}
	}
	d.durable = maps.Clone(d.seen)
	return d
}

// step counts one operation and returns an error if it fails.
func (d *powerDisk) step() error {
	if d.left--; d.left < 0 {
		d.lost = true
		return errPower
	}
	if d.r.Float64() < d.failing {
		return syscall.ENOSPC
	}
	return nil
}

// retry repeats a change that fails for want of room, and returns false if the power is lost.
func (d *powerDisk) retry(change func() error) bool {
	for !d.lost {
		if change() == nil {
			return true
		}
	}
	return false
}

// change applies a change of names as the process sees them.
func (d *powerDisk) change(fn func(names map[string]*powerFile)) {
	fn(d.seen)
	d.changes = append(d.changes, fn)
}

func (d *powerDisk) files() Files {
	files := OSFiles()
	name := filepath.Base
	files.OpenFile = func(path string, flag int, perm os.FileMode) (*os.File, error) {
		if flag&os.O_CREATE == 0 {
			return os.OpenFile(path, flag, perm)
		}
		if err := d.step(); err != nil {
			return nil, err
		}
		if d.seen[name(path)] == nil {
			file := &powerFile{}
			d.change(func(names map[string]*powerFile) { names[name(path)] = file })
		}
		return os.OpenFile(path, flag, perm)
	}
	files.Write = func(f *os.File, b []byte) (int, error) {
		if err := d.step(); err != nil {
			n, _ := f.Write(b[:d.r.IntN(len(b)+1)])
			return n, err
		}
		return f.Write(b)
	}
	files.Truncate = func(f *os.File, size int64) error {
		if err := d.step(); err != nil {
			return err
		}
		return f.Truncate(size)
	}
	files.Reserve = func(*os.File, int64) error { return d.step() }
	files.Sync = func(f *os.File) error {
		if err := d.step(); err != nil {
			return err
		}
		content, err := os.ReadFile(f.Name())
		file := d.seen[name(f.Name())]
		file.stable, file.synced = content, true
		for n, x := range d.seen {
			if x == file && d.durable[n] == nil {
				d.durable[n] = file // A new file becomes durable with its own sync.
			}
		}
		return err
	}
	files.Rename = func(from, to string) error {
		if err := d.step(); err != nil {
			return err
		}
		if err := os.Rename(from, to); err != nil {
			return err
		}
		file := d.seen[name(from)]
		d.change(func(names map[string]*powerFile) {
			names[name(to)] = file
			delete(names, name(from))
		})
		return nil
	}
	files.Exchange = func(a, b string) error {
		if err := d.step(); err != nil {
			return err
		}
		if err := OSFiles().Exchange(a, b); err != nil {
			return err
		}
		first, second := d.seen[name(a)], d.seen[name(b)]
		d.change(func(names map[string]*powerFile) { names[name(a)], names[name(b)] = second, first })
		return nil
	}
	files.Remove = func(path string) error {
		if err := d.step(); err != nil {
			return err
		}
		if err := os.Remove(path); err != nil {
			return err
		}
		d.change(func(names map[string]*powerFile) { delete(names, name(path)) })
		return nil
	}
	files.SyncDir = func(string) error {
		if err := d.step(); err != nil {
			return err
		}
		d.durable, d.changes = maps.Clone(d.seen), nil
		return nil
	}
	return files
}

// lose returns a new directory as the loss of power leaves it.
func (d *powerDisk) lose(tb testing.TB) string {
	names := maps.Clone(d.durable)
	for _, fn := range d.changes {
		if d.r.IntN(2) == 0 {
			fn(names)
		}
	}
	contents := map[*powerFile][]byte{}
	for n, file := range d.seen {
		content, err := os.ReadFile(filepath.Join(d.dir, n))
		assert.NilError(tb, err)
		contents[file] = content
	}
	dir := tb.TempDir()
	for n, file := range names {
		if !file.synced && n == lockName {
			continue
		}
		assert.NilError(tb, os.WriteFile(filepath.Join(dir, n), d.mix(file.stable, contents[file]), 0o600))
	}
	return dir
}

// mix returns what the disk has of a file with the given content after the last sync and now.
func (d *powerDisk) mix(stable, now []byte) []byte {
	if slices.Equal(stable, now) || now == nil || d.r.IntN(3) == 0 {
		return stable
	}
	same := 0
	for same < min(len(stable), len(now)) && stable[same] == now[same] {
		same++
	}
	cut := same + d.r.IntN(len(now)-same+1)
	out := slices.Clone(now[:cut])
	if cut < len(stable) && d.r.IntN(2) == 0 {
		out = append(out, stable[cut:]...)
	}
	return out
}

// powerHistories is the number of histories of TestPowerLossAnywhere.
var powerHistories = flag.Int("powerHistories", 400, "histories of losses of power")

// powerOracle is what a store must hold. A store may also hold what it was told to and has not acknowledged.
type powerOracle struct {
	snapshot Snapshot
	// log holds the acknowledged entries after the snapshot.
	log  []Entry
	term uint64
	// floor is the number of entries of log that no unacknowledged change may have removed, and open is
	// set if entries may follow that were not acknowledged.
	floor int
	open  bool
	// other is a snapshot that may have replaced the log; its index is 0 if there is none.
	other Snapshot
}

func (o *powerOracle) next() uint64 { return o.snapshot.Index + uint64(len(o.log)) + 1 }

// settle records that the last change is acknowledged.
func (o *powerOracle) settle() { o.floor, o.open, o.other = len(o.log), false, Snapshot{} }

// check compares the store with the oracle, which then goes on from what the store holds.
func (o *powerOracle) check(t *testing.T, s *Store) {
	t.Helper()
	got, entries := s.Snapshot(), s.Entries()
	if o.other.Index != 0 && got.Index == o.other.Index && got.Index != o.snapshot.Index {
		if got.Index < o.next() && len(entries) > 0 {
			entries = slices.Clone(entries)
		}
		o.log = o.log[min(int(got.Index-o.snapshot.Index), len(o.log)):]
		o.floor = max(o.floor-int(got.Index-o.snapshot.Index), 0)
		o.snapshot = got
		if o.other.Term == ^uint64(0) {
			o.floor = 0
		}
	}
	assert.Equal(t, got.Index, o.snapshot.Index)
	assert.Assert(t, len(entries) >= o.floor, "%d entries after %d, %d were acknowledged", len(entries), got.Index, o.floor)
	for i, e := range entries {
		assert.Equal(t, e.Index, got.Index+uint64(i)+1)
		if i < min(o.floor, len(o.log)) {
			assert.DeepEqual(t, e, o.log[i])
		}
	}
	assert.Assert(t, o.open || len(entries) <= len(o.log), "%d entries after %d, %d were written", len(entries), got.Index, len(o.log))
	assert.Assert(t, s.Meta().Term >= o.term, "term %d, %d was acknowledged", s.Meta().Term, o.term)
	o.log, o.term = entries, s.Meta().Term
	o.settle()
}

// Guards against acknowledged entries, snapshots or terms that are lost, and against a member that does not
// start again, at whatever operation the power is lost or the disk has no room, whatever of the unsynced
// names and contents the disk keeps.
func TestPowerLossAnywhere(t *testing.T) {
	for seed := range uint64(*powerHistories) {
		ok := t.Run(fmt.Sprint(seed), func(t *testing.T) { playPowerLosses(t, rand.New(rand.NewPCG(seed, 7))) })
		if !ok {
			return
		}
	}
}

func playPowerLosses(t *testing.T, r *rand.Rand) {
	dir := t.TempDir()
	assert.NilError(t, openStore(t, dir).Close())
	oracle := &powerOracle{}
	for range 6 {
		d := newPowerDisk(t, r, dir)
		s, err := Open(dir, WithFiles(d.files()), WithSegmentBytes(300))
		assert.NilError(t, err)
		oracle.check(t, s)
		d.left = r.IntN(160)
		for !d.lost {
			d.failing = float64(r.IntN(4)/3) * 0.3
			oracle.act(d, s)
		}
		_ = s.Close()
		dir = d.lose(t)
	}
	s := openStore(t, dir)
	oracle.check(t, s)
	assert.NilError(t, s.Close())
}

// act changes the store once.
func (o *powerOracle) act(d *powerDisk, s *Store) {
	r := d.r
	switch r.IntN(8) {
	case 0:
		term := o.term + 1
		if s.SetMeta(Meta{Term: term}) == nil {
			o.term = term
		}
	case 1:
		if len(o.log) > 0 {
			e := o.log[r.IntN(len(o.log))]
			o.save(d, s, Snapshot{Index: e.Index, Term: e.Term, Data: make([]byte, r.IntN(300))}, false)
		}
	case 2:
		if r.IntN(3) == 0 {
			o.save(d, s, Snapshot{Index: o.next() + r.Uint64N(5), Term: r.Uint64N(1 << 20), Data: make([]byte, r.IntN(300))}, true)
		}
	case 3:
		if n := len(o.log); n > 0 {
			keep := r.IntN(n)
			o.floor = min(o.floor, keep)
			if d.retry(func() error { return s.TruncateSuffix(o.snapshot.Index + uint64(keep) + 1) }) {
				o.log = o.log[:keep]
				o.settle()
			}
		}
	default:
		e := makeEntries(o.next(), o.next()+r.Uint64N(4), r.Uint64N(1<<20))
		write := s.Append
		if r.IntN(3) == 0 {
			write = s.AppendReserved
		}
		o.open = true
		if write(e) == nil {
			o.log = append(o.log, e...)
			o.settle()
		}
	}
}

// save saves a snapshot, which replaces the whole log if it is installed. A member tries until it succeeds.
func (o *powerOracle) save(d *powerDisk, s *Store, snap Snapshot, install bool) {
	o.other = snap
	if install {
		o.floor, o.other.Term = 0, ^uint64(0)
	}
	if !d.retry(func() error { return s.SaveSnapshot(snap, install) }) {
		return
	}
	o.snapshot, o.log = snap, o.log[min(int(snap.Index-o.snapshot.Index), len(o.log)):]
	if install {
		o.log = nil
	}
	o.settle()
}
