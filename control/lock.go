package control

import (
	"context"
	"time"
)

// timedLock is a lock whose wait can be bounded, unlike that of a mutex.
type timedLock chan struct{}

func newTimedLock() timedLock { return make(timedLock, 1) }

func (l timedLock) lock() { l <- struct{}{} }

func (l timedLock) unlock() { <-l }

// tryLock reports whether it has locked l within d, before ctx ended.
func (l timedLock) tryLock(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
