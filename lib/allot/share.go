package allot

import (
	"math"
	"time"

	"bulrushpath.example/lib/site"
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Admitted: the request may be sent; its cost is reserved.
	Admitted Verdict = iota // admitted
	// Waiting: the leader is asked for what the request lacks.
	Waiting // waiting
	// Refused: the customer is over its quota.
	Refused // over quota
	// Unknown: the instance holds too little and the leader doesn't answer.
	Unknown // no answer
)

const (
	// useTime is the time over which the use of a customer is averaged, and grantTime the same
	// for what the leader grants.
	useTime   = 2 * time.Second
	grantTime = 4 * time.Second
	// minRetry is the shortest Retry-After of refusals, and unknownRetry that of requests
	// refused because the leader doesn't answer: an election takes about as long.
	minRetry     = 20 * time.Millisecond
	unknownRetry = 500 * time.Millisecond
	// earlyCallInterval is the shortest interval between calls that only fill up what is held.
	earlyCallInterval = 100 * time.Millisecond
	// failedCallInterval is the delay after a failed call.
	failedCallInterval = 50 * time.Millisecond
	// probeInterval is the delay after a failed call if no request waits.
	probeInterval = 250 * time.Millisecond
	// contactTimeout is how long calls may fail before requests stop waiting for an answer.
	contactTimeout = 2 * time.Second
	// refusalMemory is how long after a refusal the instance asks for what was refused.
	refusalMemory = time.Second
	// idleTime is how long a customer is known after its last request, and lostIdleTime the
	// same without contact. It exceeds the leader's lifetime of grants, since a report that
	// starts anew must not be taken for tokens given up.
	idleTime     = 2 * time.Second
	lostIdleTime = 4 * leaderLifetime
	// leastTime is how long the smallest cost of a request is remembered.
	leastTime = 3 * time.Second
	// maxSpenders is the number of customers up to which a call for waiting requests also names
	// those that have only spent something.
	maxSpenders = 4
	// smallPart is the ratio of two costs from which on the smaller request does not queue behind
	// the larger one, and smallRequests the number of small requests for which an instance holds
	// tokens while large ones are refused.
	smallPart     = 4
	smallRequests = 8
	// maxCost is the largest cost that is counted.
	maxCost = 1 << 40
)

// MaxRetry is the longest Retry-After of refusals.
const MaxRetry = 5 * time.Second

// Share is what one process of an entry instance holds of the quotas. Times are those of a clock
// that includes suspension. It is not safe for concurrent use.
type Share struct {
	process, term, sequence uint64
	holdings                map[string]*holding
	// due holds the holdings with a dueAt.
	due map[*holding]struct{}
	// spenders holds the holdings with something spent that was not reported.
	spenders map[*holding]struct{}
	// call is the call in flight; nil if there is none.
	call *pendingCall
	// nextAt is the time of the next call that names all customers in use.
	nextAt time.Duration
	// failedAt is the time of the first failed call since the last answer; 0 if that succeeded.
	// retryAt is the earliest time of the next call.
	failedAt, retryAt time.Duration
}

// pendingCall is the call in flight.
type pendingCall struct {
	sequence uint64
	askedAt  time.Duration
	holdings []*holding
	// spent holds the reported sums, in the order of holdings.
	spent []int64
	// whole is true if the call names all customers in use, and not only those that are due.
	whole bool
}

