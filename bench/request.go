package main

import (
	"time"

	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

// outcome is the final result of a request.
type outcome int

const (
	pending outcome = iota
	completed
	refused
	timedOut
)

// request is the state of a request at its entry instance.
type request struct {
	*arrival
	e        *entry
	key      route.Key
	version  string
	prefix   uint64
	outcome  outcome
	ended    time.Duration
	attempts int
	tried    []*route.Target
	other    *route.Target
	// main is the latest regular attempt, hedge the hedged one.
	main, hedge *attempt
	// won is the attempt that returned the first chunk.
	won *attempt
	// units is the work of the attempt that completed the request.
	units float64
}

// deadline returns the deadline as virtual time.
func (r *request) deadline() time.Duration { return r.at + r.arrival.deadline }

// inTime reports whether the client received the complete response within the deadline.
func (r *request) inTime() bool { return r.outcome == completed && r.ended <= r.deadline() }

// took returns the time from sending the request until the client received the outcome.
func (r *request) took() time.Duration { return r.ended - r.at }

// finish records the outcome and cancels the remaining attempts. The client receives it
// after the client delay.
func (r *request) finish(o outcome) {
	if r.outcome != pending {
		return
	}
	r.outcome = o
	r.ended = r.e.w.now + r.e.w.site.clientDelay
	r.e.cancelAll(r, nil)
}

// attempt is one dispatch of a request to a target.
type attempt struct {
	id    uint64
	r     *request
	t     *target
	rt    *route.Target
	key   artifact
	begun time.Duration
	hedge bool
	// running and over are the state at the target: it has a slot, it has ended.
	running, over bool
	// first and left are the state at the entry instance: the first chunk has arrived,
	// the attempt is closed.
	first, left bool
	job         *job
	// spent is the work executed for the attempt, set when it ends.
	spent float64
}

// delay returns the one-way network delay between the entry instance and the target.
func (a *attempt) delay() time.Duration {
	if a.r.e.zone == a.t.zone {
		return nearDelay
	}
	return farDelay
}

// notify runs f at the entry instance, after the network delay.
func (a *attempt) notify(f func()) { a.r.e.w.after(a.delay(), f) }

func (a *attempt) notifyStarted(l *wire.Load) {
	a.notify(func() { a.r.e.reported(a, l) })
}

func (a *attempt) notifyFirst() { a.notify(func() { a.r.e.firstChunk(a) }) }

func (a *attempt) notifyEnd(l *wire.Load) {
	a.notify(func() { a.r.e.ended(a, l) })
}

func (a *attempt) notifyRefused(why refusal, l *wire.Load) {
	a.notify(func() { a.r.e.refused(a, why, l) })
}
