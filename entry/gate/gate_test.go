package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

// Guards against requests and responses that are modified in transit, and against
// clients that set reserved headers.
func TestPassedUnchanged(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusCreated, "answer"))
	res, text, err := fx.do(t.Context(), http.MethodPost, "/once/a%2Fb?x=1&&y", "body", func(r *http.Request) {
		r.Header.Set("X-Own", "1")
		r.Header.Set("T-Hold", "mine")
		r.Header.Set("T-Target", "mine")
	})
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusCreated)
	assert.Equal(t, res.Header.Get("T-Seal"), "s")
	assert.Equal(t, text, "answer")
	got := fx.targets[0].requests()[0]
	assert.Equal(t, got.uri, "/once/a%2Fb?x=1&&y")
	assert.Equal(t, got.host, "a.example")
	assert.Equal(t, got.body, "body")
	assert.Equal(t, got.header.Get("X-Own"), "1")
	assert.Equal(t, got.header.Get("T-Hold"), "")
	assert.Equal(t, got.header.Get("T-Target"), "t0")
	assert.Equal(t, got.header.Get("T-Id"), "r1")
}

// Guards against a non-idempotent request that runs twice, against reporting a request
// as not run although it may have run, and against failing a request that may be resent.
func TestWhatRunsAgain(t *testing.T) {
	for _, c := range []struct {
		name, service, path string
		first               http.HandlerFunc
		status, sends       int
	}{
		{"once, broken", "plain", "/once/1", closeConnection, http.StatusBadGateway, 1},
		{"once, not run", "plain", "/once/1", respondNotRun(http.StatusServiceUnavailable), http.StatusOK, 2},
		{"once, another target", "plain", "/once/1", respondNotRun(http.StatusMisdirectedRequest), http.StatusOK, 2},
		{"once, failed", "plain", "/once/1", respondSealed(http.StatusInternalServerError, "no"), http.StatusInternalServerError, 1},
		{"once, no seal", "plain", "/once/1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, http.StatusBadGateway, 1},
		{"safe, broken", "plain", "/safe/1", closeConnection, http.StatusOK, 2},
		{"safe, failed", "plain", "/safe/1", respondSealed(http.StatusInternalServerError, "no"), http.StatusOK, 2},
		{"stream, broken", "engines", "/stream/1", closeConnection, http.StatusBadGateway, 1},
		{"resumable stream, broken", "engines", "/resumed/1", closeConnection, http.StatusOK, 2},
		{"stream, failed", "engines", "/stream/1", respondSealed(http.StatusInternalServerError, "no"), http.StatusInternalServerError, 1},
		{"resumable stream, failed", "engines", "/resumed/1", respondSealed(http.StatusInternalServerError, "no"), http.StatusOK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			n := 0
			handler := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				n++
				first := n == 1
				mu.Unlock()
				switch {
				case first:
					c.first(w, r)
				case c.service == "engines":
					writeEvents(w, 1, 2)
				default:
					respondSealed(http.StatusOK, "ok")(w, r)
				}
			}
			fx := newFixture(t, c.service, handler, handler)
			res, _, err := fx.do(t.Context(), http.MethodPost, c.path, "x", nil)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, c.status)
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, n, c.sends)
		})
	}
}

// Guards against replacing a target's server error by a generated one when no other
// target responds either.
func TestFailureOfTargetIsKept(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusInternalServerError, "theirs"))
	res, text, err := fx.do(t.Context(), http.MethodGet, "/safe/1", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, text, "theirs")
	assert.Equal(t, res.Header.Get("T-Seal"), "s")
}

// Guards against a target that responds to part of its requests with server errors and
// still gets its full share of the requests that may run only once (incident inc-11ef).
func TestFailingTargetLosesWork(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusInternalServerError, "no"), respondSealed(http.StatusOK, "ok"))
	failed := fx.countFailures(20)
	assert.Assert(t, failed <= 3, "%d of 20 requests went to the failing target", failed)
}

// Guards against events that are lost, duplicated or merged from two runs when a stream
// breaks, also in the middle of an event, and is resumed at another target.
func TestStreamResumes(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "3" {
			writeEvents(w, 2, 6)
			return
		}
		writeEvents(w, 1, 3)
		_, _ = io.WriteString(w, "id: 4\ndata: ha")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	fx := newFixture(t, "engines", handler, handler)
	res, text, err := fx.do(t.Context(), http.MethodPost, "/resumed/1", "x", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, eventText(1, 6))
}

