package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestGCPercent checks that the percentage is high for a heap of a few MB, which would
// otherwise be collected too often, and low for the large heap of many connections,
// which would otherwise grow to several times its live size.
func TestGCPercent(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, gcPercentMax}, {3 << 20, gcPercentMax}, {12 << 20, 200}, {24 << 20, 100}, {200 << 20, gcPercentMin},
	} {
		assert.Equal(t, gcPercent(c.live), c.want, "%d bytes", c.live)
	}
}
