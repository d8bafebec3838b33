package accept

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

// The kernel keeps connections before they are accepted, and each may have filled its receive buffer:
// backlogFraction is the part of Budget.Queues for them, and minBacklog the least number of them. A
// client that finds no place there connects a second later.
const (
	backlogFraction = 8
	minBacklog      = 64
)

// refusedRetryAfter is the Retry-After of a request for which there is no memory, in seconds.
const refusedRetryAfter = "1"

// Limits are the bounds of one listener.
type Limits struct {
	// Conns is the maximum number of open connections; 0 sets no limit.
	Conns int
	// HeaderBytes is the maximum size of a request header; 0 leaves the one of the http.Server.
	HeaderBytes int
	// CountBodies is true if the handlers read whole bodies into memory that they do not count.
	CountBodies bool
	// Messages is true if the connections carry drpc instead of HTTP.
	Messages bool
}

// Listener accepts connections within its limits.
type Listener struct {
	net.Listener
	group  *Group
	limits Limits
	// open is the number of open connections; the mutex of the group guards it.
	open int
}

// Listen listens at a TCP address.
func (g *Group) Listen(addr netip.AddrPort, limits Limits) (*Listener, error) {
	g = g.orUnbounded()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return g.setBuffers(c, smallReceiveBuffer) }}
	ln, err := config.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if g.budget.Queues > 0 && g.budget.ReceiveBuffer > 0 {
		shortenBacklog(ln, max(minBacklog, int(g.budget.Queues/backlogFraction/kernelFactor/smallReceiveBuffer)))
	}
	return g.Wrap(ln, limits), nil
}

// Wrap returns a Listener that accepts from ln.
func (g *Group) Wrap(ln net.Listener, limits Limits) *Listener {
	return &Listener{Listener: ln, group: g.orUnbounded(), limits: limits}
}

// From returns ln if it is a Listener, and one without limits for another listener.
func From(ln net.Listener) *Listener {
	if l, ok := ln.(*Listener); ok {
		return l
	}
	var g *Group
	return g.Wrap(ln, Limits{})
}

func (g *Group) orUnbounded() *Group {
	if g == nil {
		return NewGroup(Budget{}, nil)
	}
	return g
}

// setBuffers sets the sizes of the kernel's buffers, of which the one for receiving has at most
// limit bytes. Accepted connections inherit them.
func (g *Group) setBuffers(c syscall.RawConn, limit int) error {
	return c.Control(func(fd uintptr) {
		// An error is ignored: the measured queues are still bounded.
		if n := min(g.budget.ReceiveBuffer, limit); n > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n)
		}
		if n := g.budget.SendBuffer; n > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, n)
		}
	})
}

// shortenBacklog lets the kernel keep fewer connections that are not accepted yet.
func shortenBacklog(ln net.Listener, n int) {
	s, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, group: l.group, listener: l, since: time.Now(), memory: l.connBytes()}
		if l.group.add(c) {
			return c, nil
		}
	}
}

// connBytes is the memory of a connection without a request.
func (l *Listener) connBytes() int64 {
	if l.limits.Messages {
		return messageConnBytes
	}
	return waitingBytes
}

// SetDeadline sets the time at which Accept returns an error.
func (l *Listener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return fmt.Errorf("listener of type %T has no deadline", l.Listener)
	}
	return d.SetDeadline(t)
}

// Track registers a connection that this process has opened. Its queues count; it is closed if they
// are among the longest.
func (g *Group) Track(nc net.Conn) net.Conn {
	if g == nil {
		return nc
	}
	c := &Conn{Conn: nc, group: g, state: running, since: time.Now()}
	g.mu.Lock()
	c.index = len(g.conns)
	g.conns = append(g.conns, c)
	g.mu.Unlock()
	return c
}

// Control sets the sizes of the kernel's buffers of a connection that is about to be opened, as a
// net.Dialer.Control.
func (g *Group) Control(_, _ string, c syscall.RawConn) error {
	if g == nil {
		return nil
	}
	return g.setBuffers(c, g.budget.ReceiveBuffer)
}

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// Attach makes the server report the states of its requests to the Conns of l. refuse answers a
// request for which there is no memory; nil for a plain 503. The server must not have a ConnContext.
func (l *Listener) Attach(srv *http.Server, refuse http.Handler) {
	if l.limits.HeaderBytes > 0 {
		srv.MaxHeaderBytes = l.limits.HeaderBytes
	}
	if refuse == nil {
		refuse = http.HandlerFunc(refuseRequest)
	}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	srv.Handler = l.countRequests(srv.Handler, refuse)
	hook := srv.ConnState
	srv.ConnState = func(nc net.Conn, s http.ConnState) {
		if c, ok := nc.(*Conn); ok && s == http.StateIdle {
			c.finish()
		}
		if hook != nil {
			hook(nc, s)
		}
	}
}

// countRequests returns a handler that begins each request at its Conn, and passes it to next, or to
// refuse if it must not be served.
func (l *Listener) countRequests(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if !c.begin(hasBody) {
			l.group.onClose(Memory)
			w.Header().Set("Connection", "close")
			refuse.ServeHTTP(w, r)
			return
		}
		if hasBody {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

func refuseRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", refusedRetryAfter)
	http.Error(w, "too many connections at the same time", http.StatusServiceUnavailable)
}

// body tells the connection when the request is complete. From then on it is not closed for a
// bound; if it was closed before, the handler does not get the end of the body.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.complete() { //nolint:errorlint // net/http returns it unwrapped.
		return n, net.ErrClosed
	}
	return n, err
}
