package quorum

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/store"
	"bulrushpath.example/lib/store/vdisk"
)

// ackLimit is the time within which a change must be acknowledged while the group is sound.
const ackLimit = 4 * time.Second

// diskTrouble is what a full disk does.
type diskTrouble int

const (
	// noTrouble: the disk is sound.
	noTrouble diskTrouble = iota
	// noRoom: others have taken the room, and what is allocated can be written.
	noRoom
	// noWrites: each write, also within the room of a file, each change of a length and each sync fails.
	noWrites
	// noSyncs: writes succeed and syncs fail, as where room is only allocated then.
	noSyncs
)

// turnGroup is a group whose disks are in trouble in turn.
type turnGroup struct {
	*diskGroup
	// trouble holds the diskTrouble of each disk.
	trouble []atomic.Int64
}

// files returns the operations of disk i.
func (d *turnGroup) files(i int) store.Files {
	files := d.disks[i].Files()
	fails := func(trouble ...diskTrouble) error {
		if slices.Contains(trouble, diskTrouble(d.trouble[i].Load())) {
			return syscall.ENOSPC
		}
		return nil
	}
	write, truncate, reserve, sync := files.Write, files.Truncate, files.Reserve, files.Sync
	files.Write = func(f *os.File, b []byte) (int, error) {
		if err := fails(noWrites); err != nil {
			return 0, err
		}
		return write(f, b)
	}
	files.Truncate = func(f *os.File, size int64) error {
		if err := fails(noWrites); err != nil {
			return err
		}
		return truncate(f, size)
	}
	files.Reserve = func(f *os.File, size int64) error {
		if err := fails(noWrites); err != nil {
			return err
		}
		return reserve(f, size)
	}
	files.Sync = func(f *os.File) error {
		if err := fails(noWrites, noSyncs); err != nil {
			return err
		}
		return sync(f)
	}
	return files
}

// newTurnGroup returns a group whose log has a limit.
// The state has the size of the last command, as a configuration replaces the one before.
func newTurnGroup(t *testing.T, size int, diskBytes int64, commandBytes int) *turnGroup {
	d := &turnGroup{diskGroup: &diskGroup{}, trouble: make([]atomic.Int64, size)}
	machine := Machine{
		Apply:    func(uint64, time.Time, []byte) []byte { return nil },
		Snapshot: func() ([]byte, error) { return make([]byte, commandBytes), nil },
		Restore:  func([]byte) error { return nil },
	}
	for range size {
		d.disks = append(d.disks, vdisk.New(diskBytes))
	}
	next := 0
	d.group = newGroup(t, size, func(s *Settings) {
		s.SnapshotBytes, s.LogLimitBytes = diskBytes/8, diskBytes/3
		_, _ = fmt.Sscanf(s.ID, "c%d", &next)
	}, func(n *Node) {
		n.storeOpts = append(n.storeOpts, store.WithFiles(d.files(next)))
		n.machine = machine
	})
	return d
}

// proposeFor proposes a command again and again, as an operator does, until it is acknowledged or the limit
// is reached. It returns the last error.
func (d *diskGroup) proposeFor(limit time.Duration, command string) (err error) {
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		for _, m := range d.members {
			if _, leads := m.node.Leading(); !leads {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err = m.node.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("not acknowledged within %v: %w", limit, err)
		}
	}
}

// turnHistories is the number of histories of TestDisksFullInTurn. Each takes some seconds.
var turnHistories = flag.Int("turnHistories", 6, "histories of disks that are full in turn")

// Guards against a group that refuses changes, or leaves them unanswered, long after the disks of its members
// have been full for a moment, one after the other and never two at once.
func TestDisksFullInTurn(t *testing.T) {
	for seed := range uint64(*turnHistories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			fillInTurn(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// fillInTurn plays one history.
func fillInTurn(t *testing.T, r *rand.Rand) {
	size := pick(r, 3, 5)
	commandBytes := pick(r, 100, 20_000, 300_000, 900_000)
	d := newTurnGroup(t, size, 16<<20, commandBytes)
	d.propose("first")
	for round := range 2 {
		for _, i := range r.Perm(size) {
			trouble, free := pick(r, noRoom, noWrites, noSyncs), pick[int64](r, 0, 4096, 100_000, 400_000)
			full, pause := pick(r, 50, 400, 1200), pick(r, 0, 5, 300)
			t.Logf("disk %d: trouble %d, %d bytes free, for %d ms", i, trouble, free, full)
			d.trouble[i].Store(int64(trouble))
			if trouble == noRoom {
				d.disks[i].Fill(free)
			}
			d.proposeWhile(time.Duration(full)*time.Millisecond, commandBytes)
			d.trouble[i].Store(int64(noTrouble))
			d.disks[i].Clear()
			time.Sleep(time.Duration(pause) * time.Millisecond)
		}
		for k := range 5 {
			err := d.proposeFor(ackLimit, fmt.Sprintf("%d/%d%*d", round, k, commandBytes, k))
			assert.NilError(t, err, "change %d of %d bytes after all disks have room", k, commandBytes)
		}
	}
}

func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// proposeWhile lets four callers propose commands of the given size for the given time.
func (d *diskGroup) proposeWhile(limit time.Duration, size int) {
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { _ = d.proposeFor(limit, fmt.Sprintf("%d%*d", i, size, i)) })
	}
	time.Sleep(limit)
	wg.Wait()
}
