package steer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// established returns the budgets of an instance that has run for a window, alone.
func established(limit RetryLimit) *RetryBudgets {
	b := NewRetryBudgets(start.Add(-limit.Window), limit)
	b.SetInstances(start, 1)
	return b
}

// countWithin returns how many of the times are in the span that ends at end.
func countWithin(times []time.Time, end time.Time, span time.Duration) (n int) {
	for _, x := range times {
		if !x.After(end) && end.Sub(x) < span {
			n++
		}
	}
	return n
}

// Guards against more retries in any window than the budget allows: a part of the window
// that is dropped while it still counts allowed the slack twice within nine tenths of it.
func TestBudget(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		b := established(limit)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			b.SetInstances(now, 1)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now, "s")
				requests = append(requests, now)
			} else if b.TryRetry(now, "s") {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			got := countWithin(retries, end, limit.Window)
			if allowed := limit.Ratio*float64(countWithin(requests, end, limit.Window)) + limit.Slack; float64(got) > allowed {
				t.Fatalf("%d retries in the window before %v, allowed %.1f", got, end, allowed)
			}
		}
	})
}

// Guards against retries to one service that the requests for another one pay for, and
// against a service that leaves the configuration and returns without its count.
func TestBudgetOfEachService(t *testing.T) {
	b := established(RetryLimit{Ratio: 0.2, Slack: 1, Window: 10 * time.Second})
	for range 100 {
		b.CountRequest(start, "a")
	}
	b.CountRequest(start, "b")
	assert.Assert(t, b.TryRetry(start, "b"))
	assert.Assert(t, !b.TryRetry(start, "b"))
	for range 21 {
		assert.Assert(t, b.TryRetry(start, "a"))
	}
	assert.Assert(t, !b.TryRetry(start, "a"))
	onlyB := func(service string) bool { return service == "b" }
	b.Retain(start, onlyB)
	assert.Assert(t, !b.TryRetry(start, "a"))
	b.Retain(start.Add(12*time.Second), onlyB)
	assert.Equal(t, len(b.byService), 1)
}

// Guards against a share of the slack that is too large, because a new leader has counted
// one entry instance only, an instance restarted without its count, or was cut off and goes
// on: the shares that are used within a window exceed the slack (BUDGET).
func TestSharesOfTheSlackAddUp(t *testing.T) {
	const (
		// lease is how long control counts an instance after its last report.
		lease     = 2500 * time.Millisecond
		instances = 6
		step      = 100 * time.Millisecond
	)
	limit := RetryLimit{Slack: 30, Window: 10 * time.Second}
	type instance struct {
		budgets *RetryBudgets
		// up and cut say whether the process runs and whether it reaches control.
		up, cut bool
		seen    time.Time
	}
	rapid.Check(t, func(rt *rapid.T) {
		now, termStart := start, start
		all := make([]*instance, instances)
		for i := range all {
			all[i] = &instance{budgets: NewRetryBudgets(now, limit), up: rapid.Bool().Draw(rt, "up")}
		}
		var retries []time.Time
		for range rapid.IntRange(100, 600).Draw(rt, "steps") {
			now = now.Add(step)
			x := all[rapid.IntRange(0, instances-1).Draw(rt, "instance")]
			switch rapid.IntRange(0, 40).Draw(rt, "event") {
			case 0:
				x.up = !x.up
				x.budgets = NewRetryBudgets(now, limit)
			case 1:
				x.cut = !x.cut
			case 2:
				termStart = now
				for _, y := range all {
					y.seen = time.Time{}
				}
			}
			for _, y := range all {
				if y.up && !y.cut {
					y.seen = now
				}
			}
			known := 0
			for _, y := range all {
				if !y.seen.IsZero() && now.Sub(y.seen) <= lease {
					known++
				}
			}
			if now.Sub(termStart) < lease {
				known = 0
			}
			for _, y := range all {
				if y.up && !y.cut {
					y.budgets.SetInstances(now, known)
				}
			}
			for i := range all {
				for burst := rapid.IntRange(0, 6).Draw(rt, fmt.Sprint("retries", i)); burst > 0; burst-- {
					if all[i].up && all[i].budgets.TryRetry(now, "s") {
						retries = append(retries, now)
					}
				}
			}
			if n := countWithin(retries, now, limit.Window); float64(n) > limit.Slack {
				rt.Fatalf("%d retries in the window before %v, allowed %.0f", n, now.Sub(start), limit.Slack)
			}
		}
	})
}
