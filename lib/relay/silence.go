package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// stallAfter is how long a target may be silent before it is probed.
	stallAfter = 400 * time.Millisecond
	// probeTries is the number of consecutive failed probes after which a target counts
	// as dead.
	probeTries = 2
)

// ErrSilent means that a target sent no data and accepted no new connection.
var ErrSilent = errors.New("the target is silent and accepts no connection")

// watch is a watchdog that aborts an exchange if the target has died without closing its
// connections, which TCP keep-alive detects only after seconds. A target that is merely
// slow still accepts new connections.
type watch struct {
	pool *Pool
	conn *conn
	// cancel stops the watchdog.
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// silent reports whether the watchdog has aborted the exchange.
	silent bool
}

// watchConn starts a watchdog for a connection on which a response is awaited.
func (p *Pool) watchConn(ctx context.Context, c *conn) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{pool: p, conn: c, cancel: cancel}
	w.wg.Go(func() { w.run(ctx) })
	return w
}

// run probes the target while it is silent, and aborts the exchange after probeTries
// consecutive failed probes.
func (w *watch) run(ctx context.Context) {
	for failed := 0; ; {
		wait := stallAfter
		if heard := w.pool.heard(w.conn.target); failed == 0 {
			wait = max(stallAfter-time.Since(heard), time.Millisecond)
		}
		if failed == 0 && !sleep(ctx, wait) {
			return
		}
		if time.Since(w.pool.heard(w.conn.target)) < stallAfter {
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
		if failed++; failed >= probeTries {
			w.mu.Lock()
			w.silent = true
			w.mu.Unlock()
			_ = w.conn.SetDeadline(time.Unix(1, 0))
			return
		}
	}
}

// stop stops the watchdog and reports whether it has aborted the exchange.
func (w *watch) stop() (silent bool) {
	w.cancel()
	w.wg.Wait()
	return w.ended()
}

// ended reports whether the watchdog has aborted the exchange.
func (w *watch) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
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

// heard returns host.heard of the target; zero if it has no connections.
func (p *Pool) heard(t Target) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[t]; h != nil {
		return h.heard
	}
	return time.Time{}
}

// hear sets host.heard of the target to the current time.
func (p *Pool) hear(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[t]; h != nil {
		h.heard = time.Now()
	}
}

// probe reports whether the target accepts a new connection. At most one probe per
// target runs at a time; concurrent callers wait for it and share its result.
func (p *Pool) probe(ctx context.Context, t Target) bool {
	p.mu.Lock()
	h := p.hosts[t]
	if h == nil {
		p.mu.Unlock()
		return false
	}
	if other := h.probing; other != nil {
		p.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
		}
		return time.Since(p.heard(t)) < stallAfter
	}
	done := make(chan struct{})
	h.probing = done
	p.mu.Unlock()
	nc, err := p.dial(ctx, t.Addr)
	if err == nil {
		_ = nc.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.probing = nil
	if err == nil {
		h.heard = time.Now()
	}
	close(done)
	return err == nil
}
