package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/standin/engine"
	"bulrushpath.example/standin/plain"
)

// drainLimit is the time limit of guarantee 6.
const drainLimit = 3 * time.Second

// Guards guarantee 6: a draining target gets no new work after drainLimit. An engine
// and a plain service report themselves that they are draining; another engine drains
// because its agent gets SIGTERM.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{
		Config: config(1), Engines: engines(4), Plains: 2, PlainTeam: "oak", Controls: 1,
	})
	finish := startLoad(t, d, 60, models("1"), routes)
	time.Sleep(time.Second)
	draining, stopped := d.Engines[0], d.Engines[1]
	injectFault(t, draining, engine.Faults{Leave: true})
	injectFault(t, d.Plains[0], plain.Faults{Leave: true})
	stopped.Agent.Terminate()
	time.Sleep(drainLimit)
	before := engineAudit(t, draining)
	beforeStopped := engineAudit(t, stopped)
	beforePlain := plainAudit(t, d.Plains[0])
	time.Sleep(3 * time.Second)
	after := engineAudit(t, draining)
	assert.Equal(t, after.ArrivedLeaving, before.ArrivedLeaving)
	assert.Equal(t, after.Generations, before.Generations)
	assert.Equal(t, engineAudit(t, stopped).Generations, beforeStopped.Generations)
	assert.Equal(t, plainAudit(t, d.Plains[0]).Total, beforePlain.Total)
	assertNoFaults(t, finish())
	assert.Assert(t, plainAudit(t, d.Plains[1]).Total > 0)
	code, exited := stopped.Agent.Wait(deploy.AwaitTimeout)
	assert.Assert(t, exited, "agent has not exited")
	assert.Equal(t, code, 0)
}
