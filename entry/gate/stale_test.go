package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// drainBound is the time after the acknowledgement of a leaving target from which on it must
// get no new request. It is the default of the users' bound.
const drainBound = 2 * time.Second

// drainWorld is a gateway with a virtual clock for its contact to control, and targets that
// leave. It checks the bound at each request that reaches a target.
type drainWorld struct {
	fx   *fixture
	base time.Duration
	// elapsed is the virtual time since the start, in nanoseconds.
	elapsed atomic.Int64

	mu sync.Mutex
	// acked holds the time at which the leaving of a target was acknowledged, by target.
	acked map[string]time.Duration
	// unlisted reports whether a target announced its end, so that a new leader does not
	// list it.
	unlisted map[string]bool
	// found describes the requests that reached a target after the bound.
	found []string
}

func newDrainWorld(t testT, service string, targets int) *drainWorld {
	w := &drainWorld{acked: make(map[string]time.Duration), unlisted: make(map[string]bool)}
	var handlers []http.HandlerFunc
	for i := range targets {
		handlers = append(handlers, w.serve(fmt.Sprintf("t%d", i)))
	}
	w.fx = newFixture(t, service, handlers...)
	w.base = w.fx.gateway.contact.Now()
	clock := func() time.Duration { return w.base + w.now() }
	w.fx.gateway.contact.Clock, w.fx.gateway.tableContact.Clock = clock, clock
	// The targets that leave first are the cheapest ones, so that every request would go there.
	for i := range targets {
		w.fx.control.loads = append(w.fx.control.loads, &wire.TargetLoad{
			Target: fmt.Sprintf("t%d", i), Running: uint32(2 * i), PromptTokens: uint64(4000 * i),
		})
	}
	assert.NilError(t, w.fx.gateway.report(t.Context()))
	return w
}

func (w *drainWorld) now() time.Duration { return time.Duration(w.elapsed.Load()) }

func (w *drainWorld) advance(d time.Duration) { w.elapsed.Add(int64(d)) }

// serve handles the requests to a target. Health checks do not count.
func (w *drainWorld) serve(id string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		ackedAt, left := w.acked[id]
		late := left && w.now() > ackedAt+drainBound
		health := r.URL.Path == "/health"
		if late && !health {
			w.found = append(w.found, fmt.Sprintf("%s gets %s %v after the acknowledgement", id, r.URL.Path, w.now()-ackedAt))
		}
		w.mu.Unlock()
		rw.Header().Set("T-Instance", id)
		switch {
		case health && left:
			rw.WriteHeader(http.StatusServiceUnavailable)
		case health:
			_, _ = rw.Write([]byte("healthy"))
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			writeEvents(rw, 1, 1)
		default:
			respondSealed(http.StatusOK, "ok")(rw, r)
		}
	}
}

// leave makes control acknowledge that a target leaves; all later replies say so.
func (w *drainWorld) leave(id string, unlisted bool) {
	c := w.fx.control
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range c.targets {
		if r.GetId() != id {
			continue
		}
		c.targets[i] = &wire.FleetTarget{
			Id: id, Address: r.GetAddress(), Zone: r.GetZone(), Service: r.GetService(), Slots: r.GetSlots(),
			BornMillis: r.GetBornMillis(), Models: r.GetModels(), Phase: wire.Phase_PHASE_LEAVING, Removed: unlisted,
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, left := w.acked[id]; !left {
		w.acked[id], w.unlisted[id] = w.now(), unlisted
	}
}

// changeLeader begins a new term, whose table lacks the targets that announced their end.
func (w *drainWorld) changeLeader() {
	c := w.fx.control
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = max(c.term, 1) + 1
	var listed []*wire.FleetTarget
	for _, r := range c.targets {
		if !r.GetRemoved() {
			listed = append(listed, r)
		}
	}
	c.targets = listed
}

// request sends one request and returns the status.
func (w *drainWorld) request(path string) int {
	res, _, err := w.fx.do(context.Background(), http.MethodPost, path, "x", nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// Guards against a request to a target that left long ago (DRAIN): an instance whose replies
// from control are lost, late or missing, or that meets a new leader, goes on choosing from
// a table of any age. Targets that stay are served all the while.
func TestStaleTableSendsNothingToLeftTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := rapid.SampledFrom([]string{"plain", "engines"}).Draw(rt, "service")
		path := map[string]string{"plain": "/safe/x", "engines": "/stream/x"}[service]
		const targets = 3
		w := newDrainWorld(rt, service, targets)
		left := 0
		for range rapid.IntRange(4, 12).Draw(rt, "steps") {
			w.advance(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "advance")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"report", "lostReply", "lateReply", "leave", "leader", "request", "request"}).Draw(rt, "step") {
			case "report":
				assert.NilError(rt, w.fx.gateway.report(context.Background()))
			case "lostReply":
				w.fx.control.setReply(func() error { return errors.New("lost") })
				assert.Assert(rt, w.fx.gateway.report(context.Background()) != nil)
				w.fx.control.setReply(nil)
			case "lateReply":
				late := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "late")) * time.Millisecond
				w.fx.control.setReply(func() error { w.advance(late); return nil })
				assert.NilError(rt, w.fx.gateway.report(context.Background()))
				w.fx.control.setReply(nil)
			case "leave":
				if left < targets-1 {
					w.leave(fmt.Sprintf("t%d", left), rapid.Bool().Draw(rt, "unlisted"))
					left++
				}
			case "leader":
				w.changeLeader()
			case "request":
				assert.Equal(rt, w.request(path), http.StatusOK)
			}
			assert.Equal(rt, strings.Join(w.found, "\n"), "")
		}
	})
}

// Guards against a request that waits between the choice of its target and the send, for an
// adapter or a connection, while the target leaves (DRAIN).
func TestTargetLeavesBeforeTheSend(t *testing.T) {
	w := newDrainWorld(t, "engines", 2)
	w.fx.control.setFetch(func() {
		w.fx.control.setFetch(nil)
		fetched := w.fx.control.fetched
		id, _, _ := strings.Cut(fetched[len(fetched)-1], " ")
		w.leave(id, false)
		assert.Check(t, w.fx.gateway.report(context.Background()))
		w.advance(drainBound + time.Millisecond)
		assert.Check(t, w.fx.gateway.report(context.Background()))
	})
	res, _, err := w.fx.do(t.Context(), http.MethodPost, "/stream/x", "x", func(r *http.Request) { r.Header.Set("T-Model", "m/a") })
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(w.found, "\n"), "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