// holding is what the instance holds for one customer.
type holding struct {
	customer string
	quota    site.Quota
	// pot holds the tokens of the current term, and earlier those of an earlier one; nil if
	// there are none.
	pot, earlier *pot
	// use, attempts and granted are averages of the tokens admitted, asked for by clients and
	// granted by the leader.
	use, attempts, granted average
	// least is the smallest cost of a request since leastAt.
	least   int64
	leastAt time.Duration
	// tickets are the waiting requests in order of arrival, and queued the sum of their costs.
	tickets []*Ticket
	queued  int64
	// closedUntil is when the leader expects to have room for closedFor, and askedFor the same of
	// the call in flight.
	closedUntil         time.Duration
	closedFor, askedFor int64
	// queueAt is when there will be room for a request that is refused next, if all that were
	// refused before come back.
	queueAt time.Duration
	// refusedCost and refusedAt describe the last refusal.
	refusedCost int64
	refusedAt   time.Duration
	// dueAt is when the customer must be named in a call; 0 if not before the next periodic one.
	dueAt time.Duration
	// askedAt is the time of the last call that named the customer.
	askedAt time.Duration
	// unlimitedUntil is the time until which requests are admitted without charge, since the leader
	// has answered that the customer has no quota.
	unlimitedUntil time.Duration
	// touchedAt is the time of the last request.
	touchedAt time.Duration
}

// pot holds tokens that expire together.
type pot struct {
	// balance can be spent; pending is reserved for requests that are about to be sent.
	balance, pending int64
	// spent is the sum of all that was spent in the term, reported the part of it named in the
	// last call, and confirmed the part named in the last call that the leader has answered.
	spent, reported, confirmed int64
	expiresAt                  time.Duration
}

// Charge is the reservation of the cost of a request.
type Charge struct {
	holding *holding
	parts   [2]chargePart
}

// chargePart is the part of a cost that is reserved in one pot.
type chargePart struct {
	pot  *pot
	cost int64
}

// Ticket is a waiting request.
type Ticket struct {
	// Notify is called when the Decision is no longer Waiting.
	Notify func()
	// Decision is the current one.
	Decision Decision
	holding  *holding
	cost     int64
	until    time.Duration
}

// Decision is the result of Take.
type Decision struct {
	Verdict Verdict
	// Charge is valid if the request is Admitted.
	Charge Charge
	// RetryAfter is the time until there is room, if the request is not admitted.
	RetryAfter time.Duration
	// Ticket is set if the request is Waiting.
	Ticket *Ticket
}

// NewShare returns the share of a new process, which holds nothing. process must differ from
// those of all other processes.
func NewShare(process uint64) *Share {
	return &Share{
		process: process, holdings: make(map[string]*holding), due: make(map[*holding]struct{}), spenders: make(map[*holding]struct{}),
	}
}

// Take reserves the cost of a request, which may wait for the leader for at most wait.
func (s *Share) Take(now time.Duration, customer string, q *site.Quota, tokens int, wait time.Duration) Decision {
	cost := costOf(q, tokens)
	h := s.touch(now, customer, q)
	h.attempts.add(now, float64(cost), useTime)
	h.noteCost(now, cost)
	if d, ok := s.tryTake(now, h, cost); ok {
		return d
	}
	if d, refused := s.refuseIfLong(now, h, cost, wait); refused {
		return d
	}
	t := &Ticket{holding: h, cost: cost, until: now + wait}
	t.Decision = Decision{Verdict: Waiting, Ticket: t}
	h.tickets = append(h.tickets, t)
	h.queued += cost
	s.setDue(h, h.nextAsk(now, cost))
	return t.Decision
}

// Check refuses a request that Take would refuse now, and otherwise changes nothing. It costs
// little, so that it can come before the request is read.
func (s *Share) Check(now time.Duration, customer string, q *site.Quota, tokens int, wait time.Duration) (Decision, bool) {
	h := s.holdings[customer]
	if h == nil || now < h.unlimitedUntil {
		return Decision{}, false
	}
	cost := costOf(q, tokens)
	h.expire(now)
	if h.available() >= cost {
		return Decision{}, false
	}
	d, refused := s.refuseIfLong(now, h, cost, wait)
	if refused {
		h.touchedAt = now
		h.attempts.add(now, float64(cost), useTime)
	}
	return d, refused
}

// Cancel ends the wait of a request, whose client has left or whose time is over.
func (s *Share) Cancel(now time.Duration, t *Ticket) Decision {
	if t.Decision.Verdict != Waiting {
		return t.Decision
	}
	h := t.holding
	for i, x := range h.tickets {
		if x == t {
			h.tickets = append(h.tickets[:i], h.tickets[i+1:]...)
			h.queued -= t.cost
			break
		}
	}
	t.Decision = s.refuse(now, h, t.cost)
	return t.Decision
}

