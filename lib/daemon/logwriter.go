package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logQueueLimit is the number of lines that can be buffered before further lines are dropped.
	logQueueLimit = 4096
	// logRateLimit is the maximum number of lines accepted per second.
	logRateLimit = 2000
)

// logWriter writes log lines in a separate goroutine, so that a slow reader of the
// output never blocks the process. Lines that exceed logQueueLimit or logRateLimit are
// dropped; the next line that is accepted is preceded by their number.
type logWriter struct {
	w     io.Writer
	lines chan []byte
	wg    sync.WaitGroup

	mu sync.Mutex
	// dropped counts the lines dropped since the last report of their number.
	dropped int
	// rateSecond is the current Unix second, and rateCount counts the lines accepted in
	// it, to enforce logRateLimit.
	rateSecond int64
	rateCount  int
	closed     bool
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{w: w, lines: make(chan []byte, logQueueLimit)}
	l.wg.Go(func() {
		for line := range l.lines {
			_, _ = l.w.Write(line)
		}
	})
	return l
}

// Write queues a line. It never blocks and never returns an error, even if it drops
// the line.
func (l *logWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s := now.Unix(); s != l.rateSecond {
		l.rateSecond, l.rateCount = s, 0
	}
	if l.closed || l.rateCount >= logRateLimit {
		l.dropped++
		return len(line), nil
	}
	l.rateCount++
	out := append([]byte(nil), line...)
	if l.dropped > 0 {
		note := fmt.Sprintf("time=%s level=warn event=logLinesDropped lines=%d\n",
			now.Format("2006-01-02T15:04:05.000Z07:00"), l.dropped)
		out = append([]byte(note), out...)
	}
	select {
	case l.lines <- out:
		l.dropped = 0
	default:
		l.dropped++
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Later lines are dropped.
func (l *logWriter) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	l.wg.Wait()
	return nil
}
