package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawServer gives each connection to serve, with a reader of what the caller sends. Connections that
// send nothing are probes of the pool.
func rawServer(t *testing.T, serve func(c *net.TCPConn, r *bufio.Reader)) Target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if _, err := r.Peek(1); err == nil {
					serve(c.(*net.TCPConn), r)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return Target{ID: "t", Addr: ln.Addr().(*net.TCPAddr).AddrPort()}
}

// readHead reads the header of a request and leaves its body.
func readHead(r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil || strings.TrimSpace(line) == "" {
			return
		}
	}
}

// readAnswer sends a request with a body of the given size and reads the whole answer.
func readAnswer(t *testing.T, p *Pool, target Target, upload int) (text string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r := newRequest("1")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, upload), true
	a, err := p.Do(ctx, target, 0, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// partAnswer is an answer without a length, which ends with its connection.
const partAnswer = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\npart"

// Guards against a part of an answer that passes for the whole: an answer without a length ends with
// its connection, and the connection is reset, with or without an end before, while the upload is still
// on its way or when it has arrived.
func TestResetAnswerIsNotWhole(t *testing.T) {
	// The kernel of the target takes all of a short upload. Then nothing but a wait for the reset can tell
	// that one will come, and answers can't wait for long.
	all, long := []int{64 << 10, 1 << 20, 16 << 20}, []int{16 << 20}
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for _, c := range []struct {
		name    string
		uploads []int
		end     func(c *net.TCPConn, r *bufio.Reader)
	}{
		{"reset", all, func(c *net.TCPConn, _ *bufio.Reader) { reset(c) }},
		{"end and reset", all, func(c *net.TCPConn, _ *bufio.Reader) {
			_ = c.CloseWrite()
			reset(c)
		}},
		{"end, and reset a moment later", all, func(c *net.TCPConn, _ *bufio.Reader) {
			_ = c.CloseWrite()
			time.Sleep(time.Millisecond)
			reset(c)
		}},
		{"end, and reset 50 ms later", long, func(c *net.TCPConn, _ *bufio.Reader) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			reset(c)
		}},
		{"close with the upload unread", all, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.Close() }},
	} {
		for _, upload := range c.uploads {
			t.Run(fmt.Sprintf("%s/%d KB", c.name, upload>>10), func(t *testing.T) {
				for range 12 {
					target := rawServer(t, func(nc *net.TCPConn, r *bufio.Reader) {
						readHead(r)
						_, _ = io.WriteString(nc, partAnswer)
						c.end(nc, r)
					})
					p := NewPool()
					text, err := readAnswer(t, p, target, upload)
					assert.Check(t, err != nil, "%q passed for the whole answer", text)
					assert.NilError(t, p.Close())
				}
			})
		}
	}
}

// Guards against an answer that stops at any byte of its head, or of a body whose end is marked, and is
// passed on as whole or short.
func TestAnswerCutAnywhere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n"
	for _, c := range []struct {
		name, answer string
	}{
		{"length", head + "Content-Length: 12\r\n\r\nwhole answer"},
		{"no body", head + "Content-Length: 0\r\n\r\n"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n"},
		{"trailer", head + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n"},
		{"no length", head + "X-A: b\r\n\r\n"},
		{"interim first", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole"},
		{"late answer first", strings.Replace(response("0", "late"), idHeader, "Test-Id", 1) + head + "Content-Length: 5\r\n\r\nwhole"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%v", c.name, reset), func(t *testing.T) {
				p := NewPool()
				defer func() { _ = p.Close() }()
				var cut atomic.Int64
				target := rawServer(t, func(nc *net.TCPConn, r *bufio.Reader) {
					readHead(r)
					_, _ = io.WriteString(nc, c.answer[:cut.Load()])
					if reset {
						_ = nc.SetLinger(0)
					}
				})
				for i := range len(c.answer) {
					cut.Store(int64(i))
					text, err := readAnswer(t, p, target, 0)
					assert.Assert(t, err != nil, "cut after %q: %q passed for the whole answer", c.answer[:i], text)
				}
				if reset {
					return
				}
				cut.Store(int64(len(c.answer)))
				_, err := readAnswer(t, p, target, 0)
				assert.NilError(t, err)
			})
		}
	}
}
