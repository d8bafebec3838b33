package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that waits until the client gives up because the target has
// died without closing its connections.
func TestSilentTarget(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 100\r\n\r\npart"
	for _, c := range []struct {
		name, answer string
	}{
		{"before the response", "wait"},
		{"within the response", head},
	} {
		t.Run(c.name, func(t *testing.T) {
			var dead atomic.Bool
			release := make(chan struct{})
			s := newTestServer(t, func(int, string) string {
				if c.answer == "wait" {
					<-release
				}
				return c.answer
			})
			p := NewPool(WithDial(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				if dead.Load() {
					sleep(ctx, dialTimeout)
					return nil, errors.New("dial timed out")
				}
				var d net.Dialer
				return d.DialContext(ctx, "tcp", addr.String())
			}))
			t.Cleanup(func() { _ = p.Close() })
			t.Cleanup(func() { close(release) })
			time.AfterFunc(100*time.Millisecond, func() { dead.Store(true) })
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			a, err := p.Do(ctx, Target{ID: "t", Addr: s.addr}, 0, newRequest("1"))
			if err == nil {
				_, err = io.ReadAll(a.Body)
				assert.NilError(t, a.Body.Close())
			}
			assert.ErrorIs(t, err, ErrSilent)
			assert.Assert(t, time.Since(begun) < 5*time.Second)
		})
	}
}

// Guards against treating a slow target as dead.
func TestSlowTargetIsAwaited(t *testing.T) {
	s := newTestServer(t, func(_ int, id string) string {
		time.Sleep(4 * silenceTimeout)
		return response(id, "own")
	})
	p := NewPool()
	defer func() { _ = p.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a, err := p.Do(ctx, Target{ID: "t", Addr: s.addr}, 0, newRequest("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
}
