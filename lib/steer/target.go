package steer

import (
	"math"
	"net/netip"
	"time"
)

const (
	// rateHalf is the half-life of Load.PromptRate.
	rateHalf = 2 * time.Second
	// avoidMin and avoidMax limit the exponential back-off after a target was
	// unreachable.
	avoidMin = 500 * time.Millisecond
	avoidMax = 4 * time.Second
	// errorHalf and slowHalf are the half-lives of the observed error rate and slowdown.
	// The latter is shorter because targets are slow only for moments.
	errorHalf = 3 * time.Second
	slowHalf  = time.Second
	// slowMax limits the slowdown that a single response counts as.
	slowMax = 5.0
	// slowGrace is added to the measured and the expected time, so that a small delay on
	// a short wait doesn't count as a slowdown.
	slowGrace = 60 * time.Millisecond
)

// Model is the state of a model at a target.
type Model struct {
	// Adapters holds the names of the resident adapters.
	Adapters map[string]bool
	// ReadyAt is the expected end of its load; zero if it is resident.
	ReadyAt time.Time
	// Leaving reports whether the model is about to be unloaded.
	Leaving bool
}

// Load is the work in progress at a target.
type Load struct {
	// Running is the number of requests in progress.
	Running int
	// PromptTokens is the number of tokens still to prefill, for requests without a first
	// output yet.
	PromptTokens int
	// MemoryTokens is the key-value memory that running requests occupy, in tokens.
	MemoryTokens int
	// PromptRate is the rate of arriving prompt tokens to prefill, per second.
	PromptRate float64
}

// Target is one incarnation of a target as seen by this entry instance.
type Target struct {
	ID      string
	Addr    netip.AddrPort
	Zone    string
	Service string
	// Born is the start of the target's process.
	Born time.Time
	// Ready is false once the target drains or is gone.
	Ready bool
	Slots int
	// Models is nil for a plain service.
	Models map[string]*Model
	// Ordered reports whether a model order is in progress: until it ends, no adapter
	// can be fetched.
	Ordered bool

	// Own is the load from this entry instance, Others the load from all other ones as
	// of their latest reports.
	Own, Others Load

	cache cache
	pace  pace
	// rateAt is the time as of which Own.PromptRate holds.
	rateAt time.Time
	// avoidUntil is the end of the back-off, avoidFor its latest length.
	avoidUntil time.Time
	avoidFor   time.Duration
	// failing is the share of failed requests, slow the ratio of the measured to the
	// expected time. Both are decaying averages as of seenAt.
	failing, slow float64
	seenAt        time.Time
}

// holds reports whether the target accepts requests for the model; an empty model
// stands for a plain service.
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

// trouble returns the decayed error rate and slowdown.
func (t *Target) trouble(now time.Time) (failing, slow float64) {
	age := now.Sub(t.seenAt)
	return t.failing * decay(age, errorHalf), 1 + (max(t.slow, 1)-1)*decay(age, slowHalf)
}

// learn adds an outcome to the averages; slow is the measured slowdown, 0 if unknown.
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

// promptRate returns the decayed Own.PromptRate.
func (t *Target) promptRate(now time.Time) float64 {
	return t.Own.PromptRate * decay(now.Sub(t.rateAt), rateHalf)
}

// Report returns the load from this entry instance at the target.
func (t *Target) Report(now time.Time) Load {
	l := t.Own
	l.PromptRate = t.promptRate(now)
	return l
}

// cacheShare is the share of an engine's memory assumed to hold cached prompts.
const cacheShare = 0.6

// Learn records a prompt prefix that another entry instance has sent to the target.
func (t *Target) Learn(x Cached, s Site) {
	t.cache.put(x)
	t.cache.trim(int(float64(s.KVTokens)*cacheShare), 1)
}

// Begin records that the request is sent to the target; miss is Choice.MissTokens. It
// returns the shared prefixes of the prompt that are new to the target.
func (t *Target) Begin(now time.Time, r *Request, s Site, miss int) []Cached {
	t.Own.PromptRate = t.promptRate(now) + float64(miss)*math.Ln2/rateHalf.Seconds()
	t.rateAt = now
	t.Own.Running++
	t.Own.PromptTokens += miss
	t.Own.MemoryTokens += r.PromptTokens + r.OutputTokens
	return t.cache.add(r, r.chain(), int(float64(s.KVTokens)*cacheShare))
}

// First records the first output of a request, which arrived after took; base is
// Choice.Base and miss Choice.MissTokens.
func (t *Target) First(now time.Time, took, base time.Duration, miss int) {
	t.Own.PromptTokens -= miss
	t.pace.begin(now)
	t.avoidFor = 0
	t.learn(now, false, float64(took+slowGrace)/float64(base+slowGrace))
}

// Event records a gap between two events of one stream.
func (t *Target) Event(now time.Time, pause time.Duration) { t.pace.add(now, pause) }

// End records the end of a request; started reports whether First was called for it.
func (t *Target) End(r *Request, miss int, started bool) {
	t.Own.Running--
	t.Own.MemoryTokens -= r.PromptTokens + r.OutputTokens
	if started {
		t.pace.end()
	} else {
		t.Own.PromptTokens -= miss
	}
}

// Failed records a failed request; unreached reports whether the connection failed or
// no response arrived, which starts or extends the back-off.
func (t *Target) Failed(now time.Time, unreached bool) {
	t.learn(now, true, 0)
	if !unreached {
		return
	}
	t.avoidFor = min(max(t.avoidFor*2, avoidMin), avoidMax)
	t.avoidUntil = now.Add(t.avoidFor)
}
