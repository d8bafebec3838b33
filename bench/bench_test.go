package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func short(t *testing.T) (*site, *scenario) {
	t.Helper()
	list, err := sites("../examples")
	assert.NilError(t, err)
	s := list[0]
	rate := s.steady(1.3)
	return s, &scenario{
		name: "short", seed: 3, length: 6 * time.Second, late: usualLate,
		arrivals: s.arrivals(3, load{
			length: 6 * time.Second, rate: rate, peak: rate(0, 0), deadline: shortDeadline,
			longShare: 0.02, longDeadline: longDeadline,
		}),
		stragglers: []straggler{{1, time.Second, 2 * time.Second}},
	}
}

// TestSameSeedGivesSameTable checks that runs with the same seed give the same results.
// Iterating over a map in an order that matters, for example, would break this.
func TestSameSeedGivesSameTable(t *testing.T) {
	var last []string
	for range 3 {
		s, sc := short(t)
		var lines []string
		for _, p := range []policy{ownPolicy(), demandPolicy(), clairvoyantPolicy()} {
			st := &study{s: s, p: p, sc: sc, w: run(s, p, sc)}
			lines = append(lines, st.summary())
		}
		if last != nil {
			assert.DeepEqual(t, lines, last)
		}
		last = lines
	}
}

// TestServiceModelConservesRequests checks that the service model neither loses nor
// repeats requests, leaks no slots, and does not complete a request faster than an
// idle engine could.
func TestServiceModelConservesRequests(t *testing.T) {
	for _, p := range append(baselines(), ownPolicy(), demandPolicy(), clairvoyantPolicy()) {
		s, sc := short(t)
		w := run(s, p, sc)
		assert.Equal(t, len(w.requests), len(sc.arrivals), p.name)
		assert.Equal(t, w.totals.started, w.totals.finished+w.totals.cancelled, p.name)
		done := 0
		for _, r := range w.requests {
			assert.Assert(t, r.outcome != pending, p.name)
			if r.outcome == completed {
				done++
				alone := time.Duration(float64(r.tokens) * float64(tokenTime))
				assert.Assert(t, r.model < 0 || r.took() >= alone, p.name)
			}
		}
		assert.Assert(t, done > 0 && done <= w.totals.finished, p.name)
		for _, g := range w.targets {
			assert.Equal(t, g.running+g.eng.batch+len(g.attempts)+len(g.fifo), 0, p.name)
		}
		assert.Equal(t, w.adapters.active, 0)
	}
}
