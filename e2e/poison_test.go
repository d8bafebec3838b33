package e2e

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/load/caller"
)

// Guards against a request that crashes one target after another: at most two may
// crash. Callers send it repeatedly and concurrently through both entry instances,
// while other requests run and must complete.
func TestPoisonCrashesAtMostTwoTargets(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{
		Config: config(1), Controls: 1,
		Engines: engines(5, "--crash-marker", "POISON", "--crash-time", "700ms"),
	})
	poison := generation("patterns", "please POISON this engine", 20, "1")
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			for range 4 {
				r := d.Client.Generate(t.Context(), poison)
				assert.Check(t, r.Outcome != caller.Completed && r.Outcome != caller.Lost, "%s %s", r.Outcome, r.Reason)
			}
		})
	}
	concurrent := make([]caller.Result, 40)
	for i := range concurrent {
		wg.Go(func() {
			model := []string{"patterns", "tally"}[i%2]
			concurrent[i] = d.Client.Generate(t.Context(), generation(model, fmt.Sprintf("beside %d", i), 100, "1"))
		})
	}
	wg.Wait()
	for i, r := range concurrent {
		assert.Check(t, r.Outcome == caller.Completed, "concurrent request %d: %s after %s and %d attempts: %s", i, r.Outcome,
			r.Latency, r.Attempts, r.Reason)
	}
	crashes, runs := uint64(0), uint64(0)
	for _, tg := range d.Engines {
		d.Await("engine "+tg.Name+" up", func() bool { return acceptsConnections(tg) })
		a := engineAudit(t, tg)
		crashes += a.Crashes
		runs += a.MarkedRuns
		t.Logf("%s: %d crashes, %d runs of the poison request", tg.Name, a.Crashes, a.MarkedRuns)
	}
	t.Logf("%d crashes, %d runs of the poison request", crashes, runs)
	assert.Assert(t, crashes >= 1 && crashes <= 2)
}
