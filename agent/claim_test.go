package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// disconnectPoint is the point at which the fake service closes the connection of a
// request whose path contains "/cut".
type disconnectPoint uint8

const (
	disconnectNever disconnectPoint = iota
	disconnectOnAccept
	disconnectInHeader
	disconnectAfterBody
	disconnectInStatus
	disconnectInResponse
	disconnectPoints
)

// disconnectingService is a plain service on raw connections that closes them at a point
// chosen by the test. It counts a request as run once it has read all of it.
type disconnectingService struct {
	ln           net.Listener
	disconnectAt disconnectPoint

	mu   sync.Mutex
	runs map[string]int
	// received is set when the first line of a request for /cut has arrived.
	received bool
	// reused is set when a request for /cut arrived on a connection that had carried
	// another request.
	reused bool
	header http.Header
}

func newDisconnectingService(t *testing.T, at disconnectPoint) *disconnectingService {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &disconnectingService{ln: ln, disconnectAt: at, runs: map[string]int{}}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *disconnectingService) url() string { return "http://" + s.ln.Addr().String() }

func (s *disconnectingService) runsOf(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

func (s *disconnectingService) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		disconnect := strings.Contains(line, "/cut")
		if disconnect {
			s.mu.Lock()
			s.received, s.reused = true, s.reused || n > 0
			s.mu.Unlock()
			if s.disconnectAt == disconnectOnAccept || s.disconnectAt == disconnectInHeader {
				return
			}
		}
		req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(line), r)))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		s.mu.Lock()
		s.runs[string(body)]++
		if disconnect {
			s.header = req.Header
		}
		s.mu.Unlock()
		if disconnect && s.disconnectAt == disconnectAfterBody {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\n"
		switch {
		case disconnect && s.disconnectAt == disconnectInStatus:
			_, _ = io.WriteString(c, answer[:10])
			return
		case disconnect && s.disconnectAt == disconnectInResponse:
			_, _ = io.WriteString(c, answer+"ans")
			return
		}
		_, _ = io.WriteString(c, answer+"answered")
	}
}

func plainRequest(path, body, key string) *wire.RunRequest {
	return &wire.RunRequest{
		Team: "own", Service: "svc", Method: "POST", Path: path, Body: []byte(body), ClaimKey: key,
		ClaimAttempt: []byte("a"), Headers: []*wire.Header{
			{Name: "idempotency-key", Value: "k"}, {Name: "X-Idempotency-Key", Value: "k"}, {Name: "X-Other", Value: "v"},
		},
	}
}

// Guards against a claimed request that runs twice, is reported as not-run although
// the service has received it, or ends without a settlement, depending on where the
// connection breaks.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	for at := disconnectNever; at < disconnectPoints; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			s := newDisconnectingService(t, at)
			b := startAgent(t, kindPlain, s.url(), nil)
			// Leaves an idle connection in the pool, which the next request must
			// not reuse.
			warm := b.call(context.Background(), plainRequest("/warm", "warm", ""))
			assert.Equal(t, warm.text, "answered")
			got := b.call(context.Background(), plainRequest("/cut", "cut", "key"))
			assert.NilError(t, got.err)
			runs := s.runsOf("cut")
			assert.Assert(t, runs <= 1, "service ran the request %d times", runs)
			outcome := got.end.GetOutcome()
			s.mu.Lock()
			assert.Assert(t, outcome != outcomeNotRun || !s.received)
			assert.Assert(t, !s.reused, "claimed request was sent over a reused connection")
			s.mu.Unlock()
			assert.Equal(t, outcome == outcomeCompleted, at == disconnectNever)
			b.control.withLock(func() {
				assert.Equal(t, len(b.control.settled), 1)
				settled := b.control.settled[0]
				want := wire.SettleOutcome_SETTLE_OUTCOME_UNKNOWN
				if at == disconnectNever {
					want = wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED
					assert.Equal(t, string(settled.GetAnswer().GetBody()), "answered")
					assert.Equal(t, settled.GetAnswer().GetStatus(), uint32(200))
				}
				assert.Equal(t, settled.GetOutcome(), want)
				assert.Equal(t, len(b.control.crashes), 0, "an ordinary error was reported as a crash")
			})
			if at == disconnectNever {
				assert.Equal(t, s.header.Get("Idempotency-Key")+s.header.Get("X-Idempotency-Key"), "")
				assert.Equal(t, s.header.Get("X-Other"), "v")
			}
		})
	}
}

