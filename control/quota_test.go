package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// Guards against a limit that other entry instances or a new leader do not learn, and against
// more sends than it allows because the new leader starts anew (LIMIT).
func TestPermitsOverAChangeOfLeader(t *testing.T) {
	e := newFakeEngine()
	f := startFleet(t, e)
	announce(t, f, e, 1)
	limit := &wire.TargetLimit{Target: "t1", BornMillis: 1, MilliPerSecond: 1000}
	term := uint64(1)
	report := func(name string, limits ...*wire.TargetLimit) *wire.FleetReply {
		reply, err := f.Report(t.Context(), &wire.FleetRequest{
			Protocol: link.Protocol, Name: name, Term: term, TableVersion: 1, DocumentVersion: 3, Limits: limits,
		})
		assert.NilError(t, err)
		return reply
	}
	permit := func() *wire.PermitReply {
		reply, err := f.Permit(t.Context(), &wire.PermitRequest{
			Protocol: link.Protocol, Limit: limit, MaxWaitMicros: uint64(time.Minute.Microseconds()),
		})
		assert.NilError(t, err)
		assert.Assert(t, reply.GetGranted())
		return reply
	}
	assert.Equal(t, len(report("e1").GetLimits()), 0)
	report("e1", limit)
	heard := report("e2").GetLimits()
	assert.Equal(t, len(heard), 1)
	assert.Equal(t, heard[0].GetMilliPerSecond(), uint64(1000))
	last := uint64(0)
	for range 5 {
		wait := permit().GetWaitMicros()
		assert.Assert(t, wait >= last)
		last = wait
	}
	assert.Assert(t, last > uint64(3*time.Second.Microseconds()), "the fifth send within %d us", last)

	f.svc.group.Leading = func() (uint64, bool) { return 2, true }
	term = 2
	wait := permit().GetWaitMicros()
	assert.Assert(t, wait > uint64(900*time.Millisecond.Microseconds()), "a new leader lets a request go at once")
	assert.Equal(t, len(report("e2").GetLimits()), 1, "known from the request for the permit")

	f.tick(time.Now())
	assert.Assert(t, permit().GetWaitMicros() > wait, "a tick forgets the sends to a target that has yet to announce itself")
	f.tick(time.Now().Add(time.Hour))
	assert.Equal(t, len(f.limiter.Limits()), 0)
}
