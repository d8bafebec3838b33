package main

import (
	"container/heap"
	"math"
	"time"
)

// epoch is the wall-clock time that corresponds to virtual time 0.
var epoch = time.Unix(1_000_000_000, 0)

// eventQueue is the event queue of the simulation: callbacks ordered by virtual time.
type eventQueue struct {
	// now is the current virtual time; it never decreases.
	now  time.Duration
	seq  uint64
	heap eventHeap
}

type event struct {
	at time.Duration
	// seq orders events with the same time by creation.
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// timestamp returns the current virtual time as a time.Time, as the decision packages expect.
func (e *eventQueue) timestamp() time.Time { return epoch.Add(e.now) }

// after schedules f to run after d.
func (e *eventQueue) after(d time.Duration, f func()) { e.at(e.now+d, f) }

// at schedules f to run at t, or at the current time if t has passed.
func (e *eventQueue) at(t time.Duration, f func()) {
	e.seq++
	heap.Push(&e.heap, event{max(t, e.now), e.seq, f})
}

// every runs f immediately and then once per period until end, in virtual time.
func (e *eventQueue) every(period, end time.Duration, f func()) {
	f()
	if e.now+period <= end {
		e.after(period, func() { e.every(period, end, f) })
	}
}

// drain runs events in order until the queue is empty.
func (e *eventQueue) drain() {
	for e.heap.Len() > 0 {
		ev := heap.Pop(&e.heap).(event)
		e.now = ev.at
		ev.run()
	}
}

// sharedResource models a resource with processor sharing: all current jobs advance at the
// same rate, which may change whenever a job starts or ends.
type sharedResource struct {
	ev *eventQueue
	// rate returns the current progress of each job in units of work per second.
	rate func() float64
	// work is the work done, as of updatedAt, by a hypothetical job that has run since the
	// start.
	work      float64
	updatedAt time.Duration
	// lastRate is the rate since updatedAt.
	lastRate   float64
	milestones milestoneHeap
	// generation is incremented on each change, to invalidate the event scheduled before.
	generation uint64
	seq        uint64
}

// milestone is a callback that runs when sharedResource.work reaches work.
type milestone struct {
	work      float64
	seq       uint64
	run       func()
	cancelled bool
}

type milestoneHeap []*milestone

func (h milestoneHeap) Len() int { return len(h) }
func (h milestoneHeap) Less(i, j int) bool {
	return h[i].work < h[j].work || h[i].work == h[j].work && h[i].seq < h[j].seq
}
func (h milestoneHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *milestoneHeap) Push(x any)   { *h = append(*h, x.(*milestone)) }
func (h *milestoneHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// advance updates work to the current time, at the rate since the last change.
func (r *sharedResource) advance() {
	r.work += (r.ev.now - r.updatedAt).Seconds() * r.lastRate
	r.updatedAt = r.ev.now
}

// add schedules run after the given further units of work. The caller must call
// reschedule afterwards.
func (r *sharedResource) add(units float64, run func()) *milestone {
	r.seq++
	m := &milestone{work: r.work + units, seq: r.seq, run: run}
	heap.Push(&r.milestones, m)
	return m
}

// reschedule updates the rate and schedules the next milestone. The caller must have called
// advance before making the change that affects the rate.
func (r *sharedResource) reschedule() {
	r.lastRate = r.rate()
	r.generation++
	for len(r.milestones) > 0 && r.milestones[0].cancelled {
		heap.Pop(&r.milestones)
	}
	if len(r.milestones) == 0 || r.lastRate <= 0 {
		return
	}
	left := max(0, (r.milestones[0].work-r.work)/r.lastRate)
	generation := r.generation
	r.ev.after(time.Duration(math.Ceil(left*1e9)), func() {
		if generation == r.generation {
			r.runReached()
		}
	})
}

// runReached runs the milestones that have been reached.
func (r *sharedResource) runReached() {
	const rounding = 1e-6
	r.advance()
	for len(r.milestones) > 0 && r.milestones[0].work <= r.work+rounding {
		if m := heap.Pop(&r.milestones).(*milestone); !m.cancelled {
			m.run()
		}
	}
	r.reschedule()
}
