package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply while the configuration names
	// no limit.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	// pauseSlack is added to both: after a pause of this process, a request that has
	// arrived in time must not look late.
	pauseSlack = time.Second
	// acceptPause is the pause after a failure to accept that passes.
	acceptPause = 5 * time.Millisecond
	// maxHeader bounds the head of a request before its route is known, in bytes.
	maxHeader = 64 << 10
)

// timeouts bound the time that a client may take on a connection.
type timeouts struct{ header, idle time.Duration }

// timeouts returns those of the configuration in effect.
func (g *Gate) timeouts() timeouts {
	t := timeouts{defaultHeaderTimeout, defaultIdleTimeout}
	if x := g.index.Load(); x != nil {
		if l := x.Config.Limits; l.HeaderTimeout > 0 {
			t.header = l.HeaderTimeout
		}
		if l := x.Config.Limits; l.IdleTimeout > 0 {
			t.idle = l.IdleTimeout
		}
	}
	t.header += pauseSlack
	t.idle += pauseSlack
	return t
}

// Listener takes connections of clients with the timeouts of the configuration in
// effect when each of them arrives.
type Listener struct {
	g  *Gate
	ln net.Listener
	wg sync.WaitGroup

	mu sync.Mutex
	// servers holds the one for new connections last, and those before it that still
	// have some.
	servers []*limited
	closed  bool
}

// limited serves connections with the same timeouts.
type limited struct {
	limits timeouts
	srv    *http.Server
	feed   *feed
	conns  atomic.Int64
}

// feed is a listener whose connections were accepted elsewhere.
type feed struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *feed) Addr() net.Addr { return f.addr }

func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// take hands a connection to the server, unless it has stopped.
func (x *limited) take(conn net.Conn) {
	x.conns.Add(1)
	select {
	case x.feed.conns <- conn:
	case <-x.feed.done:
		x.conns.Add(-1)
		_ = conn.Close()
	}
}

// Listen returns a Listener of the gate on ln.
func (g *Gate) Listen(ln net.Listener) *Listener { return &Listener{g: g, ln: ln} }

// Serve takes connections until the Listener is closed or accepting fails.
func (l *Listener) Serve() error {
	defer l.wg.Wait()
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			l.g.log.Warn().Str("event", "acceptFailed").Err(err).Msg("")
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return err
		}
		x := l.current()
		if x == nil {
			_ = conn.Close()
			return http.ErrServerClosed
		}
		x.take(conn)
	}
}

// current returns the server for a connection that arrives now; nil if closed.
func (l *Listener) current() *limited {
	limits := l.g.timeouts()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if n := len(l.servers); n > 0 && l.servers[n-1].limits == limits {
		return l.servers[n-1]
	}
	kept := l.servers[:0]
	for _, x := range l.servers {
		if x.conns.Load() > 0 {
			kept = append(kept, x)
		} else {
			_ = x.feed.Close()
		}
	}
	x := &limited{limits: limits, feed: &feed{addr: l.ln.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}}
	x.srv = &http.Server{
		Handler: l.g, ReadHeaderTimeout: limits.header, IdleTimeout: limits.idle, MaxHeaderBytes: maxHeader,
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed || s == http.StateHijacked {
				x.conns.Add(-1)
			}
		},
	}
	l.servers = append(kept, x)
	l.wg.Go(func() { _ = x.srv.Serve(x.feed) })
	l.g.log.Info().Str("event", "connectionLimits").Dur("header", limits.header).Dur("idle", limits.idle).Msg("")
	return x
}

// stop takes no more connections and returns the servers.
func (l *Listener) stop() []*limited {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.servers
}

// Shutdown takes no more connections and waits until all requests are answered
// or ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	var errs []error
	for _, x := range l.stop() {
		errs = append(errs, x.srv.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// Close closes all connections.
func (l *Listener) Close() error {
	for _, x := range l.stop() {
		_ = x.srv.Close()
		_ = x.feed.Close()
	}
	return nil
}
