package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/standin/engine"
	"bulrushpath.example/standin/plain"
)

// leavingBound is the time limit of guarantee 6.
const leavingBound = 3 * time.Second

// Guards guarantee 6: a draining target gets no new work after leavingBound. An engine
// and a plain service report themselves that they are draining; another engine drains
// because its agent gets SIGTERM.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{
		Config: config(1), Engines: engines(4), Plains: 2, PlainTeam: "oak", Controls: 1,
	})
	finish := startLoad(t, d, 60, models("1"), routes)
	time.Sleep(time.Second)
	leaving, stopped := d.Engines[0], d.Engines[1]
	fault(t, leaving, engine.Faults{Leave: true})
	fault(t, d.Plains[0], plain.Faults{Leave: true})
	stopped.Agent.Term()
	time.Sleep(leavingBound)
	before := engineAudit(t, leaving)
	beforeStopped := engineAudit(t, stopped)
	beforePlain := plainAudit(t, d.Plains[0])
	time.Sleep(3 * time.Second)
	after := engineAudit(t, leaving)
	assert.Equal(t, after.ArrivedLeaving, before.ArrivedLeaving)
	assert.Equal(t, after.Generations, before.Generations)
	assert.Equal(t, engineAudit(t, stopped).Generations, beforeStopped.Generations)
	assert.Equal(t, plainAudit(t, d.Plains[0]).Total, beforePlain.Total)
	noFaults(t, finish())
	assert.Assert(t, plainAudit(t, d.Plains[1]).Total > 0)
	code, ended := stopped.Agent.Wait(deploy.Patience)
	assert.Assert(t, ended, "agent has not exited")
	assert.Equal(t, code, 0)
}
