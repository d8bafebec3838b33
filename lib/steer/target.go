package steer

import (
	"math"
	"net/netip"
	"time"
)

const (
	// promptRateHalfLife is the half-life of Load.PromptRate.
	promptRateHalfLife = 2 * time.Second
	// minBackoff and maxBackoff limit the exponential back-off after a target was
	// unreachable.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// errorHalfLife and slowdownHalfLife are the half-lives of the observed error rate and
	// slowdown. The latter is shorter because targets are slow only for moments.
	errorHalfLife    = 3 * time.Second
	slowdownHalfLife = time.Second
	// maxSampleSlowdown is the limit to which the slowdown of a single response is cut
	// before it enters the average.
	maxSampleSlowdown = 5.0
	// slowdownGrace is added to the measured and the expected time, so that a small delay on
	// a short wait doesn't count as a slowdown.
	slowdownGrace = 60 * time.Millisecond
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
	// StartedAt is the start of the target's process.
	StartedAt time.Time
	// Ready is false once the target drains or is gone.
	Ready bool
	Slots int
	// Models is nil for a plain service.
	Models map[string]*Model
	// OrderInProgress reports whether a model order is planned or in progress. Once the
	// engine has received the order, no adapter can be fetched until the order ends.
	OrderInProgress bool

	// Limit is the number of requests per second that the target takes from all entry
	// instances together; 0 if it has named none.
	Limit float64
	// FreeAt is the expected time at which a target with a Limit takes the next request.
	FreeAt time.Time
	// LastResortAt is the same for a request that no other target takes in time.
	LastResortAt time.Time

	// PausedUntil is the end of the pause that the target has asked this entry instance for;
	// zero if it has asked for none.
	PausedUntil time.Time

	// Own is the load from this entry instance, Others the load from all other ones as
	// of their latest reports.
	Own, Others Load

	cache prefixCache
	gaps  gapTracker
	// promptRateAt is the time as of which Own.PromptRate holds.
	promptRateAt time.Time
	// backoffUntil is the end of the back-off, backoff its latest length. The first output
	// of a request resets the length.
	backoffUntil time.Time
	backoff      time.Duration
	// errorRate is the share of failed requests, slowdown the ratio of the measured to the
	// expected time. Both are decaying averages as of healthAt.
	errorRate, slowdown float64
	healthAt            time.Time
}

// serves reports whether the target accepts requests for the model; an empty model
// stands for a plain service.
func (t *Target) serves(model string) bool {
	if !t.Ready {
		return false
	}
	if model == "" {
		return true
	}
	m := t.Models[model]
	return m != nil && m.ReadyAt.IsZero() && !m.Leaving
}

// Health returns the decayed error rate and slowdown.
func (t *Target) Health(now time.Time) (errorRate, slowdown float64) {
	age := now.Sub(t.healthAt)
	return t.errorRate * decay(age, errorHalfLife), 1 + (max(t.slowdown, 1)-1)*decay(age, slowdownHalfLife)
}

// addOutcome adds an outcome to the averages; slowdown is the measured one, 0 if unknown.
func (t *Target) addOutcome(now time.Time, failed bool, slowdown float64) {
	const weight = 0.3
	f, s := t.Health(now)
	x := 0.0
	if failed {
		x = 1
	}
	t.errorRate = f + weight*(x-f)
	if slowdown > 0 {
		s += weight * (min(slowdown, maxSampleSlowdown) - s)
	}
	t.slowdown, t.healthAt = s, now
}

// promptRate returns the decayed Own.PromptRate.
func (t *Target) promptRate(now time.Time) float64 {
	return t.Own.PromptRate * decay(now.Sub(t.promptRateAt), promptRateHalfLife)
}

// Report returns the load from this entry instance at the target.
func (t *Target) Report(now time.Time) Load {
	l := t.Own
	l.PromptRate = t.promptRate(now)
	return l
}

// cachedPromptShare is the share of an engine's memory assumed to hold cached prompts.
const cachedPromptShare = 0.6

// AddCachedPrefix records a prompt prefix that another entry instance has sent to the
// target.
func (t *Target) AddCachedPrefix(x CachedPrefix, s Selection) {
	t.cache.touch(x)
	t.cache.evict(int(float64(s.KVTokens)*cachedPromptShare), 1)
}

// StartRequest records that the request is sent to the target; miss is
// Choice.PrefillTokens. It returns the shared prefixes of the prompt that are new to
// the target.
func (t *Target) StartRequest(now time.Time, r *Request, s Selection, miss int) []CachedPrefix {
	t.AddRefused(now, miss)
	t.Own.Running++
	t.Own.PromptTokens += miss
	t.Own.MemoryTokens += r.PromptTokens + r.OutputTokens
	return t.cache.insert(r, r.prefixKeys(), int(float64(s.KVTokens)*cachedPromptShare))
}

// AddRefused counts a request that is not sent, because the target has no room, as asked of the
// target.
func (t *Target) AddRefused(now time.Time, miss int) {
	t.Own.PromptRate = t.promptRate(now) + float64(miss)*math.Ln2/promptRateHalfLife.Seconds()
	t.promptRateAt = now
}

// PromptLoad returns the time that the target takes to prefill what is asked of it, per
// time.
func (t *Target) PromptLoad(now time.Time) float64 {
	return (t.promptRate(now) + t.Others.PromptRate) / (prefillTokensPerMilli * 1000)
}

// AddFirstOutput records the first output of a request, which arrived after took; base is
// Choice.Base and miss Choice.PrefillTokens.
func (t *Target) AddFirstOutput(now time.Time, took, base time.Duration, miss int) {
	t.Own.PromptTokens -= miss
	t.gaps.startStream(now)
	t.backoff = 0
	t.addOutcome(now, false, float64(took+slowdownGrace)/float64(base+slowdownGrace))
}

// AddGap records a gap between two events of one stream.
func (t *Target) AddGap(now time.Time, gap time.Duration) { t.gaps.addGap(now, gap) }

// EndRequest records the end of a request; started reports whether AddFirstOutput was
// called for it.
func (t *Target) EndRequest(r *Request, miss int, started bool) {
	t.Own.Running--
	t.Own.MemoryTokens -= r.PromptTokens + r.OutputTokens
	if started {
		t.gaps.endStream()
	} else {
		t.Own.PromptTokens -= miss
	}
}

// AddFailure records a failed request; unreached reports whether the connection failed, no
// output arrived or the target fell silent, which starts or extends the back-off.
func (t *Target) AddFailure(now time.Time, unreached bool) {
	t.addOutcome(now, true, 0)
	if !unreached {
		return
	}
	t.backoff = min(max(t.backoff*2, minBackoff), maxBackoff)
	t.backoffUntil = now.Add(t.backoff)
}
