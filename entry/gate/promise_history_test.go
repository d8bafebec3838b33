package gate

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// actor is a target of a drawn history: it does what the history says for each request, and records which
// requests it runs.
type actor struct {
	mu sync.Mutex
	// acts holds what the target does with its next requests, the first one first; it repeats the last.
	acts []act
	// beforeAnswer, if set, runs once when the first request has been run or refused.
	beforeAnswer func()
	// received and runs count the requests that have arrived and those that the target ran.
	received, runs int
}

// act is what a target does with one request.
type act int

const (
	// actAnswer and actFail answer under the seal.
	actAnswer act = iota
	actFail
	// actUnmarked and actUnmarkedLong run the request and answer with a refusal that is not marked.
	actUnmarked
	actUnmarkedLong
	// actMarked and actMisdirected refuse the request and do not run it.
	actMarked
	actMisdirected
	// actBreak closes the connection, actCut breaks off a refusal and actBeginAndCut a stream.
	actBreak
	actCut
	actBeginAndCut
	// actHang answers nothing until the client or the instance gives up.
	actHang
	lastAct = actHang
)

// runsRequest reports whether the target runs the request.
func (a act) runsRequest() bool { return a != actMarked && a != actMisdirected }

// next records a request and returns what to do with it.
func (x *actor) next() act {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := x.acts[min(x.received, len(x.acts)-1)]
	x.received++
	if a.runsRequest() {
		x.runs++
	}
	return a
}

// runCount returns how many requests the target has run.
func (x *actor) runCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs
}

// drawnAnswer is the text of answers under a seal.
const drawnAnswer = "sealed text"

// handler returns the handler of the target. status is that of its refusals.
func (x *actor) handler(status int, stream bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		a := x.next()
		if x.beforeAnswer != nil {
			x.beforeAnswer()
		}
		switch a {
		case actAnswer:
			if stream {
				writeEvents(w, 1, 2)
				return
			}
			respondSealed(http.StatusOK, drawnAnswer)(w, r)
		case actFail:
			respondSealed(http.StatusInternalServerError, drawnAnswer)(w, r)
		case actUnmarked:
			respondSealed(status, drawnAnswer)(w, r)
		case actUnmarkedLong:
			respondSealed(status, strings.Repeat(drawnAnswer, maxAnswerBuffer/4))(w, r)
		case actMarked:
			respondNotRun(status)(w, r)
		case actMisdirected:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case actBreak:
			closeConnection(w, r)
		case actCut:
			w.Header().Set("T-Seal", "s")
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(status)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case actBeginAndCut:
			writeEvents(w, 1, 1)
			panic(http.ErrAbortHandler)
		case actHang:
			<-r.Context().Done()
		}
	}
}

// meanwhile are what happens to the instance while the first target has the request.
var meanwhile = map[string]func(fx *fixture){
	"nothing":   func(*fixture) {},
	"drain":     func(fx *fixture) { fx.gateway.Drain(time.Now().Add(50 * time.Millisecond)) },
	"stop":      func(fx *fixture) { fx.gateway.Drain(time.Now()) },
	"revoke":    func(fx *fixture) { fx.setCustomers(customer("c2", "k1")) },
	"noTargets": func(fx *fixture) { fx.removeTargets() },
	"noBudget": func(fx *fixture) {
		limit := fx.gateway.retryLimit
		limit.Ratio, limit.Slack = 0, 0
		fx.establishBudgets(limit)
	},
}

// Plays drawn requests against targets that answer, fail, refuse with and without the mark, hang and break off
// at any place, while the instance is drained or stopped, the key is revoked, all targets leave or the retry
// budget is spent. Guards against a client that is told that its request has not run, by whichever party,
// when a target has run it; against a second run; and against answers that are changed under their seal.
func TestDrawnRefusalsAreTrue(t *testing.T) {
	events := make([]string, 0, len(meanwhile))
	for name := range meanwhile {
		events = append(events, name)
	}
	slices.Sort(events)
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/once/x", "/stream/x", "/safe/x", "/resumed/x"}).Draw(t, "path")
		stream := path == "/stream/x" || path == "/resumed/x"
		status := rapid.SampledFrom(promiseStatuses).Draw(t, "status")
		if status == http.StatusMisdirectedRequest {
			status = http.StatusServiceUnavailable // A 421 without the mark is a promise of the target.
		}
		event := rapid.SampledFrom(events).Draw(t, "meanwhile")
		service := "plain"
		if stream {
			service = "engines"
		}
		var fx *fixture
		var once sync.Once
		var actors []*actor
		var handlers []http.HandlerFunc
		for range rapid.IntRange(1, 3).Draw(t, "targets") {
			x := &actor{beforeAnswer: func() { once.Do(func() { meanwhile[event](fx) }) }}
			for range rapid.IntRange(1, 2).Draw(t, "acts") {
				x.acts = append(x.acts, act(rapid.IntRange(0, int(lastAct)).Draw(t, "act")))
			}
			actors = append(actors, x)
			handlers = append(handlers, x.handler(status, stream))
		}
		fx = newFixture(t, service, handlers...)
		fx.setMaxAttempts(rapid.IntRange(1, 3).Draw(t, "maxAttempts"))
		if event == "revoke" {
			fx.setCustomers(customer("c1", "k1"))
		}
		deadline := rapid.SampledFrom([]int{150, 400}).Draw(t, "deadline")
		res, text, err := fx.do(t.Context(), http.MethodPost, path, "body", func(r *http.Request) {
			r.Header.Set("T-Deadline", fmt.Sprint(deadline))
			r.Header.Set("Authorization", "Bearer k1")
		})
		time.Sleep(5 * time.Millisecond) // What is still on its way arrives.
		runs := 0
		for _, x := range actors {
			runs += x.runCount()
		}
		repeatable := path == "/safe/x" || path == "/resumed/x"
		if !repeatable {
			assert.Assert(t, runs <= 1, "the request has run %d times", runs)
		}
		if err != nil {
			return // The connection was closed, which promises nothing.
		}
		sealed := res.Header.Get("T-Seal") != ""
		if promisesNotRun(res.StatusCode) && runs > 0 {
			assert.Assert(t, repeatable && sealed, "status %d of a request that has run %d times: %s", res.StatusCode, runs, text)
		}
		if sealed && !stream {
			assert.Assert(t, strings.HasPrefix(text, drawnAnswer), "%d: %q", res.StatusCode, text)
			assert.Assert(t, slices.Contains([]int{http.StatusOK, http.StatusInternalServerError, status}, res.StatusCode))
		}
	})
}
