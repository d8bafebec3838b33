package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/wire"
)

// startLeader returns a Fleet without targets that leads in the given term.
func startLeader(t *testing.T, term *uint64) *Fleet {
	t.Helper()
	p := testProcess()
	svc := newService("c1", p)
	svc.group = singleInstance(svc)
	svc.group.Leading = func() (uint64, bool) { return *term, true }
	f := newFleet(svc, p.Log, p.Scope, "c1", &options{})
	svc.fleet = f
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// Guards against a new leader that does not know the requests and parts of prompts with which the previous
// one has lost targets, and against a verdict that an operator cannot lift.
func TestLossesOutliveTheLeader(t *testing.T) {
	term := uint64(1)
	f := startLeader(t, &term)
	fp := poison.PartFingerprint("models", 7)
	request := poison.Fingerprint{1}
	for i := range 3 {
		_, _, err := f.report(time.Now(), &wire.FleetRequest{Name: "e", Lost: []*wire.LostRequest{{
			Fingerprint: request[:], Target: fmt.Sprint("t", i), BornMillis: 1, Parts: [][]byte{fp[:]},
		}}})
		assert.NilError(t, err)
	}
	assert.NilError(t, f.saveLosses(t.Context()))
	term = 2
	reply, _, err := f.report(time.Now(), &wire.FleetRequest{Name: "e"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.GetSuspects()), 2)
	assert.DeepEqual(t, reply.GetSuspects()[0].GetFingerprint(), request[:])
	assert.DeepEqual(t, reply.GetSuspects()[1].GetFingerprint(), fp[:])
	for _, s := range reply.GetSuspects() {
		assert.Equal(t, s.GetVerdict(), wire.Verdict_VERDICT_BLOCKED)
		lifted, err := f.svc.Clear(t.Context(), &wire.ClearRequest{Protocol: link.Protocol, Fingerprint: s.GetFingerprint()})
		assert.NilError(t, err)
		assert.Assert(t, lifted.GetKnown())
	}
	reply, _, err = f.report(time.Now(), &wire.FleetRequest{Name: "e"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.GetSuspects()), 0)
}

// Guards against parts of one customer that a new leader takes for parts of all customers.
func TestCustomerPartsOutliveTheLeader(t *testing.T) {
	term := uint64(1)
	f := startLeader(t, &term)
	shared, ofCustomer := poison.PartFingerprint("models", 7), poison.CustomerPartFingerprint("models", "a", 7)
	for i := range 3 {
		_, _, err := f.report(time.Now(), &wire.FleetRequest{Name: "e", Lost: []*wire.LostRequest{{
			Fingerprint: make([]byte, poison.FingerprintSize), Target: fmt.Sprint("t", i), BornMillis: 1,
			Parts: [][]byte{shared[:]}, CustomerParts: [][]byte{ofCustomer[:]},
		}}})
		assert.NilError(t, err)
	}
	assert.NilError(t, f.saveLosses(t.Context()))
	for term = 1; term <= 2; term++ {
		reply, _, err := f.report(time.Now(), &wire.FleetRequest{Name: "e"})
		assert.NilError(t, err)
		assert.Equal(t, len(reply.GetSuspects()), 2, "the request and the part, term %d", term)
		assert.DeepEqual(t, reply.GetSuspects()[1].GetFingerprint(), ofCustomer[:])
		assert.Equal(t, reply.GetSuspects()[1].GetVerdict(), wire.Verdict_VERDICT_BLOCKED)
		assert.Equal(t, reply.GetSuspects()[1].GetGroupSize(), uint32(1))
	}
}
