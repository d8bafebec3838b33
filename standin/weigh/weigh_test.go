package weigh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a store that starts loads faster than its rate, or serves more than
// AtOnce loads at full speed.
func TestRateAndShare(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Store{cfg: Config{LoadsPerSecond: 2, Burst: 3, AtOnce: 2}, tokens: 3, filled: now}
	for range 3 {
		assert.Equal(t, s.start(now), time.Duration(0))
	}
	assert.Equal(t, s.start(now), 500*time.Millisecond)
	assert.Equal(t, s.start(now.Add(500*time.Millisecond)), time.Duration(0))
	assert.Equal(t, s.audit.Refused, uint64(1))
	assert.Equal(t, s.share(), 0.5)
	s.end()
	s.end()
	assert.Equal(t, s.share(), 1.0)
}