// Guards against net/http running a claimed request twice: when a reused connection
// breaks before the response, it resends a request that has an Idempotency-Key header
// and GetBody. The unprotected client demonstrates the fault.
func TestNetHTTPResend(t *testing.T) {
	runs := func(claimed bool) int {
		s := newDisconnectingService(t, disconnectAfterBody)
		tr := newTransport()
		send := func(path, body string) error {
			req, err := http.NewRequest("POST", s.url()+path, bodyReader([]byte(body), claimed))
			assert.NilError(t, err)
			req.ContentLength = int64(len(body))
			if !claimed {
				req.Header.Set("Idempotency-Key", "k")
			}
			resp, err := sendOnce(tr, req, claimed)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			return err
		}
		assert.NilError(t, send("/warm", "warm"))
		assert.Assert(t, send("/cut", "cut") != nil)
		return s.runsOf("cut")
	}
	assert.Equal(t, runs(false), 2, "the unprotected client must show the fault")
	assert.Equal(t, runs(true), 1)
}

// Guards against the outcome unknown when the connection was refused, in which case it
// is certain that nothing was sent.
func TestRefusedDialIsNotRun(t *testing.T) {
	s := newDisconnectingService(t, disconnectNever)
	assert.NilError(t, s.ln.Close())
	for _, claimed := range []bool{false, true} {
		req, err := http.NewRequest("POST", s.url()+"/x", bytes.NewReader([]byte("x")))
		assert.NilError(t, err)
		_, err = sendOnce(newTransport(), req, claimed) //nolint:bodyclose // there is no response
		assert.Assert(t, isNotSent(err), "claimed %v: %v", claimed, err)
	}
}

// Guards against a claimed request that is cancelled or left unsettled because its
// entry instance has disconnected. One that is still queued is settled as not-run.
func TestClaimSettlesWithoutEntry(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	e := newFakeEngine(t)
	e.generate = func(w http.ResponseWriter, r *http.Request, g generateJSON) {
		close(arrived)
		<-release
		// Allows time for a cancellation to arrive, which would fail the test.
		select {
		case <-time.After(200 * time.Millisecond):
			echo(w, r, g)
		case <-r.Context().Done():
		}
	}
	b := startAgent(t, kindEngine, "http://"+e.addr, func(s *Settings) { s.Agent.Slots = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan result, 2)
	for _, key := range []string{"running", "waiting"} {
		req := generateRequest()
		req.ClaimKey, req.ClaimAttempt = key, []byte("a")
		go func() { done <- b.call(ctx, req) }()
		<-arrived
	}
	b.waitUntil("second request waits", func() bool { return b.control.last.GetAnnouncement().GetLoad().GetQueued() == 1 })
	cancel()
	for range 2 {
		assert.Assert(t, (<-done).err != nil)
	}
	settled := func(n int, key string, outcome wire.SettleOutcome, text string) {
		b.waitUntil(key+" claim is settled", func() bool { return len(b.control.settled) == n })
		s := b.control.settled[n-1]
		assert.Equal(t, s.GetKey(), key)
		assert.Equal(t, s.GetOutcome(), outcome)
		assert.Equal(t, string(s.GetAnswer().GetBody()), text)
	}
	settled(1, "waiting", wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN, "")
	close(release)
	settled(2, "running", wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED, "t0 t1 t2 ")
}

// Guards against storing a part of a response above the limit as if it were complete.
func TestLargeResponseIsNotStored(t *testing.T) {
	for _, size := range []int{maxStoredBody, maxStoredBody + 1, maxBufferedBody + readBufferSize + 1} {
		want := strings.Repeat("x", size)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, want) }))
		t.Cleanup(srv.Close)
		b := startAgent(t, kindPlain, srv.URL, nil)
		got := b.call(context.Background(), plainRequest("/pay?x=1", "b", "key"))
		assert.NilError(t, got.err)
		assert.Assert(t, got.text == want && got.end.GetOutcome() == outcomeCompleted, "%d: %d %v", size, len(got.text), got.end)
		b.control.withLock(func() {
			ans := b.control.settled[0].GetAnswer()
			assert.Equal(t, ans.GetTruncated(), size > maxStoredBody)
			assert.Equal(t, len(ans.GetBody()) == size, size <= maxStoredBody)
		})
	}
}