// Commit counts a reserved cost as spent, since the request is being sent. It returns false if
// the reservation has expired; the request needs another one then.
func (s *Share) Commit(now time.Duration, c *Charge) bool {
	for _, p := range c.parts {
		if p.pot != nil && now >= p.pot.expiresAt {
			return false
		}
	}
	for _, p := range c.parts {
		if p.pot != nil {
			p.pot.pending -= p.cost
			p.pot.spent += p.cost
			c.holding.use.add(now, float64(p.cost), useTime)
			s.spenders[c.holding] = struct{}{}
		}
	}
	return true
}

// Return gives a reserved cost back, since no target received the request.
func (s *Share) Return(c *Charge) {
	for _, p := range c.parts {
		if p.pot != nil {
			p.pot.pending -= p.cost
			p.pot.balance += p.cost
		}
	}
	*c = Charge{}
}

// Undo takes a Commit back, since the request could not be sent after all. It returns false if
// the leader may know of the cost already; it stays spent then.
func (s *Share) Undo(c *Charge) bool {
	for _, p := range c.parts {
		// Calls report what is left of grants of earlier terms, and not what was spent of them.
		if p.pot != nil && (p.pot != c.holding.pot || p.pot.spent-p.cost < p.pot.reported) {
			return false
		}
	}
	for _, p := range c.parts {
		if p.pot != nil {
			p.pot.spent -= p.cost
			p.pot.pending += p.cost
		}
	}
	return true
}

// costOf returns the cost of a request, at most maxCost.
func costOf(q *site.Quota, tokens int) int64 {
	return int64(math.Ceil(min(max(q.Cost(tokens), 0), maxCost)))
}

// touch returns the holding of a customer.
func (s *Share) touch(now time.Duration, customer string, q *site.Quota) *holding {
	h := s.holdings[customer]
	if h == nil {
		h = &holding{customer: customer, pot: &pot{}}
		s.holdings[customer] = h
		if len(s.holdings) == 1 {
			s.nextAt = now + minPeriod
		}
	}
	h.quota = *q
	h.touchedAt = now
	h.expire(now)
	return h
}

// noteCost records the cost of a request for least.
func (h *holding) noteCost(now time.Duration, cost int64) {
	if cost < h.least || now-h.leastAt > leastTime || h.least == 0 {
		h.least, h.leastAt = cost, now
	}
}

// tryTake reserves the cost if the instance holds enough.
func (s *Share) tryTake(now time.Duration, h *holding, cost int64) (Decision, bool) {
	switch {
	case now < h.unlimitedUntil:
		return Decision{Verdict: Admitted}, true
	case h.available() < cost:
		return Decision{}, false
	}
	d := Decision{Verdict: Admitted, Charge: h.reserve(cost)}
	want := h.target(now)
	if h.scarce(now) {
		want = h.smallStock()
	}
	if h.available() < want/2 {
		s.setDue(h, max(now, h.askedAt+earlyCallInterval))
	}
	return d, true
}

// available returns what can be spent.
func (h *holding) available() int64 {
	n := h.pot.balance
	if h.earlier != nil {
		n += h.earlier.balance
	}
	return n
}

// reserve takes the cost from the tokens that expire first.
func (h *holding) reserve(cost int64) Charge {
	c := Charge{holding: h}
	if h.earlier != nil {
		c.parts[0] = h.earlier.reserve(min(cost, h.earlier.balance))
	}
	c.parts[1] = h.pot.reserve(cost - c.parts[0].cost)
	return c
}

func (p *pot) reserve(n int64) chargePart {
	if n == 0 {
		return chargePart{}
	}
	p.balance -= n
	p.pending += n
	return chargePart{pot: p, cost: n}
}

