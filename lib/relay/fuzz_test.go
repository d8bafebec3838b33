package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bytes of a target that crash the process, keep an exchange from ending, or pass
// for the answer to a request whose id they do not carry.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(response("x", "ok")))
	f.Add([]byte(response("y", "late") + response("x", "ok")))
	f.Add([]byte(refusal("x") + refusal("x")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + response("x", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 \r\n" + idHeader + ": x\r\nRetry-After: -1e999\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n"))
	f.Add([]byte("SSH-2.0-x\r\n"))
	f.Add([]byte(strings.Repeat("A", 300<<10)))
	f.Fuzz(func(t *testing.T, data []byte) {
		p := NewPool(WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			go func() {
				_, _ = far.Write(data)
				_ = far.Close()
			}()
			return near, nil
		}))
		defer func() { _ = p.Close() }()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		a, err := p.Do(ctx, Target{ID: "t"}, 0, newRequest("x"))
		assert.NilError(t, ctx.Err())
		if err != nil {
			return
		}
		assert.Equal(t, a.Header.Get(idHeader), "x")
		n, err := io.Copy(io.Discard, a.Body)
		assert.NilError(t, ctx.Err())
		if err == nil && a.Length >= 0 {
			assert.Equal(t, n, a.Length)
		}
		_ = a.Body.Close()
	})
}
