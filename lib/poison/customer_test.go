package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a part that is a suspect for all customers although one of them has lost all the processes, before
// and after a change of leader, and one that becomes so when that customer's verdict is lifted; and against a part
// that crashes the processes of several customers and is a suspect for none.
func TestPartsOfOneCustomer(t *testing.T) {
	now, shared := time.Unix(1_800_000_000, 0), PartFingerprint("models", 7)
	ofA, ofB := CustomerPartFingerprint("models", "a", 7), CustomerPartFingerprint("models", "b", 7)
	other := CustomerPartFingerprint("models", "a", 8)
	var c PartCounter
	lose := func(n int, parts ...Fingerprint) {
		p := Process{Target: fmt.Sprint("t", n)}
		c.RecordLoss(now, []Fingerprint{shared}, p)
		c.RecordCustomerLoss(now, parts, p)
	}
	listed := func() (out []Fingerprint) {
		for _, s := range c.Suspects(now) {
			out = append(out, Fingerprint(s.GetFingerprint()))
			assert.Assert(t, len(s.GetGroup()) == 0 || s.GetGroupSize() == 1)
		}
		return out
	}
	for n := range 3 {
		lose(n, ofA)
		if n > 0 {
			assert.DeepEqual(t, listed(), []Fingerprint{ofA})
		}
	}
	var next PartCounter
	next.Load(now, c.Save())
	next.LoadOfCustomers(now, c.SaveOfCustomers())
	c = next
	assert.DeepEqual(t, listed(), []Fingerprint{ofA}) // At the next leader.

	assert.Assert(t, c.RecordCompletion(ofA))
	assert.Equal(t, len(listed()), 0, "once the customer's verdict is lifted")

	lose(3, ofA)
	lose(4, ofA, other)
	lose(5, ofB)
	assert.DeepEqual(t, listed(), []Fingerprint{shared}) // Two customers have lost processes.
	assert.Assert(t, c.RecordCompletion(shared))
	assert.DeepEqual(t, listed(), []Fingerprint{ofA}) // The part by itself is cleared.
}

// Guards against parts of different customers and services that share a fingerprint, and against a part whose
// fingerprint is another one than in earlier builds.
func TestFingerprintsOfParts(t *testing.T) {
	fp := PartFingerprint("models", 7)
	assert.Equal(t, fmt.Sprintf("%x", fp), "97992c08d2168ca30000000000000007")
	seen := map[Fingerprint]bool{fp: true}
	for _, names := range [][2]string{{"models", "a"}, {"models", ""}, {"models", "b"}, {"a", "models"}, {"models", "a part"}, {"models\" part of", "a"}} {
		fp := CustomerPartFingerprint(names[0], names[1], 7)
		assert.Assert(t, !seen[fp], "%v", names)
		assert.Assert(t, partID(fp) == partID(PartFingerprint("other", 7)) && partID(fp) != partID(PartFingerprint("models", 8)))
		seen[fp] = true
	}
}

// Guards against counts that grow with the customers, and against one customer's many lost prompts that push another
// customer's block out, or leave the part blocked for all.
func TestCustomerPartsAreBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var c PartCounter
	lose := func(customer string, part uint64, p Process) {
		c.RecordLoss(now, []Fingerprint{PartFingerprint("models", part)}, p)
		c.RecordCustomerLoss(now, []Fingerprint{CustomerPartFingerprint("models", customer, part)}, p)
	}
	for n := range blockThreshold {
		lose("a", 7, Process{Target: fmt.Sprint("t", n)})
	}
	for n := range 3 * maxCountedRequests {
		now = now.Add(time.Millisecond)
		lose(fmt.Sprint("customer ", n%16), uint64(100+n), Process{Target: "u", BornMillis: int64(n / 64)})
	}
	assert.Assert(t, len(c.losses.byFingerprint) <= maxCountedRequests)
	assert.Equal(t, len(c.Save()), maxSavedLosses)
	assert.Equal(t, len(c.SaveOfCustomers()), maxSavedLosses)
	var next PartCounter
	next.Load(now, c.Save())
	next.LoadOfCustomers(now, c.SaveOfCustomers())
	for _, x := range []*PartCounter{&c, &next} {
		assert.Equal(t, len(x.Suspects(now)), 1)
		assert.Equal(t, Fingerprint(x.Suspects(now)[0].GetFingerprint()), CustomerPartFingerprint("models", "a", 7))
	}
}
