// Package steer chooses targets for foreign requests: by the work under way at
// each, by the prompts that engines are likely to have cached, and by what an
// entry instance has seen of their failures. It is pure.
package steer

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefillPerMilli is the number of prompt tokens that an engine reads in a
	// millisecond, before a target's own pace is known.
	prefillPerMilli = 40.0
	// plainCost is the delay that each running request adds at a plain service.
	plainCost = 10 * time.Millisecond
	// runningCost is the delay that each running request adds to a new one.
	runningCost = 500 * time.Microsecond
	// priorShare is the share of a prompt that the first target by rendezvous hash
	// is assumed to have cached, because other entry instances send it there too.
	priorShare = 0.5
	// minCopy is the number of tokens below which copying a cached prompt does not pay,
	// and copyMillis the time that a copy takes to begin.
	minCopy    = 1000
	copyMillis = 5.0
	// adapterCost is the time to fetch an adapter that a target lacks.
	adapterCost = 30 * time.Millisecond
	// zoneCost is the price of leaving the zone, as time.
	zoneCost = 2 * time.Millisecond
	// orderedCost is added for an adapter that is missing at a target with a model
	// order under way.
	orderedCost = 3 * time.Second
	// connCost is the price of a new connection, as time.
	connCost = 10 * time.Millisecond
	// fullCost is added to a target whose slots or memory are taken.
	fullCost = 2 * time.Second
	// errorCost is added in proportion to the failing share of recent requests.
	errorCost = 3 * time.Second
	// longPrompt is the number of tokens to read above which a prompt slows the
	// streams that run beside it, and streamCost is what that costs for each.
	longPrompt = 3000.0
	streamCost = 25 * time.Millisecond
	// slowStreamCost is what it costs besides at a target that is slow at the moment:
	// the pause of each stream grows beyond what its client accepts.
	slowStreamCost = 100 * time.Millisecond
	// busyCost is added to a short prompt at a target that reads prompts all the time:
	// its stream would pause while they are read.
	busyCost = 1600 * time.Millisecond
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

// Request is what the choice of a target depends on.
type Request struct {
	// Model is empty for a plain service.
	Model, Adapter string
	// Parts are the parts of the prompt in order.
	Parts []Part
	// PromptTokens is the length of the prompt, OutputTokens the expected output.
	PromptTokens, OutputTokens int
}

// Part is one part of a prompt, which requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// chain returns a key for each beginning of the prompt, for one model and adapter.
func (r *Request) chain() []uint64 {
	out := make([]uint64, len(r.Parts))
	key := xxhash.Sum64String(r.Model + "/" + r.Adapter)
	for i, p := range r.Parts {
		key = mix(key, p.ID)
		out[i] = key
	}
	return out
}

func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

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

// Site is what the choice depends on besides the targets.
type Site struct {
	// Zone is that of the entry instance.
	Zone string
	// KVTokens is the memory of an engine in tokens; 0 for plain services.
	KVTokens int
	// CopyRate is the number of tokens of cached prompts that engines copy from one
	// another in a millisecond; 0 if they cannot.
	CopyRate float64
	// Idle says that a connection to the target waits; nil if that is not known.
	Idle func(t *Target) bool
}

// Choice is a chosen target with what decided.
type Choice struct {
	Target *Target
	// Wait is the expected time to the first output, Base what it would be if the
	// target were not slower than others.
	Wait, Base time.Duration
	// cost is what the choice is made by: Wait and the delay of others, as time.
	cost float64
	// MissTokens is the part of the prompt that the target must read.
	MissTokens int
	// Source is a target from whose cache the chosen one should copy what it lacks of
	// the prompt; nil if reading it is as good.
	Source *Target
	// NeedsAdapter says that the adapter must be fetched first.
	NeedsAdapter bool
	// Candidates is the number of targets that could have been chosen.
	Candidates int
}

// Pick returns the target with the lowest cost; Target is nil if none
// can take the request now. skip leaves out targets that were tried.
func Pick(now time.Time, s Site, r *Request, targets []*Target, skip func(*Target) bool) Choice {
	chain := r.chain()
	src := findSource(now, r, chain, targets)
	var best Choice
	n := 0
	for pass := range 2 {
		for _, t := range targets {
			if !t.holds(r.Model) || skip(t) || pass == 0 && now.Before(t.avoidUntil) {
				continue
			}
			n++
			c := t.estimate(now, s, r, chain, src)
			if best.Target == nil || c.cost < best.cost || c.cost == best.cost && tie(t, best.Target, now) {
				best = c
			}
		}
		// Targets that failed are tried only if there is no other.
		if best.Target != nil {
			break
		}
	}
	best.Candidates = n
	return best
}

