package fair

import (
	"math"
	"time"
)

const (
	// queueShare is the intended backlog of a full target, as a share of the shortest
	// objective in use. The rest of the objective is for the request itself and for the
	// variation of arrivals.
	queueShare = 0.3
	// minObjective is the objective that counts at least. A shorter backlog than its share
	// cannot be told from an idle target with loads that are half a second old.
	minObjective = 200 * time.Millisecond
	// drainTime is the time in which a backlog beyond the intended one is worked off. It is
	// twice the age of the loads of other instances; the regulation oscillates from below two
	// thirds of that age.
	drainTime = time.Second
	// yieldFactor is how many times more the backlog counts for less urgent requests than the
	// most urgent ones, so that the variation of arrivals makes rather the former refused than
	// the latter late.
	yieldFactor = 2
	// gainRate is the greatest growth per second of the assumed rate of a target that is
	// without backlog although requests are refused. minGain and maxGain limit the assumed
	// rate.
	gainRate = 0.3
	minGain  = 1
	maxGain  = 3
	// gainHalfLife is the half-life of the part of the assumed rate above 1 while nothing is refused.
	gainHalfLife = 5 * time.Second
	// askedHalfLife is the half-life of the sums of what is asked of a target.
	askedHalfLife = 5 * time.Second
	// refusalMemory is how long a refusal by a target counts as a backlog that takes
	// drainTime.
	refusalMemory = 500 * time.Millisecond
	// floorShare is the share of a target's time that each kind of request keeps however full
	// the target is.
	floorShare = 0.05
)

// target is the state of one target.
type target struct {
	at time.Time
	// asked holds what is asked of the target by urgency, and total the sum of the work.
	asked []asked
	total float64
	// gain is the ratio of the target's rate to the one that Request.Work assumes.
	gain float64
	// full reports whether the last decision was that not all requests have room.
	full bool
	// refusedUntil is the time until which a refusal by the target counts.
	refusedUntil time.Time
	// returnAt is when the client refused last should come back.
	returnAt time.Time
}

// asked is what is asked of a target with one urgency: decaying sums of the work, for customers
// within and beyond their shares.
type asked struct {
	urgency        Urgency
	within, beyond float64
	// floorAt is the time from which on the floor of the kind serves its next request; zero
	// before the first use.
	floorAt time.Time
}

// ask adds a request to what is asked of the target.
func (t *target) ask(now time.Time, r *Request, excess float64, objective time.Duration) {
	age := max(now.Sub(t.at), 0)
	t.at = now
	if want := intendedBacklog(r, objective); t.full {
		// The gain does not fall below minGain, so that nothing is refused at a target that is
		// asked for less than all its time.
		off := max(float64(want-r.Backlog)/float64(want), -1)
		t.gain = min(max(t.gain*math.Exp(gainRate*min(age, time.Second).Seconds()*off), minGain), maxGain)
	} else {
		t.gain = 1 + (t.gain-1)*decay(age, gainHalfLife)
	}
	d := decay(age, askedHalfLife)
	t.total *= d
	for i := range t.asked {
		t.asked[i].within *= d
		t.asked[i].beyond *= d
	}
	x := t.kind(r.Urgency)
	w := float64(r.Work)
	x.within += w * (1 - excess)
	x.beyond += w * excess
	t.total += w
}

// kind returns what is asked with the given urgency.
func (t *target) kind(u Urgency) *asked {
	for i := range t.asked {
		if t.asked[i].urgency == u {
			return &t.asked[i]
		}
	}
	if len(t.asked) >= maxKinds {
		// All sums are dropped. They cover only the last seconds, and so recover soon.
		t.asked, t.total = nil, 0
	}
	t.asked = append(t.asked, asked{urgency: u})
	return &t.asked[len(t.asked)-1]
}

// intendedBacklog returns the backlog of a full target at which requests with the objective still
// start in time.
func intendedBacklog(r *Request, objective time.Duration) time.Duration {
	return time.Duration(queueShare * float64(max(objective-r.Work, minObjective)))
}

// capacity returns the part of the target's time that may be filled: all of it, more if the backlog
// is below the intended one, and less if it is above. refused reports whether the target has just
// refused a request, and first whether no kind in use is more urgent than the request.
func (t *target) capacity(r *Request, refused, first bool, objective time.Duration) float64 {
	backlog := r.Backlog
	if refused {
		backlog = max(backlog, drainTime)
	}
	c := t.gain + float64(intendedBacklog(r, objective)-backlog)/float64(drainTime)
	t.full = r.Load > c
	if !first {
		c -= yieldFactor * float64(backlog) / float64(drainTime)
	}
	return max(c, 0)
}

// part returns the part of the requests like r that has room. What is asked of the target is
// served in the order of urgency and, within one urgency, first that of customers within their
// shares. This instance sees only its own requests; it takes their mix for that of all.
func (t *target) part(r *Request, excess, capacity float64) float64 {
	if r.Load <= capacity || t.total <= 0 {
		return 1
	}
	var before, within, beyond float64
	for i := range t.asked {
		x := &t.asked[i]
		switch c := x.urgency.Compare(r.Urgency); {
		case c < 0:
			before += x.within + x.beyond
		case c == 0:
			within, beyond = x.within, x.beyond
		}
	}
	scale := r.Load / t.total
	first := partOf(capacity-before*scale, within*scale)
	second := partOf(capacity-(before+within)*scale, beyond*scale)
	return (1-excess)*first + excess*second
}

// partOf returns the part of the work asked for that has room.
func partOf(room, asked float64) float64 {
	switch {
	case room <= 0:
		return 0
	case room >= asked:
		return 1
	}
	return room / asked
}

// takeFloor reports whether the request is served from the floor of its kind at the target. All
// instances together serve floorShare of the target's time from it, each at its own times. A
// customer beyond its share gets it only if others have left it for a whole interval. No kind
// gets a greater share of its work than a more urgent one.
func (a *Admission) takeFloor(now time.Time, t *target, rank int, excess float64, r *Request) bool {
	interval := time.Duration(float64(r.Work) * float64(a.instances) / floorShare)
	x := t.kind(r.Urgency)
	if x.floorAt.IsZero() || x.floorAt.Sub(now) > interval {
		x.floorAt = now.Add(time.Duration(r.Dither * float64(interval)))
	}
	at := x.floorAt
	if excess > 0 {
		at = at.Add(interval)
	}
	if now.Before(at) || !a.kinds.leastServed(rank) {
		return false
	}
	x.floorAt = now.Add(interval)
	return true
}

// decay returns the factor by which a decaying sum falls in the given time.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
