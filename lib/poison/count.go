package poison

import (
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// crashesBlock is the number of targets lost to a request after which it is blocked.
	crashesBlock = 3
	// crashesSuspect is the number after which it is sent to one target only.
	crashesSuspect = 2
	// crashMemory is how long a request without news is remembered.
	crashMemory = 10 * time.Minute
	// crashesKept bounds the requests that are remembered.
	crashesKept = 1024
	// aliveAfter is the time after a crash from which on an announcement of the same
	// process shows that it has not crashed.
	aliveAfter = time.Second
)

// Process is one process of a target.
type Process struct {
	Target string
	// BornMillis is its start, in Unix milliseconds.
	BornMillis int64
}

// Count counts the targets that were lost with the same request, for requests of
// which control keeps no record: any of them may be lost with a target, so that
// only several targets in a row mean something. The zero value is empty.
type Count struct {
	byPrint map[Fingerprint]*crashes
	// byProcess holds the requests that were lost with a process, so that an
	// announcement costs the same however many requests are remembered.
	byProcess map[Process][]Fingerprint
}

// crashes holds the processes that were lost with one request.
type crashes struct {
	processes map[Process]time.Time
	last      time.Time
}

// Lost notes that the process broke off while it ran the request.
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

// unlink forgets that the request was lost with the process.
func (c *Count) unlink(fp Fingerprint, p Process) {
	delete(c.byPrint[fp].processes, p)
	c.byProcess[p] = slices.DeleteFunc(c.byProcess[p], func(other Fingerprint) bool { return other == fp })
	if len(c.byProcess[p]) == 0 {
		delete(c.byProcess, p)
	}
}

// drop forgets the request.
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

// forget drops the requests without news, or else the oldest one.
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

// Alive notes an announcement of a process. One that was counted as lost and still
// announces itself had broken off an answer only.
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

// Succeeded notes that a target completed the request.
func (c *Count) Succeeded(fp Fingerprint) { c.drop(fp) }

// Suspects returns the requests that should not be sent like others.
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
