package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start = time.UnixMilli(1_000_000)
	born  = time.UnixMilli(500)
)

// Guards against a limit that is read wrongly, or that is taken from a figure that cannot be
// one.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		text string
		want float64
		ok   bool
	}{
		{"3", 3, true},
		{" 2.5 ", 2.5, true},
		{"0", minPerSecond, true},
		{"0.01", minPerSecond, true},
		{"-1", 0, false},
		{"", 0, false},
		{"many", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"1e300", 0, false},
		{"3,5", 0, false},
	} {
		got, err := Parse(c.text)
		assert.Equal(t, err == nil, c.ok, "%q: %v", c.text, err)
		assert.Equal(t, got, c.want, "%q", c.text)
	}
}

// Guards against a limit that an earlier answer brings back after a later one has ended it,
// and against one that a new process of the target inherits.
func TestLimitFollowsTheLatestAnswer(t *testing.T) {
	var p Limiter
	name := func(perSecond float64, born time.Time, at time.Duration) {
		p.Observe(start.Add(time.Minute), Limit{Target: "t", StartedAt: born, PerSecond: perSecond, NamedAt: start.Add(at)})
	}
	name(2, born, 2*time.Second)
	assert.Equal(t, p.PerSecond("t", born), 2.0)
	name(4, born, time.Second)
	assert.Equal(t, p.PerSecond("t", born), 2.0, "an earlier answer")
	version := p.Version()
	name(0, born, 3*time.Second)
	assert.Equal(t, len(p.Limits()), 0)
	assert.Assert(t, p.Version() > version)
	name(2, born, 2500*time.Millisecond)
	assert.Equal(t, len(p.Limits()), 0, "an answer from before the end")
	name(3, born, 4*time.Second)
	assert.Equal(t, p.PerSecond("t", born), 3.0)
	reborn := born.Add(time.Second)
	assert.Equal(t, p.PerSecond("t", reborn), 0.0)
	reservation := p.Reserve(start.Add(time.Minute), "t", reborn, 0, false)
	assert.Assert(t, reservation.Granted)
	gone := func(string, time.Time) bool { return false }
	p.Retain(start.Add(5*time.Second), gone)
	assert.Equal(t, len(p.Limits()), 1)
	p.Retain(start.Add(2*retention), gone)
	assert.Equal(t, len(p.Limits()), 0)
}

// sim is a deployment in which every entry instance always has requests for the one target.
type sim struct {
	rt      *rapid.T
	now     time.Time
	limiter Limiter
	term    int
	entries []*simEntry
	// arrivals holds the times at which requests reach the target.
	arrivals []time.Time
	// perSecond is the limit that the target names, since namedAt.
	perSecond float64
	namedAt   time.Time
}

type simEntry struct {
	cache Cache
	// term is the term of the last reply; an instance without one has no configuration and
	// sends nothing. cutUntil is the time until which the instance does not reach control.
	term     int
	cutUntil time.Time
	nextAt   time.Time
	// answeredAt is the time of the first answer with a limit; requests that an instance
	// sends without having had one do not count.
	answeredAt time.Time
}

// report exchanges the limits of an entry instance with the leader.
func (s *sim) report(e *simEntry) {
	if s.now.Before(e.cutUntil) {
		return
	}
	sent := e.cache.Unreported()
	for _, l := range sent {
		s.limiter.Observe(s.now, l)
	}
	if e.term != s.term {
		e.term = s.term
		e.cache.Restart()
		e.cache.Reported(sent)
		return
	}
	e.cache.Reported(sent)
	if e.cache.Version() != s.limiter.Version() {
		e.cache.Merge(s.limiter.Version(), s.limiter.Limits())
	}
}

