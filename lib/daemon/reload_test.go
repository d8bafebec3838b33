package daemon

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWatchSettings checks that the settings are reloaded at the start, on SIGHUP and on a
// change of the file, and that SIGHUP does not terminate the process.
func TestWatchSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	assert.NilError(t, os.WriteFile(path, []byte("a"), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	var reloads atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		WatchSettings(ctx, path, DiscardLogger(), func() error {
			reloads.Add(1)
			return nil
		})
	}()
	waitForReloads := func(n int64) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); reloads.Load() < n; time.Sleep(5 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%d reloads, want %d", reloads.Load(), n)
		}
	}
	waitForReloads(1)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	waitForReloads(2)
	assert.NilError(t, os.WriteFile(path, []byte("b"), 0o600))
	waitForReloads(3)
	cancel()
	<-done
}
