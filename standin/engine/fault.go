package engine

import (
	"strings"
	"sync"
	"time"
)

// Faults is the body of POST /v1/faults; zero fields change nothing.
type Faults struct {
	// StallMillis stalls all generations for that time.
	StallMillis int `json:"stallMillis,omitempty"`
	// SlowFactor multiplies the token times for SlowMillis, or permanently if that is 0.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	SlowMillis int     `json:"slowMillis,omitempty"`
	// CrashMillis crashes the engine, which boots again after that time.
	CrashMillis int `json:"crashMillis,omitempty"`
	// CrashMarker makes the engine crash on prompts that contain it;
	// CrashMarkerMillis is the downtime after such a crash.
	CrashMarker       string `json:"crashMarker,omitempty"`
	CrashMarkerMillis int    `json:"crashMarkerMillis,omitempty"`
	// LoseCommands drops that many of the next commands, without effect or response.
	LoseCommands int `json:"loseCommands,omitempty"`
	// DelayCommandMillis delays the next command, which takes effect even if its
	// connection is closed meanwhile.
	DelayCommandMillis int `json:"delayCommandMillis,omitempty"`
	// RepeatCommand executes the next command twice, the second time RepeatMillis
	// after the first has finished.
	RepeatCommand bool `json:"repeatCommand,omitempty"`
	RepeatMillis  int  `json:"repeatMillis,omitempty"`
	// CutStreams aborts that many of the next generations halfway.
	CutStreams int `json:"cutStreams,omitempty"`
	// Leave starts to drain the engine.
	Leave bool `json:"leave,omitempty"`
}

// faultState holds the active faults; it survives simulated crashes.
type faultState struct {
	mu            sync.Mutex
	stallUntil    time.Time
	slowFactor    float64
	slowUntil     time.Time
	crashMarker   string
	crashTime     time.Duration
	loseCommands  int
	delayCommand  time.Duration
	repeatCommand bool
	repeatAfter   time.Duration
	cutStreams    int
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Inject activates faults.
func (e *Engine) Inject(f Faults) {
	now := time.Now()
	s := &e.faults
	s.mu.Lock()
	if f.StallMillis > 0 {
		s.stallUntil = now.Add(millis(f.StallMillis))
	}
	if f.SlowFactor > 0 {
		s.slowFactor = f.SlowFactor
		s.slowUntil = time.Time{}
		if f.SlowMillis > 0 {
			s.slowUntil = now.Add(millis(f.SlowMillis))
		}
	}
	if f.CrashMarker != "" {
		s.crashMarker = f.CrashMarker
	}
	if f.CrashMarkerMillis > 0 {
		s.crashTime = millis(f.CrashMarkerMillis)
	}
	s.loseCommands += f.LoseCommands
	if f.DelayCommandMillis > 0 {
		s.delayCommand = millis(f.DelayCommandMillis)
	}
	if f.RepeatCommand {
		s.repeatCommand = true
		s.repeatAfter = millis(f.RepeatMillis)
	}
	s.cutStreams += f.CutStreams
	s.mu.Unlock()
	if f.Leave {
		e.Leave()
	}
	if f.CrashMillis > 0 {
		e.crash(e.currentBoot(), millis(f.CrashMillis))
	}
}

// slowdown returns the slowdown factor of token times and the remaining time of a stall.
func (s *faultState) slowdown(now time.Time) (factor float64, stall time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor = 1
	if s.slowFactor > 0 && (s.slowUntil.IsZero() || now.Before(s.slowUntil)) {
		factor = s.slowFactor
	}
	return factor, s.stallUntil.Sub(now)
}

// takeCommandFault consumes the faults that apply to the next command.
func (s *faultState) takeCommandFault() (drop bool, delay time.Duration, repeat bool, repeatAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseCommands > 0 {
		s.loseCommands--
		return true, 0, false, 0
	}
	delay, repeat, repeatAfter = s.delayCommand, s.repeatCommand, s.repeatAfter
	s.delayCommand, s.repeatCommand, s.repeatAfter = 0, false, 0
	return false, delay, repeat, repeatAfter
}

func (s *faultState) takeCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutStreams == 0 {
		return false
	}
	s.cutStreams--
	return true
}

// matchCrashMarker reports whether prompt crashes the engine, and for how long it stays down.
func (s *faultState) matchCrashMarker(prompt string) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashMarker != "" && strings.Contains(prompt, s.crashMarker), s.crashTime
}
