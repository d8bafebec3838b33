package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const idHeader = "Test-Id"

// testServer responds to each request with the bytes that the answer function returns; an
// empty string closes the connection.
type testServer struct {
	addr netip.AddrPort
	ln   net.Listener
	wg   sync.WaitGroup

	mu sync.Mutex
	// requests lists the ids of the requests read. conns is the number of accepted
	// connections.
	requests []string
	conns    int
	open     map[net.Conn]bool
}

func newTestServer(t *testing.T, answer func(n int, id string) string) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{addr: ln.Addr().(*net.TCPAddr).AddrPort(), ln: ln, open: map[net.Conn]bool{}}
	s.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.open[c] = true
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(c, answer) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		s.mu.Lock()
		for c := range s.open {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.wg.Wait()
	})
	return s
}

func (s *testServer) serve(c net.Conn, answer func(n int, id string) string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.requests = append(s.requests, req.Header.Get(idHeader))
		n := len(s.requests)
		s.mu.Unlock()
		text := answer(n, req.Header.Get(idHeader))
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func (s *testServer) count() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.conns
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodGet, URI: "/x", Host: "a.example",
		Header: http.Header{idHeader: {id}}, IDHeader: idHeader, ID: id,
	}
}

func exchange(t *testing.T, p *Pool, s *testServer, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := p.Do(ctx, Target{ID: "t", Addr: s.addr}, 0, newRequest(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// Guards against returning the response of another request: a target sends a second
// response to an earlier request before the response to the current one.
func TestLateAnswerIsSkipped(t *testing.T) {
	s := newTestServer(t, func(n int, id string) string {
		if n == 2 {
			return response("1", "late") + response(id, "own")
		}
		return response(id, "own")
	})
	p := NewPool()
	defer func() { _ = p.Close() }()
	for _, id := range []string{"1", "2", "3"} {
		body, err := exchange(t, p, s, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "own")
	}
}

// refusal is the answer of a target that did not run a request.
func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, id)
}

// Guards against taking a refusal that a target writes once more for the answer to the second
// send of the same request, which the target runs (REFUSED, TWICE): the id is that of the
// request, and the connection was kept. Other requests in between don't change that.
func TestRepeatedRefusalIsNotTheNextAnswer(t *testing.T) {
	for _, between := range []string{"", "y"} {
		t.Run("between: "+between, func(t *testing.T) {
			p := NewPool()
			defer func() { _ = p.Close() }()
			var s *testServer
			s = newTestServer(t, func(n int, id string) string {
				_, conns := s.count()
				switch {
				case n == 1:
					return refusal(id)
				case conns == 1 && id == "x":
					return refusal("x") + response(id, "run")
				}
				return response(id, "run")
			})
			_, err := exchange(t, p, s, "x")
			assert.NilError(t, err)
			if between != "" {
				body, err := exchange(t, p, s, between)
				assert.NilError(t, err)
				assert.Equal(t, body, "run")
			}
			body, err := exchange(t, p, s, "x")
			assert.NilError(t, err)
			assert.Equal(t, body, "run")
			_, conns := s.count()
			assert.Equal(t, conns, 2)
			_, err = exchange(t, p, s, "z")
			assert.NilError(t, err)
			_, conns = s.count()
			assert.Equal(t, conns, 2, "connections are kept for other requests")
		})
	}
}

// Guards against taking the late second answer to one health check, which has no id, for that of
// the next one: it would say that a target that leaves is healthy.
func TestRequestWithoutIDGetsANewConnection(t *testing.T) {
	p := NewPool()
	defer func() { _ = p.Close() }()
	s := newTestServer(t, func(int, string) string { return response("", "ok") })
	for range 3 {
		_, err := exchange(t, p, s, "")
		assert.NilError(t, err)
	}
	_, conns := s.count()
	assert.Equal(t, conns, 3)
}

// Guards against a request that finds no connection because all idle ones have carried it.
func TestConnLimitWithIdleConnectionsOfTheSameRequest(t *testing.T) {
	p := NewPool()
	defer func() { _ = p.Close() }()
	s := newTestServer(t, func(_ int, id string) string { return refusal(id) })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for range 3 {
		a, err := p.Do(ctx, Target{ID: "t", Addr: s.addr}, 1, newRequest("x"))
		assert.NilError(t, err)
		_, _ = io.ReadAll(a.Body)
		assert.NilError(t, a.Body.Close())
	}
}

// Guards against reusing a connection with unread bytes that belong to no request.
func TestExtraBytesEndTheConnection(t *testing.T) {
	s := newTestServer(t, func(_ int, id string) string { return response(id, "own") + "garbage" })
	p := NewPool()
	defer func() { _ = p.Close() }()
	for _, id := range []string{"1", "2"} {
		body, err := exchange(t, p, s, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "own")
		time.Sleep(20 * time.Millisecond)
	}
	_, conns := s.count()
	assert.Equal(t, conns, 2)
}

// Guards against treating a truncated body as complete, and against rejecting one whose
// end is correctly marked by the end of the connection.
func TestEndOfBody(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		ok           bool
	}{
		{"shorter than announced", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf", false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nhalf\r\n", false},
		{"ends with the connection", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nConnection: close\r\n\r\nwhole", true},
		{"not HTTP", "\x00\x01\x02 Connection: close\r\n\r\n", false},
		{"no id", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, func(int, string) string { return c.answer })
			p := NewPool()
			defer func() { _ = p.Close() }()
			_, err := exchange(t, p, s, "1")
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}

// Guards against resending a request automatically when a reused connection breaks, as
// net/http's client does for GET.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	s := newTestServer(t, func(n int, id string) string {
		if n == 1 {
			return response(id, "own")
		}
		return ""
	})
	p := NewPool()
	defer func() { _ = p.Close() }()
	_, err := exchange(t, p, s, "1")
	assert.NilError(t, err)
	_, err = exchange(t, p, s, "2")
	var failed *Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, failed.Sent && failed.Reused)
	requests, _ := s.count()
	assert.Equal(t, requests, 2)
}

