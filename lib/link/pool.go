// Package link provides the drpc clients and servers for calls between the processes of
// the system.
package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

const (
	// Protocol is the version of all messages between processes.
	Protocol = 1
	// maxMessageBytes is the maximum size of a message in bytes. It is twice the maximum
	// request body of 8 MiB.
	maxMessageBytes = 16 << 20

	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerPeer = 64
	maxIdle        = 4096
)

// CheckProtocol returns an error with both versions if the peer's version differs.
func CheckProtocol(got uint32) error {
	if got != Protocol {
		return Errorf(CodeProtocol, "peer speaks protocol %d, this process speaks %d", got, Protocol)
	}
	return nil
}

// Pool is a pool of connections to peers. A drpc connection carries one call at a
// time, so concurrent calls use several connections. A cancelled call closes its
// connection, so that late bytes cannot be read by the next call.
type Pool struct {
	pool *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDial replaces the dialer. It is used by tests that close or delay connections.
func WithDial(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	p := &Pool{
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdle,
			KeyCapacity: maxIdlePerPeer,
		}),
		dial: dialTCP,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Conn returns a connection to addr. Each call on it uses an idle pooled connection or
// dials a new one. A failed dial is reported as *DialError.
func (p *Pool) Conn(ctx context.Context, addr netip.AddrPort) drpc.Conn {
	return p.pool.Get(ctx, addr, p.connect)
}

// Dial opens a new connection outside the pool, which the caller must close. An idle
// connection may have been closed by the peer without notice, which would leave a
// non-idempotent call with an unknown outcome.
func (p *Pool) Dial(ctx context.Context, addr netip.AddrPort) (drpc.Conn, error) {
	return p.connect(ctx, addr)
}

func (p *Pool) connect(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	nc, err := p.dial(ctx, addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	if err := p.pool.Close(); err != nil {
		return fmt.Errorf("close pool: %w", err)
	}
	return nil
}
