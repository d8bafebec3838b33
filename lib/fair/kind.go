package fair

import (
	"cmp"
	"slices"
	"time"
)

const (
	// kindRetention is how long a kind counts as in use after its last request.
	kindRetention = 30 * time.Second
	// servedHalfLife is the half-life of the sums of the work asked for and served.
	servedHalfLife = 3 * time.Second
)

// Urgency orders requests; the lower goes first.
type Urgency struct {
	// Level is the priority that engines give to the request, which follows the priorities
	// of its customer and its route; 0 is the highest.
	Level int
	// Objective orders requests of the same level; those without one, whose Objective is 0, come
	// last.
	Objective time.Duration
}

// Compare returns -1 if u goes before v, 1 if v goes before u, and 0 if they are equal.
func (u Urgency) Compare(v Urgency) int {
	if c := cmp.Compare(u.Level, v.Level); c != 0 {
		return c
	}
	if u.Objective == 0 || v.Objective == 0 {
		return cmp.Compare(v.Objective, u.Objective)
	}
	return cmp.Compare(u.Objective, v.Objective)
}

// kind is the state of the requests of one urgency.
type kind struct {
	urgency Urgency
	lastAt  time.Time
	// asked and served are decaying sums of the work asked for and served, as of lastAt.
	asked, served float64
}

// kinds holds the kinds of requests in use, the most urgent first.
type kinds []kind

// find returns the index of the kind of a request and the shortest objective in use. It adds the
// kind if it is not in use, and removes those that are no longer. The index is negative if too
// many are in use.
func (k *kinds) find(now time.Time, u Urgency) (rank int, objective time.Duration) {
	*k = slices.DeleteFunc(*k, func(x kind) bool { return x.urgency != u && now.Sub(x.lastAt) > kindRetention })
	rank, found := slices.BinarySearchFunc(*k, u, func(x kind, u Urgency) int { return x.urgency.Compare(u) })
	switch {
	case found:
	case len(*k) < maxKinds:
		*k = slices.Insert(*k, rank, kind{urgency: u, lastAt: now})
	default:
		rank = -1
	}
	if rank >= 0 {
		x := &(*k)[rank]
		d := decay(now.Sub(x.lastAt), servedHalfLife)
		x.asked, x.served, x.lastAt = x.asked*d, x.served*d, now
	}
	objective = u.Objective
	for i := range *k {
		if o := (*k)[i].urgency.Objective; o > 0 && (objective <= 0 || o < objective) {
			objective = o
		}
	}
	return rank, objective
}

// count records a decision.
func (k kinds) count(rank int, work float64, served bool) {
	if rank < 0 {
		return
	}
	k[rank].asked += work
	if served {
		k[rank].served += work
	}
}

// leastServed reports whether no more urgent kind has got a smaller share of what it asks for.
func (k kinds) leastServed(rank int) bool {
	for i := range rank {
		if k[i].servedShare() < k[rank].servedShare() {
			return false
		}
	}
	return rank >= 0
}

// servedShare returns the served part of the work asked for; 1 if none was asked for.
func (k *kind) servedShare() float64 {
	if k.asked <= 0 {
		return 1
	}
	return k.served / k.asked
}
