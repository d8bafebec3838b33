// Package admit implements admission control and queueing for one target.
//
// The number of slots bounds the running requests. Long requests have a lower
// limit, which reserves the remaining slots for short ones; a long request that has
// waited for the age bound may take a reserved slot. The queue is ordered by
// priority, which increases with age, then by deadline. A request whose estimated
// wait is too long for its deadline is refused on arrival. Requests of teams other
// than the owner of the target are borrowed work: they have a limit of their own, and
// idempotent ones are cancelled when the owner needs their slots.
package admit

import (
	"cmp"
	"slices"
	"time"
)

//go:generate stringer -type=Class,Reason

const (
	// minRetryAfter is the shortest retry-after. An immediate retry would find the same
	// queue.
	minRetryAfter = 20 * time.Millisecond
	// waitMarginDivisor sets the safety margin on the estimated wait: the actual wait
	// may exceed the estimate by 1/waitMarginDivisor of it. Without the margin, requests
	// were refused after 1.7 s in the queue, and goodput at twice the capacity was 0.80
	// of the capacity instead of 0.97.
	waitMarginDivisor = 3
	// maxPriority is the highest priority of a request.
	maxPriority = 9
)

// Class is the size class of a request.
type Class uint8

// Size classes.
const (
	Short Class = iota
	Long
	classes
)

// Reason is why a request was refused. A refused request has not started.
type Reason uint8

// Reasons of refusals.
const (
	ReasonNone Reason = iota
	ReasonQueueFull
	// ReasonDeadline means that the request could not start in time for its deadline.
	ReasonDeadline
	// ReasonLentLimit means that the target lends no slots or that its owner is
	// waiting for one.
	ReasonLentLimit
	// ReasonBusy means that the request must run alone and the target will not be idle
	// in time for its deadline.
	ReasonBusy
)

// Config holds the limits of one target.
type Config struct {
	// Slots is the number of requests that run concurrently, at least 1.
	Slots int
	// QueueLimit bounds the waiting requests.
	QueueLimit int
	// ShortMaxTokens is the largest size of a short request, in tokens.
	ShortMaxTokens uint32
	// LongSlotPercent is the share of the slots that long requests may take before
	// they reach AgeBound.
	LongSlotPercent uint32
	// LendPercent is the share of the slots that other teams may take.
	LendPercent uint32
	// Team is the owner. Without an owner no work counts as borrowed.
	Team string
	// AgeBound is the wait after which a long request may take a reserved slot.
	AgeBound time.Duration
	// AgeStep is the wait that raises the priority of a request by one.
	AgeStep time.Duration
}

// longLimit returns the number of slots that long requests may take. Aged requests
// may take one reserved slot more, but never the last. When they were allowed all
// slots but one, the p99 of short requests was 1.6 times that of a FIFO queue, at
// 80% load with 5% of the requests 50 times longer than the others.
func (c Config) longLimit(aged bool) int {
	n := min(max(1, c.Slots*int(min(c.LongSlotPercent, 100))/100), c.Slots)
	if aged && n+1 < c.Slots {
		n++
	}
	return n
}

func (c Config) borrowLimit() int { return c.Slots * int(min(c.LendPercent, 100)) / 100 }

// Request describes a request to admit.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID    uint64
	Team  string
	Model string
	// Priority is 0 to 9; 9 is served first.
	Priority int
	// Deadline is the caller's deadline.
	Deadline time.Time
	// MaxTokens is the declared maximum of generated tokens; 0 if not declared.
	MaxTokens uint32
	// PromptBytes is the length of the prompt in bytes.
	PromptBytes int
	// Exclusive means that no other request may run at the same time.
	Exclusive bool
	// Idempotent means that the request may be cancelled while it runs as borrowed
	// work, to free its slot for the owner.
	Idempotent bool
}

// Refusal is a request that is not going to run, with the reason.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Step lists the actions for the caller to take.
type Step struct {
	// Start lists requests to start. They hold their slots until Done.
	Start []uint64
	// Refuse lists waiting requests to refuse.
	Refuse []Refusal
	// Reclaim lists running borrowed requests to cancel. They hold their slots until
	// Done.
	Reclaim []uint64
}

