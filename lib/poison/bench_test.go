package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSuspects measures the verdicts on parts after a crash wave with 16 customers: 60 processes, each with
// 16 requests of 2 parts.
func BenchmarkSuspects(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	var c PartCounter
	for p := range 60 {
		process := Process{Target: fmt.Sprint("t", p)}
		for r := range 16 {
			for part := range 2 {
				id := uint64((p*7+r*3)%40 + 100*part)
				c.RecordLoss(now, []Fingerprint{PartFingerprint("models", id)}, process)
				c.RecordCustomerLoss(now, []Fingerprint{CustomerPartFingerprint("models", fmt.Sprint(r), id)}, process)
			}
		}
	}
	for b.Loop() {
		c.stale = true
		c.Suspects(now)
	}
}
