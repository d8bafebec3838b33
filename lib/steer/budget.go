package steer

import "time"

// Budget limits resends to a share of the requests of the last window. It covers
// one entry instance; the instances together stay within the deployment's budget
// because each takes only its share of the slack.
type Budget struct {
	// Ratio is the number of resends allowed for each request.
	Ratio float64
	// Slack is the number of resends allowed in each window besides.
	Slack float64
	// Window is the span over which requests and resends count.
	Window time.Duration

	requests, resends [budgetSlots]float64
	// slot is the index of the current part of the window, counted from the epoch.
	slot int64
}

// budgetSlots is the number of parts in which a window is counted.
const budgetSlots = 10

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

// Request counts a request of a client.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// Take counts a resend if the budget allows it.
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
