package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logQueue is the number of lines that wait to be written before lines are dropped.
	logQueue = 4096
	// logRate bounds the lines written in each second.
	logRate = 2000
)

// logWriter writes log lines from a goroutine of its own, so that a slow reader
// of the output never blocks the process. Lines beyond logQueue or logRate are
// dropped, and their number is written as soon as there is room.
type logWriter struct {
	w     io.Writer
	lines chan []byte
	wg    sync.WaitGroup

	mu sync.Mutex
	// dropped counts the lines lost since the last note about them.
	dropped int
	// second and written implement logRate.
	second  int64
	written int
	closed  bool
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{w: w, lines: make(chan []byte, logQueue)}
	l.wg.Go(func() {
		for line := range l.lines {
			_, _ = l.w.Write(line)
		}
	})
	return l
}

// Write queues one line; it never blocks and never fails.
func (l *logWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s := now.Unix(); s != l.second {
		l.second, l.written = s, 0
	}
	if l.closed || l.written >= logRate {
		l.dropped++
		return len(line), nil
	}
	l.written++
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

// Close writes the queued lines and stops.
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
