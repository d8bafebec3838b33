package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// refusal is an answer of a target that refuses a request, or seems to.
type refusal struct {
	status int
	// seal and mark are whether it has the seal of the target, and the header that says not run.
	seal, mark bool
	// markValue is the value of that header.
	markValue string
	// form is how the body ends: its length, chunks, or the connection.
	form string
	// size is the size of the body in bytes.
	size int
}

// ServeHTTP implements http.Handler.
func (x refusal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x.form == "connection" {
		seal := ""
		if x.seal {
			seal = "T-Seal: s\r\n"
		}
		if x.mark {
			seal += "T-Not-Run: " + x.markValue + "\r\n"
		}
		c, _, _ := http.NewResponseController(w).Hijack()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Refused\r\nT-Id: %s\r\n%s\r\n%s", x.status, r.Header.Get("T-Id"), seal, x.body())
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.Close()
		return
	}
	if x.seal {
		w.Header().Set("T-Seal", "s")
	}
	if x.mark {
		w.Header().Set("T-Not-Run", x.markValue)
	}
	if x.form == "length" {
		w.Header().Set("Content-Length", fmt.Sprint(x.size))
	}
	w.WriteHeader(x.status)
	if x.form == "chunks" {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, x.body())
}

func (x refusal) body() string { return strings.Repeat("r", x.size) }

// promiseStatuses are the statuses by which clients know that a request has not run.
var promiseStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against a target's 503, 429 or 408 that reaches the client of a request that may run only once,
// although the target has run it: the client takes the status for a promise and sends the request once more
// (review/15). Nothing of the answer is passed on then, least of all its seal with another status.
func TestUnmarkedRefusalIsNoPromise(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			for _, form := range []string{"length", "chunks", "connection"} {
				for _, x := range []refusal{
					{seal: true, size: 20}, {size: 20}, {seal: true}, {seal: true, size: 2 * maxAnswerBuffer},
				} {
					x.status, x.form = status, form
					t.Run(fmt.Sprintf("%s/%+v", path[1:5], x), func(t *testing.T) {
						service := map[string]string{"/once/x": "plain", "/stream/x": "engines"}[path]
						fx := newFixture(t, service, x.ServeHTTP, x.ServeHTTP)
						res, text, err := fx.do(t.Context(), http.MethodPost, path, "pay", nil)
						assert.NilError(t, err)
						assert.Equal(t, res.StatusCode, http.StatusBadGateway)
						assert.Equal(t, res.Header.Get("T-Seal"), "")
						assert.Assert(t, strings.Contains(text, "does not say that it has not run"), text)
						assert.Equal(t, len(fx.targets[0].requests())+len(fx.targets[1].requests()), 1)
					})
				}
			}
		}
	}
}

// Guards against a refusal that keeps what it promises and reaches the client as another failure: marked, with
// or without a value, or for another target; and against one that is not tried elsewhere.
func TestMarkedRefusalStaysAPromise(t *testing.T) {
	cases := []refusal{{status: http.StatusMisdirectedRequest, form: "length", seal: true, size: 9}}
	for _, status := range append(promiseStatuses, http.StatusBadRequest) {
		for _, value := range []string{"1", ""} {
			for _, form := range []string{"length", "connection"} {
				cases = append(cases, refusal{status: status, form: form, seal: true, size: 9, mark: true, markValue: value})
			}
		}
	}
	for _, x := range cases {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			fx := newFixture(t, "plain", x.ServeHTTP)
			res, _, err := fx.do(t.Context(), http.MethodPost, "/once/x", "pay", func(r *http.Request) { r.Header.Set("T-Deadline", "400") })
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, res.Header.Get("T-Seal"), "")

			fx = newFixture(t, "plain", x.ServeHTTP, x.ServeHTTP, respondSealed(http.StatusOK, "paid"))
			res, text, err := fx.do(t.Context(), http.MethodPost, "/once/x", "pay", nil)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.Equal(t, text, "paid")
		})
	}
}

