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
	entry       *entry
	key         route.Key
	version     string
	promptHash  uint64
	outcome     outcome
	endedAt     time.Duration
	attempts    int
	tried       []*route.Target
	alternative *route.Target
	// primary is the latest regular attempt, hedge the hedged one.
	primary, hedge *attempt
	// winner is the attempt that returned the first chunk.
	winner *attempt
	// work is the work of the attempt that completed the request.
	work float64
}

// deadline returns the deadline as virtual time.
func (r *request) deadline() time.Duration { return r.at + r.arrival.deadline }

// metDeadline reports whether the client received the complete response within the deadline.
func (r *request) metDeadline() bool { return r.outcome == completed && r.endedAt <= r.deadline() }

// responseTime returns the time from sending the request until the client received the
// outcome.
func (r *request) responseTime() time.Duration { return r.endedAt - r.at }

// finish records the outcome and cancels the remaining attempts. The client receives it
// after the client delay.
func (r *request) finish(o outcome) {
	if r.outcome != pending {
		return
	}
	r.outcome = o
	r.endedAt = r.entry.sim.now + r.entry.sim.deployment.clientDelay
	r.entry.cancelAttempts(r, nil)
}

// attempt is one dispatch of a request to a target.
type attempt struct {
	id          uint64
	request     *request
	target      *target
	routeTarget *route.Target
	key         artifact
	startedAt   time.Duration
	hedge       bool
	// running and ended are the state at the target: the attempt has a slot, it has ended.
	running, ended bool
	// hasFirstChunk and closed are the state at the entry instance: the first chunk has
	// arrived, the attempt is closed.
	hasFirstChunk, closed bool
	job                   *job
	// work is the work executed for the attempt, set when it ends.
	work float64
}

// delay returns the one-way network delay between the entry instance and the target.
func (a *attempt) delay() time.Duration {
	if a.request.entry.zone == a.target.zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// notify runs f at the entry instance, after the network delay.
func (a *attempt) notify(f func()) { a.request.entry.sim.after(a.delay(), f) }

func (a *attempt) notifyStarted(l *wire.Load) {
	a.notify(func() { a.request.entry.recordLoad(a, l) })
}

func (a *attempt) notifyFirstChunk() { a.notify(func() { a.request.entry.handleFirstChunk(a) }) }

func (a *attempt) notifyEnd(l *wire.Load) {
	a.notify(func() { a.request.entry.handleEnd(a, l) })
}

func (a *attempt) notifyRefused(reason refusal, l *wire.Load) {
	a.notify(func() { a.request.entry.handleRefusal(a, reason, l) })
}
