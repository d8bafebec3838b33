package gate

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// Guards against a stream that waits for its model when a planned stop begins, starts late and is cut
// at the end of the grace period, or is cut while it waits (LOST): it is refused at once.
func TestDrainRefusesWaitingStreams(t *testing.T) {
	fx := newFixture(t, "engines", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	fx.control.mu.Lock()
	fx.control.targets[0].Models = append(fx.control.targets[0].Models,
		&wire.FleetModel{Name: "rare", LoadingMicros: uint64((2 * time.Second).Microseconds())})
	fx.control.mu.Unlock()
	assert.NilError(t, fx.gateway.report(t.Context()))
	type answer struct {
		status int
		after  string
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		res, _, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", func(r *http.Request) {
			r.Header.Set("T-Model", "rare")
			r.Header.Set("T-Deadline", "60000")
		})
		if err != nil {
			answers <- answer{err: err}
			return
		}
		answers <- answer{status: res.StatusCode, after: res.Header.Get("Retry-After")}
	}()
	for end := time.Now().Add(conditionTimeout); fx.gateway.Active() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	select {
	case a := <-answers:
		t.Fatalf("answered before the stop: %+v", a)
	case <-time.After(200 * time.Millisecond):
	}
	fx.gateway.Drain(time.Now().Add(time.Minute))
	select {
	case a := <-answers:
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Assert(t, a.after != "")
	case <-time.After(time.Second):
		t.Fatal("the stream still waits")
	}
	assert.Equal(t, len(fx.targets[0].requests()), 0)
}
