package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/load/caller"
)

// Guards against borrowed work that exceeds the lent slots or is not reclaimed when
// their owner needs them. Team oak sends far more than its own engine can take; the
// rest may only use 30% of the 10 slots of team cup's engine. Meanwhile team cup's
// own requests must all complete.
func TestLendingIsBoundedAndReturned(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{
		Config: config(1), Engines: engines(2, "--slots", "10", "--queue", "100"), Controls: 1,
	})
	const lent, burst = 3, 40
	var wg sync.WaitGroup
	completed := make(chan bool, burst)
	for i := range burst {
		wg.Go(func() {
			g := generation("patterns", fmt.Sprintf("burst %d", i), 200, "1")
			r := d.Client.Generate(t.Context(), g)
			completed <- r.Outcome == caller.Completed
			assert.Check(t, r.Outcome != caller.Lost, r.Reason)
		})
	}
	lender := d.Engines[1]
	d.Await("borrowed work", func() bool { return engineAudit(t, lender).MaxRunning["patterns"] > 0 })
	for i := range 20 {
		g := generation("tally", fmt.Sprintf("owner %d", i), 10, "1")
		r := d.Client.Generate(t.Context(), g)
		assert.Equal(t, r.Outcome, caller.Completed, r.Reason)
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	close(completed)
	n := 0
	for ok := range completed {
		if ok {
			n++
		}
	}
	a := engineAudit(t, lender)
	t.Logf("%d of %d requests of the burst completed, at most %d at once on the other team's engine", n, burst, a.MaxRunning["patterns"])
	assert.Assert(t, a.MaxRunning["patterns"] <= lent)
	assert.Assert(t, n > 0)
}
