package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// silenceTimeout is how long a target may be silent before it is probed.
	silenceTimeout = 400 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which a target
	// counts as dead.
	maxFailedProbes = 2
)

// ErrSilent means that a target sent no data and accepted no new connection.
var ErrSilent = errors.New("the target is silent and accepts no connection")

// watchdog aborts an exchange if the target has died without closing its connections,
// which TCP keep-alive detects only after seconds. A target that is merely slow still
// accepts new connections.
type watchdog struct {
	pool *Pool
	conn *conn
	// cancel stops the watchdog.
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// fired reports whether the watchdog has aborted the exchange.
	fired bool
}

// startWatchdog starts a watchdog for a connection on which a response is awaited.
func (p *Pool) startWatchdog(ctx context.Context, c *conn) *watchdog {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchdog{pool: p, conn: c, cancel: cancel}
	w.wg.Go(func() { w.run(ctx) })
	return w
}

// run probes the target while it is silent, and aborts the exchange after maxFailedProbes
// consecutive failed probes.
func (w *watchdog) run(ctx context.Context) {
	for failed := 0; ; {
		wait := silenceTimeout
		if heard := w.pool.lastActivity(w.conn.target); failed == 0 {
			wait = max(silenceTimeout-time.Since(heard), time.Millisecond)
		}
		if failed == 0 && !sleep(ctx, wait) {
			return
		}
		if time.Since(w.pool.lastActivity(w.conn.target)) < silenceTimeout {
			failed = 0
			continue
		}
		if w.pool.probe(ctx, w.conn.target) {
			failed = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if failed++; failed >= maxFailedProbes {
			w.mu.Lock()
			w.fired = true
			w.mu.Unlock()
			_ = w.conn.SetDeadline(time.Unix(1, 0))
			return
		}
	}
}

// stop stops the watchdog and reports whether it has aborted the exchange.
func (w *watchdog) stop() (silent bool) {
	w.cancel()
	w.wg.Wait()
	return w.aborted()
}

// aborted reports whether the watchdog has aborted the exchange.
func (w *watchdog) aborted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// lastActivity returns the time of the target's last activity; zero if it has no
// connections.
func (p *Pool) lastActivity(t Target) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.conns[t]; h != nil {
		return h.lastActivity
	}
	return time.Time{}
}

// recordActivity sets the time of the target's last activity to the current time.
func (p *Pool) recordActivity(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.conns[t]; h != nil {
		h.lastActivity = time.Now()
	}
}

// probe reports whether the target accepts a new connection. At most one probe per
// target runs at a time; concurrent callers wait for it and share its result.
func (p *Pool) probe(ctx context.Context, t Target) bool {
	p.mu.Lock()
	h := p.conns[t]
	if h == nil {
		p.mu.Unlock()
		return false
	}
	if other := h.probeDone; other != nil {
		p.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
		}
		return time.Since(p.lastActivity(t)) < silenceTimeout
	}
	done := make(chan struct{})
	h.probeDone = done
	p.mu.Unlock()
	nc, err := p.dial(ctx, t.Addr)
	if err == nil {
		_ = nc.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.probeDone = nil
	if err == nil {
		h.lastActivity = time.Now()
	}
	close(done)
	return err == nil
}
