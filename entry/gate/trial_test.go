package gate

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/poison"
)

// Guards against requests with a suspect part that are sent together, so that a part which
// crashes targets takes all copies of a model: none is sent without a trial that control allows,
// and one with it. Requests beside them are served, and all are once the trial has cleared the
// part.
func TestSuspectPartIsTriedByOneRequest(t *testing.T) {
	var sent, answered atomic.Int32
	fx := newFixture(t, "engines", func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get("T-Parts"), "X") {
			sent.Add(1)
			time.Sleep(trialWait / 2)
		}
		writeEvents(w, 1, 1)
	})
	send := func(n int, parts string) int {
		res, _, err := fx.do(t.Context(), http.MethodPost, "/stream/1", fmt.Sprint("body", n), func(r *http.Request) {
			r.Header.Set("T-Id", fmt.Sprint("r", n))
			r.Header.Set("T-Parts", parts)
			r.Header.Set("T-Deadline", "3000")
		})
		assert.Check(t, err)
		return res.StatusCode
	}
	sendTogether := func(n int) {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				switch status := send(i, "X1"); status {
				case http.StatusOK:
					answered.Add(1)
				default:
					assert.Check(t, status == http.StatusServiceUnavailable)
				}
			})
		}
		wg.Wait()
	}
	fx.control.mu.Lock()
	for i := range 2 {
		fx.control.parts.RecordLoss(time.Now(), []poison.Fingerprint{poison.PartFingerprint("engines", 'X')}, poison.Process{Target: fmt.Sprint("lost", i)})
	}
	fx.control.mu.Unlock()
	assert.NilError(t, fx.gateway.report(t.Context()))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-fx.gateway.reportNow:
				assert.Check(t, fx.gateway.report(t.Context()))
			}
		}
	})

	sendTogether(4)
	assert.Equal(t, sent.Load(), int32(0), "without a trial")
	assert.Equal(t, send(100, "ab"), http.StatusOK, "a sound request")

	fx.control.mu.Lock()
	fx.control.trials = 1
	fx.control.mu.Unlock()
	sendTogether(4)
	assert.Assert(t, sent.Load() >= 1)
	// The others had to wait for the answer of the first.
	assert.Equal(t, fx.control.trialsLeft(), 0)
	assert.Assert(t, answered.Load() >= 1)
	assert.Equal(t, send(101, "X1"), http.StatusOK, "the part is cleared")
}

// Guards against requests that were sent before a part of theirs became a suspect, and that crash
// their targets one after the other while the part is known: they are cancelled, without blame
// for their targets. Requests whose parts have been cleared run on.
func TestRunningRequestsWithASuspectPartAreCancelled(t *testing.T) {
	const clients = 3
	var running, cancelled atomic.Int32
	fx := newFixture(t, "engines", func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get("T-Parts"), "X") {
			running.Add(1)
			<-r.Context().Done()
			cancelled.Add(1)
			return
		}
		writeEvents(w, 1, 1)
		time.Sleep(300 * time.Millisecond)
		writeEvents(w, 2, 2)
	})
	var wg sync.WaitGroup
	send := func(n int, parts string, want int) {
		wg.Go(func() {
			res, _, err := fx.do(t.Context(), http.MethodPost, "/stream/1", fmt.Sprint("body", n), func(r *http.Request) {
				r.Header.Set("T-Id", fmt.Sprint("r", n))
				r.Header.Set("T-Parts", parts)
			})
			assert.Check(t, err)
			assert.Check(t, res.StatusCode == want, "request %d: %d", n, res.StatusCode)
		})
	}
	for n := range clients {
		send(n, "X1", http.StatusBadGateway)
	}
	for end := time.Now().Add(conditionTimeout); running.Load() < clients; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	send(clients, "ab", http.StatusOK)
	time.Sleep(100 * time.Millisecond)
	fx.control.mu.Lock()
	for _, id := range "Xa" {
		for i := range 2 {
			fx.control.parts.RecordLoss(time.Now(), []poison.Fingerprint{poison.PartFingerprint("engines", uint64(id))}, poison.Process{Target: fmt.Sprint("lost", i)})
		}
	}
	fx.control.mu.Unlock()
	begun := time.Now()
	assert.NilError(t, fx.gateway.report(t.Context()))
	wg.Wait()
	assert.Assert(t, time.Since(begun) < time.Second, "they end at once")
	assert.Equal(t, cancelled.Load(), int32(clients))
	fx.gateway.mu.Lock()
	defer fx.gateway.mu.Unlock()
	assert.Equal(t, len(fx.gateway.suspects.running), 0)
	errorRate, _ := fx.gateway.fleet.targets["t0"].Health(time.Now())
	assert.Equal(t, errorRate, 0.0)
}