// expire drops expired pots. Charges reserved in them can't be committed any more.
func (h *holding) expire(now time.Duration) {
	if h.earlier != nil && now >= h.earlier.expiresAt {
		h.earlier = nil
	}
	if p := h.pot; now >= p.expiresAt && p.balance+p.pending != 0 {
		h.pot = &pot{spent: p.spent, reported: p.reported, confirmed: p.confirmed}
	}
}

// refuseIfLong refuses a request that would wait for longer than the given time, that costs more than
// the burst, or that would wait for a leader without contact.
func (s *Share) refuseIfLong(now time.Duration, h *holding, cost int64, wait time.Duration) (Decision, bool) {
	if float64(cost) > h.quota.Burst && h.quota.Burst > 0 {
		return Decision{Verdict: Refused, RetryAfter: MaxRetry}, true
	}
	if s.failedAt > 0 && now-s.failedAt > contactTimeout {
		return s.refuse(now, h, cost), true
	}
	if now >= h.closedUntil || isSmall(cost, h.closedFor) {
		return Decision{}, false
	}
	expected := h.closedUntil - now + h.timeFor(now, h.queued)
	if expected <= wait {
		return Decision{}, false
	}
	return s.refuse(now, h, cost), true
}

// nextAsk returns when the leader is to be asked for a request that waits.
func (h *holding) nextAsk(now time.Duration, cost int64) time.Duration {
	if now < h.closedUntil && isSmall(cost, h.closedFor) {
		return max(now, h.askedAt+earlyCallInterval)
	}
	return max(now, h.closedUntil)
}

// isSmall reports whether a request is so much smaller than another one that it does not queue
// behind it: it delays the other one little, and has room when that has none.
func isSmall(cost, other int64) bool { return cost*smallPart <= other }

// scarce reports whether the leader had no room for a request lately.
func (h *holding) scarce(now time.Duration) bool {
	return now < h.closedUntil || h.refusedAt > 0 && now-h.refusedAt < refusalMemory
}

// smallStock returns what the instance should hold for small requests while large ones are
// refused; 0 if there are no small ones.
func (h *holding) smallStock() int64 {
	if stock := smallRequests * h.least; h.least > 0 && isSmall(stock, h.closedFor) {
		return stock
	}
	return 0
}

// timeFor returns the time in which the leader will grant so many tokens.
func (h *holding) timeFor(now time.Duration, tokens int64) time.Duration {
	perSecond := max(h.granted.rate(now, grantTime), h.quota.Rate/1000)
	return time.Duration(min(float64(tokens)/perSecond, MaxRetry.Seconds()) * float64(time.Second))
}

// refuse returns a refusal. Each refused request gets the time after those before it.
func (s *Share) refuse(now time.Duration, h *holding, cost int64) Decision {
	if now >= h.closedUntil {
		// The leader has not said that the customer is over its quota.
		return Decision{Verdict: Unknown, RetryAfter: unknownRetry}
	}
	h.refusedCost, h.refusedAt = cost, now
	h.queueAt = min(max(h.queueAt, h.closedUntil, now)+h.timeFor(now, cost), now+MaxRetry)
	if h.dueAt == 0 {
		s.setDue(h, max(now, h.closedUntil))
	}
	return Decision{Verdict: Refused, RetryAfter: max(h.queueAt-now, minRetry)}
}

// setDue makes the customer part of a call at the given time, or earlier.
func (s *Share) setDue(h *holding, at time.Duration) {
	at = max(at, 1)
	if h.dueAt == 0 || at < h.dueAt {
		h.dueAt = at
		s.due[h] = struct{}{}
	}
}

// average is a rate with exponential decay.
type average struct {
	sum float64
	at  time.Duration
}

func (a *average) add(now time.Duration, x float64, over time.Duration) {
	a.sum = a.decayed(now, over) + x
	a.at = now
}

func (a *average) decayed(now time.Duration, over time.Duration) float64 {
	if now <= a.at || a.sum == 0 {
		return a.sum
	}
	return a.sum * math.Exp(-float64(now-a.at)/float64(over))
}

// rate returns the average per second.
func (a *average) rate(now time.Duration, over time.Duration) float64 {
	return a.decayed(now, over) / over.Seconds()
}
