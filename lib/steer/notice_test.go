package steer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against pauses that are misread: a target that gets requests in its pause, or none
// for hours.
func TestParsePause(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration
		err  string
	}{
		{"2", 2 * time.Second, ""},
		{" 0.25 ", 250 * time.Millisecond, ""},
		{"0", 0, ""},
		{"-1", 0, errNegativePause.Error()},
		{"-Inf", 0, errNegativePause.Error()},
		{"301", maxPause, errHugePause.Error()},
		{"1e300", maxPause, errHugePause.Error()},
		{"1e999", maxPause, errHugePause.Error()},
		{"NaN", 0, "is not a number"},
		{"soon", 0, "is not a number"},
		{"", 0, "is not a number"},
	} {
		got, err := ParsePause(c.text)
		assert.Equal(t, got, c.want, c.text)
		if c.err == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, c.err)
	}
}

// pausedProcess is the oracle's record of one target process.
type pausedProcess struct {
	startedAt time.Time
	leaving   bool
	until     time.Time
}

// Guards against requests to a target that has said that it leaves or wants a pause: answers of
// former processes come late, processes restart under the same id, the table forgets targets
// and lists them again, all targets ask for a pause at once, and the clock is set forth and
// back.
func TestNoticesAreHeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n Notices
		now := start
		processes := make(map[string][]*pausedProcess)
		table := make(map[string]*Target)
		ids := []string{"a", "b", "c"}
		begin := func(id string) {
			p := &pausedProcess{startedAt: now.Add(time.Duration(len(processes[id])) * time.Millisecond)}
			if k := len(processes[id]); k > 0 && !p.startedAt.After(processes[id][k-1].startedAt) {
				p.startedAt = processes[id][k-1].startedAt.Add(time.Millisecond)
			}
			processes[id] = append(processes[id], p)
			table[id] = &Target{ID: id, StartedAt: p.startedAt, Ready: true}
		}
		for _, id := range ids {
			begin(id)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-200, 3000).Draw(t, "elapsed")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "target")
			all := processes[id]
			p := all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				begin(id)
			case 1:
				p.leaving = true
				n.Leave(now, id, p.startedAt)
			case 2, 3:
				d := time.Duration(rapid.IntRange(-1000, 400_000).Draw(t, "pause")) * time.Millisecond
				if until := now.Add(max(min(d, maxPause), 0)); until.After(p.until) {
					p.until = until
				}
				_ = n.Pause(now, id, p.startedAt, fmt.Sprint(d.Seconds()))
			case 4:
				for _, other := range ids {
					last := processes[other][len(processes[other])-1]
					if until := now.Add(time.Second); until.After(last.until) {
						last.until = until
					}
					_ = n.Pause(now, other, last.startedAt, "1")
				}
			case 5:
				// The table lists the target anew, as ready.
				delete(table, id)
				n.Retain(now, func(id string) bool { return table[id] != nil })
				table[id] = &Target{ID: id, StartedAt: all[len(all)-1].startedAt, Ready: true}
			case 6:
				n.Retain(now, func(id string) bool { return table[id] != nil })
			}
			for _, id := range ids {
				last := processes[id][len(processes[id])-1]
				n.Apply(table[id])
				if table[id].Ready == last.leaving {
					t.Fatalf("%s: ready %v, has said that it leaves: %v", id, table[id].Ready, last.leaving)
				}
				if table[id].Paused(now) != now.Before(last.until) {
					t.Fatalf("%s: paused until %v at %v, has asked for %v", id, table[id].PausedUntil, now, last.until)
				}
			}
		}
	})
}

// Guards against a log line for each answer of a target that sends an unusable pause.
func TestUnusablePauseIsToldOnce(t *testing.T) {
	var n Notices
	assert.ErrorContains(t, n.Pause(start, "a", start, "soon"), "is not a number")
	assert.NilError(t, n.Pause(start, "a", start, "-5"))
	assert.Assert(t, errors.Is(n.Pause(start, "a", start.Add(time.Second), "1e9"), errHugePause), "a new process")
}

// Guards against notices that are kept forever for targets that are gone.
func TestNoticesOfGoneTargetsEnd(t *testing.T) {
	var n Notices
	n.Leave(start, "a", start)
	n.Retain(start.Add(noticeTTL), func(string) bool { return false })
	assert.Equal(t, len(n.byTarget), 1)
	n.Retain(start.Add(noticeTTL+time.Second), func(string) bool { return false })
	assert.Equal(t, len(n.byTarget), 0)
}
