package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/relay"
)

// Guards against a request that is sent to one target after the other because those that it takes down
// go dark instead of closing their connections (review/5): after the third it is refused.
func TestRequestThatDarkensTargetsIsBlocked(t *testing.T) {
	var mu sync.Mutex
	dark := make(map[string]bool)
	release := make(chan struct{})
	goDark := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/once/poison" {
			respondSealed(http.StatusOK, "yes")(w, r)
			return
		}
		mu.Lock()
		dark[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()] = true
		mu.Unlock()
		<-release
	}
	fx := newFixture(t, "plain", goDark, goDark, goDark, goDark, goDark)
	t.Cleanup(func() { close(release) })
	fx.gateway.targetConns = relay.NewPool(relay.WithDial(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		mu.Lock()
		gone := dark[addr.String()]
		mu.Unlock()
		if gone {
			return nil, errors.New("dial timed out")
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr.String())
	}))
	send := func(path string) int {
		res, _, err := fx.do(t.Context(), http.MethodPost, path, "body", nil)
		assert.NilError(t, err)
		assert.NilError(t, fx.gateway.report(t.Context()))
		return res.StatusCode
	}
	for i := range 3 {
		assert.Equal(t, send("/once/poison"), http.StatusBadGateway, "attempt %d", i+1)
	}
	for range 2 {
		assert.Equal(t, send("/once/poison"), http.StatusServiceUnavailable)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(dark), 3)
}
