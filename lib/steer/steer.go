// Package steer chooses targets for foreign requests: by the work under way at
// each, by the prompts that engines are likely to have cached, and by what an
// entry instance has seen of their failures. It is pure.
package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"
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

// sharedTokens counts the prompt without its last part.
func sharedTokens(r *Request) int {
	n := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
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