// Guards against a broken stream that appears complete to the client: when the resumed
// stream is an error response (day hunt-e89f-35 of the hunt command), when it has a gap,
// and when no resend is allowed.
func TestBrokenStreamIsCut(t *testing.T) {
	for _, c := range []struct {
		name, path string
		second     http.HandlerFunc
	}{
		{"failure instead of the rest", "/resumed/1", respondSealed(http.StatusInternalServerError, "no")},
		{"not run instead of the rest", "/resumed/1", respondNotRun(http.StatusServiceUnavailable)},
		{"gap", "/resumed/1", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 5, 6) }},
		{"not resumable", "/stream/1", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 4, 6) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			n := 0
			handler := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				n++
				first := n == 1
				mu.Unlock()
				if !first {
					c.second(w, r)
					return
				}
				writeEvents(w, 1, 3)
				panic(http.ErrAbortHandler)
			}
			fx := newFixture(t, "engines", handler, handler)
			_, text, err := fx.do(t.Context(), http.MethodPost, c.path, "x", nil)
			assert.Assert(t, err != nil, "complete: %q", text)
			assert.Equal(t, text, eventText(1, 3))
		})
	}
}

// Guards against a target that continues to work after the client has disconnected.
func TestClientLeaves(t *testing.T) {
	begun := make(chan struct{}, 1)
	fx := newFixture(t, "engines", func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 1)
		begun <- struct{}{}
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = fx.do(ctx, http.MethodPost, "/resumed/1", "x", nil)
	}()
	<-begun
	cancel()
	<-done
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		fx.targets[0].mu.Lock()
		cancelled := fx.targets[0].cancelled
		fx.targets[0].mu.Unlock()
		if cancelled == 1 {
			break
		}
		assert.Assert(t, time.Now().Before(end), "the target is still running the request")
	}
}

// Guards against wrong status codes in generated responses: a 503 promises that the
// request was not run.
func TestOwnAnswers(t *testing.T) {
	slow := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for _, c := range []struct {
		name, path, body string
		change           func(r *http.Request)
		status           int
	}{
		{"unknown route", "/nowhere/", "", nil, http.StatusNotFound},
		{"unknown host", "/once/1", "", func(r *http.Request) { r.Host = "b.example" }, http.StatusNotFound},
		{"no id", "/once/1", "", func(r *http.Request) { r.Header.Del("T-Id") }, http.StatusBadRequest},
		{"bad deadline", "/once/1", "", func(r *http.Request) { r.Header.Set("T-Deadline", "soon") }, http.StatusBadRequest},
		{"large header", "/once/1", "", func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", 3000)) }, http.StatusRequestHeaderFieldsTooLarge},
		{"large body", "/once/1", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
		{"deadline passed at the target", "/once/1", "", func(r *http.Request) { r.Header.Set("T-Deadline", "100") }, http.StatusGatewayTimeout},
		{"undeclared model", "/stream/1", "", func(r *http.Request) { r.Header.Set("T-Model", "other") }, http.StatusServiceUnavailable},
		{"model that nobody holds", "/stream/1", "", func(r *http.Request) { r.Header.Set("T-Model", "rare") }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, "plain", slow)
			res, _, err := fx.do(t.Context(), http.MethodPost, c.path, c.body, c.change)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, c.status)
			assert.Equal(t, res.Header.Get("T-Seal"), "")
			refused := c.status == http.StatusServiceUnavailable
			assert.Equal(t, res.Header.Get("Retry-After") != "", refused)
			if refused {
				assert.Equal(t, len(fx.targets[0].requests()), 0)
			}
		})
	}
}

// Guards against sending a request to a target before its adapter is resident, and
// against a failed fetch that uses up the retry budget or is followed by a send.
func TestAdapterIsFetchedFirst(t *testing.T) {
	fx := newFixture(t, "engines", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	adapted := func(r *http.Request) { r.Header.Set("T-Model", "m/a1") }
	_, text, err := fx.do(t.Context(), http.MethodPost, "/resumed/1", "x", adapted)
	assert.NilError(t, err)
	assert.Equal(t, text, eventText(1, 1))
	_, _, err = fx.do(t.Context(), http.MethodPost, "/resumed/1", "x", adapted)
	assert.NilError(t, err)
	assert.DeepEqual(t, fx.control.fetched, []string{"t0 m/a1"})

	fx.control.refusal = "no place"
	res, _, err := fx.do(t.Context(), http.MethodPost, "/resumed/1", "x", func(r *http.Request) {
		r.Header.Set("T-Model", "m/a2")
		r.Header.Set("T-Deadline", "400")
	})
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(fx.targets[0].requests()), 2)
}

