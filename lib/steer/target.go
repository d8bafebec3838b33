package steer

import (
	"math"
	"net/netip"
	"time"
)

const (
	// rateHalf is the half-life of Load.PromptRate.
	rateHalf = 2 * time.Second
	// avoidMin and avoidMax bound how long a target is left alone after a failure
	// to reach it.
	avoidMin = 500 * time.Millisecond
	avoidMax = 4 * time.Second
	// errorHalf and slowHalf are the half-lives of what is remembered of failures and
	// of slowness; targets are slow for moments.
	errorHalf = 3 * time.Second
	slowHalf  = time.Second
	// slowMax bounds the ratio that one answer counts as.
	slowMax = 5.0
	// slowGrace keeps short waits from looking slow.
	slowGrace = 60 * time.Millisecond
)

// Model is a model at a target.
type Model struct {
	Adapters map[string]bool
	// ReadyAt is when its load is expected to end; zero if it is resident.
	ReadyAt time.Time
	// Leaving says that the model is about to be unloaded.
	Leaving bool
}

// Load is the work under way at a target.
type Load struct {
	// Running is the number of requests.
	Running int
	// PromptTokens counts the tokens of prompts whose first output is awaited.
	PromptTokens int
	// MemoryTokens counts what running requests occupy.
	MemoryTokens int
	// PromptRate is the number of prompt tokens to read that arrive per second.
	PromptRate float64
}

// Target is one incarnation of a target, as an entry instance knows it.
type Target struct {
	ID      string
	Addr    netip.AddrPort
	Zone    string
	Service string
	Born    time.Time
	// Ready is false once the target leaves.
	Ready bool
	Slots int
	// Models is nil for a plain service.
	Models map[string]*Model
	// Ordered says that a model order is under way there: no adapter can be fetched.
	Ordered bool

	// Own is what this entry instance has under way there, Others what the other
	// ones had at their last report.
	Own, Others Load

	cache cache
	pace  pace
	// rateAt is when Own.PromptRate was last brought up to date.
	rateAt time.Time
	// avoidUntil and avoidFor implement the back-off after failures to reach it.
	avoidUntil time.Time
	avoidFor   time.Duration
	// failing is the decaying share of failed requests, slow the decaying ratio of
	// measured to expected time; both as of seenAt.
	failing, slow float64
	seenAt        time.Time
}

// holds says that the target takes requests for the model.
func (t *Target) holds(model string) bool {
	if !t.Ready {
		return false
	}
	if model == "" {
		return true
	}
	m := t.Models[model]
	return m != nil && m.ReadyAt.IsZero() && !m.Leaving
}

// trouble returns the decayed share of failures and ratio of slowness.
func (t *Target) trouble(now time.Time) (failing, slow float64) {
	age := now.Sub(t.seenAt)
	return t.failing * decay(age, errorHalf), 1 + (max(t.slow, 1)-1)*decay(age, slowHalf)
}

func (t *Target) learn(now time.Time, failed bool, slow float64) {
	const weight = 0.3
	f, s := t.trouble(now)
	x := 0.0
	if failed {
		x = 1
	}
	t.failing = f + weight*(x-f)
	if slow > 0 {
		s += weight * (min(slow, slowMax) - s)
	}
	t.slow, t.seenAt = s, now
}

// promptRate returns the decayed rate of prompt tokens from this entry instance.
func (t *Target) promptRate(now time.Time) float64 {
	return t.Own.PromptRate * decay(now.Sub(t.rateAt), rateHalf)
}

// Report returns the work of this entry instance at the target.
func (t *Target) Report(now time.Time) Load {
	l := t.Own
	l.PromptRate = t.promptRate(now)
	return l
}

// cacheShare is the part of an engine's memory that is taken for cached prompts.
const cacheShare = 0.6

// Learn notes a prompt that another entry instance has sent to the target.
func (t *Target) Learn(x Cached, s Site) {
	t.cache.put(x)
	t.cache.trim(int(float64(s.KVTokens)*cacheShare), 1)
}

// Begin notes that the request goes to the target, with what Pick expected. It
// returns the shared beginnings of the prompt that are new to the target.
func (t *Target) Begin(now time.Time, r *Request, s Site, miss int) []Cached {
	t.Own.PromptRate = t.promptRate(now) + float64(miss)*math.Ln2/rateHalf.Seconds()
	t.rateAt = now
	t.Own.Running++
	t.Own.PromptTokens += miss
	t.Own.MemoryTokens += r.PromptTokens + r.OutputTokens
	return t.cache.add(r, r.chain(), int(float64(s.KVTokens)*cacheShare))
}

// First notes the first output after the given time; base is Choice.Base.
func (t *Target) First(now time.Time, took, base time.Duration, miss int) {
	t.Own.PromptTokens -= miss
	t.pace.begin(now)
	t.avoidFor = 0
	t.learn(now, false, float64(took+slowGrace)/float64(base+slowGrace))
}

// Event notes a pause between two events of a stream from the target.
func (t *Target) Event(now time.Time, pause time.Duration) { t.pace.add(now, pause) }

// End notes that the request is over; started says that First was called.
func (t *Target) End(r *Request, miss int, started bool) {
	t.Own.Running--
	t.Own.MemoryTokens -= r.PromptTokens + r.OutputTokens
	if started {
		t.pace.end()
	} else {
		t.Own.PromptTokens -= miss
	}
}

// Failed notes a failed request; unreached says that no connection was made or
// nothing came back, so that the target is left alone for a while.
func (t *Target) Failed(now time.Time, unreached bool) {
	t.learn(now, true, 0)
	if !unreached {
		return
	}
	t.avoidFor = min(max(t.avoidFor*2, avoidMin), avoidMax)
	t.avoidUntil = now.Add(t.avoidFor)
}
