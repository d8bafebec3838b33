package gate

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a slow but sound stream that is cut: the pauses between its events are longer
// than the time after which a silent target is probed.
func TestSlowStreamIsWhole(t *testing.T) {
	const events = 4
	fx := newFixture(t, "engines", func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= events; i++ {
			writeEvents(w, i, i)
			time.Sleep(600 * time.Millisecond)
		}
	})
	res, text, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", func(r *http.Request) { r.Header.Set("T-Deadline", "3000") })
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, eventText(1, events))
}

// Guards against a stalled stream that never ends because its target sends a byte now and then:
// it ends with the route's timeout, not as complete, and the target's work ends too.
func TestStalledStreamEnds(t *testing.T) {
	var cut atomic.Bool
	fx := newFixture(t, "engines", func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 1)
		for r.Context().Err() == nil {
			_, _ = fmt.Fprint(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
		cut.Store(true)
	})
	begun := time.Now()
	_, text, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", func(r *http.Request) { r.Header.Set("T-Deadline", "60000") })
	assert.Assert(t, err != nil, "the stream ended as complete")
	assert.Equal(t, text, eventText(1, 1))
	timeout := routes()[3].Timeout
	assert.Assert(t, time.Since(begun) < timeout+time.Second, "ended after %v", time.Since(begun))
	for end := time.Now().Add(conditionTimeout); !cut.Load(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the target still works")
	}
}
