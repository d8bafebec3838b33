// Package relay sends foreign HTTP requests to targets byte for byte and returns
// their answers. It says for each exchange whether the target may have run the
// request, and never sends one twice by itself, which net/http's client may do.
package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds one connection attempt; a target that does not answer is
	// left for another one.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken, which shows a connection that went silent.
	userTimeout = 1500 * time.Millisecond
	// probeIdle and probeInterval find a silent connection while an answer is awaited.
	probeIdle     = 500 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// idleDefault is how long a connection is reused if the target names no timeout.
	idleDefault = 3 * time.Second
	// idleMargin is kept between the last reuse and the timeout that a target names.
	idleMargin = 700 * time.Millisecond
	readBuffer = 8 << 10
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// ErrConnLimit means that all connections this process may hold to a target are busy.
var ErrConnLimit = errors.New("connection limit of the target reached")

// Pool holds idle connections to targets.
type Pool struct {
	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	mu sync.Mutex
	// hosts holds the connections of each target, by its id and address.
	hosts map[Target]*host
	done  bool
}

// Target names one incarnation of a target.
type Target struct {
	ID   string
	Addr netip.AddrPort
}

type host struct {
	idle []*conn
	// open counts idle and busy connections.
	open int
	// heard is when the target last sent something or accepted a connection.
	heard time.Time
	// probing is closed when the probe under way ends; nil if there is none.
	probing chan struct{}
}

// conn is one connection; it carries one exchange at a time.
type conn struct {
	net.Conn
	r      *bufio.Reader
	target Target
	// until is when the connection must not be reused any more.
	until time.Time
	// keep is how long the target keeps the connection open without a request.
	keep   time.Duration
	reused bool
}

// PoolOption changes a Pool.
type PoolOption func(*Pool)

// WithDial replaces the dialer, for tests that cut or delay connections.
func WithDial(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	p := &Pool{dial: dialTCP, hosts: make(map[Target]*host)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: 3,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Without it a silent connection is found by the keep-alive probes alone.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", addr.String())
}

// get returns an idle connection or dials one; limit bounds the connections of
// this process to the target, 0 means none.
func (p *Pool) get(ctx context.Context, t Target, limit int) (*conn, error) {
	p.mu.Lock()
	h := p.hosts[t]
	if h == nil {
		h = &host{}
		p.hosts[t] = h
	}
	now := time.Now()
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		if now.Before(c.until) && c.alive() {
			p.mu.Unlock()
			c.reused = true
			return c, nil
		}
		h.open--
		_ = c.Close()
	}
	if limit > 0 && h.open >= limit {
		p.mu.Unlock()
		return nil, ErrConnLimit
	}
	h.open++
	p.mu.Unlock()
	nc, err := p.dial(ctx, t.Addr)
	if err != nil {
		p.forget(t)
		return nil, fmt.Errorf("dial %s: %w", t.Addr, err)
	}
	p.hear(t)
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer), target: t, keep: idleDefault}, nil
}

func (p *Pool) forget(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[t]; h != nil {
		h.open--
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.hosts, t)
		}
	}
}

// put returns a connection whose exchange is complete.
func (p *Pool) put(c *conn) {
	c.until = time.Now().Add(c.keep)
	p.mu.Lock()
	h := p.hosts[c.target]
	if p.done || h == nil || c.r.Buffered() > 0 || c.keep <= 0 {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// drop closes a connection that cannot be reused.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.forget(c.target)
}

// Idle says that a connection to the target waits for a request.
func (p *Pool) Idle(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[t]
	return h != nil && len(h.idle) > 0 && time.Now().Before(h.idle[len(h.idle)-1].until)
}

// Retain closes the idle connections to all targets for which keep is false.
func (p *Pool) Retain(keep func(Target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for t, h := range p.hosts {
		wanted := keep(t)
		kept := h.idle[:0]
		for _, c := range h.idle {
			if wanted && now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			h.open--
			_ = c.Close()
		}
		h.idle = kept
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.hosts, t)
		}
	}
}

// Close closes all idle connections; busy ones close when their exchange ends.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.done = true
	p.mu.Unlock()
	p.Retain(func(Target) bool { return false })
	return nil
}

// alive reports whether an idle connection is open and silent. Bytes that wait
// belong to no request.
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