// send tries to send a request of an entry instance.
func (s *sim) send(e *simEntry) {
	at := s.now
	if l := e.cache.Of("t", born); l.PerSecond > 0 {
		if s.now.Before(e.nextAt) || s.now.Before(e.cutUntil) {
			return
		}
		s.limiter.Observe(s.now, l)
		lastResort := rapid.IntRange(0, 3).Draw(s.rt, "lastResort") > 0
		patience := time.Duration(rapid.IntRange(0, 500).Draw(s.rt, "patience")) * time.Millisecond
		reservation := s.limiter.Reserve(s.now, "t", born, patience, lastResort)
		e.nextAt = s.now.Add(reservation.NextLastResort)
		if !reservation.Granted {
			return
		}
		at = at.Add(reservation.Wait)
	}
	if !e.answeredAt.IsZero() {
		s.arrivals = append(s.arrivals, at.Add(time.Duration(rapid.IntRange(0, 20).Draw(s.rt, "transit"))*time.Millisecond))
	}
	l := Limit{Target: "t", StartedAt: born, NamedAt: s.now}
	if !s.now.Before(s.namedAt) {
		l.PerSecond = s.perSecond
		if e.answeredAt.IsZero() {
			e.answeredAt = s.now
		}
	}
	e.cache.Observe(l)
}

// Guards against a target that gets more than it takes (LIMIT): from 3 s after it first named
// its limit, no 4 s have more than one and a half times what that allows, and 5 requests. The
// requests come to all entry instances; the leader changes, and instances restart or are cut
// off.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	const (
		instances    = 8
		step         = 50 * time.Millisecond
		reportPeriod = 200 * time.Millisecond
		settled      = 3 * time.Second
		window       = 4 * time.Second
	)
	rapid.Check(t, func(rt *rapid.T) {
		s := &sim{rt: rt, now: start, term: 1}
		s.perSecond = float64(rapid.IntRange(2, 80).Draw(rt, "tenths")) / 10
		s.namedAt = start.Add(time.Second)
		for range instances {
			s.entries = append(s.entries, &simEntry{})
		}
		end := start.Add(time.Duration(rapid.IntRange(6, 15).Draw(rt, "seconds")) * time.Second)
		for n := 0; s.now.Before(end); n++ {
			s.now = s.now.Add(step)
			e := s.entries[n%instances]
			switch rapid.IntRange(0, 60).Draw(rt, "event") {
			case 0:
				s.limiter, s.term = Limiter{}, s.term+1
			case 1:
				*e = simEntry{}
			case 2:
				e.cutUntil = s.now.Add(2 * time.Second)
			}
			if n%int(reportPeriod/step) == 0 {
				for _, x := range s.entries {
					s.report(x)
				}
			}
			for _, x := range s.entries {
				if x.term > 0 && !s.now.Before(x.cutUntil) {
					s.send(x)
				}
			}
		}
		slices.SortFunc(s.arrivals, time.Time.Compare)
		s.check(s.namedAt.Add(settled), window)
	})
}

// check fails if a window of the given length from the given time on has too many arrivals.
func (s *sim) check(from time.Time, window time.Duration) {
	allowed := 1.5*s.perSecond*window.Seconds() + 5
	first := 0
	for i, at := range s.arrivals {
		for s.arrivals[first].Before(from) && first < i || at.Sub(s.arrivals[first]) >= window {
			first++
		}
		if n := i - first + 1; !s.arrivals[first].Before(from) && float64(n) > allowed {
			s.rt.Fatalf("limit %.1f: %d requests in the %v before %v, allowed %.1f", s.perSecond, n, window, at.Sub(start), allowed)
		}
	}
}

// Guards against a target whose limit leaves capacity unused: while requests wait, it gets
// what it takes.
func TestLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 3.3} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			var p Limiter
			p.Observe(start, Limit{Target: "t", StartedAt: born, PerSecond: perSecond, NamedAt: start})
			sent := 0
			const seconds = 30
			for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(50 * time.Millisecond) {
				if p.Reserve(now, "t", born, 100*time.Millisecond, false).Granted {
					sent++
				}
			}
			assert.Assert(t, float64(sent) >= perSecond*seconds-1, "%d sent", sent)
			assert.Assert(t, float64(sent) <= perSecond*seconds+burst, "%d sent", sent)
		})
	}
}