// Load is the load that is reported in announcements and answers.
type Load struct {
	Slots, Running, Queued int
	// Wait is the expected wait of a new short request of the owner. While the target
	// generates tokens more slowly than usual, it also includes the expected extra
	// service time.
	Wait time.Duration
}

// work is a waiting or running request.
type work struct {
	Request
	class    Class
	borrowed bool
	arrived  time.Time
	started  time.Time
	running  bool
	// reclaimed is set once Step has returned the request in Reclaim.
	reclaimed bool
	// latestStart is the latest start that still meets the deadline.
	latestStart time.Time
	// startOrder is the sequence number of the start. The borrowed request that started
	// last is reclaimed first.
	startOrder uint64
	// lastToken is the time of the last token of a running request.
	lastToken time.Time
}

// Admission manages the queue and the slots of one target. It is not safe for
// concurrent use.
type Admission struct {
	cfg      Config
	history  history
	pace     tokenPace
	requests map[uint64]*work
	queue    []*work
	// running counts the running requests.
	running int
	// long and borrowed count the long and the borrowed requests among them.
	long, borrowed int
	// exclusive is the running request that must run alone, or nil.
	exclusive *work
	// starts counts the requests started.
	starts uint64
}

// New returns an Admission without requests.
func New(cfg Config) *Admission {
	a := &Admission{requests: make(map[uint64]*work), history: newHistory()}
	a.Configure(cfg)
	return a
}

// Configure replaces the limits. Running requests continue; the next Step reclaims
// idempotent borrowed requests above a lowered limit.
func (a *Admission) Configure(cfg Config) {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.AgeStep <= 0 {
		cfg.AgeStep = time.Second
	}
	a.cfg = cfg
	for _, w := range a.requests {
		borrowed := a.isBorrowed(w.Team)
		if w.running && borrowed != w.borrowed {
			a.borrowed += map[bool]int{true: 1, false: -1}[borrowed]
		}
		w.borrowed = borrowed
	}
}

// Config returns the current limits.
func (a *Admission) Config() Config { return a.cfg }

func (a *Admission) isBorrowed(team string) bool { return a.cfg.Team != "" && team != a.cfg.Team }

// Submit adds a request to the queue and reports true, or returns its refusal.
func (a *Admission) Submit(now time.Time, r Request) (Refusal, bool) {
	r.Priority = min(max(r.Priority, 0), maxPriority)
	w := &work{
		Request: r, arrived: now, borrowed: a.isBorrowed(r.Team),
		class: a.history.class(r, a.cfg.ShortMaxTokens),
	}
	refuse := func(reason Reason, after time.Duration) (Refusal, bool) {
		return Refusal{ID: r.ID, Reason: reason, RetryAfter: max(after, minRetryAfter)}, false
	}
	wait := a.estimateWait(now, w)
	if w.borrowed && (a.cfg.borrowLimit() == 0 || a.ownerWaits()) {
		return refuse(ReasonLentLimit, wait)
	}
	// After latestStart, the time remaining is shorter than the expected service time.
	// A request expected to need more than half of the time remaining may still wait
	// for the first half of it, so that a long estimate alone does not refuse it.
	remaining := r.Deadline.Sub(now)
	service := a.history.service(w.Model, w.class)
	w.latestStart = r.Deadline.Add(-min(service, remaining/2))
	if now.Add(wait + wait/waitMarginDivisor).After(w.latestStart) {
		if r.Exclusive {
			return refuse(ReasonBusy, wait)
		}
		return refuse(ReasonDeadline, wait)
	}
	if len(a.queue) >= a.cfg.QueueLimit && a.running >= a.cfg.Slots && !a.outranksQueued(now, w) {
		return refuse(ReasonQueueFull, wait)
	}
	a.requests[r.ID] = w
	a.queue = append(a.queue, w)
	return Refusal{}, true
}

// outranksQueued reports whether w has a higher priority than some waiting request.
func (a *Admission) outranksQueued(now time.Time, w *work) bool {
	return slices.ContainsFunc(a.queue, func(o *work) bool { return w.Priority > a.agedPriority(now, o) })
}

