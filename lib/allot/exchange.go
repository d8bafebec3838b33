package allot

import (
	"math"
	"time"
)

// NextCall returns the time of the next call to the leader; ok is false if there is none before
// the call in flight has ended, or no customer is in use.
func (s *Share) NextCall() (at time.Duration, ok bool) {
	if s.call != nil || len(s.holdings) == 0 {
		return 0, false
	}
	at = s.nextAt
	for h := range s.due {
		at = min(at, h.dueAt)
	}
	return max(at, s.retryAt), true
}

// Request returns the next call to the leader, or nil if none is due. Apply or Failed must
// follow it.
func (s *Share) Request(now time.Duration) *Request {
	if at, ok := s.NextCall(); !ok || now < at {
		return nil
	}
	s.sequence++
	call := &pendingCall{sequence: s.sequence, askedAt: now, whole: now >= s.nextAt}
	r := &Request{Process: s.process, Term: s.term, Sequence: s.sequence}
	if call.whole {
		s.addAllUses(now, call, r)
		s.nextAt = now + minPeriod
	} else {
		s.addDueUses(now, call, r)
	}
	if len(r.Uses) == 0 {
		return nil
	}
	s.call = call
	return r
}

// addAllUses adds the customers in use to a call, except those of which the leader knows everything.
func (s *Share) addAllUses(now time.Duration, call *pendingCall, r *Request) {
	for _, h := range s.holdings {
		// After a failure, requests are refused until a call is answered.
		if s.failedAt > 0 || !h.upToDate(now) {
			s.addUse(now, call, r, h)
		}
	}
}

// addDueUses adds the customers that are due to a call, and a few that have spent something.
func (s *Share) addDueUses(now time.Duration, call *pendingCall, r *Request) {
	for h := range s.due {
		if h.dueAt <= now {
			s.addUse(now, call, r, h)
		}
	}
	// The leader can fill up a bucket only once it knows what was spent.
	for h := range s.spenders {
		if len(r.Uses) >= maxSpenders {
			break
		}
		s.addUse(now, call, r, h)
	}
}

// addUse adds a customer to a call.
func (s *Share) addUse(now time.Duration, call *pendingCall, r *Request, h *holding) {
	h.expire(now)
	u := h.describe(now)
	u.Customer = h.customer
	h.askedAt, h.dueAt = now, 0
	delete(s.due, h)
	delete(s.spenders, h)
	h.pot.reported = h.pot.spent
	call.holdings, call.spent = append(call.holdings, h), append(call.spent, h.pot.spent)
	r.Uses = append(r.Uses, u)
}

// upToDate reports whether a call that names the customer would tell the leader nothing new and ask
// it for nothing.
func (h *holding) upToDate(now time.Duration) bool {
	h.expire(now)
	return h.settled() && len(h.tickets) == 0 && h.dueAt == 0 && now >= h.unlimitedUntil && h.target(now) == 0
}

// settled reports whether the instance holds nothing and has told the leader what was spent.
func (h *holding) settled() bool {
	return h.pot.spent == h.pot.confirmed && h.pot.balance+h.pot.pending == 0 && h.earlier == nil
}

// describe returns the customer's entry in a call. Tokens far beyond the target are taken from the
// balance, so that the leader gets them back.
func (h *holding) describe(now time.Duration) Use {
	target := h.target(now)
	have := h.available() - h.queued
	if excess := have - target - target/2; excess > 0 {
		give := min(have-target, h.pot.balance)
		h.pot.balance -= give
		have -= give
	}
	u := Use{Spent: h.pot.spent, Held: h.pot.balance + h.pot.pending}
	if h.earlier != nil {
		u.Carried = h.earlier.balance + h.earlier.pending
	}
	switch {
	case len(h.tickets) > 0:
		u.Next = max(h.tickets[0].cost-h.available(), 0)
		u.Need = max(-have, u.Next)
	case h.refusedAt > 0 && now-h.refusedAt < refusalMemory+max(h.closedUntil-h.refusedAt, 0):
		u.Next = max(h.refusedCost-have, 0)
		u.Need = max(u.Next, int64(h.attempts.rate(now, useTime)*turnTime.Seconds())-have)
	}
	u.Want = max(target-max(have, 0), 0)
	if stock := h.smallStock(); u.Next > 0 && stock > 0 && h.scarce(now) {
		u.Want = max(stock-h.available(), 0)
	}
	h.askedFor = u.Next
	return u
}

