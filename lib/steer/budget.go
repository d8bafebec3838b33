package steer

import (
	"maps"
	"time"
)

// RetryLimit states how many retries are allowed.
type RetryLimit struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window in addition.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// RetryBudgets limits the retries to each service by the requests for this service, which
// the requests for others must not pay for. It covers one entry instance. All entry
// instances together stay within the limit of the deployment because each one gets only its
// share of the slack.
type RetryBudgets struct {
	limit     RetryLimit
	byService map[string]*RetryBudget
}

// SetLimit sets the limit of each service. What was counted in the window stays counted.
func (b *RetryBudgets) SetLimit(limit RetryLimit) {
	b.limit = limit
	for _, s := range b.byService {
		s.RetryLimit = limit
	}
}

// Of returns the budget of a service.
func (b *RetryBudgets) Of(service string) *RetryBudget {
	s := b.byService[service]
	if s == nil {
		if b.byService == nil {
			b.byService = make(map[string]*RetryBudget)
		}
		s = &RetryBudget{RetryLimit: b.limit}
		b.byService[service] = s
	}
	return s
}

// Retain removes the budgets of services that are no longer in use.
func (b *RetryBudgets) Retain(used func(service string) bool) {
	maps.DeleteFunc(b.byService, func(service string, _ *RetryBudget) bool { return !used(service) })
}

// RetryBudget limits retries to a share of the requests in a sliding window.
type RetryBudget struct {
	RetryLimit

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
