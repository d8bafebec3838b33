package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bulrushpath.example/lib/link"
)

const (
	// maxRunningReports bounds the reports that contend with announcements, the configuration
	// and the planners for the tables, and maxWaitingReports those that wait for their turn. The
	// others are refused at once. A report takes well below a millisecond.
	maxRunningReports = 4
	maxWaitingReports = 256
	// maxReportWait is the longest wait of a report, so that its answer still arrives before
	// the caller gives up and calls again.
	maxReportWait = 200 * time.Millisecond
	// busyBackoff is the mean time that a refused caller waits before it calls again.
	busyBackoff = time.Second
)

// gate bounds how many calls of one kind run and wait at the same time.
type gate struct {
	running chan struct{}
	waiting atomic.Int64
	max     int64
	maxWait time.Duration
}

func newGate(running, waiting int, maxWait time.Duration) *gate {
	return &gate{running: make(chan struct{}, running), max: int64(waiting), maxWait: maxWait}
}

// enter waits until the call may run. The caller must call leave afterwards. Otherwise, the error
// tells the caller for how long to wait.
func (g *gate) enter(ctx context.Context) (leave func(), err error) {
	leave = func() { <-g.running }
	select {
	case g.running <- struct{}{}:
		return leave, nil
	default:
	}
	if g.waiting.Add(1) > g.max {
		g.waiting.Add(-1)
		return nil, link.Busy(jitter(busyBackoff))
	}
	defer g.waiting.Add(-1)
	timer := time.NewTimer(g.maxWait)
	defer timer.Stop()
	select {
	case g.running <- struct{}{}:
		return leave, nil
	case <-timer.C:
		return nil, link.Busy(jitter(busyBackoff))
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// jitter returns a random time around d, from half of it to one and a half times as much.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