// tie breaks equal waits at random, so that entry instances do not act alike.
func tie(a, b *Target, now time.Time) bool {
	x := uint64(now.UnixNano())
	return mix(xxhash.Sum64String(a.ID), x) > mix(xxhash.Sum64String(b.ID), x)
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

// rendezvous returns the target that all entry instances prefer for this prompt.
func rendezvous(r *Request, chain []uint64, targets []*Target) *Target {
	if len(chain) == 0 {
		return nil
	}
	// The last part belongs to one request or session.
	key := chain[max(len(chain)-2, 0)]
	var best *Target
	var rank uint64
	for _, t := range targets {
		if !t.holds(r.Model) {
			continue
		}
		if x := mix(key, xxhash.Sum64String(t.ID)); best == nil || x > rank {
			best, rank = t, x
		}
	}
	return best
}

// source is where a prompt is likely to be cached.
type source struct {
	// first is the target that all entry instances prefer for the prompt.
	first *Target
	// holder is the target known to have cached most of it, hit the tokens that it
	// has; nil if none is known.
	holder *Target
	hit    int
}

func findSource(now time.Time, r *Request, chain []uint64, targets []*Target) source {
	src := source{first: rendezvous(r, chain, targets)}
	for _, t := range targets {
		if !t.holds(r.Model) || now.Before(t.avoidUntil) {
			continue
		}
		if hit := t.cache.hit(r, chain); hit > src.hit {
			src.holder, src.hit = t, hit
		}
	}
	return src
}

// plan decides what the target reads of a prompt and what it copies from another
// one, and returns the expected time of both.
func (t *Target) plan(s Site, r *Request, chain []uint64, src source, c *Choice) float64 {
	hit := t.cache.hit(r, chain)
	c.MissTokens = max(r.PromptTokens-hit, 0)
	from, tokens := src.holder, src.hit-hit
	if from == nil && src.first != t {
		from, tokens = src.first, int(priorShare*float64(sharedTokens(r)))
	}
	read := float64(c.MissTokens) / prefillPerMilli
	if t == src.first && hit == 0 {
		read -= priorShare * float64(sharedTokens(r)) / prefillPerMilli
	}
	if from == nil || from == t || tokens < minCopy || s.CopyRate <= 0 {
		return read
	}
	rate := s.CopyRate
	if from.Zone != t.Zone {
		rate /= 2
	}
	copied := float64(tokens)/rate + copyMillis
	if copied >= float64(tokens)/prefillPerMilli {
		return read
	}
	c.Source = from
	c.MissTokens -= tokens
	return read - float64(tokens)/prefillPerMilli + copied
}

func (t *Target) estimate(now time.Time, s Site, r *Request, chain []uint64, src source) Choice {
	c := Choice{Target: t}
	running := t.Own.Running + t.Others.Running
	base, cost := 0.0, 0.0
	if r.Model == "" {
		base = float64(running) * float64(plainCost)
	} else {
		base, cost = t.engineTime(now, s, r, chain, src, &c)
	}
	failing, slow := t.trouble(now)
	wait := base * max(slow, t.pace.now(now))
	if t.Slots > 0 && running >= t.Slots {
		wait += float64(fullCost) * float64(running-t.Slots+1) / float64(t.Slots)
	}
	cost += failing * float64(errorCost)
	if s.Idle != nil && !s.Idle(t) {
		cost += float64(connCost)
	}
	if t.Zone != s.Zone {
		cost += float64(zoneCost)
	}
	c.Base, c.Wait = time.Duration(max(base, 0)), time.Duration(max(wait, 0))
	c.cost = max(wait, 0) + cost
	return c
}

// engineTime returns the expected time to the first output at an engine, and what
// the request costs besides, as time: the delay of others and what may go wrong.
func (t *Target) engineTime(now time.Time, s Site, r *Request, chain []uint64, src source, c *Choice) (base, cost float64) {
	running := float64(t.Own.Running + t.Others.Running)
	pending := float64(t.Own.PromptTokens + t.Others.PromptTokens)
	base = (t.plan(s, r, chain, src, c) + pending/prefillPerMilli) * float64(time.Millisecond)
	base += running * float64(runningCost)
	long := min(float64(c.MissTokens)/longPrompt, 1)
	slow := (t.pace.now(now) - 1) / (paceMax - 1)
	cost = long * running * (float64(streamCost) + slow*float64(slowStreamCost))
	busy := min((t.promptRate(now)+t.Others.PromptRate)/(prefillPerMilli*1000), 1)
	cost += (1 - long) * busy * float64(busyCost)
	if r.Adapter != "" && !t.Models[r.Model].Adapters[r.Adapter] {
		c.NeedsAdapter = true
		base += float64(adapterCost)
		if t.Ordered {
			cost += float64(orderedCost)
		}
	}
	used := t.Own.MemoryTokens + t.Others.MemoryTokens + c.MissTokens + r.OutputTokens
	if s.KVTokens > 0 && used > s.KVTokens*9/10 {
		cost += float64(fullCost)
	}
	return base, cost
}

// sharedTokens counts the prompt without its last part.
func sharedTokens(r *Request) int {
	n := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
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

// LoadingUntil returns when the first load of the model is expected to end; ok
// is false if no target loads it.
func LoadingUntil(model string, targets []*Target) (at time.Time, ok bool) {
	for _, t := range targets {
		m := t.Models[model]
		if !t.Ready || m == nil || m.ReadyAt.IsZero() {
			continue
		}
		if !ok || m.ReadyAt.Before(at) {
			at, ok = m.ReadyAt, true
		}
	}
	return at, ok
}

// Resident says that some target takes requests for the model.
func Resident(model string, targets []*Target) bool {
	for _, t := range targets {
		if t.holds(model) {
			return true
		}
	}
	return false
}
