// Package vdisk simulates a disk of a fixed size for tests of lib/store and its users. The files are
// real; what they allocate is counted, and others may take the rest of the disk.
package vdisk

import (
	"errors"
	"io"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"bulrushpath.example/lib/store"
)

// blockBytes is the unit of allocation.
const blockBytes = 4 << 10

// ErrCrashed is the error of all operations after a crash.
var ErrCrashed = errors.New("crashed")

// Disk is a disk of a fixed size. It is safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// size is that of the disk, and others what other writers hold, in bytes.
	size, others int64
	// allocated holds the bytes that each file has, by path, and used their sum. most is the largest
	// value of used so far.
	allocated  map[string]int64
	used, most int64
	// crashIn is the number of operations until the next crash; below zero for none. Writes after a
	// crash have no effect; the one that the crash interrupts writes torn bytes at most.
	crashIn, torn int
	crashed       bool
}

// New returns an empty disk of the given size in bytes.
func New(size int64) *Disk { return &Disk{size: size, allocated: map[string]int64{}, crashIn: -1} }

// Fill lets other writers take all of the disk but the given number of bytes, or as much as is there.
func (d *Disk) Fill(free int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others = max(d.size-d.used-free, 0)
}

// Clear lets other writers release what they hold.
func (d *Disk) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others = 0
}

// Most returns the largest number of bytes that the files have had since New, and resets it.
func (d *Disk) Most() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	most := d.most
	d.most = d.used
	return most
}

// Allocated returns the number of bytes that the file at path has.
func (d *Disk) Allocated(path string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allocated[path]
}

// Free returns the number of bytes that no file and no other writer has.
func (d *Disk) Free() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.size-d.used-d.others, 0)
}

// CrashIn lets the process crash in the nth operation from now; the write that it interrupts has
// written the first torn bytes.
func (d *Disk) CrashIn(n, torn int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashIn, d.torn = n, torn
}

// Crashing reports whether a crash is to come or has come.
func (d *Disk) Crashing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed || d.crashIn >= 0
}

// Restart ends a crash, or cancels one that has not come, and reports whether there was one.
func (d *Disk) Restart() (crashed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashed, d.crashed, d.crashIn = d.crashed, false, -1
	return crashed
}

// step counts one operation; first is set in the one in which the process crashes. The caller
// holds mu.
func (d *Disk) step() (first bool, err error) {
	if d.crashed {
		return false, ErrCrashed
	}
	if d.crashIn == 0 {
		d.crashed = true
		return true, ErrCrashed
	}
	d.crashIn = max(d.crashIn-1, -1)
	return false, nil
}

// grow gives the file at path the room for n bytes. It returns how many it has then.
func (d *Disk) grow(path string, n int64) int64 {
	have := d.allocated[path]
	want := max((n+blockBytes-1)/blockBytes*blockBytes, have)
	got := min(want, have+max(d.size-d.used-d.others, 0)/blockBytes*blockBytes)
	d.set(path, got)
	return got
}

func (d *Disk) set(path string, n int64) {
	d.used += n - d.allocated[path]
	d.most = max(d.most, d.used)
	d.allocated[path] = n
	if n == 0 {
		delete(d.allocated, path)
	}
}

func (d *Disk) fullError(op, path string) error {
	return &os.PathError{Op: op, Path: path, Err: syscall.ENOSPC}
}

// Files returns the operations of the disk.
func (d *Disk) Files() store.Files {
	base := store.OSFiles()
	files := store.Files{Write: d.write, Reserve: d.reserve}
	files.OpenFile = func(path string, flag int, perm os.FileMode) (*os.File, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if _, err := d.step(); err != nil {
			return nil, err
		}
		f, err := base.OpenFile(path, flag, perm)
		if err == nil && flag&os.O_TRUNC != 0 {
			d.set(path, 0)
		}
		return f, err
	}
	files.Truncate = func(f *os.File, size int64) error {
		return d.do(func() error {
			err := base.Truncate(f, size)
			if err == nil {
				d.set(f.Name(), min((size+blockBytes-1)/blockBytes*blockBytes, d.allocated[f.Name()]))
			}
			return err
		})
	}
	files.Rename = func(from, to string) error {
		return d.do(func() error {
			err := base.Rename(from, to)
			if err == nil {
				n := d.allocated[from]
				d.set(from, 0)
				d.set(to, n)
			}
			return err
		})
	}
	files.Exchange = func(a, b string) error {
		return d.do(func() error {
			err := base.Exchange(a, b)
			if err == nil {
				d.allocated[a], d.allocated[b] = d.allocated[b], d.allocated[a]
			}
			return err
		})
	}
	files.Remove = func(path string) error {
		return d.do(func() error {
			err := base.Remove(path)
			if err == nil {
				d.set(path, 0)
			}
			return err
		})
	}
	// Syncs are not passed on: what a crash of the machine loses is not simulated here.
	files.Sync = func(*os.File) error { return d.do(func() error { return nil }) }
	files.SyncDir = func(string) error { return d.do(func() error { return nil }) }
	files.Free = func(string) (int64, error) { return d.Free(), nil }
	return files
}

func (d *Disk) do(fn func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step(); err != nil {
		return err
	}
	return fn()
}

func (d *Disk) write(f *os.File, b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first, err := d.step()
	if err != nil && !first {
		return 0, err
	}
	if first {
		b = b[:min(d.torn, len(b))]
	}
	begin, seekErr := f.Seek(0, io.SeekCurrent)
	if info, statErr := f.Stat(); statErr == nil && isAppend(f) {
		begin = info.Size()
	}
	if seekErr != nil {
		return 0, seekErr
	}
	got := d.grow(f.Name(), begin+int64(len(b)))
	fits := min(max(got-begin, 0), int64(len(b)))
	n, writeErr := f.Write(b[:fits])
	switch {
	case err != nil:
		return n, err
	case writeErr == nil && n < len(b):
		return n, d.fullError("write", f.Name())
	}
	return n, writeErr
}

func (d *Disk) reserve(f *os.File, size int64) error {
	return d.do(func() error {
		before, most := d.allocated[f.Name()], d.most
		if d.grow(f.Name(), size) >= size {
			return nil
		}
		d.set(f.Name(), before)
		d.most = most
		return d.fullError("allocate", f.Name())
	})
}

func isAppend(f *os.File) bool {
	flags, err := unix.FcntlInt(f.Fd(), unix.F_GETFL, 0)
	return err == nil && flags&unix.O_APPEND != 0
}
