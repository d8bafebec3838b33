package steer

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// maxPause bounds the pause that a target may ask for. Then it is asked again, and may
	// ask for another one.
	maxPause = 5 * time.Minute
	// noticeTTL is how long the notices of a target that is not in the table are kept: it may
	// come back as the same process.
	noticeTTL = time.Minute
)

var (
	errNegativePause = errors.New("the pause is negative")
	errHugePause     = fmt.Errorf("the pause is longer than %v", maxPause)
)

// ParsePause returns the pause that a Retry-After header asks for, in seconds with fractions. A
// pause above maxPause is cut to it; the error is errHugePause then.
func ParsePause(text string) (time.Duration, error) {
	x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case math.IsNaN(x) || err != nil && !math.IsInf(x, 1):
		return 0, fmt.Errorf("pause %q is not a number of seconds", text)
	case x < 0:
		return 0, errNegativePause
	case x > maxPause.Seconds():
		return maxPause, errHugePause
	}
	return time.Duration(x * float64(time.Second)), nil
}

// notice is what one target process has said.
type notice struct {
	startedAt time.Time
	leaving   bool
	// pausedUntil is the end of the longest pause that it has asked for.
	pausedUntil time.Time
	// heardAt is the time of its latest notice, or that of the latest call of Retain with the
	// target in the table.
	heardAt time.Time
	// complained is true once an unusable pause was reported.
	complained bool
}

// Notices holds what targets have said about themselves in answers to this entry instance: that
// they leave, or that they want no request from it for a while. They apply to one process: a
// later process with the same id has said nothing yet. The zero value is empty. It is not safe
// for concurrent use.
type Notices struct {
	byTarget map[string]*notice
}

// of returns the notice of a target process. It is nil if a later process is known.
func (n *Notices) of(now time.Time, id string, startedAt time.Time) *notice {
	x := n.byTarget[id]
	switch {
	case x != nil && x.startedAt.After(startedAt):
		return nil
	case x == nil || x.startedAt.Before(startedAt):
		x = &notice{startedAt: startedAt}
		if n.byTarget == nil {
			n.byTarget = make(map[string]*notice)
		}
		n.byTarget[id] = x
	}
	x.heardAt = now
	return x
}

// Leave records that a target process is leaving, and reports whether that is new. It is never
// taken back: answers on different connections overtake each other.
func (n *Notices) Leave(now time.Time, id string, startedAt time.Time) (news bool) {
	x := n.of(now, id, startedAt)
	if x == nil || x.leaving {
		return false
	}
	x.leaving = true
	return true
}

// Pause records the Retry-After of a refusal that was received at now. A shorter pause does not
// end a longer one. The error tells that the text is unusable, once for each process.
func (n *Notices) Pause(now time.Time, id string, startedAt time.Time, text string) error {
	x := n.of(now, id, startedAt)
	if x == nil {
		return nil
	}
	d, err := ParsePause(text)
	if until := now.Add(d); until.After(x.pausedUntil) {
		x.pausedUntil = until
	}
	if err == nil || x.complained {
		return nil
	}
	x.complained = true
	return err
}

// Apply sets what the target's process has said.
func (n *Notices) Apply(t *Target) {
	x := n.byTarget[t.ID]
	if x == nil || !x.startedAt.Equal(t.StartedAt) {
		t.PausedUntil = time.Time{}
		return
	}
	t.PausedUntil = x.pausedUntil
	t.Ready = t.Ready && !x.leaving
}

// Retain removes the notices of targets that have not been in the table for noticeTTL.
func (n *Notices) Retain(now time.Time, known func(id string) bool) {
	maps.DeleteFunc(n.byTarget, func(id string, x *notice) bool {
		if known(id) {
			x.heardAt = now
		}
		return now.Sub(x.heardAt) > noticeTTL && now.After(x.pausedUntil)
	})
}

// Paused reports whether the target has asked for a pause that has not ended.
func (t *Target) Paused(now time.Time) bool { return now.Before(t.PausedUntil) }

// PausedUntil returns the earliest time at which a pause ends of a target that holds the model
// and is not excluded by skip; ok is false if there is none.
func PausedUntil(now time.Time, model string, targets []*Target, skip func(*Target) bool) (at time.Time, ok bool) {
	for _, t := range targets {
		if !t.serves(model) || !t.Paused(now) || skip(t) {
			continue
		}
		if !ok || t.PausedUntil.Before(at) {
			at, ok = t.PausedUntil, true
		}
	}
	return at, ok
}
