package main

import (
	"container/heap"
	"math"
	"time"
)

// epoch is the wall-clock time that corresponds to virtual time 0.
var epoch = time.Unix(1_000_000_000, 0)

// events is the event queue of the simulation: callbacks ordered by virtual time.
type events struct {
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

// time returns the current virtual time as a time.Time, as the decision packages expect.
func (e *events) time() time.Time { return epoch.Add(e.now) }

// after schedules f to run after d.
func (e *events) after(d time.Duration, f func()) { e.at(e.now+d, f) }

// at schedules f to run at t, or at the current time if t has passed.
func (e *events) at(t time.Duration, f func()) {
	e.seq++
	heap.Push(&e.heap, event{max(t, e.now), e.seq, f})
}

// every runs f now and then once per period until end, in virtual time.
func (e *events) every(period, end time.Duration, f func()) {
	f()
	if e.now+period <= end {
		e.after(period, func() { e.every(period, end, f) })
	}
}

// drain runs events in order until the queue is empty.
func (e *events) drain() {
	for e.heap.Len() > 0 {
		ev := heap.Pop(&e.heap).(event)
		e.now = ev.at
		ev.run()
	}
}

// progress models a resource with processor sharing: all current jobs advance at the
// same rate, which may change whenever a job starts or ends.
type progress struct {
	ev *events
	// rate returns the current progress of each job in units of work per second.
	rate func() float64
	// done is the work, as of at, of a hypothetical job that has run since the start.
	done float64
	at   time.Duration
	// last is the rate since at.
	last  float64
	marks markHeap
	// generation is incremented on each change, to invalidate the event scheduled before.
	generation uint64
	seq        uint64
}

// mark is a callback that runs when the progress reaches done.
type mark struct {
	done float64
	seq  uint64
	run  func()
	dead bool
}

type markHeap []*mark

func (h markHeap) Len() int { return len(h) }
func (h markHeap) Less(i, j int) bool {
	return h[i].done < h[j].done || h[i].done == h[j].done && h[i].seq < h[j].seq
}
func (h markHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *markHeap) Push(x any)   { *h = append(*h, x.(*mark)) }
func (h *markHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// advance updates done to the current time, at the rate since the last change.
func (p *progress) advance() {
	p.done += (p.ev.now - p.at).Seconds() * p.last
	p.at = p.ev.now
}

// add schedules run after the given further units of work. The caller must call changed
// afterwards.
func (p *progress) add(units float64, run func()) *mark {
	p.seq++
	m := &mark{done: p.done + units, seq: p.seq, run: run}
	heap.Push(&p.marks, m)
	return m
}

// changed updates the rate and schedules the next mark. The caller must have called
// advance before making the change that affects the rate.
func (p *progress) changed() {
	p.last = p.rate()
	p.generation++
	for len(p.marks) > 0 && p.marks[0].dead {
		heap.Pop(&p.marks)
	}
	if len(p.marks) == 0 || p.last <= 0 {
		return
	}
	left := max(0, (p.marks[0].done-p.done)/p.last)
	generation := p.generation
	p.ev.after(time.Duration(math.Ceil(left*1e9)), func() {
		if generation == p.generation {
			p.fire()
		}
	})
}

// fire runs the marks that have been reached.
func (p *progress) fire() {
	const rounding = 1e-6
	p.advance()
	for len(p.marks) > 0 && p.marks[0].done <= p.done+rounding {
		if m := heap.Pop(&p.marks).(*mark); !m.dead {
			m.run()
		}
	}
	p.changed()
}
