package steer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// established returns the budgets of an instance that has run alone for two windows.
func established(limit RetryLimit) *RetryBudgets {
	b := NewRetryBudgets(limit)
	for at := -2 * limit.Window; at <= 0; at += limit.Window / 10 {
		b.SetInstances(start.Add(at), 1)
	}
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
			all[i] = &instance{budgets: NewRetryBudgets(limit), up: rapid.Bool().Draw(rt, "up")}
		}
		var retries []time.Time
		// Frequent events leave no instance a share; long pauses let all of them have one.
		pauses := rapid.SampledFrom([]int{1, 4, 15, 30, 60, 125, 200})
		pause, greedy := pauses.Draw(rt, "pause"), 0
		for range 1200 {
			now = now.Add(step)
			if pause--; pause <= 0 {
				pause = pauses.Draw(rt, "pause")
				x := all[rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(rt, "instance")]
				greedy = rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, instances}).Draw(rt, "greedy")
				switch rapid.SampledFrom([]string{"up", "cut", "leader", "none"}).Draw(rt, "event") {
				case "up":
					x.up = !x.up
					x.budgets = NewRetryBudgets(limit)
				case "cut":
					x.cut = !x.cut
				case "leader":
					termStart = now
					for _, y := range all {
						y.seen = time.Time{}
					}
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
			for i, y := range all {
				for y.up && (i == greedy || greedy == instances) && y.budgets.TryRetry(now, "s") {
					retries = append(retries, now)
				}
			}
			if n := countWithin(retries, now, limit.Window); float64(n) > limit.Slack {
				rt.Fatalf("%d retries in the window before %v, allowed %.0f", n, now.Sub(start), limit.Slack)
			}
		}
	})
}

// Guards against slack that is not used: instances in steady contact with control have the
// whole of it together, also while a new leader does not know their number.
func TestSteadyInstancesShareTheWholeSlack(t *testing.T) {
	const instances = 3
	limit := RetryLimit{Slack: 30, Window: 10 * time.Second}
	now := start
	all := make([]*RetryBudgets, instances)
	for i := range all {
		all[i] = NewRetryBudgets(limit)
	}
	hear := func(d time.Duration, number int) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			for _, b := range all {
				b.SetInstances(now, number)
			}
		}
	}
	hear(14*time.Second, instances)
	hear(3*time.Second, 0)
	total := 0
	for _, b := range all {
		for b.TryRetry(now, "s") {
			total++
		}
	}
	assert.Equal(t, total, 30)
}
