package e2e

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/load/caller"
)

// Guards guarantee 7: a graceful shutdown interrupts no request. An engine, an agent,
// an entry instance and the control leader get SIGTERM while long streams run. Every
// stream must complete at the first attempt, without being resumed.
func TestPlannedStopsAreGraceful(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{Config: config(1), Engines: engines(4)})
	var wg sync.WaitGroup
	const streams = 12
	results := make([]caller.Result, streams)
	for i := range streams {
		wg.Go(func() {
			model := []string{"patterns", "tally"}[i%2]
			results[i] = d.Client.Generate(t.Context(), generation(model, fmt.Sprintf("stop %d", i), 500, "1"))
		})
	}
	running := func() (n uint64) {
		for _, tg := range d.Engines {
			n += engineAudit(t, tg).Generations
		}
		return n
	}
	d.Await("all streams running", func() bool { return running() >= streams })
	resumed := uint64(0)
	for _, tg := range d.Engines {
		resumed += engineAudit(t, tg).Resumed
	}
	leader := d.AwaitLeader()
	d.Engines[0].Agent.Terminate()
	d.Engines[3].Terminate()
	d.Entries[0].Terminate()
	d.Controls[leader].Terminate()
	wg.Wait()
	for i, r := range results {
		assert.Equal(t, r.Outcome, caller.Completed, "stream %d: %s", i, r.Reason)
		assert.Equal(t, r.Attempts, 1, "stream %d", i)
	}
	for _, tg := range d.Engines[:3] {
		resumed += engineAudit(t, tg).Resumed
	}
	assert.Equal(t, resumed, uint64(0))
	for _, n := range []deploy.Node{
		d.Engines[0].Agent, d.Engines[3].Node, d.Entries[0], d.Controls[leader].Node,
	} {
		code, exited := n.Wait(deploy.AwaitTimeout)
		assert.Assert(t, exited, "%s has not exited", n.Name)
		assert.Equal(t, code, 0, n.Name)
	}
	// The remaining processes still serve requests.
	r := d.Client.Generate(t.Context(), generation("patterns", "after", 8, "1"))
	assert.Equal(t, r.Outcome, caller.Completed, r.Reason)
}