// Guards against requests that may be repeated and lose something by the care for those that may not: an
// unmarked 503 is tried elsewhere, and the last one reaches the client under its seal, unchanged.
func TestUnmarkedRefusalOfRepeatableRequests(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for path, service := range map[string]string{"/safe/x": "plain", "/resumed/x": "engines"} {
			t.Run(fmt.Sprint(path, status), func(t *testing.T) {
				x := refusal{status: status, form: "length", seal: true, size: 9}
				fx := newFixture(t, service, x.ServeHTTP)
				fx.setMaxAttempts(1)
				res, text, err := fx.do(t.Context(), http.MethodPost, path, "read", nil)
				assert.NilError(t, err)
				assert.Equal(t, res.StatusCode, status)
				assert.Equal(t, res.Header.Get("T-Seal"), "s")
				assert.Equal(t, text, x.body())
			})
		}
	}
	sent := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		if sent++; sent == 1 {
			refusal{status: http.StatusServiceUnavailable, form: "length", seal: true, size: 9}.ServeHTTP(w, r)
			return
		}
		respondSealed(http.StatusOK, "read")(w, r)
	}
	fx := newFixture(t, "plain", handler, handler)
	res, text, err := fx.do(t.Context(), http.MethodGet, "/safe/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, "read")
}

// Guards against targets that refuse without the mark and keep their full share of requests that may run
// only once: each of these fails.
func TestTargetWithUnmarkedRefusalsLosesWork(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		reached := false
		for range 8 { // The first target is drawn.
			fx := newFixture(t, "plain", refusal{status: status, form: "length", seal: true}.ServeHTTP, respondSealed(http.StatusOK, "ok"))
			failed := fx.countFailures(20)
			assert.Assert(t, failed <= 3, "%d of 20 requests went to the target that refuses with %d", failed, status)
			reached = reached || failed > 0
		}
		assert.Assert(t, reached, "no request reached the target that refuses with %d", status)
	}
}

// Guards against an unmarked refusal that is told from its head alone: a request whose target breaks off
// the body has no known outcome either, and its target may have crashed.
func TestBrokenUnmarkedRefusal(t *testing.T) {
	fx := newFixture(t, "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Seal", "s")
		w.Header().Set("Content-Length", fmt.Sprint(2*maxAnswerBuffer))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(longBody[:maxAnswerBuffer+maxAnswerBuffer/2])
		panic(http.ErrAbortHandler)
	})
	begun := time.Now()
	res, text, err := fx.do(t.Context(), http.MethodPost, "/once/x", "pay", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Assert(t, strings.Contains(text, "answer incomplete"), text)
	assert.Assert(t, time.Since(begun) < time.Second)
	fx.gateway.mu.Lock()
	defer fx.gateway.mu.Unlock()
	assert.Equal(t, len(fx.gateway.suspects.lost), 1)
}

// Guards against a refusal of this instance that says not run after a target may have run the request: the
// only one that holds a model which the service does not declare breaks off and is gone.
func TestRefusalAfterAnAttemptPromisesNothing(t *testing.T) {
	var fx *fixture
	fx = newFixture(t, "engines", func(w http.ResponseWriter, r *http.Request) {
		fx.removeTargets()
		closeConnection(w, r)
	})
	fx.control.mu.Lock()
	fx.control.targets[0].Models = append(fx.control.targets[0].Models, &wire.FleetModel{Name: "undeclared"})
	fx.control.mu.Unlock()
	assert.NilError(t, fx.gateway.report(t.Context()))
	res, text, err := fx.do(t.Context(), http.MethodPost, "/resumed/x", "b", func(r *http.Request) {
		r.Header.Set("T-Model", "undeclared")
	})
	assert.NilError(t, err)
	assert.Equal(t, len(fx.targets[0].requests()), 1)
	assert.Equal(t, res.StatusCode, http.StatusBadGateway, text)
	assert.Equal(t, res.Header.Get("Retry-After"), "")
}
