package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushpath.example/lib/relay"
)

const (
	dialTimeout         = time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 128
	maxHeaderBytes      = 32 << 10
)

// errRedial is returned by a single-connection transport instead of dialing
// again.
var errRedial = errors.New("the only connection of this request is gone")

// notSentError wraps an error after which it is certain that no byte of the request
// was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// isDialError reports whether err means that no connection was established, so that
// nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isConnRefused reports whether err means that no process listens at the target's
// address.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// newTransport returns a transport that pools idle connections.
func newTransport() *http.Transport {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &endingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// A faulty target may send a header without end.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// endingConn is a connection to a target.
type endingConn struct {
	net.Conn
	// marksEnd is set once the end of the connection is that of an answer.
	marksEnd atomic.Bool
}

// endingConnOf returns the endingConn that a transport of this package has made; nil for others.
func endingConnOf(c net.Conn) *endingConn {
	if tracked, ok := c.(*trackedConn); ok {
		c = tracked.Conn
	}
	ending, _ := c.(*endingConn)
	return ending
}

// Read implements net.Conn.
func (c *endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, io.EOF) && c.marksEnd.Load() {
		if endErr := relay.CheckEnd(c.Conn); endErr != nil {
			return 0, endErr
		}
	}
	return n, err
}

// singleConnTransport is a transport that opens at most one connection. net/http resends
// some requests when a reused connection breaks; with a single connection it cannot.
type singleConnTransport struct {
	*http.Transport
	// trackWrites enables the tracking of writes.
	trackWrites atomic.Bool
	// written is set before the first write after trackWrites is set.
	written atomic.Bool
	dialled atomic.Bool
}

func newSingleConnTransport() *singleConnTransport {
	o := &singleConnTransport{Transport: newTransport()}
	dial := o.DialContext
	o.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if o.dialled.Swap(true) {
			return nil, errRedial
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c, transport: o}, nil
	}
	return o
}

// trackedConn records in its transport that data was written.
type trackedConn struct {
	net.Conn
	transport *singleConnTransport
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.transport.trackWrites.Load() {
		c.transport.written.Store(true)
	}
	return c.Conn.Write(b)
}
