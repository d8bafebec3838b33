package fair

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal. An overload lasts
	// 5 to 15 s; a client that comes back later than its deadline has given up.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// lateRetryShare is the share of the time left within which the client should come back.
	lateRetryShare = 0.8
	// maxReservation bounds how far ahead the target's time is reserved, as a multiple of the
	// upper limit.
	maxReservation = 4
)

// retryAfter returns when the client should come back. Each refused request reserves its work
// in the time of the target after the backlog, of which this instance has its part, so that
// clients return in the order in which they were refused, and not all at once.
func (a *Admission) retryAfter(now time.Time, t *target, r *Request) time.Duration {
	step := time.Duration(float64(r.Work) * float64(a.instances))
	first := now.Add(max(r.Backlog, minRetryAfter))
	at := t.returnAt
	if at.Before(first) {
		// The instances start at different times within one step.
		at = first.Add(time.Duration(r.Dither * float64(min(step, maxRetryAfter/4))))
	}
	limit := max(min(maxRetryAfter, time.Duration(lateRetryShare*float64(r.Left))), minRetryAfter)
	at = minTime(at, now.Add(maxReservation*limit))
	t.returnAt = at.Add(step)
	// Approaches the limit without reaching it, which keeps the order.
	raw := float64(at.Sub(now)) / float64(limit)
	return max(time.Duration(float64(limit)*(1-math.Exp(-raw))), minRetryAfter)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
