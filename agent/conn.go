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

// errSecondDial is returned by a single-connection transport instead of dialing
// again.
var errSecondDial = errors.New("connection of this request was lost; not dialing again")

// notSentError wraps an error after which it is certain that no byte of the request
// was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// failedDial reports whether err means that no connection was established, so that
// nothing was sent.
func failedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusedDial reports whether err means that no process listens at the target's
// address.
func refusedDial(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// newTransport returns a transport that pools idle connections.
func newTransport() *http.Transport {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// oneConn is a transport that opens exactly one connection. net/http resends some
// requests when a reused connection breaks; with a single connection it cannot.
type oneConn struct {
	*http.Transport
	// armed enables the tracking of writes.
	armed atomic.Bool
	// written is set before the first write after armed is set.
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

// countedConn records in its owner that data was written.
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
