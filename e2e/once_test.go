package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/standin/plain"
)

// Guards guarantee 5: no payment is executed twice. Responses are lost; an entry
// instance, an agent and the control leader are killed; a paused leader resumes after
// its successor was elected; and callers retry with the same key through another entry
// instance, or send the same call through two at once.
func TestPaymentsRunAtMostOnce(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{
		Config: config(1), Engines: engines(2), Plains: 2, PlainTeam: "oak", Entries: 3, Links: true,
	})
	finish := startLoad(t, d, 60, nil, routes)
	oldLeader := -1
	steps := []func(){
		func() { injectFault(t, d.Plains[0], plain.Faults{LoseAnswers: 5, DelayMillis: 20}) },
		func() { d.Entries[0].Kill() },
		func() { d.Plains[0].Agent.Kill() },
		func() { d.Plains[0].Agent.Restart(t) },
		func() {
			oldLeader = d.AwaitLeader()
			d.Controls[oldLeader].Pause()
		},
		func() {
			// The old leader resumes after its successor was elected.
			d.AwaitLeader(oldLeader)
			d.Controls[oldLeader].Resume()
		},
		func() { d.Controls[d.AwaitLeader()].Kill() },
		func() { injectFault(t, d.Plains[1], plain.Faults{CrashMillis: 300}) },
		func() { d.Entries[0].Restart(t) },
		func() { d.Entries[1].Pause() },
		func() { d.Entries[1].Resume() },
		func() { d.Plains[1].FromAgent.Cut() },
		func() { d.Plains[1].FromAgent.Heal() },
	}
	for _, step := range steps {
		time.Sleep(600 * time.Millisecond)
		step()
	}
	d.AwaitLeader()
	time.Sleep(time.Second)
	s := finish()
	assertNoFaults(t, s)
	assert.Assert(t, s.Total.Completed > 0)
}
