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
	// lossRetention is how long a request is kept after its latest loss.
	lossRetention = 10 * time.Minute
	// maxCountedRequests bounds the number of requests that are kept.
	maxCountedRequests = 1024
	// aliveDelay is the minimum time between a reported loss and an announcement
	// by the same process for the announcement to prove that it has not crashed.
	aliveDelay = time.Second
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
}

// losses holds the processes that were lost while they ran one request, each
// with the time of the loss.
type losses struct {
	processes map[Process]time.Time
	lastLoss  time.Time
}

// RecordLoss records that the process failed to complete its response to the request,
// which may mean that it crashed.
func (c *LossCounter) RecordLoss(now time.Time, fp Fingerprint, p Process) {
	if c.byFingerprint == nil {
		c.byFingerprint, c.byProcess = make(map[Fingerprint]*losses), make(map[Process][]Fingerprint)
	}
	x := c.byFingerprint[fp]
	if x == nil {
		if len(c.byFingerprint) >= maxCountedRequests {
			c.evict(now)
		}
		x = &losses{processes: make(map[Process]time.Time)}
		c.byFingerprint[fp] = x
	}
	if _, known := x.processes[p]; !known {
		c.byProcess[p] = append(c.byProcess[p], fp)
	}
	x.processes[p] = now
	if now.After(x.lastLoss) {
		x.lastLoss = now
	}
}

// unlink removes the loss of the process from the request and from the index.
func (c *LossCounter) unlink(fp Fingerprint, p Process) {
	delete(c.byFingerprint[fp].processes, p)
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

// evict removes expired requests. If the limit is still reached, it removes the
// request whose latest loss is the oldest.
func (c *LossCounter) evict(now time.Time) {
	var oldest Fingerprint
	var oldestLoss time.Time
	for fp, x := range c.byFingerprint {
		switch {
		case now.Sub(x.lastLoss) > lossRetention:
			c.remove(fp)
		case oldestLoss.IsZero() || x.lastLoss.Before(oldestLoss):
			oldest, oldestLoss = fp, x.lastLoss
		}
	}
	if len(c.byFingerprint) >= maxCountedRequests {
		c.remove(oldest)
	}
}

// RecordAnnouncement records an announcement by a process. A process that announces
// itself later than aliveDelay after a loss has not crashed; only its response was
// incomplete, so that loss no longer counts.
func (c *LossCounter) RecordAnnouncement(now time.Time, p Process) {
	for _, fp := range slices.Clone(c.byProcess[p]) {
		x := c.byFingerprint[fp]
		if now.Sub(x.processes[p]) <= aliveDelay {
			continue
		}
		c.unlink(fp, p)
		if len(x.processes) == 0 {
			delete(c.byFingerprint, fp)
		}
	}
}

// RecordCompletion records that a target completed the request, which clears it.
func (c *LossCounter) RecordCompletion(fp Fingerprint) { c.remove(fp) }

// Suspects returns the requests that are suspects or blocked.
func (c *LossCounter) Suspects(now time.Time) (out []*wire.Suspect) {
	for fp, x := range c.byFingerprint {
		n := len(x.processes)
		if n < suspectThreshold || now.Sub(x.lastLoss) > lossRetention {
			continue
		}
		s := &wire.Suspect{
			Fingerprint: fp[:], Verdict: wire.Verdict_VERDICT_SUSPECT,
			UntilUnixMillis: x.lastLoss.Add(lossRetention).UnixMilli(),
		}
		if n >= blockThreshold {
			s.Verdict = wire.Verdict_VERDICT_BLOCKED
		}
		out = append(out, s)
	}
	return out
}
