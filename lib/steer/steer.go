// Package steer balances relayed requests over targets. It weighs the load of each
// target, the prompt prefixes that its engine has probably cached, and the failures
// and slow responses that this entry instance has observed. It performs no I/O and
// reads no clock.
package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request describes a request for target selection.
type Request struct {
	// Model is empty for a plain service.
	Model, Adapter string
	// Parts lists the parts of the prompt in order.
	Parts []Part
	// PromptTokens is the length of the prompt, OutputTokens the expected length of
	// the output.
	PromptTokens, OutputTokens int
	// DeclaredTokens is the number of tokens of prompt and output that the client declares;
	// negative if it declares none.
	DeclaredTokens int
}

// Part is one part of a prompt. Requests with equal leading parts share a prefix.
type Part struct {
	ID     uint64
	Tokens int
}

// prefixKeys returns a key for each prefix of the prompt. The keys differ by model and
// adapter.
func (r *Request) prefixKeys() []uint64 {
	out := make([]uint64, len(r.Parts))
	key := xxhash.Sum64String(r.Model + "/" + r.Adapter)
	for i, p := range r.Parts {
		key = combineHash(key, p.ID)
		out[i] = key
	}
	return out
}

func combineHash(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// sharedPrefixTokens returns the length of the prompt without its last part, which is
// unique to the request or session.
func sharedPrefixTokens(r *Request) int {
	n := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// Selection holds the parameters of target selection that don't belong to a target.
type Selection struct {
	// Zone is the availability zone of the entry instance.
	Zone string
	// KVTokens is the key-value memory of an engine in tokens; 0 for plain services.
	KVTokens int
	// CopyRate is the rate at which engines copy cached prompts from one another, in
	// tokens per millisecond; 0 if they don't support it.
	CopyRate float64
	// Idle reports whether an idle connection to the target exists; nil if unknown.
	Idle func(t *Target) bool
}

// Choice is a selected target and the estimates behind the selection.
type Choice struct {
	Target *Target
	// Wait is the expected time to the first output. Base is the same estimate without
	// the observed slowdown of the target and without the wait for a free slot.
	Wait, Base time.Duration
	// cost, in nanoseconds, ranks the targets: Wait plus penalties, such as the delay
	// of other requests.
	cost float64
	// PrefillTokens is the number of prompt tokens that the target must prefill.
	PrefillTokens int
	// CopyFrom is the target from whose cache the selected target should copy the prompt
	// prefix that it lacks; nil if copying is not possible or not faster than prefilling.
	CopyFrom *Target
	// NeedsAdapter reports whether the target must fetch the adapter first.
	NeedsAdapter bool
	// Candidates is the number of targets that were considered.
	Candidates int
}

// Pick returns the target with the lowest cost; Choice.Target is nil if no target
// can take the request now. skip excludes targets that were already tried. Targets
// in back-off are used only if there is no other.
func Pick(now time.Time, s Selection, r *Request, targets []*Target, skip func(*Target) bool) Choice {
	skip = sample(now, r, targets, skip)
	keys := r.prefixKeys()
	src := findCacheSource(now, r, keys, targets)
	var best Choice
	n := 0
	for pass := range 2 {
		for _, t := range targets {
			if !t.serves(r.Model) || skip(t) || pass == 0 && now.Before(t.backoffUntil) {
				continue
			}
			n++
			c := t.estimate(now, s, r, keys, src)
			if best.Target == nil || c.cost < best.cost || c.cost == best.cost && tieBreak(t, best.Target, now) {
				best = c
			}
		}
		// The second pass includes the targets in back-off.
		if best.Target != nil {
			break
		}
	}
	best.Candidates = n
	return best
}

// tieBreak reports whether a goes before b at equal cost. The order is pseudo-random and
// changes with the time, so that entry instances don't all select the same target.
func tieBreak(a, b *Target, now time.Time) bool {
	x := uint64(now.UnixNano())
	return combineHash(xxhash.Sum64String(a.ID), x) > combineHash(xxhash.Sum64String(b.ID), x)
}

// rendezvous returns the target that all entry instances prefer for the prompt, by
// rendezvous hashing of its shared prefix; nil if the prompt has no parts or no target
// serves the model.
func rendezvous(r *Request, keys []uint64, targets []*Target) *Target {
	if len(keys) == 0 {
		return nil
	}
	// The last part is unique to a request or session, so it is left out.
	key := keys[max(len(keys)-2, 0)]
	var best *Target
	var rank uint64
	for _, t := range targets {
		if !t.serves(r.Model) {
			continue
		}
		if x := combineHash(key, xxhash.Sum64String(t.ID)); best == nil || x > rank {
			best, rank = t, x
		}
	}
	return best
}

// cacheSource names the targets that have probably cached a prompt.
type cacheSource struct {
	// preferred is the first choice of rendezvous hashing.
	preferred *Target
	// holder is the target known to have cached the longest prefix, hitTokens the number
	// of tokens in it; nil if no target is known to have cached any.
	holder    *Target
	hitTokens int
}

// findCacheSource returns the targets that have probably cached the prompt. Targets in
// back-off don't count as holders.
func findCacheSource(now time.Time, r *Request, keys []uint64, targets []*Target) cacheSource {
	src := cacheSource{preferred: rendezvous(r, keys, targets)}
	for _, t := range targets {
		if !t.serves(r.Model) || now.Before(t.backoffUntil) {
			continue
		}
		if hit := t.cache.hitTokens(r, keys); hit > src.hitTokens {
			src.holder, src.hitTokens = t, hit
		}
	}
	return src
}

// LoadingUntil returns the earliest time at which a load of the model is expected to
// complete; ok is false if no target is loading it.
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

// Resident reports whether any target accepts requests for the model.
func Resident(model string, targets []*Target) bool {
	for _, t := range targets {
		if t.serves(model) {
			return true
		}
	}
	return false
}
