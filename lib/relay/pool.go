// Package relay sends HTTP requests to targets and returns the responses, whose bodies
// it passes on byte for byte. For each failed exchange, it reports whether the target may
// have run the request. It never resends a request by itself, as net/http's client may.
package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"bulrushpath.example/lib/accept"
)

const (
	// dialTimeout limits a connection attempt. If the target doesn't respond in time,
	// the caller tries another one.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel closes
	// the connection. It detects a lost peer while data is in flight.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval configure the TCP keep-alive, which detects a
	// lost peer while a response is awaited.
	keepAliveIdle     = 500 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused if the target sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout of the target, so that
	// a connection isn't reused when the target is about to close it.
	idleTimeoutMargin = 700 * time.Millisecond
	readBufferSize    = 8 << 10
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall doesn't define.
const tcpUserTimeout = 0x12

// ErrConnLimit means that all connections that this process may open to a target are
// busy.
var ErrConnLimit = errors.New("connection limit of the target reached")

// Pool holds idle connections to targets.
type Pool struct {
	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	mu sync.Mutex
	// conns holds the connections by target.
	conns  map[Target]*targetConns
	closed bool
}

// Target identifies one incarnation of a target by its id and address.
type Target struct {
	ID   string
	Addr netip.AddrPort
}

// targetConns holds the connections to one target.
type targetConns struct {
	// idle lists the idle connections, most recently used last.
	idle []*conn
	// open is the number of idle and busy connections.
	open int
	// lastActivity is the time at which the target last sent data or accepted a
	// connection, or at which a request to it started.
	lastActivity time.Time
	// probeDone is closed when the probe in progress ends; nil if there is none.
	probeDone chan struct{}
}

// conn is one connection; it carries one exchange at a time.
type conn struct {
	net.Conn
	r      *bufio.Reader
	end    *endReader
	limit  *readLimit
	target Target
	// reuseUntil is the time from which the connection must not be reused.
	reuseUntil time.Time
	// idleTimeout is how long the connection may be reused after an exchange.
	idleTimeout time.Duration
	// reused reports whether the connection has carried an earlier exchange.
	reused bool
	// failed holds the ids of the requests that were answered with a failure. A target may
	// send such an answer again, which would be taken for that of another attempt with the same
	// request: the id tells requests apart, but not their attempts.
	failed map[string]bool
}

// maxFailed is the number of failures after which a connection is closed.
const maxFailed = 64

// mayCarry reports whether the connection may carry the request with the given id: an answer to
// an earlier attempt must not be mistaken for that to the next one. Requests without an id can't
// be told apart at all.
func (c *conn) mayCarry(id string) bool { return id != "" && !c.failed[id] }

// recordAnswer records the status with which the request with the given id was answered.
func (c *conn) recordAnswer(id string, status int) {
	if status < http.StatusBadRequest {
		return
	}
	if c.failed == nil {
		c.failed = make(map[string]bool)
	}
	c.failed[id] = true
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDial replaces the dialer, for tests that break or delay connections.
func WithDial(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// WithConns lets the connections belong to the group, which bounds what the kernel holds for them.
func WithConns(g *accept.Group) PoolOption {
	return func(p *Pool) {
		p.dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			nc, err := dialTCP(ctx, addr, g.Control)
			if err != nil {
				return nil, err
			}
			return g.Track(nc), nil
		}
	}
}

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	p := &Pool{conns: make(map[Target]*targetConns)}
	WithConns(nil)(p)
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// dialTCP connects to the address and enables the detection of lost peers. control sets the sizes
// of the buffers.
func dialTCP(ctx context.Context, addr netip.AddrPort,
	control func(network, address string, c syscall.RawConn) error,
) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3,
		},
		Control: func(network, address string, c syscall.RawConn) error {
			if err := control(network, address, c); err != nil {
				return err
			}
			return c.Control(func(fd uintptr) {
				// An error is ignored: the keep-alive probes still detect a lost peer.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", addr.String())
}

// get returns an idle connection that may carry the request with the given id, or dials a new
// one. limit is the maximum number of connections from this process to the target; 0 means no
// limit.
func (p *Pool) get(ctx context.Context, t Target, limit int, id string) (*conn, error) {
	p.mu.Lock()
	h := p.conns[t]
	if h == nil {
		h = &targetConns{}
		p.conns[t] = h
	}
	if c := h.takeIdle(time.Now(), id); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if limit > 0 && h.open >= limit && len(h.idle) > 0 {
		h.closeOldest()
	}
	if limit > 0 && h.open >= limit {
		p.mu.Unlock()
		return nil, ErrConnLimit
	}
	h.open++
	p.mu.Unlock()
	nc, err := p.dial(ctx, t.Addr)
	if err != nil {
		p.release(t)
		return nil, fmt.Errorf("dial %s: %w", t.Addr, err)
	}
	p.recordActivity(t)
	end := &endReader{nc: nc}
	bounded := &readLimit{r: end}
	return &conn{
		Conn: nc, r: bufio.NewReaderSize(bounded, readBufferSize), end: end, limit: bounded, target: t, idleTimeout: defaultIdleTimeout,
	}, nil
}

// takeIdle returns the idle connection that was used last among those that may carry the request
// with the given id; nil if there is none. It closes those that must not be reused any more.
func (h *targetConns) takeIdle(now time.Time, id string) *conn {
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		usable := now.Before(c.reuseUntil) && c.alive()
		if usable && !c.mayCarry(id) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if usable {
			c.reused = true
			return c
		}
		h.open--
		_ = c.Close()
	}
	return nil
}

// closeOldest closes the idle connection that was used first.
func (h *targetConns) closeOldest() {
	c := h.idle[0]
	h.idle = slices.Delete(h.idle, 0, 1)
	h.open--
	_ = c.Close()
}

// release subtracts a connection that was closed, or that could not be opened, from the
// count of the target.
func (p *Pool) release(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.conns[t]; h != nil {
		h.open--
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.conns, t)
		}
	}
}

// put returns a connection to the pool after a complete exchange.
func (p *Pool) put(c *conn) {
	c.reuseUntil = time.Now().Add(c.idleTimeout)
	p.mu.Lock()
	h := p.conns[c.target]
	if p.closed || h == nil || c.r.Buffered() > 0 || c.idleTimeout <= 0 || len(c.failed) > maxFailed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// discard closes a connection that must not be reused.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release(c.target)
}

// Idle reports whether an idle connection to the target is available.
func (p *Pool) Idle(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.conns[t]
	return h != nil && len(h.idle) > 0 && time.Now().Before(h.idle[len(h.idle)-1].reuseUntil)
}

// Retain closes the idle connections to all targets for which keep returns false, and
// those that must not be reused any more.
func (p *Pool) Retain(keep func(Target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for t, h := range p.conns {
		wanted := keep(t)
		kept := h.idle[:0]
		for _, c := range h.idle {
			if wanted && now.Before(c.reuseUntil) {
				kept = append(kept, c)
				continue
			}
			h.open--
			_ = c.Close()
		}
		h.idle = kept
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.conns, t)
		}
	}
}

// Close closes all idle connections. Busy ones are closed when their exchange ends.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retain(func(Target) bool { return false })
	return nil
}

// alive reports whether an idle connection is open and has no unread bytes. Such bytes
// would belong to no request.
func (c *conn) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, rerr := syscall.Read(int(fd), b[:])
		silent = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