// ownerWaits reports whether a request of the owner is waiting.
func (a *Admission) ownerWaits() bool {
	return slices.ContainsFunc(a.queue, func(w *work) bool { return !w.borrowed })
}

// agedPriority returns the priority plus one for each AgeStep of waiting. It is
// unbounded, so that requests of the lowest priority do not starve.
func (a *Admission) agedPriority(now time.Time, w *work) int {
	return w.Priority + int(now.Sub(w.arrived)/a.cfg.AgeStep)
}

func (a *Admission) sortQueue(now time.Time) {
	slices.SortStableFunc(a.queue, func(x, y *work) int {
		return cmp.Or(cmp.Compare(a.agedPriority(now, y), a.agedPriority(now, x)),
			x.Deadline.Compare(y.Deadline), cmp.Compare(x.ID, y.ID))
	})
}

// Step returns the requests to start, refuse and reclaim now.
func (a *Admission) Step(now time.Time) Step {
	var out Step
	a.sortQueue(now)
	a.expire(now, &out)
	a.startQueued(now, &out)
	a.enforceQueueLimit(now, &out)
	a.reclaim(now, &out)
	return out
}

// expire refuses waiting requests that can no longer meet their deadlines.
func (a *Admission) expire(now time.Time, out *Step) {
	a.removeQueued(func(w *work) bool {
		if now.After(w.latestStart) {
			out.Refuse = append(out.Refuse, Refusal{w.ID, ReasonDeadline, max(a.estimateWait(now, w), minRetryAfter)})
			return true
		}
		return false
	})
}

// enforceQueueLimit refuses requests from the end of the queue until it is within its
// limit.
func (a *Admission) enforceQueueLimit(now time.Time, out *Step) {
	for len(a.queue) > a.cfg.QueueLimit {
		w := a.queue[len(a.queue)-1]
		out.Refuse = append(out.Refuse, Refusal{w.ID, ReasonQueueFull, max(a.estimateWait(now, w), minRetryAfter)})
		a.removeQueued(func(o *work) bool { return o == w })
	}
}

// removeQueued removes the waiting requests that match.
func (a *Admission) removeQueued(match func(*work) bool) {
	a.queue = slices.DeleteFunc(a.queue, func(w *work) bool {
		if match(w) {
			delete(a.requests, w.ID)
			return true
		}
		return false
	})
}

// startQueued starts waiting requests in the free slots, in queue order.
func (a *Admission) startQueued(now time.Time, out *Step) {
	holdLong := false
	for i := 0; i < len(a.queue) && a.running < a.cfg.Slots && a.exclusive == nil; {
		w := a.queue[i]
		if a.limited(now, w) || holdLong && w.class == Long {
			i++
			continue
		}
		if w.Exclusive && a.running > 0 {
			// Let the slots drain, or w would starve at a target that is never idle.
			// If that takes longer than AgeBound and than a short request, only long
			// requests are held back, so that short ones do not wait for w.
			if a.timeToDrain(now) <= max(a.cfg.AgeBound, a.history.service(w.Model, Short)) {
				return
			}
			holdLong = true
			i++
			continue
		}
		a.queue = slices.Delete(a.queue, i, i+1)
		a.start(now, w)
		out.Start = append(out.Start, w.ID)
	}
}

// timeToDrain returns the expected time until all running requests have ended.
func (a *Admission) timeToDrain(now time.Time) time.Duration {
	var longest time.Duration
	for _, w := range a.requests {
		if w.running {
			longest = max(longest, a.remaining(now, w))
		}
	}
	return longest
}

// limited reports whether the limit on long or on borrowed work prevents the start
// of w.
func (a *Admission) limited(now time.Time, w *work) bool {
	if w.class == Long && a.long >= a.cfg.longLimit(a.aged(now, w)) {
		return true
	}
	return w.borrowed && (a.borrowed >= a.cfg.borrowLimit() || a.ownerWaits())
}

func (a *Admission) aged(now time.Time, w *work) bool {
	return now.Sub(w.arrived) >= a.cfg.AgeBound
}

