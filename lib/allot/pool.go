package allot

import (
	"math"
	"time"

	"bulrushpath.example/lib/site"
)

const (
	// turnTime is about how long a round takes in which each instance with waiting requests
	// gets a part of a bucket that is too small for all. It bounds the calls per second.
	turnTime = 500 * time.Millisecond
	// claimRetention is how long a waiting instance keeps its turn if it doesn't ask.
	claimRetention = time.Second
	// maxWait is the longest wait that a reply names.
	maxWait = 10 * time.Second
	// removedRetention is how long the account of a customer without a quota is kept.
	removedRetention = 20 * time.Second
	// holderRetention is how long a process is known after its last call.
	holderRetention = 20 * time.Second
	// minPeriod and maxPeriod bound the interval between two calls of an instance, and
	// maxCallsPerSecond the calls of all, except those of requests that lack tokens.
	minPeriod         = time.Second
	maxPeriod         = 1500 * time.Millisecond
	maxCallsPerSecond = 400
	// newTermPeriod is the interval in the first lifetime of a term. The leader may hand out
	// little then, and learns from the calls what is spent.
	newTermPeriod = 200 * time.Millisecond
)

// Pool holds the buckets of a leader's term. Times are those of a clock that includes
// suspension. It is not safe for concurrent use.
type Pool struct {
	tolerance Tolerance
	term      uint64
	startedAt time.Duration
	accounts  map[string]*account
	// holders holds the processes of instances that have called.
	holders map[uint64]*holder
}

// holder is a process of an instance.
type holder struct {
	sequence uint64
	calledAt time.Duration
}

// NewPool returns the pool of a leader whose term starts now. All buckets are empty then.
func NewPool(now time.Duration, term uint64, t Tolerance) *Pool {
	return &Pool{
		tolerance: t, term: term, startedAt: now,
		accounts: make(map[string]*account), holders: make(map[uint64]*holder),
	}
}

// Sync settles what an instance reports and grants what it asks for. quotaOf returns the quota
// of a customer in the current configuration; nil if it has none.
func (p *Pool) Sync(now time.Duration, r *Request, quotaOf func(customer string) *site.Quota) (*Reply, error) {
	h := p.holders[r.Process]
	switch {
	case h == nil:
		h = &holder{}
		p.holders[r.Process] = h
	case r.Sequence <= h.sequence:
		return nil, errStale
	}
	h.sequence, h.calledAt = r.Sequence, now
	reply := &Reply{Term: p.term, Period: p.period(now), Grants: make([]Grant, len(r.Uses))}
	for i := range r.Uses {
		u := &r.Uses[i]
		a := p.account(now, u.Customer, quotaOf(u.Customer))
		if a == nil {
			reply.Grants[i] = Grant{Unlimited: true}
			continue
		}
		a.accrue(now)
		g := a.settle(now, r.Process, u, r.Term == p.term)
		reply.Grants[i] = a.grant(now, r.Process, g, u)
	}
	return reply, nil
}

// period returns the time until the next call of an instance.
func (p *Pool) period(now time.Duration) time.Duration {
	if now-p.startedAt < leaderLifetime {
		return newTermPeriod
	}
	d := time.Duration(len(p.holders)) * time.Second / maxCallsPerSecond
	return min(max(d, minPeriod), maxPeriod)
}

// account returns the account of a customer; nil if there is no quota. A new account has what
// has accrued since the start of the term, since what was spent before is not known.
func (p *Pool) account(now time.Duration, customer string, q *site.Quota) *account {
	a := p.accounts[customer]
	switch {
	case q == nil || !q.Limited():
		if a != nil && !a.removed {
			a.accrue(now)
			a.removed, a.removedAt = true, now
		}
		return nil
	case a == nil:
		a = &account{startedAt: p.startedAt, at: p.startedAt, grants: make(map[uint64]*grant)}
		p.accounts[customer] = a
	}
	a.removed = false
	if a.quota == nil || *a.quota != *q {
		if a.quota != nil {
			a.accrue(now)
		}
		quota := *q
		a.quota, a.limits = &quota, p.tolerance.limits(&quota)
		a.clamp(now)
	}
	return a
}

