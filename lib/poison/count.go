package poison

import (
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// blockThreshold is the number of lost processes after which a request is blocked.
	blockThreshold = 3
	// suspectThreshold is the number of lost processes after which a request is sent to
	// one target only.
	suspectThreshold = 2
	// lossRetention is how long a request is kept, or blocked, after its latest loss.
	lossRetention = 10 * time.Minute
	// blockRetention is how long a request that was blocked remains a suspect after its latest loss. It
	// gets another chance, since what it crashed may have been replaced, and costs at most one target
	// more: with nothing kept it would cost three each time.
	blockRetention = 24 * time.Hour
	// maxCountedRequests bounds the number of requests that are kept.
	maxCountedRequests = 1024
	// AliveDelay is the minimum time between a reported loss and an announcement
	// by the same process for the announcement to prove that it has not crashed:
	// one that arrives sooner may have been sent before, since announcements may be
	// seconds late.
	AliveDelay = 6 * time.Second
)

// Process is one process of a target.
type Process struct {
	Target string
	// BornMillis is the start time of the process in Unix milliseconds.
	BornMillis int64
}

// LossCounter counts the target processes that were lost while they ran the same
// request, for requests that the control group does not record. Any running
// request may be lost with a target, so only several losses in a row count as
// evidence. The zero value is empty.
type LossCounter struct {
	byFingerprint map[Fingerprint]*losses
	// byProcess indexes the requests by lost process, so that the cost of an
	// announcement does not depend on the number of requests kept.
	byProcess map[Process][]Fingerprint
	// forgetsBlocks is set if nothing is kept of a request once its block has lapsed.
	forgetsBlocks bool
	// unsaved is set if Save would return other losses than the last time.
	unsaved bool
}

// losses holds the processes that were lost while they ran one request.
type losses struct {
	processes map[Process]loss
	// lastLoss is the latest time of a loss.
	lastLoss time.Time
	// ofCustomer is set for a part of prompts as it was used by one customer.
	ofCustomer bool
}

// loss is the loss of one process.
type loss struct {
	// at is the time of the loss, by the clock of the leader that counted it.
	at time.Time
	// knownAt is when this leader learned of it, by its own clock.
	knownAt time.Time
	// firstAfter is the smallest number of an announcement that was certainly sent after the loss; 0
	// if it is not known.
	firstAfter uint64
}

// RecordLoss records that the process failed to complete its response to the request,
// which may mean that it crashed.
func (c *LossCounter) RecordLoss(now time.Time, fp Fingerprint, p Process) {
	c.record(fp, p, loss{at: now, knownAt: now})
}

// RequireSequence sets the smallest number of an announcement that the process has certainly sent after
// its losses so far, unless one is set: announcements may be late by any time.
func (c *LossCounter) RequireSequence(p Process, firstAfter uint64) {
	for _, fp := range c.byProcess[p] {
		processes := c.byFingerprint[fp].processes
		if l := processes[p]; l.firstAfter == 0 {
			l.firstAfter = firstAfter
			processes[p] = l
		}
	}
}

func (c *LossCounter) record(fp Fingerprint, p Process, l loss) {
	if c.byFingerprint == nil {
		c.byFingerprint, c.byProcess = make(map[Fingerprint]*losses), make(map[Process][]Fingerprint)
	}
	x := c.byFingerprint[fp]
	if x == nil {
		if len(c.byFingerprint) >= maxCountedRequests {
			c.evict(l.knownAt)
		}
		x = &losses{processes: make(map[Process]loss)}
		c.byFingerprint[fp] = x
	}
	if _, known := x.processes[p]; !known {
		if len(x.processes) >= maxSavedProcesses && !c.forgetsBlocks {
			c.unlink(fp, x.oldest())
		}
		c.byProcess[p] = append(c.byProcess[p], fp)
		c.unsaved = true
	}
	x.processes[p] = l
	if l.at.After(x.lastLoss) {
		x.lastLoss = l.at
	}
}

