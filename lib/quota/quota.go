// Package quota keeps targets to the request rates that they have named for all entry
// instances together. The control leader reserves a time for each send (Limiter); entry
// instances know which targets have named a limit (Cache). It performs no I/O and reads no
// clock.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// minPerSecond is the rate at which a target that takes less is still asked, since it
	// says only in an answer that the limit has ended.
	minPerSecond = 0.2
	// burst is the number of sends that a target gets at once after a pause.
	burst = 2
	// lastResortRatio and lastResortPerSecond are the rate for requests that no other target
	// takes in time: so many times the limit, and so many more per second. In 4 s that are at
	// most 5 times the limit and 5 requests; the users tolerate 6 times the limit and 5.
	lastResortRatio     = 1.25
	lastResortPerSecond = 0.75
	// retention is how long the limit of a process that is gone is kept.
	retention = time.Minute
	// maxPerSecond is the rate from which on a limit binds nobody.
	maxPerSecond = 100_000
	// sameRate is the largest relative difference of rates that counts as no change.
	sameRate = 0.01
)

var (
	errNegative = errors.New("the limit is negative")
	errHuge     = errors.New("the limit is too large to bind")
)

// Limit is what a target said in an answer about the requests that it takes.
type Limit struct {
	Target string
	// StartedAt is the start of the target's process; another process has no limit.
	StartedAt time.Time
	// PerSecond is the number of requests per second from all entry instances together; 0
	// means that the answer named no limit.
	PerSecond float64
	// NamedAt is the time of the answer.
	NamedAt time.Time
}

// Parse returns the requests per second that an answer names as a decimal number. A limit
// near zero is raised to the rate at which the target is still asked.
func Parse(text string) (perSecond float64, err error) {
	x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil || math.IsNaN(x):
		return 0, fmt.Errorf("limit %q is not a number", text)
	case x < 0:
		return 0, errNegative
	case x > maxPerSecond:
		return 0, errHuge
	}
	return max(x, minPerSecond), nil
}

// newer reports whether the limit replaces old: it is of a later process, or a later answer
// of the same one.
func (l Limit) newer(old Limit) bool {
	if !l.StartedAt.Equal(old.StartedAt) {
		return l.StartedAt.After(old.StartedAt)
	}
	return l.NamedAt.After(old.NamedAt)
}

// sameAs reports whether the limits allow about the same.
func (l Limit) sameAs(old Limit) bool {
	return l.StartedAt.Equal(old.StartedAt) && math.Abs(l.PerSecond-old.PerSecond) <= sameRate*old.PerSecond
}

// schedule spaces the sends to a target evenly; after a pause, up to burst go at once.
type schedule struct {
	// nextAt is the earliest time of the next send. It is up to burst-1 intervals in the past
	// after a pause.
	nextAt time.Time
}

// wait returns the time until the next send.
func (t *schedule) wait(now time.Time) time.Duration { return max(t.nextAt.Sub(now), 0) }

// take records a send at the given time.
func (t *schedule) take(now, at time.Time, interval time.Duration) {
	if earliest := now.Add(-(burst - 1) * interval); t.nextAt.Before(earliest) {
		t.nextAt = earliest
	}
	t.nextAt = t.nextAt.Add(interval)
	if at.After(t.nextAt) {
		t.nextAt = at
	}
}

// account is the leader's record of one target. That of a limit that has ended is kept, so
// that a late report of an earlier answer does not bring the limit back.
type account struct {
	Limit
	// named spaces the sends at the limit, lastResort those of requests that no other target
	// takes in time. Each send counts for both.
	named, lastResort schedule
}

// interval returns the time between two sends at the limit.
func (a *account) interval() time.Duration { return perSecond(a.PerSecond) }

// lastResortInterval returns the time between two sends while requests of last resort come.
func (a *account) lastResortInterval() time.Duration {
	return perSecond(lastResortRatio*a.PerSecond + min(lastResortPerSecond, lastResortPerSecond*a.PerSecond))
}

func perSecond(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// Limiter spaces the sends to limited targets, over all entry instances. Only the leader has
// one; that of a new leader knows nothing and lets no send happen at once, so that the rates
// hold over a change of leader. It is not safe for concurrent use.
type Limiter struct {
	accounts map[string]*account
	version  uint64
}

// Version changes whenever Limits would return something else.
func (lim *Limiter) Version() uint64 { return lim.version }

// Observe records a limit, or the end of one, that an entry instance has reported.
func (lim *Limiter) Observe(now time.Time, l Limit) {
	a := lim.accounts[l.Target]
	switch {
	case a == nil && l.PerSecond <= 0:
		return
	case a != nil && !l.newer(a.Limit):
		return
	case a != nil && l.sameAs(a.Limit):
		a.Limit = l
		return
	}
	lim.version++
	if a == nil {
		a = &account{}
		if lim.accounts == nil {
			lim.accounts = make(map[string]*account)
		}
		lim.accounts[l.Target] = a
	}
	fresh := a.PerSecond <= 0 || !a.StartedAt.Equal(l.StartedAt)
	a.Limit = l
	if fresh && l.PerSecond > 0 {
		a.named.nextAt, a.lastResort.nextAt = now.Add(a.interval()), now.Add(a.interval())
	}
}

// Reservation is the answer to a request for a send.
type Reservation struct {
	// Granted reports whether the send is reserved, Wait from now. Otherwise it would have to
	// wait for longer than is of use.
	Granted bool
	Wait    time.Duration
	// Next is the time until the next send could be reserved, NextLastResort the same for a
	// request of last resort.
	Next, NextLastResort time.Duration
}

// Reserve reserves the next send to a target if it is at most maxWait away. lastResort is true
// for a request that no other target takes in time.
func (lim *Limiter) Reserve(now time.Time, target string, startedAt time.Time, maxWait time.Duration, lastResort bool) Reservation {
	a := lim.accounts[target]
	if a == nil || a.PerSecond <= 0 || !a.StartedAt.Equal(startedAt) {
		return Reservation{Granted: true}
	}
	wait := a.named.wait(now)
	if wait > maxWait && lastResort {
		wait = a.lastResort.wait(now)
	}
	granted := wait <= maxWait
	if granted {
		at := now.Add(wait)
		a.named.take(now, at, a.interval())
		a.lastResort.take(now, at, a.lastResortInterval())
	}
	return Reservation{Granted: granted, Wait: wait, Next: a.named.wait(now), NextLastResort: a.lastResort.wait(now)}
}

// PerSecond returns the limit of a target process; 0 if it has none.
func (lim *Limiter) PerSecond(target string, startedAt time.Time) float64 {
	if a := lim.accounts[target]; a != nil && a.StartedAt.Equal(startedAt) {
		return a.PerSecond
	}
	return 0
}

// Limits returns the current limits, sorted by target.
func (lim *Limiter) Limits() []Limit {
	out := make([]Limit, 0, len(lim.accounts))
	for _, a := range lim.accounts {
		if a.PerSecond > 0 {
			out = append(out, a.Limit)
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// Retain removes the limits of processes that are gone and have not answered for retention.
// Until then the account is kept, because a new one would let requests go that the old one
// counts.
func (lim *Limiter) Retain(now time.Time, live func(target string, startedAt time.Time) bool) {
	before := len(lim.accounts)
	maps.DeleteFunc(lim.accounts, func(id string, a *account) bool {
		return now.Sub(a.NamedAt) > retention && !live(id, a.StartedAt)
	})
	if len(lim.accounts) != before {
		lim.version++
	}
}
