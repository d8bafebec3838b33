package gate

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// respondLimited answers with the limit in the variable; empty for none.
func respondLimited(limit *atomic.Value) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Seal", "s")
		if text := limit.Load().(string); text != "" {
			w.Header().Set("T-Limit", text)
		}
		_, _ = w.Write([]byte("ok"))
	}
}

func limitOf(text string) *atomic.Value {
	v := &atomic.Value{}
	v.Store(text)
	return v
}

// send sends one request and returns the status and Retry-After.
func (fx *fixture) send(t *testing.T) (status int, retryAfter time.Duration) {
	t.Helper()
	res, _, err := fx.do(t.Context(), http.MethodPost, "/safe/1", "x", nil)
	assert.NilError(t, err)
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second))
}

// Guards against requests to a target beyond the limit that it has named (LIMIT): without the
// permission of control it gets nothing, other targets do, and a request that no target takes
// in time is refused at once, with the time of the next possible send.
func TestLimitedTargetNeedsAPermit(t *testing.T) {
	limit := limitOf("1.5")
	fx := newFixture(t, "plain", respondLimited(limit), respondLimited(limit))
	const wait = 1200 * time.Millisecond
	fx.control.setPermit(func(*wire.PermitRequest) *wire.PermitReply {
		return &wire.PermitReply{NextMicros: uint64(wait.Microseconds()), NextLastResortMicros: uint64(wait.Microseconds())}
	})
	for range 2 {
		status, _ := fx.send(t)
		assert.Equal(t, status, http.StatusOK)
	}
	got := []int{len(fx.targets[0].requests()), len(fx.targets[1].requests())}
	assert.DeepEqual(t, got, []int{1, 1})
	for range 5 {
		begun := time.Now()
		status, retryAfter := fx.send(t)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, retryAfter >= wait/2 && retryAfter <= maxRetryAfter, "retry after %v", retryAfter)
		assert.Assert(t, time.Since(begun) < wait/2, "held for %v", time.Since(begun))
	}
	fx.control.setPermit(func(*wire.PermitRequest) *wire.PermitReply { return nil })
	time.Sleep(wait)
	status, _ := fx.send(t)
	assert.Equal(t, status, http.StatusServiceUnavailable, "control does not answer")
	got = []int{len(fx.targets[0].requests()), len(fx.targets[1].requests())}
	assert.DeepEqual(t, got, []int{1, 1})
	assert.NilError(t, fx.gateway.report(t.Context()))
	assert.Equal(t, len(fx.control.limits), 2, "the limits are reported")
}

// Guards against a limit that outlasts the answers that name it, and against one that is taken
// from an unreadable figure or lifted by it.
func TestLimitEndsWithAnAnswer(t *testing.T) {
	limit := limitOf("")
	fx := newFixture(t, "plain", respondLimited(limit))
	permits := 0
	fx.control.setPermit(func(req *wire.PermitRequest) *wire.PermitReply {
		permits++
		assert.Check(t, req.GetLimit().GetMilliPerSecond() == 2500)
		return &wire.PermitReply{Granted: true}
	})
	for _, c := range []struct {
		answer  string
		permits int
	}{
		{"", 0},
		{"many", 0},
		{"-3", 0},
		{"2.5", 0},
		{"2.5", 1},
		{"many", 1},
		{"2.5", 1},
		{"", 1},
		{"", 0},
	} {
		permits = 0
		limit.Store(c.answer)
		status, _ := fx.send(t)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, permits, c.permits, "before the answer %q", c.answer)
	}
}
