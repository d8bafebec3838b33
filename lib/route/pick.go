package route

import (
	"math/bits"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// buckets is the number of classes that hashes of prompts fall into; the
	// ranking of targets is the same for all hashes of a class.
	buckets = 1024
	// cachedRanks is the number of ranks kept per bucket.
	cachedRanks = 4
	// cacheFrom is the group size from which ranks are cached: the cache of a small
	// group takes more memory than its scan takes time.
	cacheFrom = 256
	// boundNum and boundDen are the bound on load, 1.25 times the mean.
	boundNum, boundDen = 5, 4
	// affinity is how much longer, in 16ths of the other's wait, the target that
	// may hold the prompt's prefix may take.
	affinity = 2
	// prefixLen is how much of a prompt selects its target, in bytes.
	prefixLen = 256
)

// ranking holds the first ranks of one bucket.
type ranking struct {
	epoch uint32
	first [cachedRanks]int32
}

// Query describes the request to be routed.
type Query struct {
	Key Key
	// Version is the preferred version; another resident one is used otherwise.
	Version string
	// Prefix is Hash of the prompt; Print is HashBytes of the fingerprint.
	Prefix, Print uint64
	// Tried holds the targets that must not be picked again.
	Tried []*Target
}

// Choice is the result of a decision.
type Choice struct {
	Target *Target
	// Version is the version that Target is known to hold; empty for services.
	Version string
	// Other is the second candidate, for a hedge; nil if there is none.
	Other        *Target
	OtherVersion string
	// Lost is when a target that ranked before these was lost, if that was within
	// LostFor; the zero time otherwise.
	Lost time.Time
}

// candidate is a member with its version.
type candidate struct {
	g       *Target
	version string
}

// Pick selects a target. It reports false if no ready target holds the key.
//
// Two candidates are ranked by rendezvous hashing, the first by the prompt's
// prefix and the second by the fingerprint. Neither depends on load, so that
// identical requests sent through all entry instances at once reach at most two
// targets, while requests that share only their prefix spread over all targets.
func (t *Table) Pick(q *Query, now time.Time) (Choice, bool) {
	f := t.families[q.Key]
	if f == nil {
		return Choice{}, false
	}
	a, b := t.candidates(f, q, now, false)
	if a.g == nil {
		// Better a target that was lost a moment ago than none: a failed dial is
		// certain not to have run anything.
		if a, b = t.candidates(f, q, now, true); a.g == nil {
			return Choice{}, false
		}
	}
	c := Choice{Target: a.g, Version: a.version, Lost: t.lostBefore(q, a.g, b.g, now)}
	if b.g == nil {
		return c, true
	}
	c.Other, c.OtherVersion = b.g, b.version
	if t.better(b.g, a.g, now) {
		c = Choice{b.g, b.version, a.g, a.version, c.Lost}
	}
	return c, true
}

// better reports whether b is worth leaving the first candidate a for.
func (t *Table) better(b, a *Target, now time.Time) bool {
	if oa, ob := t.over(a), t.over(b); oa != ob {
		return oa
	}
	wa, wb := t.waitOf(a, now), t.waitOf(b, now)
	return wb+wb*affinity/16 < wa
}

// over reports whether one more request exceeds the bound on load. Below half of
// its slots a target is never over the bound, whatever the mean is.
func (t *Table) over(g *Target) bool {
	if uint32(g.inFlight) < g.slots/2 {
		return false
	}
	return (g.inFlight+1)*boundDen*len(t.targets) > (t.inFlight+len(t.targets))*boundNum
}

func (t *Table) waitOf(g *Target, now time.Time) time.Duration { return g.wait(t.mean, now) }

// candidates returns the two targets of a query. The preferred version comes
// first; other versions fill up, so that one new copy does not get all the load.
func (t *Table) candidates(f *family, q *Query, now time.Time, evenLost bool) (a, b candidate) {
	sel := selector{q: q, now: now, evenLost: evenLost}
	gr := f.group(q.Version)
	if gr != nil {
		if a = sel.best(gr, q.Prefix, nil); a.g != nil {
			b = sel.best(gr, q.Print, a.g)
		}
	}
	for _, other := range f.groups {
		if b.g != nil {
			break
		}
		if other == gr {
			continue
		}
		if a.g == nil {
			a = sel.best(other, q.Prefix, nil)
		}
		if a.g != nil {
			b = sel.best(other, q.Print, a.g)
		}
	}
	return a, b
}

