package scale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The only copy of a model is at an engine that names a limit below the demand. Guards against
// a planner that counts such a copy as whole, so that requests are refused while other engines
// have room, and against loading the model at another engine with a limit.
func TestLimitedCopyIsNotWhole(t *testing.T) {
	w := newSimulation(3, 3)
	w.setResident(0, "m00", "m01")
	w.setResident(1, "m00", "m01")
	w.setResident(2, "m02")
	w.demand["m00"], w.demand["m01"] = Demand{Work: 0.5, Requests: 5}, Demand{Work: 0.5, Requests: 5}
	w.run(6 * time.Second)
	assert.Assert(t, !w.engines[2].held["m00"] && !w.engines[2].held["m01"])
	w.engines[0].target.Limit, w.engines[1].target.Limit = 1, 1
	w.run(10 * time.Second)
	assert.Assert(t, w.engines[2].held["m00"] && w.engines[2].held["m01"], "no copies at the engine without a limit")
}