// The only target of a model has more work in progress than it can process in time. Guards
// against requests that queue until their deadline, and against refusing a request that
// was sent to the target.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	fx := newFixture(t, "engines", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	fx.gateway.mu.Lock()
	fx.gateway.fleet.targets["t0"].Others.PromptTokens = 1_000_000
	fx.gateway.mu.Unlock()
	begun := time.Now()
	res, _, err := fx.do(t.Context(), http.MethodPost, "/resumed/1", "x", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Retry-After"), "3.00")
	assert.Assert(t, time.Since(begun) < time.Second)
	assert.Equal(t, len(fx.targets[0].requests()), 0)
	fx.gateway.mu.Lock()
	defer fx.gateway.mu.Unlock()
	assert.Equal(t, fx.gateway.fleet.targets["t0"].Own.Running, 0)
}

// Guards against an instance that stops serving or returns to an older configuration
// while control is unreachable, and against one that accepts streams while draining.
func TestWithoutControlAndDraining(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusOK, "ok"))
	fx.control.mu.Lock()
	fx.control.down = true
	fx.control.mu.Unlock()
	assert.Assert(t, fx.gateway.report(t.Context()) != nil)
	fx.gateway.applyDocument(&wire.Document{Version: 4, Content: []byte("old")})
	assert.Equal(t, fx.gateway.index.Load().Config.Version, uint64(5))
	res, _, err := fx.do(t.Context(), http.MethodPost, "/once/1", "x", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, fx.gateway.Unready(), "")

	fx.gateway.Drain(time.Now().Add(time.Minute))
	assert.Equal(t, fx.gateway.Unready(), "draining")
	res, _, err = fx.do(t.Context(), http.MethodPost, "/once/1", "x", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Assert(t, res.Close)
	res, _, err = fx.do(t.Context(), http.MethodPost, "/stream/1", "x", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
}

// Guards against removing a target of the previous leader's table before the new leader
// can have received its announcement, against a leaving target that becomes ready again,
// and against removing a target because its earlier incarnation was removed.
func TestTableOfNewLeader(t *testing.T) {
	now := time.Now()
	record := func(phase wire.Phase) *wire.FleetTarget {
		return &wire.FleetTarget{Id: "a", Address: "10.0.0.1:80", Service: "s", Phase: phase, BornMillis: 5}
	}
	f := newFleetTable()
	f.apply(now, &wire.FleetReply{Term: 1, Whole: true, Targets: []*wire.FleetTarget{record(wire.Phase_PHASE_LEAVING)}})
	f.apply(now, &wire.FleetReply{Term: 2, Whole: true})
	assert.Equal(t, len(f.services["s"]), 1)
	f.apply(now, &wire.FleetReply{Term: 2, Targets: []*wire.FleetTarget{record(wire.Phase_PHASE_READY)}})
	assert.Assert(t, !f.targets["a"].Ready)
	old := record(wire.Phase_PHASE_READY)
	old.BornMillis, old.Removed = 4, true
	f.apply(now, &wire.FleetReply{Term: 2, Targets: []*wire.FleetTarget{old}})
	assert.Equal(t, len(f.targets), 1)
	f.apply(now, &wire.FleetReply{Term: 3, Whole: true})
	f.apply(now.Add(2*orphanTimeout), &wire.FleetReply{Term: 3})
	assert.Equal(t, len(f.targets), 0)
}

// Guards against matching a response to the wrong request when a target responds before
// it has read the whole request body.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	var mu sync.Mutex
	ids := []string{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					id := req.Header.Get("T-Id")
					mu.Lock()
					ids = append(ids, id)
					mu.Unlock()
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: 2\r\n\r\nok", id)
					_, _ = io.Copy(io.Discard, req.Body)
				}
			}()
		}
	}()
	fx := newFixture(t, "plain", respondSealed(http.StatusOK, "unused"))
	fx.control.mu.Lock()
	fx.control.targets[0].Address = ln.Addr().String()
	fx.control.targets[0].BornMillis = 2
	fx.control.mu.Unlock()
	assert.NilError(t, fx.gateway.report(t.Context()))
	for i := range 3 {
		id := fmt.Sprintf("r%d", i)
		res, text, err := fx.do(t.Context(), http.MethodPost, "/once/1", strings.Repeat("x", 900), func(r *http.Request) {
			r.Header.Set("T-Id", id)
		})
		assert.NilError(t, err)
		assert.Equal(t, text, "ok")
		assert.Equal(t, res.Header.Get("T-Id"), id)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, ids, []string{"r0", "r1", "r2"})
}