// selector filters the members of a group for one query.
type selector struct {
	q        *Query
	now      time.Time
	evenLost bool
}

func (s *selector) usable(g, not *Target) bool {
	if g == not || s.now.Before(g.leavingUntil) {
		return false
	}
	if !s.evenLost && !g.lostAt.IsZero() && s.now.Sub(g.lostAt) < lostPause {
		return false
	}
	for _, tried := range s.q.Tried {
		if tried == g {
			return false
		}
	}
	return true
}

// best returns the first usable member of gr in the ranking of hash.
func (s *selector) best(gr *group, hash uint64, not *Target) candidate {
	bucket := hash % buckets
	if len(gr.members) >= cacheFrom {
		for _, i := range gr.ranking(bucket) {
			if g := gr.members[i].g; s.usable(g, not) {
				return candidate{g, gr.version}
			}
		}
	}
	var found *Target
	var top uint64
	for i := range gr.members {
		m := &gr.members[i]
		if sc := score(m.seed, bucket); (found == nil || sc > top) && s.usable(m.g, not) {
			found, top = m.g, sc
		}
	}
	return candidate{found, gr.version}
}

// changed invalidates the cached ranks.
func (gr *group) changed() {
	gr.epoch++
	if len(gr.members) >= cacheFrom && gr.ranks == nil {
		gr.ranks = make([]ranking, buckets)
	}
}

// ranking returns the first members of a bucket, best first. The group must
// have at least cacheFrom members.
func (gr *group) ranking(bucket uint64) *[cachedRanks]int32 {
	r := &gr.ranks[bucket]
	if r.epoch == gr.epoch {
		return &r.first
	}
	var top [cachedRanks]uint64
	r.epoch = gr.epoch
	r.first = [cachedRanks]int32{}
	for i := range gr.members {
		sc := score(gr.members[i].seed, bucket)
		if sc <= top[cachedRanks-1] {
			continue
		}
		j := cachedRanks - 1
		for ; j > 0 && top[j-1] < sc; j-- {
			top[j], r.first[j] = top[j-1], r.first[j-1]
		}
		top[j], r.first[j] = sc, int32(i)
	}
	return &r.first
}

// lostBefore returns the last time at which a target was lost that ranks before
// one of the two candidates, so that an earlier copy of the request may have
// been sent to it. Only losses within LostFor count.
func (t *Table) lostBefore(q *Query, a, b *Target, now time.Time) (last time.Time) {
	for i := range t.lost {
		m := &t.lost[i]
		if now.Sub(m.at) >= LostFor || !m.at.After(last) {
			continue
		}
		for _, p := range m.places {
			if p.key != q.Key {
				continue
			}
			if b == nil || m.name == a.Name || m.name == b.Name ||
				score(m.seed, q.Prefix%buckets) > score(a.seed, q.Prefix%buckets) ||
				score(m.seed, q.Print%buckets) > score(b.seed, q.Print%buckets) {
				last = m.at
			}
		}
	}
	return last
}

// score is the weight of a target in the ranking of a bucket.
func score(seed, bucket uint64) uint64 {
	h := (bucket + 1) * 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(seed^h, (seed+bits.RotateLeft64(h, 32))|1)
	return hi ^ lo
}

// Hash returns the hash of the part of a prompt that selects its target.
func Hash(model string, prompt []byte) uint64 {
	return hashMore(hashString(model), prompt[:min(len(prompt), prefixLen)])
}

// HashBytes returns the hash of a fingerprint.
func HashBytes(b []byte) uint64 { return hashMore(0, b) }

func hashString(s string) uint64 { return hashMore(0, []byte(s)) }

// hashMore is FNV-1a with a final mix, so that the low bits are usable.
func hashMore(h uint64, b []byte) uint64 {
	h ^= 14695981039346656037
	for _, c := range b {
		h = (h ^ uint64(c)) * 1099511628211
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// Usable reports whether g may get work now.
func (t *Table) Usable(g *Target, now time.Time) bool {
	return g.phase == wire.Phase_PHASE_READY && !now.Before(g.leavingUntil) &&
		(g.lostAt.IsZero() || now.Sub(g.lostAt) >= lostPause)
}
