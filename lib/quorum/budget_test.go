package quorum

import (
	"context"
	"io/fs"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// dirBytes returns the size of all files in a directory.
func dirBytes(t *testing.T, dir string) (n int64) {
	t.Helper()
	err := filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		if info, err := d.Info(); err == nil {
			n += info.Size()
		}
		return nil
	})
	assert.NilError(t, err)
	return n
}

// Guards against a log of long commands that fills the disk or the memory before its first snapshot
// (review/1): there are too few commands to reach the number of entries for a snapshot.
func TestLogOfLongCommandsStaysSmall(t *testing.T) {
	const (
		snapshotBytes = 1 << 20
		commandBytes  = 50 << 10
		stateBytes    = 100 << 10
	)
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	dir := t.TempDir()
	pool := link.NewPool()
	defer func() { _ = pool.Close() }()
	n, err := Open(Settings{
		ID: "m", Listen: addr, Peers: map[string]netip.AddrPort{"m": addr}, DataDir: dir,
		SnapshotEntries: 100_000, SnapshotBytes: snapshotBytes,
	}, Machine{
		Apply:    func(uint64, time.Time, []byte) []byte { return nil },
		Snapshot: func() ([]byte, error) { return make([]byte, stateBytes), nil },
		Restore:  func([]byte) error { return nil },
	}, pool)
	assert.NilError(t, err)
	most := int64(0)
	for range 200 {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		_, err := n.Propose(ctx, make([]byte, commandBytes))
		cancel()
		assert.NilError(t, err)
		most = max(most, dirBytes(t, dir))
	}
	assert.NilError(t, n.Close())
	// The log up to a snapshot, what is appended while that is written, and segments that a snapshot
	// covers only in part; the old and the new snapshot.
	assert.Assert(t, most < 3*snapshotBytes+2*stateBytes, "%d bytes on disk", most)
	inMemory := 0
	for _, e := range n.core.log.entries {
		inMemory += len(e.Command)
	}
	assert.Assert(t, inMemory < 2*snapshotBytes, "%d bytes in memory", inMemory)
}

// Guards against a tail of the log that exceeds its limits, or is shorter than they allow.
func TestLogTail(t *testing.T) {
	l := &entryLog{base: 10}
	for i, size := range []int{100, 1, 1, 50, 1} {
		l.append(&wire.LogEntry{Index: uint64(11 + i), Command: make([]byte, size)})
	}
	for _, c := range []struct {
		index, entries uint64
		bytes          int64
		want           uint64
	}{{15, 9, 1000, 5}, {15, 2, 1000, 2}, {15, 9, 51, 2}, {15, 9, 53, 4}, {15, 9, 0, 0}, {15, 0, 1000, 0}, {13, 9, 2, 2}, {10, 9, 1000, 0}} {
		assert.Equal(t, l.tail(c.index, c.entries, c.bytes), c.want, "%+v", c)
	}
}
