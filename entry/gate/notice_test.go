package gate

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// respondLeaving answers that the target is leaving once the variable is set.
func respondLeaving(leaving *atomic.Bool, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if leaving.Load() {
			w.Header().Set("T-Leaving", "1")
		}
		if status == http.StatusOK {
			w.Header().Set("T-Seal", "s")
		} else {
			w.Header().Set("T-Not-Run", "1")
		}
		w.WriteHeader(status)
	}
}

// Guards against requests to a target that has said in an answer, or in a refusal, that it
// leaves (DRAIN), while the table of control still lists it as ready; and against a later
// process at the same address that gets none.
func TestLeavingTargetGetsNoRequest(t *testing.T) {
	for name, status := range map[string]int{"answer": http.StatusOK, "refusal": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			var leaving atomic.Bool
			leaving.Store(true)
			fx := newFixture(t, "plain", respondLeaving(&leaving, status), respondSealed(http.StatusOK, "ok"))
			count := func() int { return len(fx.targets[0].requests()) }
			// The second target announces itself later.
			fx.control.mu.Lock()
			both := fx.control.targets
			fx.control.targets = both[:1]
			fx.control.mu.Unlock()
			fx.gateway.mu.Lock()
			delete(fx.gateway.fleet.targets, "t1")
			fx.gateway.fleet.rebuildServices()
			fx.gateway.mu.Unlock()
			fx.send(t)
			assert.Equal(t, count(), 1)
			fx.control.mu.Lock()
			fx.control.targets = both
			fx.control.mu.Unlock()
			assert.NilError(t, fx.gateway.report(t.Context()))
			for range 8 {
				got, _ := fx.send(t)
				assert.Equal(t, got, http.StatusOK)
			}
			assert.Equal(t, count(), 1, "the table lists it as ready")

			leaving.Store(false)
			fx.control.mu.Lock()
			fx.control.targets[0].BornMillis++
			fx.control.targets[1].Phase = wire.Phase_PHASE_LEAVING
			fx.control.mu.Unlock()
			assert.NilError(t, fx.gateway.report(t.Context()))
			fx.send(t)
			assert.Assert(t, count() > 1, "a new process")
		})
	}
}

// Guards against requests and health checks to targets that have asked for a pause (BUDGET), and
// against callers that are held through it, or told to come back before its end. The pattern: a
// small pool is full, and all of its targets ask for a pause at once.
func TestPausedTargetsGetNoRequest(t *testing.T) {
	const pause = 900 * time.Millisecond
	var full atomic.Bool
	full.Store(true)
	refuse := func(w http.ResponseWriter, r *http.Request) {
		if !full.Load() {
			respondSealed(http.StatusOK, "ok")(w, r)
			return
		}
		w.Header().Set("Retry-After", "0.9")
		respondNotRun(http.StatusServiceUnavailable)(w, r)
	}
	fx := newFixture(t, "plain", refuse, refuse)
	status, retryAfter := fx.send(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, retryAfter > pause/2, "retry after %v", retryAfter)
	pausedAt := time.Now()
	full.Store(false)
	for range 10 {
		begun := time.Now()
		status, retryAfter = fx.send(t)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, begun.Add(retryAfter).After(pausedAt.Add(pause-150*time.Millisecond)), "comes back after %v", retryAfter)
		assert.Assert(t, time.Since(begun) < pause/3, "held for %v", time.Since(begun))
	}
	dest := destination{startedAt: time.UnixMilli(1)}
	dest.ID = "t0"
	assert.ErrorIs(t, fx.gateway.checkHealth(dest, fx.gateway.index.Load().Service("plain")), errPaused)
	assert.Equal(t, len(fx.targets[0].requests())+len(fx.targets[1].requests()), 2)
	time.Sleep(time.Until(pausedAt.Add(pause)))
	status, _ = fx.send(t)
	assert.Equal(t, status, http.StatusOK, "after the pause")
}

// Guards against a request that is refused although the pause of a target ends soon.
func TestShortPauseIsWaitedFor(t *testing.T) {
	var calls atomic.Int32
	fx := newFixture(t, "plain", func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			respondSealed(http.StatusOK, "ok")(w, r)
			return
		}
		w.Header().Set("Retry-After", "0.1")
		respondNotRun(http.StatusServiceUnavailable)(w, r)
	})
	begun := time.Now()
	status, _ := fx.send(t)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, time.Since(begun) >= 100*time.Millisecond)
}