// Guards against sending a request on an idle connection that the target has closed: its
// outcome would be unknown needlessly.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := newTestServer(t, func(_ int, id string) string { return response(id, "own") })
	p := NewPool()
	defer func() { _ = p.Close() }()
	_, err := exchange(t, p, s, "1")
	assert.NilError(t, err)
	s.mu.Lock()
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	_, err = exchange(t, p, s, "2")
	assert.NilError(t, err)
}

// Guards against reporting a request as sent after a failed dial: it may safely be sent
// to another target.
func TestFailedDialIsNotSent(t *testing.T) {
	s := newTestServer(t, func(int, string) string { return "" })
	_ = s.ln.Close()
	p := NewPool()
	defer func() { _ = p.Close() }()
	_, err := exchange(t, p, s, "1")
	var failed *Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, !failed.Sent)
}

// Guards against work that continues at the target after the client has disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	s := newTestServer(t, func(n int, id string) string {
		if n > 1 {
			return response(id, "own")
		}
		return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nContent-Length: 100\r\n\r\npart"
	})
	p := NewPool()
	defer func() { _ = p.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	a, err := p.Do(ctx, Target{ID: "t", Addr: s.addr}, 0, newRequest("1"))
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(a.Body)
	assert.ErrorIs(t, err, context.Canceled)
	assert.NilError(t, a.Body.Close())
	_, err = exchange(t, p, s, "2")
	assert.NilError(t, err)
	_, conns := s.count()
	assert.Equal(t, conns, 2)
}

// Guards against opening more connections than the target accepts.
func TestConnectionLimit(t *testing.T) {
	s := newTestServer(t, func(_ int, id string) string {
		return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nContent-Length: 100\r\n\r\npart"
	})
	p := NewPool()
	defer func() { _ = p.Close() }()
	a, err := p.Do(context.Background(), Target{ID: "t", Addr: s.addr}, 1, newRequest("1"))
	assert.NilError(t, err)
	_, err = p.Do(context.Background(), Target{ID: "t", Addr: s.addr}, 1, newRequest("2"))
	assert.ErrorIs(t, err, ErrConnLimit)
	assert.NilError(t, a.Body.Close())
}

// chunkReader is a reader that returns text in pieces of the given sizes.
type chunkReader struct {
	text  string
	sizes []int
}

func (c *chunkReader) Read(b []byte) (int, error) {
	if c.text == "" {
		return 0, io.EOF
	}
	n := len(c.text)
	if len(c.sizes) > 0 {
		n = min(n, c.sizes[0])
		c.sizes = c.sizes[1:]
	}
	n = copy(b, c.text[:n])
	c.text = c.text[n:]
	return n, nil
}

// Guards against events that are split, joined or modified when they arrive in pieces,
// and against a stream that ends within an event without an error.
func TestEventReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "events")
		text := ""
		for i := range n {
			end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
			text += fmt.Sprintf("id: %d%sdata: %s%s%s", i+1, end, strings.Repeat("x", rapid.IntRange(0, 9000).Draw(t, "size")), end, end)
		}
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 700), 0, 40).Draw(t, "sizes")
		r := NewEventReader(&chunkReader{text: text[:cut], sizes: sizes})
		got, count := "", 0
		for {
			ev, err := r.Next()
			if errors.Is(err, io.EOF) || errors.Is(err, ErrTruncated) {
				if errors.Is(err, io.EOF) != (got == text[:cut]) {
					t.Fatalf("stream of %d bytes ended with %v after %d", cut, err, len(got))
				}
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			got += string(ev.Raw)
			count++
			if !ev.HasID || ev.ID != uint64(count) {
				t.Fatalf("event %d has id %d", count, ev.ID)
			}
		}
		if !strings.HasPrefix(text, got) {
			t.Fatal("events differ from the stream")
		}
	})
}
