package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// TestLogWriterNeverBlocks checks that writing log lines does not block while the
// output does, that the number of lines written is bounded, and that dropped lines are
// reported.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := newLogWriter(out)
	start := time.Now()
	for i := range 3 * (logQueueLimit + logRateLimit) {
		n, err := fmt.Fprintf(l, "line %d\n", i)
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	close(out.release)
	time.Sleep(1100 * time.Millisecond)
	_, err := fmt.Fprintln(l, "after")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.buf.String()
	assert.Assert(t, strings.Contains(text, "event=logLinesDropped"))
	assert.Assert(t, strings.HasSuffix(text, "after\n"))
	assert.Assert(t, strings.Count(text, "\n") <= logQueueLimit+4*logRateLimit)
}
