package poison

import (
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// crashesBlock is the number of lost processes after which a request is blocked.
	crashesBlock = 3
	// crashesSuspect is the number after which it is sent to one target only.
	crashesSuspect = 2
	// crashMemory is how long a request is kept after its latest loss.
	crashMemory = 10 * time.Minute
	// crashesKept bounds the number of requests that are kept.
	crashesKept = 1024
	// aliveAfter is the minimum time between a reported loss and an announcement
	// by the same process for the announcement to prove that it has not crashed.
	aliveAfter = time.Second
)

// Process is one process of a target.
type Process struct {
	Target string
	// BornMillis is the start time of the process in Unix milliseconds.
	BornMillis int64
}

// Count counts the target processes that were lost while they ran the same
// request, for requests that the control group does not record. Any running
// request may be lost with a target, so only several losses in a row count as
// evidence. The zero value is empty.
type Count struct {
	byPrint map[Fingerprint]*crashes
	// byProcess indexes the requests by lost process, so that the cost of an
	// announcement does not depend on the number of requests kept.
	byProcess map[Process][]Fingerprint
}

// crashes holds the processes that were lost while they ran one request, each
// with the time of the loss.
type crashes struct {
	processes map[Process]time.Time
	last      time.Time
}

// Lost records that the process broke off an answer while it ran the request.
func (c *Count) Lost(now time.Time, fp Fingerprint, p Process) {
	if c.byPrint == nil {
		c.byPrint, c.byProcess = make(map[Fingerprint]*crashes), make(map[Process][]Fingerprint)
	}
	x := c.byPrint[fp]
	if x == nil {
		if len(c.byPrint) >= crashesKept {
			c.forget(now)
		}
		x = &crashes{processes: make(map[Process]time.Time)}
		c.byPrint[fp] = x
	}
	if _, known := x.processes[p]; !known {
		c.byProcess[p] = append(c.byProcess[p], fp)
	}
	x.processes[p], x.last = now, now
}

// unlink removes the loss of the process from the request and from the index.
func (c *Count) unlink(fp Fingerprint, p Process) {
	delete(c.byPrint[fp].processes, p)
	c.byProcess[p] = slices.DeleteFunc(c.byProcess[p], func(other Fingerprint) bool { return other == fp })
	if len(c.byProcess[p]) == 0 {
		delete(c.byProcess, p)
	}
}

// drop removes the request.
func (c *Count) drop(fp Fingerprint) {
	x := c.byPrint[fp]
	if x == nil {
		return
	}
	for p := range x.processes {
		c.unlink(fp, p)
	}
	delete(c.byPrint, fp)
}

// forget removes expired requests. If the limit is still reached, it removes the
// request whose latest loss is the oldest.
func (c *Count) forget(now time.Time) {
	var oldest Fingerprint
	var at time.Time
	for fp, x := range c.byPrint {
		switch {
		case now.Sub(x.last) > crashMemory:
			c.drop(fp)
		case at.IsZero() || x.last.Before(at):
			oldest, at = fp, x.last
		}
	}
	if len(c.byPrint) >= crashesKept {
		c.drop(oldest)
	}
}

// Alive records an announcement by a process. A process that announces itself
// later than aliveAfter after a loss did not crash, it only broke off an answer;
// that loss no longer counts.
func (c *Count) Alive(now time.Time, p Process) {
	for _, fp := range slices.Clone(c.byProcess[p]) {
		x := c.byPrint[fp]
		if now.Sub(x.processes[p]) <= aliveAfter {
			continue
		}
		c.unlink(fp, p)
		if len(x.processes) == 0 {
			delete(c.byPrint, fp)
		}
	}
}

// Succeeded records that a target completed the request, which clears it.
func (c *Count) Succeeded(fp Fingerprint) { c.drop(fp) }

// Suspects returns the requests that are suspects or blocked.
func (c *Count) Suspects(now time.Time) (out []*wire.Suspect) {
	for fp, x := range c.byPrint {
		n := len(x.processes)
		if n < crashesSuspect || now.Sub(x.last) > crashMemory {
			continue
		}
		s := &wire.Suspect{
			Fingerprint: fp[:], Verdict: wire.Verdict_VERDICT_SUSPECT,
			UntilUnixMillis: x.last.Add(crashMemory).UnixMilli(),
		}
		if n >= crashesBlock {
			s.Verdict = wire.Verdict_VERDICT_BLOCKED
		}
		out = append(out, s)
	}
	return out
}
