package weigh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a store that starts loads faster than its rate, or serves more than
// FullSpeedLoads loads at full speed.
func TestRateAndShare(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Store{cfg: Config{LoadsPerSecond: 2, Burst: 3, FullSpeedLoads: 2}, tokens: 3, refilledAt: now}
	for range 3 {
		assert.Equal(t, s.startLoad(now), time.Duration(0))
	}
	assert.Equal(t, s.startLoad(now), 500*time.Millisecond)
	assert.Equal(t, s.startLoad(now.Add(500*time.Millisecond)), time.Duration(0))
	assert.Equal(t, s.audit.Refused, uint64(1))
	assert.Equal(t, s.speedShare(), 0.5)
	s.endLoad()
	s.endLoad()
	assert.Equal(t, s.speedShare(), 1.0)
}