// Tick applies changes of quotas, and removes expired grants and the accounts that a new one would
// equal.
func (p *Pool) Tick(now time.Duration, quotaOf func(customer string) *site.Quota) {
	for name, a := range p.accounts {
		p.account(now, name, quotaOf(name))
		a.accrue(now)
		a.expire(now)
		idle := len(a.grants) == 0 && len(a.claims) == 0
		full := a.level >= a.quota.Burst && now-p.startedAt > leaderLifetime
		if idle && (full || a.removed && now-a.removedAt > removedRetention) {
			delete(p.accounts, name)
		}
	}
	for id, h := range p.holders {
		if now-h.calledAt > holderRetention {
			delete(p.holders, id)
		}
	}
}

// Held returns the number of customers in use and the tokens that instances hold.
func (p *Pool) Held() (customers int, tokens int64) {
	for _, a := range p.accounts {
		tokens += a.held
	}
	return len(p.accounts), tokens
}

// Level returns the content of a customer's bucket as of the last call that named it.
func (p *Pool) Level(customer string) float64 {
	if a := p.accounts[customer]; a != nil {
		return a.level
	}
	return 0
}

// account is the bucket of one customer.
type account struct {
	quota  *site.Quota
	limits limits
	// startedAt is the start of the term.
	startedAt time.Duration
	// level is the content of the bucket as of at.
	level float64
	at    time.Duration
	// held is the sum of grants, and carried the part of it that earlier leaders granted.
	held, carried int64
	grants        map[uint64]*grant
	// claims holds the instances with waiting requests that got nothing, in order of arrival.
	claims []claim
	// removed is true while the configuration has no quota for the customer, and removedAt is
	// when that was seen.
	removed   bool
	removedAt time.Duration
}

// grant is what one process holds of a bucket.
type grant struct {
	// held is what the process was granted and has not reported as spent or given up.
	held      int64
	expiresAt time.Duration
	// carried is what it holds otherwise: grants of earlier terms. They are counted, but not
	// credited if they are given up, since they were not taken from this bucket.
	carried      int64
	carriedUntil time.Duration
	// spent is the last reported sum.
	spent int64
}

// claim is the turn of a process that waits for room.
type claim struct {
	process uint64
	size    int64
	until   time.Duration
}

// accrue adds what the rate of the quota allows since the last call of accrue.
func (a *account) accrue(now time.Duration) {
	if now > a.at {
		a.level += a.quota.Rate * (now - a.at).Seconds()
		a.at = now
	}
	a.clamp(now)
}

// clamp lowers the level so that level plus held stays within the limits of the package comment.
func (a *account) clamp(now time.Duration) {
	most := min(a.quota.Burst, a.quota.Burst+a.limits.spare-float64(a.held))
	if age := now - a.startedAt; age < leaderLifetime {
		// What earlier leaders granted is not in this line, but beside it.
		most = min(most, a.limits.rise*age.Seconds()/leaderLifetime.Seconds()-float64(a.held-a.carried))
	}
	a.level = min(a.level, max(most, 0))
}

// expire removes expired grants and claims.
func (a *account) expire(now time.Duration) {
	for id, g := range a.grants {
		g.expire(now, a)
		if g.held == 0 && g.carried == 0 && now >= g.expiresAt {
			delete(a.grants, id)
		}
	}
	for len(a.claims) > 0 && now >= a.claims[0].until {
		a.claims = a.claims[1:]
	}
}

func (g *grant) expire(now time.Duration, a *account) {
	if now >= g.expiresAt {
		a.held -= g.held
		g.held = 0
	}
	if now >= g.carriedUntil {
		a.held -= g.carried
		a.carried -= g.carried
		g.carried = 0
	}
}

