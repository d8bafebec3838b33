package steer

import "time"

// Budget is a retry budget: it limits retries to a share of the requests in a sliding
// window. It covers one entry instance. All entry instances together stay within the
// budget of the deployment because each one gets only its share of the slack.
type Budget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window in addition.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration

	requests, resends [budgetSlots]float64
	// slot is the number of the current part of the window, counted from the epoch.
	slot int64
}

// budgetSlots is the number of parts into which the window is divided.
const budgetSlots = 10

// advance clears the counts that have left the window.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / max(int64(b.Window)/budgetSlots, 1)
	if slot-b.slot >= budgetSlots || slot < b.slot {
		b.requests, b.resends = [budgetSlots]float64{}, [budgetSlots]float64{}
	} else {
		for i := b.slot + 1; i <= slot; i++ {
			b.requests[i%budgetSlots], b.resends[i%budgetSlots] = 0, 0
		}
	}
	b.slot = slot
}

// Request counts a client request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// Take reports whether the budget allows another retry, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	requests, resends := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		resends += b.resends[i]
	}
	if resends+1 > requests*b.Ratio+b.Slack {
		return false
	}
	b.resends[b.slot%budgetSlots]++
	return true
}
