package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	idlePerHost = 128
)

// errSecondDial stops a transport that would dial again.
var errSecondDial = errors.New("the only connection of this request is gone")

// notSentError means that certainly no byte of the request was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// failedDial reports whether err says that no connection was made, so that
// nothing was sent.
func failedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusedDial reports whether no process listens at the target's address.
func refusedDial(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// newTransport returns a transport that keeps connections.
func newTransport() *http.Transport {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// oneConn is a transport with exactly one connection. net/http sends some
// requests again when a reused connection breaks; with one connection it
// cannot.
type oneConn struct {
	*http.Transport
	// armed is set when written begins to count.
	armed atomic.Bool
	// written is set before the first byte is written after armed.
	written atomic.Bool
	dialled atomic.Bool
}

func newOneConn() *oneConn {
	o := &oneConn{Transport: newTransport()}
	dial := o.DialContext
	o.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if o.dialled.Swap(true) {
			return nil, errSecondDial
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, owner: o}, nil
	}
	return o
}

// countedConn notes the first write.
type countedConn struct {
	net.Conn
	owner *oneConn
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.owner.armed.Load() {
		c.owner.written.Store(true)
	}
	return c.Conn.Write(b)
}