// settle applies what a process reports. What it no longer holds and has not spent goes back.
func (a *account) settle(now time.Duration, process uint64, u *Use, sameTerm bool) *grant {
	g := a.grants[process]
	if g == nil {
		g = &grant{spent: u.Spent}
		if !sameTerm {
			g.spent = 0
		}
		a.grants[process] = g
	}
	g.expire(now, a)
	spent, held, carried := u.Spent, u.Held, u.Carried
	if !sameTerm {
		// Nothing of this term has reached the process.
		spent, held, carried = 0, 0, carried+held
	}
	known := max(g.held-max(spent-g.spent, 0), 0)
	if spent < g.spent {
		known = 0
	}
	kept := min(held, known)
	carried += held - kept
	a.held += kept + carried - g.held - g.carried
	a.carried += carried - g.carried
	a.level += float64(known - kept)
	g.held, g.carried, g.spent = kept, carried, spent
	if carried > 0 {
		g.carriedUntil = now + leaderLifetime
	}
	a.clamp(now)
	return g
}

// grant decides what the process gets, and records it.
func (a *account) grant(now time.Duration, process uint64, g *grant, u *Use) Grant {
	out := a.decideGrant(now, process, u)
	if out.Granted > 0 {
		a.level -= float64(out.Granted)
		a.held += out.Granted
		g.held += out.Granted
		out.Renewed = true
	}
	if out.Renewed {
		g.expiresAt = now + leaderLifetime
	}
	return out
}

// decideGrant decides what the process gets, and adds, updates or removes its claim.
func (a *account) decideGrant(now time.Duration, process uint64, u *Use) Grant {
	out := Grant{Renewed: float64(a.held) <= a.limits.hold}
	room := int64(math.Floor(max(min(a.level, a.limits.hold-float64(a.held)), 0)))
	free, mine := room, -1
	if len(a.claims) > 0 {
		free, mine = a.freeFor(now, process, room)
		if len(a.claims) > 0 && isSmall(u.Next, a.claims[0].size) {
			free = room
		}
	}
	switch {
	case u.Next <= 0:
		if u.Want <= free {
			out.Granted = max(u.Want, 0)
		}
	case u.Need+u.Want <= free:
		out.Granted = u.Need + u.Want
	case u.Need <= free && len(a.claims) == 0:
		out.Granted = u.Need
	case u.Next <= free:
		part := int64(a.quota.Rate * turnTime.Seconds() / float64(len(a.claims)+1))
		// Parts of requests are of no use, and others may need them.
		out.Granted = max(min(u.Need, part, free)/u.Next, 1) * u.Next
	case float64(u.Next) > min(a.quota.Burst, a.limits.hold):
		out.Wait = maxWait
	default:
		out.Wait = a.claimTurn(now, process, mine, u.Next, free)
	}
	if out.Wait > 0 && isSmall(u.Want, u.Next) && u.Want <= room {
		// Small requests do not queue behind the one that has to wait.
		out.Granted = u.Want
	}
	if mine >= 0 && out.Wait == 0 {
		a.claims = append(a.claims[:mine], a.claims[mine+1:]...)
	}
	return out
}

// freeFor returns what is left of room after the claims before that of the process, and the
// index of its own; -1 if it has none.
func (a *account) freeFor(now time.Duration, process uint64, room int64) (free int64, mine int) {
	kept := a.claims[:0]
	mine = -1
	for _, c := range a.claims {
		if now >= c.until && c.process != process {
			continue
		}
		if c.process == process {
			mine = len(kept)
		} else if mine < 0 {
			room -= c.size
		}
		kept = append(kept, c)
	}
	a.claims = kept
	return room, mine
}

// claimTurn queues the process and returns the time until there is room for size. free is
// negative if others wait before it.
func (a *account) claimTurn(now time.Duration, process uint64, mine int, size, free int64) time.Duration {
	if mine < 0 {
		a.claims = append(a.claims, claim{process: process})
		mine = len(a.claims) - 1
	}
	seconds := float64(size-free) / a.quota.Rate
	if age := now - a.startedAt; age < leaderLifetime {
		// The limits of a new term may bind longer.
		end := leaderLifetime.Seconds()
		if rise := float64(a.held-a.carried+size-min(free, 0)) / max(a.limits.rise, 1) * end; rise < end {
			end = rise
		}
		seconds = max(seconds, end-age.Seconds())
	}
	wait := max(time.Duration(min(seconds, maxWait.Seconds())*float64(time.Second)), minRetry)
	a.claims[mine].size, a.claims[mine].until = size, now+wait+claimRetention
	return wait
}
