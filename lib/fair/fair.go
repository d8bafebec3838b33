// Package fair decides which requests a service refuses while its targets are full. Less
// urgent requests are refused first and, among requests of one urgency, those of customers
// that ask for more than their usual share. It performs no I/O, reads no clock and starts no
// goroutines.
//
// Each entry instance decides alone, on its own observations and on the loads of the other
// instances, which are up to half a second old. It serves a part of what is asked, so that
// all instances together fill a target's time. A limit of the backlog instead would make all
// instances refuse, and later admit, at the same time.
package fair

import "time"

const (
	// lateFactor is the ratio of the expected wait to the time left from which on a request is
	// refused in any case. It is above 1 because the estimate is too high under load.
	lateFactor = 1.2
	// minWork is the least work of a request, also of one that declares no tokens.
	minWork = time.Millisecond
	// maxKinds and maxTargets bound the state of a service.
	maxKinds   = 64
	maxTargets = 8192
)

// Request describes a request for a decision.
type Request struct {
	// Target is the target that would serve the request.
	Target string
	// Customer is empty for a request without one.
	Customer string
	Urgency  Urgency
	// Left is the time until the deadline.
	Left time.Duration
	// Wait is the expected time to the first output, and Backlog the part of it that is due
	// to other requests.
	Wait, Backlog time.Duration
	// Load is the work that all instances ask of the target, as a part of its time.
	Load float64
	// Work is the time of a target that the request needs.
	Work time.Duration
	// Dither is a random number in [0, 1), which differs between requests and instances.
	Dither float64
}

// Reason tells why a request is served or refused.
type Reason int

//go:generate stringer -type=Reason -linecomment

// The reasons of a verdict.
const (
	// Room: the target has room for the request.
	Room Reason = iota // room
	// Floor: the target is full, but requests of this kind have got less than their floor.
	Floor // floor
	// Late: the request would start after its deadline.
	Late // late
	// Urgent: requests that are more urgent, or as urgent, need the room.
	Urgent // urgent
	// Share: the customer asks for more than its share.
	Share // share
)

// Verdict is the decision on a request.
type Verdict struct {
	Serve  bool
	Reason Reason
	// RetryAfter is when the client should come back if the request is refused.
	RetryAfter time.Duration
}

// Admission decides on the requests of one service. It is not safe for concurrent use.
type Admission struct {
	// instances is the number of entry instances that decide on the requests of the service.
	instances int
	kinds     kinds
	targets   map[string]*target
	shares    shares
}

// New returns the Admission of a service.
func New(now time.Time) *Admission {
	return &Admission{instances: 1, targets: make(map[string]*target), shares: newShares(now)}
}

// SetInstances sets the number of entry instances.
func (a *Admission) SetInstances(n int) { a.instances = max(n, 1) }

// Retain forgets the targets for which keep returns false.
func (a *Admission) Retain(keep func(id string) bool) {
	for id := range a.targets {
		if !keep(id) {
			delete(a.targets, id)
		}
	}
}

// AddRefusal records that a target refused a request without running it.
func (a *Admission) AddRefusal(now time.Time, id string) {
	a.target(now, id).refusedUntil = now.Add(refusalMemory)
}

// target returns the state of a target; it is not kept if there are too many.
func (a *Admission) target(now time.Time, id string) *target {
	t := a.targets[id]
	if t == nil {
		t = &target{at: now, gain: 1}
		if len(a.targets) < maxTargets {
			a.targets[id] = t
		}
	}
	return t
}

// Decide decides on a request. A request that is served counts as work in progress of its
// customer until End is called.
func (a *Admission) Decide(now time.Time, r *Request) Verdict {
	r.Work = max(r.Work, minWork)
	customer := a.shares.ask(now, r.Customer, r.Work)
	excess := a.shares.excess(customer)
	rank, objective := a.kinds.find(now, r.Urgency)
	t := a.target(now, r.Target)
	t.ask(now, r, excess, objective)
	capacity := t.capacity(r, now.Before(t.refusedUntil), rank == 0, objective)
	v := Verdict{Serve: true, Reason: Room}
	switch {
	case float64(r.Wait) > lateFactor*float64(r.Left):
		v = Verdict{Reason: Late}
	case r.Dither < t.part(r, excess, capacity):
	case a.takeFloor(now, t, rank, excess, r):
		v.Reason = Floor
	case excess > 0:
		v = Verdict{Reason: Share}
	default:
		v = Verdict{Reason: Urgent}
	}
	// What a customer asks for beyond its share does not make its kind a starved one.
	a.kinds.count(rank, float64(r.Work)*(1-excess), v.Serve)
	if v.Serve {
		a.shares.give(customer, r.Work)
		return v
	}
	v.RetryAfter = a.retryAfter(now, t, r)
	return v
}

// End records the end of a request that was served.
func (a *Admission) End(now time.Time, r *Request) { a.shares.end(now, r.Customer, r.Work) }

// Running returns the work in progress of a customer.
func (a *Admission) Running(customer string) time.Duration {
	if s := a.shares.customers[customer]; s != nil {
		return time.Duration(s.running)
	}
	return 0
}
