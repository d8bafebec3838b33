package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// rawService answers each request with text, lets end end the connection and closes it. It returns its URL.
func rawService(t *testing.T, text string, end func(c *net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if req.URL.Path == "/healthz" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(c, text)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// checkOutcome runs a claimed and an unclaimed request at the service.
func checkOutcome(t *testing.T, url string, completed bool) {
	t.Helper()
	b := startAgent(t, kindPlain, url, nil)
	for _, key := range []string{"", "key"} {
		got := b.call(context.Background(), plainRequest("/x", "x", key))
		assert.NilError(t, got.err)
		assert.Equal(t, got.end.GetOutcome() == outcomeCompleted, completed, "claim %q: %v", key, got.end)
	}
	b.control.withLock(func() {
		assert.Equal(t, len(b.control.settled), 1)
		got := b.control.settled[0].GetOutcome()
		assert.Equal(t, got == wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED, completed)
	})
}

// Guards against an answer whose status is none of the protocol and that is reported as the outcome of a
// request, and kept as that of its claim.
func TestOddStatusIsNoOutcome(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		text := fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: 4\r\n\r\npart", status)
		checkOutcome(t, rawService(t, text, func(*net.TCPConn) {}), false)
	}
}

// Guards against a part of an answer that is reported as the whole, and kept as that of its claim: the
// answer has no length, and its connection is reset just after it has ended.
func TestResetAnswerIsNoOutcome(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\npart"
	checkOutcome(t, rawService(t, part, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	}), false)
	checkOutcome(t, rawService(t, part, func(*net.TCPConn) {}), true)
}
