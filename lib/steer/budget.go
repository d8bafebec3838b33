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

// maxShareAge is how long an entry instance uses its share of the slack without contact to
// control. Control waits longer before it gives the share to the others.
const maxShareAge = 2 * time.Second

// RetryBudgets limits the retries to each service by the requests for this service, which
// the requests for others must not pay for. It covers one entry instance. All entry
// instances together stay within the limit because the shares of the slack that they use
// within one window add up to at most one, while instances come, go, restart and are cut off.
type RetryBudgets struct {
	limit RetryLimit
	// startedAt is the start of the instance. Until the end of the first window it uses no
	// slack, because its predecessor may have done so before a restart.
	startedAt time.Time
	// instances holds the largest number of entry instances in each part of the window, and
	// heardAt is the time of the latest one.
	instances buckets
	heardAt   time.Time
	byService map[string]*serviceBudget
}

// serviceBudget counts the requests for a service and the retries to it.
type serviceBudget struct {
	requests, retries buckets
}

// NewRetryBudgets returns the budgets of an entry instance that has just started. limit is
// that of all instances together.
func NewRetryBudgets(now time.Time, limit RetryLimit) *RetryBudgets {
	return &RetryBudgets{limit: limit, startedAt: now, byService: make(map[string]*serviceBudget)}
}

// SetInstances records how many entry instances share the slack; 0 means that control does
// not know it.
func (b *RetryBudgets) SetInstances(now time.Time, n int) {
	if n <= 0 {
		return
	}
	b.instances.advance(now, b.limit.Window)
	x := &b.instances.values[0]
	*x = max(*x, float64(n))
	b.heardAt = now
}

// slack returns this instance's share of the slack. It shrinks at once when instances are
// added, and grows only when those that are gone have not used theirs for a window.
func (b *RetryBudgets) slack(now time.Time) float64 {
	if now.Sub(b.startedAt) < b.limit.Window || b.heardAt.IsZero() || now.Sub(b.heardAt) > maxShareAge {
		return 0
	}
	b.instances.advance(now, b.limit.Window)
	n := 1.0
	for _, x := range b.instances.values {
		n = max(n, x)
	}
	return b.limit.Slack / n
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

// buckets holds a value for each of the last parts of the window, the current one first.
type buckets struct {
	values [budgetBuckets + 1]float64
	// current is the number of the current part, counted from the epoch.
	current int64
}

// advance moves the values to older parts as time has passed. If the clock was set back, the
// values stay where they are.
func (b *buckets) advance(now time.Time, window time.Duration) {
	part := now.UnixNano() / max(int64(window)/budgetBuckets, 1)
	steps := min(max(part-b.current, 0), budgetBuckets+1)
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
