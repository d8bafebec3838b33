package link

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Contact records when the control leader last answered, which limits the age of what a
// process knows. The zero value is ready and has had no contact.
type Contact struct {
	// Clock returns the time since the boot of the machine; nil for SinceBoot.
	Clock func() time.Duration
	// at is the Clock at which the last answered call was sent, plus one nanosecond; 0 if
	// there was none.
	at atomic.Int64
}

// SinceBoot returns the time since the boot of the machine. Unlike the monotonic clock it
// includes the time for which the machine was suspended, and unlike the time of day it
// does not jump.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // Every Linux since 2.6.39 has it.
	}
	return time.Duration(ts.Nano())
}

// NewClock returns a clock that starts at the present time and advances with sinceBoot, so that it
// includes the time for which the machine was suspended. time.Now does not: comparisons use its
// monotonic clock, by which a lease outlives a suspension.
func NewClock(sinceBoot func() time.Duration) func() time.Time {
	start, boot := time.Now(), sinceBoot()
	return func() time.Time { return start.Add(sinceBoot() - boot) }
}

// Now returns the clock, to be passed to Answered if the call that is sent next succeeds.
func (c *Contact) Now() time.Duration {
	if c.Clock != nil {
		return c.Clock()
	}
	return SinceBoot()
}

// Answered records that the leader has answered a call that was sent at the given clock:
// its answer shows what had been committed by then.
func (c *Contact) Answered(sent time.Duration) {
	for {
		before := c.at.Load()
		if int64(sent)+1 <= before || c.at.CompareAndSwap(before, int64(sent)+1) {
			return
		}
	}
}

// Age returns the time since the last answered call was sent; the maximum duration if
// there was none.
func (c *Contact) Age() time.Duration { return c.AgeAt(c.Now()) }

// AgeAt returns the age as of the given clock.
func (c *Contact) AgeAt(now time.Duration) time.Duration {
	at := c.at.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return now - time.Duration(at-1)
}
