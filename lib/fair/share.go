package fair

import (
	"math"
	"time"
)

const (
	// askHalfLife is the half-life of the work that a customer asks for, and usualHalfLife that
	// of its usual work. Overloads last 5 to 15 s: the first has to be shorter, and the second
	// much longer, so that a burst does not soon count as usual.
	askHalfLife   = 3 * time.Second
	usualHalfLife = 90 * time.Second
	// minWeight is the least weight of a customer as a share of the average one, so that
	// a customer that is seldom seen may ask for something without being beyond its share.
	minWeight = 0.25
	// priorRequests is the number of average requests added to what a customer asks for and to
	// what is usual. Without it, a customer of few requests is beyond its share with each
	// of them.
	priorRequests = 3
	// tolerance is the ratio of the work asked for to the usual work up to which a customer
	// is within its share: the usual variation of arrivals.
	tolerance = 1.25
	// maxCustomers bounds the number of customers with state, and evictSample is the number of
	// customers among which the one to forget is sought.
	maxCustomers = 16384
	evictSample  = 8
	// workWeight is the weight of a request in the average work of a request.
	workWeight = 0.05
)

// shares holds the work that each customer asks for and gets. Work is in nanoseconds of a target.
type shares struct {
	customers map[string]*share
	startedAt time.Time
	// usual is the usual work of all customers as of at.
	usual float64
	at    time.Time
	// work is the average work of a request.
	work float64
}

// share is the work of one customer.
type share struct {
	// asked is a decaying sum of the work asked for, and usual one of the work given, as of at.
	asked, usual float64
	at           time.Time
	// running is the work in progress.
	running float64
}

func newShares(now time.Time) shares {
	return shares{customers: make(map[string]*share), startedAt: now, at: now}
}

// ask records work that a customer asks for and returns the customer's state.
func (x *shares) ask(now time.Time, name string, work time.Duration) *share {
	x.usual *= decay(now.Sub(x.at), usualHalfLife)
	x.at = now
	s := x.customers[name]
	if s == nil {
		if len(x.customers) >= maxCustomers {
			x.evict()
		}
		s = &share{at: now}
		x.customers[name] = s
	}
	s.decayTo(now)
	w := float64(work)
	s.asked += w
	if x.work == 0 {
		x.work = w
	}
	x.work += workWeight * (w - x.work)
	return s
}

func (s *share) decayTo(now time.Time) {
	age := now.Sub(s.at)
	s.asked *= decay(age, askHalfLife)
	s.usual *= decay(age, usualHalfLife)
	s.at = now
}

// give records work given to a customer.
func (x *shares) give(s *share, work time.Duration) {
	w := float64(work)
	s.usual += w
	s.running += w
	x.usual += w
}

// end records the end of work in progress.
func (x *shares) end(now time.Time, name string, work time.Duration) {
	if s := x.customers[name]; s != nil {
		s.decayTo(now)
		s.running = max(s.running-float64(work), 0)
	}
}

// evict forgets one customer, that with the least usual work among a few.
func (x *shares) evict() {
	var least string
	var found *share
	n := 0
	for name, s := range x.customers {
		if found == nil || s.usual < found.usual {
			least, found = name, s
		}
		if n++; n >= evictSample {
			break
		}
	}
	delete(x.customers, least)
}

// excess returns the part of what a customer asks for that is beyond its share. The share is the
// customer's usual work, but not far less than that of an average customer.
func (x *shares) excess(s *share) float64 {
	// The sums have different windows, shorter ones shortly after the start.
	age := x.at.Sub(x.startedAt)
	scale := window(age, askHalfLife) / max(window(age, usualHalfLife), 1)
	average := x.usual / float64(max(len(x.customers), 1))
	usual := max(s.usual, minWeight*average) * scale
	prior := priorRequests * x.work
	if usual+prior <= 0 {
		return 0
	}
	ratio := (max(s.asked, s.running) + prior) / (usual + prior)
	return max(1-tolerance/ratio, 0)
}

// window returns the length of the window of a decaying sum some time after its start, in
// nanoseconds.
func window(age, halfLife time.Duration) float64 {
	return (1 - decay(age, halfLife)) * float64(halfLife) / math.Ln2
}
