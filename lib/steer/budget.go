package steer

import (
	"maps"
	"slices"
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

// maxShareAge is how long an entry instance uses its share of the slack without contact to
// control. Control counts an instance for longer than that after its last report.
const maxShareAge = 2 * time.Second

// RetryBudgets limits the retries to each service by the requests for this service, which
// the requests for others must not pay for. It covers one entry instance. All entry
// instances together stay within the limit because the shares of the slack that they use
// within one window add up to at most one, while instances come, go, restart and are cut off.
type RetryBudgets struct {
	limit RetryLimit
	// sharedBy is the number of entry instances by which the slack is divided; 0 until it is
	// settled. It grows at once, and falls only to the largest number of a span in which
	// control has named numbers without a gap: see settle.
	sharedBy float64
	// contactAt is the time of the latest reply of control, namedAt that of the latest one
	// with a number of instances.
	contactAt, namedAt time.Time
	// named holds the largest number in each part of the span that began at namedSince.
	named      buckets
	namedSince time.Time
	byService  map[string]*serviceBudget
}

// serviceBudget counts the requests for a service and the retries to it.
type serviceBudget struct {
	requests, retries buckets
}

// NewRetryBudgets returns the budgets of an entry instance that has just started. limit is
// that of all instances together.
func NewRetryBudgets(limit RetryLimit) *RetryBudgets {
	return &RetryBudgets{limit: limit, byService: make(map[string]*serviceBudget)}
}

// SetInstances records a reply of control with the number of entry instances that share the
// slack; 0 means that control does not know it. After a gap in the contact the instance
// begins anew: control may have given its share to others.
func (b *RetryBudgets) SetInstances(now time.Time, n int) {
	if now.Sub(b.contactAt) > b.maxShareAge() {
		b.sharedBy, b.namedSince = 0, time.Time{}
	}
	b.contactAt = now
	if n <= 0 {
		return
	}
	if b.namedSince.IsZero() || now.Sub(b.namedAt) > b.maxShareAge() {
		b.named, b.namedSince = buckets{}, now
	}
	b.namedAt = now
	b.named.advance(now, b.limit.Window)
	b.named.values[0] = max(b.named.values[0], float64(n))
	if b.sharedBy > 0 {
		b.sharedBy = max(b.sharedBy, float64(n))
	}
	b.settle(now)
}

// settle sets sharedBy to the largest number that control has named within a window and
// maxShareAge, if it has done so without a gap. Every instance that used its share within the
// window was in contact then, and therefore counted.
func (b *RetryBudgets) settle(now time.Time) {
	if now.Sub(b.namedSince) >= b.limit.Window+b.maxShareAge() {
		b.sharedBy = b.named.largest()
	}
}

// maxShareAge returns maxShareAge, or less if the window is short: buckets cover a fifth of
// the window more than the window.
func (b *RetryBudgets) maxShareAge() time.Duration { return min(maxShareAge, b.limit.Window/5) }

// slack returns this instance's share of the slack.
func (b *RetryBudgets) slack(now time.Time) float64 {
	if b.sharedBy <= 0 || now.Sub(b.contactAt) > b.maxShareAge() {
		return 0
	}
	return b.limit.Slack / b.sharedBy
}

func (b *RetryBudgets) of(service string) *serviceBudget {
	s := b.byService[service]
	if s == nil {
		s = &serviceBudget{}
		b.byService[service] = s
	}
	return s
}

// CountRequest counts a client request for a service.
func (b *RetryBudgets) CountRequest(now time.Time, service string) {
	s := b.of(service)
	s.requests.advance(now, b.limit.Window)
	s.requests.values[0]++
}

// TryRetry reports whether the budget allows another retry to a service, and counts it if so.
func (b *RetryBudgets) TryRetry(now time.Time, service string) bool {
	s := b.of(service)
	s.requests.advance(now, b.limit.Window)
	s.retries.advance(now, b.limit.Window)
	// The oldest part is only partly within the window. It counts for the retries alone, so
	// that any window of the same length keeps the limit.
	requests := s.requests.sum(budgetBuckets)
	if s.retries.sum(budgetBuckets+1)+1 > requests*b.limit.Ratio+b.slack(now) {
		return false
	}
	s.retries.values[0]++
	return true
}

// Retain removes the budgets of services that are no longer in use and have had no retry
// within the window.
func (b *RetryBudgets) Retain(now time.Time, used func(service string) bool) {
	maps.DeleteFunc(b.byService, func(service string, s *serviceBudget) bool {
		s.retries.advance(now, b.limit.Window)
		return !used(service) && s.retries.sum(budgetBuckets+1) == 0
	})
}

// budgetBuckets is the number of parts into which the window is divided.
const budgetBuckets = 10

// buckets holds a value for each of the last parts of the window and of a fifth more, and for
// the current one, which comes first.
type buckets struct {
	values [budgetBuckets + budgetBuckets/5 + 1]float64
	// current is the number of the current part, counted from the epoch.
	current int64
}

// advance moves the values to older parts as time has passed. If the clock was set back, the
// values stay where they are.
func (b *buckets) advance(now time.Time, window time.Duration) {
	part := now.UnixNano() / max(int64(window)/budgetBuckets, 1)
	steps := min(max(part-b.current, 0), int64(len(b.values)))
	b.current = max(part, b.current)
	copy(b.values[steps:], b.values[:int64(len(b.values))-steps])
	clear(b.values[:steps])
}

// sum returns the sum over the current part and the n-1 parts before it.
func (b *buckets) sum(n int) (total float64) {
	for _, x := range b.values[:n] {
		total += x
	}
	return total
}

// largest returns the largest value.
func (b *buckets) largest() float64 { return slices.Max(b.values[:]) }
