package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushpath.example/lib/accept"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no
	// limit.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	// timeoutSlack is added to both timeouts: after this process was suspended, a request
	// that arrived in time must not be treated as late.
	timeoutSlack = time.Second
	// acceptRest is how long a stopping Listener waits for one more of the connections that the
	// kernel has already established, and maxAcceptRest how long it accepts them in all.
	acceptRest    = 50 * time.Millisecond
	maxAcceptRest = time.Second
	// acceptRetryDelay is the delay after a temporary error from Accept.
	acceptRetryDelay = 5 * time.Millisecond
	// maxHeaderBytes is the size limit that net/http enforces while it reads a request
	// header, in bytes. The limit of the configuration is checked afterwards.
	maxHeaderBytes = 64 << 10
)

// timeouts are the limits on reading a request header and on an idle connection.
type timeouts struct{ header, idle time.Duration }

// timeouts returns the timeouts of the active configuration.
func (g *Gateway) timeouts() timeouts {
	t := timeouts{defaultHeaderTimeout, defaultIdleTimeout}
	if x := g.index.Load(); x != nil {
		if l := x.Config.Limits; l.HeaderTimeout > 0 {
			t.header = l.HeaderTimeout
		}
		if l := x.Config.Limits; l.IdleTimeout > 0 {
			t.idle = l.IdleTimeout
		}
	}
	t.header += timeoutSlack
	t.idle += timeoutSlack
	return t
}

// Listener accepts client connections. Each connection keeps the timeouts of the
// configuration that was active when it was accepted. As net/http sets timeouts per
// server, there is one server for each set of timeouts.
type Listener struct {
	gateway *Gateway
	ln      *accept.Listener
	wg      sync.WaitGroup
	// accepted is closed when Serve accepts no more connections and has handed over all that it
	// accepted.
	accepted chan struct{}

	mu sync.Mutex
	// servers ends with the server for new connections. The servers before it have
	// earlier timeouts; those without connections are removed when a server is added.
	servers []*timeoutServer
	closed  bool
	// acceptEnd is set once the Listener stops: it accepts no connections from then on.
	acceptEnd time.Time
}

// timeoutServer is an HTTP server for connections with the same timeouts.
type timeoutServer struct {
	timeouts timeouts
	srv      *http.Server
	listener *connListener
	conns    atomic.Int64
}

// connListener is a net.Listener that returns connections that were already accepted by
// the Listener.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (f *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *connListener) Addr() net.Addr { return f.addr }

func (f *connListener) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// handOver passes a connection to the server, or closes it if the server has stopped.
func (x *timeoutServer) handOver(conn net.Conn) {
	x.conns.Add(1)
	select {
	case x.listener.conns <- conn:
	case <-x.listener.done:
		x.conns.Add(-1)
		_ = conn.Close()
	}
}

// Listen returns a Listener that accepts connections from ln and serves them with g.
// The caller must call Serve once.
func (g *Gateway) Listen(ln net.Listener) *Listener {
	return &Listener{gateway: g, ln: accept.From(ln), accepted: make(chan struct{})}
}

// Serve accepts connections until the Listener is closed or Accept fails permanently.
func (l *Listener) Serve() error {
	defer l.wg.Wait()
	defer close(l.accepted)
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			_ = l.ln.Close()
			return http.ErrServerClosed
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			l.gateway.log.Warn().Str("event", "acceptFailed").Err(err).Msg("")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return err
		}
		l.awaitNext()
		x := l.currentServer()
		if x == nil {
			_ = conn.Close()
			return http.ErrServerClosed
		}
		x.handOver(conn)
	}
}

// currentServer returns the server for a new connection, or nil if the Listener is closed.
func (l *Listener) currentServer() *timeoutServer {
	limits := l.gateway.timeouts()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if n := len(l.servers); n > 0 && l.servers[n-1].timeouts == limits {
		return l.servers[n-1]
	}
	kept := l.servers[:0]
	for _, x := range l.servers {
		if x.conns.Load() > 0 {
			kept = append(kept, x)
		} else {
			_ = x.listener.Close()
		}
	}
	x := &timeoutServer{timeouts: limits, listener: &connListener{addr: l.ln.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}}
	x.srv = &http.Server{
		Handler: l.gateway, ReadHeaderTimeout: limits.header, IdleTimeout: limits.idle, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed || s == http.StateHijacked {
				x.conns.Add(-1)
			}
		},
	}
	l.ln.Attach(x.srv, http.HandlerFunc(l.gateway.refuseForMemory))
	l.servers = append(kept, x)
	l.wg.Go(func() { _ = x.srv.Serve(x.listener) })
	l.gateway.log.Info().Str("event", "connectionLimits").Dur("header", limits.header).Dur("idle", limits.idle).Msg("")
	return x
}

// stopAccepting makes Serve stop. Connections that clients have established already are still
// accepted: their requests may be on the way.
func (l *Listener) stopAccepting() {
	l.mu.Lock()
	if l.acceptEnd.IsZero() {
		l.acceptEnd = time.Now().Add(maxAcceptRest)
	}
	l.mu.Unlock()
	if !l.awaitNext() {
		_ = l.ln.Close()
	}
}

// awaitNext makes a stopping Listener wait for acceptRest until the next connection. It returns
// false if that is not possible.
func (l *Listener) awaitNext() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acceptEnd.IsZero() {
		return true
	}
	until := time.Now().Add(acceptRest)
	if until.After(l.acceptEnd) {
		until = l.acceptEnd
	}
	return l.ln.SetDeadline(until) == nil
}

// Shutdown stops accepting connections and waits until all requests in progress are
// completed or ctx is done.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.stopAccepting()
	select {
	case <-l.accepted:
	case <-ctx.Done():
	}
	var errs []error
	for _, x := range l.close() {
		errs = append(errs, x.srv.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// Close stops accepting connections and closes all existing ones.
func (l *Listener) Close() error {
	_ = l.ln.Close()
	for _, x := range l.close() {
		_ = x.srv.Close()
		_ = x.listener.Close()
	}
	return nil
}

// close marks the Listener as closed and returns the servers.
func (l *Listener) close() []*timeoutServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.servers
}
