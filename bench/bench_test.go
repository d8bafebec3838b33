package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func shortScenario(t *testing.T) (*deployment, *scenario) {
	t.Helper()
	list, err := deployments("../examples")
	assert.NilError(t, err)
	d := list[0]
	rate := d.constantRate(1.3)
	return d, &scenario{
		name: "short", seed: 3, duration: 6 * time.Second, reportDelay: defaultReportDelay,
		arrivals: d.arrivals(3, workload{
			duration: 6 * time.Second, rate: rate, maxRate: rate(0, 0), deadline: shortDeadline,
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
		d, sc := shortScenario(t)
		var lines []string
		for _, p := range []policy{bulrushpathPolicy(), loadOnDemandPolicy(), clairvoyantPolicy()} {
			exp := &experiment{deployment: d, policy: p, scenario: sc, result: simulate(d, p, sc)}
			lines = append(lines, exp.summary())
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
	for _, p := range append(baselines(), bulrushpathPolicy(), loadOnDemandPolicy(), clairvoyantPolicy()) {
		d, sc := shortScenario(t)
		sim := simulate(d, p, sc)
		assert.Equal(t, len(sim.requests), len(sc.arrivals), p.name)
		assert.Equal(t, sim.counters.started, sim.counters.finished+sim.counters.cancelled, p.name)
		done := 0
		for _, r := range sim.requests {
			assert.Assert(t, r.outcome != pending, p.name)
			if r.outcome == completed {
				done++
				minTime := time.Duration(float64(r.outputTokens) * float64(tokenTime))
				assert.Assert(t, r.model < 0 || r.responseTime() >= minTime, p.name)
			}
		}
		assert.Assert(t, done > 0 && done <= sim.counters.finished, p.name)
		for _, g := range sim.targets {
			assert.Equal(t, g.running+g.engine.batchSize+len(g.attempts)+len(g.fifo), 0, p.name)
		}
		assert.Equal(t, sim.adapterContention.active, 0)
	}
}