// unlink removes the loss of the process from the request and from the index.
func (c *LossCounter) unlink(fp Fingerprint, p Process) {
	delete(c.byFingerprint[fp].processes, p)
	c.unsaved = true
	c.byProcess[p] = slices.DeleteFunc(c.byProcess[p], func(other Fingerprint) bool { return other == fp })
	if len(c.byProcess[p]) == 0 {
		delete(c.byProcess, p)
	}
}

// remove deletes the request from both indexes.
func (c *LossCounter) remove(fp Fingerprint) {
	x := c.byFingerprint[fp]
	if x == nil {
		return
	}
	for p := range x.processes {
		c.unlink(fp, p)
	}
	delete(c.byFingerprint, fp)
}

// evict removes expired requests. If the limit is still reached, it removes one of the
// requests with the fewest lost processes, the one whose latest loss is the oldest.
func (c *LossCounter) evict(now time.Time) {
	var victim Fingerprint
	var least *losses
	for fp, x := range c.byFingerprint {
		switch {
		case now.Sub(x.lastLoss) > c.retention(x):
			c.remove(fp)
		case least == nil || x.weaker(least):
			victim, least = fp, x
		}
	}
	if len(c.byFingerprint) >= maxCountedRequests {
		c.remove(victim)
	}
}

// retention is how long a request with these losses is kept after the latest one.
func (c *LossCounter) retention(x *losses) time.Duration {
	if len(x.processes) >= blockThreshold && !c.forgetsBlocks {
		return blockRetention
	}
	return lossRetention
}

// oldest returns the process that was lost first.
func (x *losses) oldest() (out Process) {
	var at time.Time
	for p, l := range x.processes {
		if at.IsZero() || l.at.Before(at) {
			out, at = p, l.at
		}
	}
	return out
}

// weaker reports whether x says less against its request than other.
func (x *losses) weaker(other *losses) bool {
	if n, m := len(x.processes), len(other.processes); n != m {
		return n < m
	}
	return x.lastLoss.Before(other.lastLoss)
}

// RecordAnnouncement records the announcement of a process with the given number. A process that has sent
// it after a loss has not crashed; only its response was incomplete, so that loss no longer counts. An
// announcement that arrives within AliveDelay of the loss, or whose number may be older, proves nothing.
func (c *LossCounter) RecordAnnouncement(now time.Time, p Process, sequence uint64) {
	for _, fp := range slices.Clone(c.byProcess[p]) {
		x := c.byFingerprint[fp]
		if l := x.processes[p]; now.Sub(l.knownAt) <= AliveDelay || sequence < l.firstAfter {
			continue
		}
		c.unlink(fp, p)
		if len(x.processes) == 0 {
			delete(c.byFingerprint, fp)
		}
	}
}

// RecordCompletion records that a target completed the request, which clears it. It reports
// whether targets had been lost with the request.
func (c *LossCounter) RecordCompletion(fp Fingerprint) (known bool) {
	_, known = c.byFingerprint[fp]
	c.remove(fp)
	return known
}

// Suspects returns the requests that are suspects or blocked.
func (c *LossCounter) Suspects(now time.Time) (out []*wire.Suspect) {
	for fp, x := range c.byFingerprint {
		age := now.Sub(x.lastLoss)
		if len(x.processes) < suspectThreshold || age > c.retention(x) {
			continue
		}
		s := &wire.Suspect{
			Fingerprint: fp[:], Verdict: wire.Verdict_VERDICT_SUSPECT,
			UntilUnixMillis: x.lastLoss.Add(c.retention(x)).UnixMilli(),
		}
		if len(x.processes) >= blockThreshold && age <= lossRetention {
			s.Verdict, s.UntilUnixMillis = wire.Verdict_VERDICT_BLOCKED, x.lastLoss.Add(lossRetention).UnixMilli()
		}
		out = append(out, s)
	}
	return out
}