func (a *Admission) start(now time.Time, w *work) {
	a.starts++
	w.running, w.started, w.startOrder = true, now, a.starts
	a.adjustCounts(w, 1)
	if w.Exclusive {
		a.exclusive = w
	}
}

func (a *Admission) adjustCounts(w *work, n int) {
	a.running += n
	if w.class == Long {
		a.long += n
	}
	if w.borrowed {
		a.borrowed += n
	}
}

// reclaim cancels idempotent borrowed requests, those started last first: as many
// as exceed the limit or as requests of the owner wait for nothing but a slot,
// whichever is more.
func (a *Admission) reclaim(now time.Time, out *Step) {
	need := a.borrowed - a.cfg.borrowLimit()
	if a.running >= a.cfg.Slots {
		waiting := 0
		for _, w := range a.queue {
			if !w.borrowed && !a.limited(now, w) {
				waiting++
			}
		}
		need = max(need, waiting)
	}
	var borrowed []*work
	for _, w := range a.requests {
		if !w.running || !w.borrowed {
			continue
		}
		if w.reclaimed {
			need--
		} else if w.Idempotent {
			borrowed = append(borrowed, w)
		}
	}
	slices.SortFunc(borrowed, func(x, y *work) int { return cmp.Compare(y.startOrder, x.startOrder) })
	for _, w := range borrowed[:max(0, min(need, len(borrowed)))] {
		w.reclaimed = true
		out.Reclaim = append(out.Reclaim, w.ID)
	}
}

// Cancel removes a waiting request. It reports false if the request is running or
// unknown.
func (a *Admission) Cancel(id uint64) bool {
	w, ok := a.requests[id]
	if !ok || w.running {
		return false
	}
	a.removeQueued(func(o *work) bool { return o == w })
	return true
}

// RecordToken records a token of a running request and the number of tokens generated so
// far. A request that exceeds the short class counts as long from then on.
func (a *Admission) RecordToken(now time.Time, id uint64, tokens uint32) {
	w, ok := a.requests[id]
	if !ok || !w.running {
		return
	}
	if !w.lastToken.IsZero() {
		a.pace.add(now, now.Sub(w.lastToken))
	}
	w.lastToken = now
	if w.class == Short && tokens > a.cfg.ShortMaxTokens {
		a.adjustCounts(w, -1)
		w.class = Long
		a.adjustCounts(w, 1)
	}
}

// Done frees the slot of a running request. If it completed, its tokens and service
// time are added to the history of its model.
func (a *Admission) Done(now time.Time, id uint64, completed bool, tokens uint32) {
	w, ok := a.requests[id]
	if !ok || !w.running {
		return
	}
	delete(a.requests, id)
	a.adjustCounts(w, -1)
	if a.exclusive == w {
		a.exclusive = nil
	}
	if completed {
		a.history.add(w.Request, w.class, a.cfg.ShortMaxTokens, tokens, now.Sub(w.started))
	}
}

// NextStep returns the time at which Step is next due if no other event occurs before. It
// reports false if no request is waiting.
func (a *Admission) NextStep(now time.Time) (time.Time, bool) {
	if len(a.queue) == 0 {
		return time.Time{}, false
	}
	next := a.queue[0].latestStart
	for _, w := range a.queue {
		next = earlier(next, w.latestStart)
		if at := w.arrived.Add(a.cfg.AgeBound); w.class == Long && at.After(now) {
			next = earlier(next, at)
		}
	}
	// expire needs a time after latestStart.
	return next.Add(1), true
}

func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}

// Load returns the current load.
func (a *Admission) Load(now time.Time) Load {
	probe := &work{Request: Request{Team: a.cfg.Team, Priority: maxPriority / 2}, arrived: now}
	probe.Deadline = now.Add(time.Hour)
	extra := (a.slowdown(now) - 1) * a.history.service("", Short).Seconds()
	return Load{
		Slots: a.cfg.Slots, Running: a.running, Queued: len(a.queue),
		Wait: a.estimateWait(now, probe) + time.Duration(extra*float64(time.Second)),
	}
}
