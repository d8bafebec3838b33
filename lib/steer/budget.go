package steer

import "time"

// RetryBudget limits retries to a share of the requests in a sliding window. It covers
// one entry instance. All entry instances together stay within the budget of the
// deployment because each one gets only its share of the slack.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window in addition.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration

	requests, retries [budgetBuckets]float64
	// bucket is the number of the current part of the window, counted from the epoch.
	bucket int64
}

// budgetBuckets is the number of parts into which the window is divided.
const budgetBuckets = 10

// advance clears the counts that have left the window.
func (b *RetryBudget) advance(now time.Time) {
	bucket := now.UnixNano() / max(int64(b.Window)/budgetBuckets, 1)
	if bucket-b.bucket >= budgetBuckets || bucket < b.bucket {
		b.requests, b.retries = [budgetBuckets]float64{}, [budgetBuckets]float64{}
	} else {
		for i := b.bucket + 1; i <= bucket; i++ {
			b.requests[i%budgetBuckets], b.retries[i%budgetBuckets] = 0, 0
		}
	}
	b.bucket = bucket
}

// CountRequest counts a client request.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%budgetBuckets]++
}

// TryRetry reports whether the budget allows another retry, and counts it if so.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+1 > requests*b.Ratio+b.Slack {
		return false
	}
	b.retries[b.bucket%budgetBuckets]++
	return true
}
