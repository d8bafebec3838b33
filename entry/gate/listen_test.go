package gate

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/site"
)

// conditionTimeout limits the wait for an expected condition; the usual wait is far shorter.
const conditionTimeout = 20 * time.Second

// setTimeouts activates a configuration with the given timeouts.
func (fx *fixture) setTimeouts(version uint64, header, idle time.Duration) {
	fx.gateway.index.Store(site.NewIndex(&site.Config{
		Version: version, Routes: routes(), Services: []site.Service{{Name: "plain"}},
		Limits: site.Limits{HeaderTimeout: header, IdleTimeout: idle},
	}))
}

// closedWithin reports whether the peer closes the connection within d.
func closedWithin(t *testing.T, c net.Conn, d time.Duration) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(d)))
	_, err := io.Copy(io.Discard, c)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against clients that hold a connection longer than the active configuration
// allows, and against a change of the timeouts that closes a connection which was
// accepted with longer ones.
func TestTimeoutsOfTheConfiguration(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusOK, "yes"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := fx.gateway.Listen(ln)
	served := make(chan error, 1)
	go func() { served <- l.Serve() }()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		return c
	}
	const request = "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nT-Id: 1\r\n\r\n"
	answer := func(c net.Conn) {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, errors.Join(err, resp.Body.Close()))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}

	fx.setTimeouts(6, time.Minute, time.Minute)
	patient := dial(request)
	answer(patient)
	fx.setTimeouts(7, 50*time.Millisecond, 50*time.Millisecond)
	idle, slow := dial(request), dial(request[:30])
	answer(idle)
	assert.Assert(t, closedWithin(t, slow, timeoutSlack+conditionTimeout))
	assert.Assert(t, closedWithin(t, idle, timeoutSlack+conditionTimeout))
	_, err = io.WriteString(patient, request)
	assert.NilError(t, err)
	answer(patient)

	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	assert.NilError(t, l.Shutdown(ctx))
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	assert.NilError(t, l.Close())
}

// busyListener accepts a connection only after a while, as in a process that has much to do.
type busyListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l busyListener) Accept() (net.Conn, error) {
	time.Sleep(acceptRest / 4)
	return l.TCPListener.Accept()
}

// Guards against a planned stop that cuts off connections which clients have just established
// and sent a request on: they were closed in the kernel's queue, or between Accept and the
// server.
func TestStopAnswersEstablishedConnections(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusOK, "yes"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := fx.gateway.Listen(busyListener{ln.(*net.TCPListener)})
	served := make(chan error, 1)
	go func() { served <- l.Serve() }()
	var conns []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nT-Id: 1\r\n\r\n")
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	assert.NilError(t, l.Shutdown(ctx))
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	for i, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err, "connection %d", i)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.NilError(t, res.Body.Close())
	}
}