// Guards against a request that crashes one target after another as its client retries,
// also while control is unreachable at times, and against refusing other requests.
func TestRequestThatCrashesTargetsIsBlocked(t *testing.T) {
	crash := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/poison" {
			closeConnection(w, r)
			return
		}
		respondSealed(http.StatusOK, "yes")(w, r)
	}
	fx := newFixture(t, "plain", crash, crash, crash, crash)
	send := func(path string) int {
		res, _, err := fx.do(t.Context(), http.MethodPost, path, "body", nil)
		assert.NilError(t, err)
		return res.StatusCode
	}
	lost := map[string]bool{}
	for i := 0; len(lost) < 3; i++ {
		assert.Assert(t, i < 100)
		assert.Equal(t, send("/once/poison"), http.StatusBadGateway)
		fx.control.mu.Lock()
		fx.control.down = i%2 == 0
		fx.control.mu.Unlock()
		err := fx.gateway.report(t.Context())
		assert.Equal(t, err != nil, i%2 == 0, "a report without a reply must be sent again")
		for _, f := range fx.targets {
			for _, r := range f.requests() {
				if r.uri == "/once/poison" {
					lost[f.id] = true
				}
			}
		}
	}
	fx.control.mu.Lock()
	fx.control.down = false
	fx.control.mu.Unlock()
	assert.NilError(t, fx.gateway.report(t.Context()))
	reached := func() (n int) {
		for _, f := range fx.targets {
			n += len(f.requests())
		}
		return n
	}
	before := reached()
	assert.Equal(t, send("/once/poison"), http.StatusServiceUnavailable)
	assert.Equal(t, reached(), before)
	assert.Equal(t, send("/once/other"), http.StatusOK)
}

// Guards against a request that is refused for ten minutes although control has taken its verdict
// back: its targets have proved alive, or an operator has lifted it. A verdict of the previous
// leader that the next one does not know is kept.
func TestVerdictIsTakenBack(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusOK, "yes"))
	fp := poison.FingerprintOf([]byte("body"), "a.example POST /once/x", "/")
	send := func() int {
		res, _, err := fx.do(t.Context(), http.MethodPost, "/once/x", "body", nil)
		assert.NilError(t, err)
		return res.StatusCode
	}
	update := func(change func(c *fakeControl)) {
		fx.control.mu.Lock()
		change(fx.control)
		fx.control.mu.Unlock()
		assert.NilError(t, fx.gateway.report(t.Context()))
	}
	block := func(c *fakeControl) {
		for i := range 3 {
			c.count.RecordLoss(time.Now(), fp, poison.Process{Target: fmt.Sprint("t", i), BornMillis: 1})
		}
	}
	assert.Equal(t, send(), http.StatusOK)
	update(block)
	assert.Equal(t, send(), http.StatusServiceUnavailable)
	update(func(c *fakeControl) { c.count = poison.LossCounter{} })
	assert.Equal(t, send(), http.StatusOK, "the verdict was taken back")

	update(block)
	update(func(c *fakeControl) { c.count, c.term = poison.LossCounter{}, 2 })
	assert.Equal(t, send(), http.StatusServiceUnavailable, "the next leader may not know it")
	update(block)
	update(func(c *fakeControl) { c.count = poison.LossCounter{} })
	assert.Equal(t, send(), http.StatusOK, "the next leader has taken it back")
}

// Guards against data races between requests, reports and the removal of connections,
// which crash the process.
func TestConcurrentRequestsAndReports(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 5) }
	fx := newFixture(t, "engines", stream, stream, closeConnection)
	end := time.Now().Add(500 * time.Millisecond)
	var wg sync.WaitGroup
	loop := func(do func(n int)) {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				do(n)
			}
		})
	}
	for i := range 4 {
		loop(func(n int) {
			_, _, err := fx.do(t.Context(), http.MethodPost, "/resumed/1", "x", func(r *http.Request) {
				r.Header.Set("T-Id", fmt.Sprint("r", i, "-", n))
				r.Header.Set("T-Model", "m")
			})
			assert.Check(t, err)
		})
	}
	loop(func(int) { assert.Check(t, fx.gateway.report(t.Context())) })
	loop(func(int) { fx.gateway.closeStaleConns() })
	wg.Wait()
}

// Guards against instances that together open more connections than a target accepts, which resets
// the others, and against a share of nothing.
func TestConnectionsAreShared(t *testing.T) {
	g := &Gateway{}
	s := &site.Service{MaxConns: 480}
	for _, c := range []struct{ instances, want int }{{0, 80}, {1, 80}, {12, 80}, {24, 40}, {96, 10}, {2000, 1}} {
		g.instances.Store(int32(c.instances))
		assert.Equal(t, g.connLimit(s), c.want, "%d instances", c.instances)
	}
	assert.Equal(t, g.connLimit(&site.Service{}), 0)
}
