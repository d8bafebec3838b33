// Package allot keeps customers to their quotas over all entry instances together. The control
// leader has a bucket of tokens for each customer (Pool), and entry instances hold parts of it
// (Share). It performs no I/O, reads no clock and starts no goroutines.
//
// # Why the bound holds
//
// Let F be the level of the leader's bucket plus all tokens that instances hold and that have
// not expired, those granted by earlier leaders included. F grows only by accrual, at the rate
// of the quota. So what is spent in a window of length W is at most F at its beginning plus
// rate x W. Limits keep F at or below burst + R, where R = overage x (rate x W + burst) + slack
// is what the settings allow beyond the quota:
//
//   - A leader that has led for longer than a grant lasts keeps level + held at or below
//     burst + spare, with spare at most R/2. Earlier leaders' grants have expired.
//   - It lets instances hold at most hold together, so that no more than that is left of it when
//     another leader takes over.
//   - A new leader starts with an empty bucket, and in its first grant lifetime keeps level +
//     held below a line that rises from 0 to burst + R - hold. Leaders that follow one another
//     in less than a lifetime share that line, however many they are: together they leave at
//     most burst + R - hold, beside the hold of the one before them.
//
// What an instance holds is in F only once, because the leader removes it only if the instance
// has reported it as spent or given up, or after the instance has let it expire.
package allot

import (
	"errors"
	"time"

	"bulrushpath.example/lib/site"
)

const (
	// Lifetime is how long an instance may spend a grant, from when it asked for it.
	Lifetime = 3 * time.Second
	// leaderLifetime is how long the leader counts a grant as held, from when it made it. The
	// difference covers clocks that run at slightly different rates.
	leaderLifetime = Lifetime + 100*time.Millisecond
	// holdTime is the use, in time, that an instance holds in advance after a call. It asks again
	// when half of that is left, so that it bears about the time without a leader after a
	// failure.
	holdTime = time.Second
	// largestRequest is the cost of a request that a customer can send whatever the tolerance,
	// if the burst allows it. The largest requests observed count 9,300 tokens.
	largestRequest = 32 << 10
)

var errStale = errors.New("a later call of the same process was answered before")

// Tolerance is what the settings allow beyond a quota in a window. The zero value allows
// nothing.
type Tolerance struct {
	// Window is the length of the window in which the bound is observed.
	Window time.Duration
	// Overage is the part by which the quota may be exceeded, and Slack the number of tokens
	// that may come on top.
	Overage, Slack float64
}

// reserve returns R of the package comment. Slack is in tokens, so it doesn't apply to quotas
// that count requests.
func (t Tolerance) reserve(q *site.Quota) float64 {
	r := t.Overage * (q.Rate*t.Window.Seconds() + q.Burst)
	if q.Unit == site.Tokens {
		r += t.Slack
	}
	return max(r, 0)
}

// Bound returns the most that a customer may spend in a window.
func (t Tolerance) Bound(q *site.Quota) float64 {
	return q.Rate*t.Window.Seconds() + q.Burst + t.reserve(q)
}

// limits are the limits of the package comment for one quota.
type limits struct {
	// spare is what instances may hold while the bucket is full.
	spare float64
	// hold is the most that instances hold together.
	hold float64
	// rise is the most that a new leader may have granted and not seen spent, or have in the
	// bucket, at the end of its first grant lifetime.
	rise float64
}

func (t Tolerance) limits(q *site.Quota) limits {
	r := t.reserve(q)
	l := limits{spare: min(r/2, q.Burst/8)}
	single := float64(largestRequest)
	if q.Unit == site.Requests {
		single = 1
	}
	l.hold = min(max((q.Burst+r)/2, min(q.Burst, single)), q.Burst+l.spare)
	l.rise = q.Burst + r - l.hold
	return l
}

// Request is a call of an entry instance to the leader.
type Request struct {
	// Process identifies the instance's process.
	Process uint64
	// Term is the term of the grants that the instance holds, and Sequence the number of the
	// call. A call makes the replies to earlier ones void.
	Term, Sequence uint64
	Uses           []Use
}

// Use is what an instance says about one customer.
type Use struct {
	Customer string
	// Spent is the sum of what was spent in the term, and Held what is left of the grants of the
	// term.
	Spent, Held int64
	// Carried is what is left of grants of earlier terms.
	Carried int64
	// Next is what the first waiting request lacks; 0 if none waits. Need is what all of them
	// lack.
	Next, Need int64
	// Want is what the instance would hold beyond that for its next requests.
	Want int64
}

// Reply is the leader's answer to a Request.
type Reply struct {
	Term uint64
	// Period is the time until the next call.
	Period time.Duration
	// Grants has one entry for each of the request's uses, in the same order.
	Grants []Grant
}

// Grant is the leader's answer about one customer.
type Grant struct {
	// Granted comes on top of what the instance holds.
	Granted int64
	// Renewed reports whether the lifetime of all that the instance holds of the term starts
	// anew.
	Renewed bool
	// Wait is the time until there is room for Next, if it was not granted.
	Wait time.Duration
	// Unlimited reports whether the leader's configuration has no quota for the customer.
	Unlimited bool
}