// target returns what the instance should hold: the use of holdTime, if a request fits in.
func (h *holding) target(now time.Duration) int64 {
	n := int64(math.Ceil(h.use.rate(now, useTime) * holdTime.Seconds()))
	if n < h.least || h.least == 0 || now-h.touchedAt > idleTime {
		return 0
	}
	return n
}

// Failed ends the call in flight, which got no answer. It reports whether it is the first one to
// fail since the last answer.
func (s *Share) Failed(now time.Duration) (first bool) {
	if s.call == nil {
		return false
	}
	for _, h := range s.call.holdings {
		if len(h.tickets) > 0 {
			s.setDue(h, now)
		}
	}
	s.call = nil
	s.retryAt = now + failedCallInterval
	s.nextAt = min(s.nextAt, now+probeInterval)
	first = s.failedAt == 0
	if first {
		s.failedAt = max(now, 1)
	}
	s.forget(now, lostIdleTime)
	return first
}

// Apply ends the call in flight with the leader's reply. A reply from a term before the known one
// counts as a failure.
func (s *Share) Apply(now time.Duration, reply *Reply) {
	call := s.call
	if call == nil {
		return
	}
	if reply.Term < s.term || len(reply.Grants) != len(call.holdings) {
		s.Failed(now)
		return
	}
	s.call, s.failedAt = nil, 0
	sameTerm := reply.Term == s.term
	if !sameTerm {
		s.enterTerm(now, reply.Term)
	}
	if call.whole {
		s.nextAt = call.askedAt + reply.Period
	}
	for i, h := range call.holdings {
		if sameTerm {
			h.pot.confirmed = call.spent[i]
		}
		s.applyGrant(now, call.askedAt, h, &reply.Grants[i])
	}
	if call.whole {
		s.forget(now, idleTime)
	}
}

// enterTerm keeps what was granted in the earlier term until it expires.
func (s *Share) enterTerm(now time.Duration, term uint64) {
	s.term = term
	for _, h := range s.holdings {
		h.expire(now)
		if p := h.pot; p.balance+p.pending > 0 && (h.earlier == nil || h.earlier.balance < p.balance) {
			h.earlier = p
		}
		h.pot = &pot{}
	}
}

// applyGrant applies the leader's answer about one customer to a call sent at askedAt.
func (s *Share) applyGrant(now, askedAt time.Duration, h *holding, g *Grant) {
	h.expire(now)
	if g.Unlimited {
		h.unlimitedUntil = now + minPeriod
	}
	if g.Renewed {
		h.pot.expiresAt = max(h.pot.expiresAt, askedAt+Lifetime)
	}
	h.pot.balance += max(g.Granted, 0)
	h.granted.add(now, float64(g.Granted), grantTime)
	h.expire(now)
	h.closedUntil = 0
	if g.Wait > 0 {
		h.closedUntil, h.closedFor = now+g.Wait, h.askedFor
	}
	s.serve(now, h)
}

// serve decides about the waiting requests in order of arrival.
func (s *Share) serve(now time.Duration, h *holding) {
	waiting := h.tickets
	h.tickets, h.queued = nil, 0
	for _, t := range waiting {
		if len(h.tickets) == 0 || isSmall(t.cost, h.tickets[0].cost) {
			if d, ok := s.tryTake(now, h, t.cost); ok {
				t.settle(d)
				continue
			}
		}
		if d, refused := s.refuseIfLong(now, h, t.cost, t.until-now); refused {
			t.settle(d)
			continue
		}
		h.tickets = append(h.tickets, t)
		h.queued += t.cost
	}
	for _, t := range h.tickets {
		s.setDue(h, h.nextAsk(now, t.cost))
	}
}

// settle ends the wait of the request.
func (t *Ticket) settle(d Decision) {
	t.Decision = d
	if t.Notify != nil {
		t.Notify()
	}
}

// forget removes the customers that were idle for longer than the given time and hold nothing.
func (s *Share) forget(now, idle time.Duration) {
	for name, h := range s.holdings {
		h.expire(now)
		if h.settled() && len(h.tickets) == 0 && now-h.touchedAt > idle {
			delete(s.holdings, name)
			delete(s.due, h)
			delete(s.spenders, h)
		}
	}
}

// HasWaiting reports whether a request waits for the leader.
func (s *Share) HasWaiting() bool {
	for h := range s.due {
		if len(h.tickets) > 0 {
			return true
		}
	}
	return false
}

// Held returns the number of customers in use and the tokens that the instance holds.
func (s *Share) Held() (customers int, tokens int64) {
	for _, h := range s.holdings {
		tokens += h.available()
	}
	return len(s.holdings), tokens
}
