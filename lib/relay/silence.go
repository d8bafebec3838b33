package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// stallAfter is how long a target may send nothing at all before it is probed.
	stallAfter = 400 * time.Millisecond
	// probeTries is the number of failed probes after which a target counts as dead.
	probeTries = 2
)

// ErrSilent means that a target sent nothing and accepted no new connection.
var ErrSilent = errors.New("the target is silent and accepts no connection")

// watch ends an exchange whose target has died without closing its connections:
// the keep-alive of the system takes seconds to notice. A target that is only
// slow still accepts connections.
type watch struct {
	pool *Pool
	conn *conn
	// cancel ends the watch.
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// silent says that the watch has ended the exchange.
	silent bool
}

// watchConn starts to watch a connection on which an answer is awaited.
func (p *Pool) watchConn(ctx context.Context, c *conn) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{pool: p, conn: c, cancel: cancel}
	w.wg.Go(func() { w.run(ctx) })
	return w
}

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

// stop ends the watch and says whether it has ended the exchange.
func (w *watch) stop() (silent bool) {
	w.cancel()
	w.wg.Wait()
	return w.ended()
}

func (w *watch) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

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

// heard returns when the target last sent something or accepted a connection.
func (p *Pool) heard(t Target) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[t]; h != nil {
		return h.heard
	}
	return time.Time{}
}

func (p *Pool) hear(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[t]; h != nil {
		h.heard = time.Now()
	}
}

// probe says whether the target accepts a connection. One probe at a time runs
// for each target; other exchanges use its result.
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
