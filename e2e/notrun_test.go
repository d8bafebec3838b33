package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/load/caller"
	"bulrushpath.example/load/mixed"
	"bulrushpath.example/load/report"
	"bulrushpath.example/standin/plain"
)

// Guards guarantee 4: a call reported as not run has not run. The calls exceed what
// the service can execute within their deadlines; meanwhile the service crashes and
// drops responses, its agent is paused or killed, and the link to it is cut.
func TestRefusalsAreTrue(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{
		Config: config(1), Engines: engines(2), Plains: 2, PlainTeam: "oak", Controls: 1, Links: true,
		Agent: "slots = 4",
	})
	for _, p := range d.Plains {
		injectFault(t, p, plain.Faults{DelayMillis: 100})
	}
	rec := report.NewRecorder()
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			ref := fmt.Sprintf("refuse-%d", i)
			rec.Add(mixed.Payment, ref, d.Client.Call(t.Context(), caller.Call{
				Service: "ledger", Method: "POST", Path: "/reserve", Ref: ref, Issued: time.Now(),
				Deadline: time.Duration(20+10*(i%20)) * time.Millisecond,
			}))
		})
	}
	steps := []func(){
		func() { injectFault(t, d.Plains[0], plain.Faults{CrashMillis: 500}) },
		func() { d.Plains[1].Agent.Pause() },
		func() { d.Plains[1].Agent.Resume() },
		func() { injectFault(t, d.Plains[0], plain.Faults{LoseAnswers: 5}) },
		func() { d.Plains[0].FromEntry.Cut() },
		func() { d.Plains[0].FromEntry.Heal() },
		func() { d.Plains[0].Agent.Kill() },
		func() { d.Plains[0].Agent.Restart(t) },
	}
	for _, step := range steps {
		time.Sleep(500 * time.Millisecond)
		step()
	}
	wg.Wait()
	s := rec.Summarize(executions(t, d), nil, 0)
	t.Logf("completed %d, refused %d, unknown %d, lost %d", s.Total.Completed, s.Total.Refused, s.Total.Unknown, s.Total.Lost)
	assert.Equal(t, s.RanRefused, int64(0))
	assert.Equal(t, s.NotRunCompleted, int64(0))
	assert.Equal(t, s.Total.Doubled, int64(0))
	assert.Assert(t, s.Total.Refused > 0, "no call was refused, so the test proves nothing")
	assert.Assert(t, s.Total.Completed > 0)
}
