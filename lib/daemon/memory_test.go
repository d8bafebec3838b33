package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a heap of many connections that grows to several times its live
// size, and against one of a few MB that is collected again and again.
func TestGCPercent(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, gcMost}, {3 << 20, gcMost}, {12 << 20, 200}, {24 << 20, 100}, {200 << 20, gcLeast},
	} {
		assert.Equal(t, gcPercent(c.live), c.want, "%d bytes", c.live)
	}
}
