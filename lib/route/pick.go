package route

import (
	"math/bits"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// rankingBuckets is the number of buckets that hashes are reduced to. All hashes
	// in a bucket share one ranking of targets.
	rankingBuckets = 1024
	// cachedMembers is the number of top-ranked members cached per bucket.
	cachedMembers = 4
	// minCachedGroup is the group size from which rankings are cached. Scanning a
	// smaller group is too cheap to justify the memory for a cache.
	minCachedGroup = 256
	// loadBoundNum / loadBoundDen bounds the requests in flight at a target to 1.25
	// times the mean over all targets (consistent hashing with bounded loads).
	loadBoundNum, loadBoundDen = 5, 4
	// affinityMargin is the extra expected wait, in 16ths of the second candidate's,
	// that is accepted at the first candidate because it may have the prompt's prefix
	// cached.
	affinityMargin = 2
	// hashedPrefixLen is the number of leading bytes of a prompt that are hashed.
	hashedPrefixLen = 256
)

// ranking caches the top-ranked members of a group for one bucket, as indexes into
// the group's members. It is valid while epoch equals the group's.
type ranking struct {
	epoch   uint32
	members [cachedMembers]int32
}

// Query describes a request to route.
type Query struct {
	Key Key
	// Version is the preferred version. Other resident versions are a fallback.
	Version string
	// PromptHash is the result of HashPrompt, FingerprintHash that of HashFingerprint.
	PromptHash, FingerprintHash uint64
	// Tried lists targets to exclude because the request was already sent to them.
	Tried []*Target
}

// Choice is the result of Pick.
type Choice struct {
	Target *Target
	// Version is the version resident at Target; empty for plain services.
	Version string
	// Alternate is the second candidate, to which the request may be hedged, or nil.
	Alternate        *Target
	AlternateVersion string
	// LastLoss is the last time within LossWindow at which a target was lost that this
	// request may have been sent to before; zero if there was none.
	LastLoss time.Time
}

// candidate is a target and the version it would serve.
type candidate struct {
	target  *Target
	version string
}

// Pick selects a target. It reports false if no usable target serves the key.
//
// Rendezvous hashing yields two candidates: the first by the prompt's prefix, the
// second by the fingerprint. Load only decides between the two. Identical requests
// sent through all entry instances at once therefore reach at most two targets,
// while requests that share only their prefix spread over all targets.
func (t *Table) Pick(q *Query, now time.Time) (Choice, bool) {
	versions := t.byKey[q.Key]
	if versions == nil {
		return Choice{}, false
	}
	a, b := t.candidates(versions, q, now, false)
	if a.target == nil {
		// Retry a target that was just lost rather than fail: if the dial fails,
		// nothing has run.
		if a, b = t.candidates(versions, q, now, true); a.target == nil {
			return Choice{}, false
		}
	}
	c := Choice{Target: a.target, Version: a.version, LastLoss: t.lastRelevantLoss(q, a.target, b.target, now)}
	if b.target == nil {
		return c, true
	}
	c.Alternate, c.AlternateVersion = b.target, b.version
	if t.better(b.target, a.target, now) {
		c = Choice{b.target, b.version, a.target, a.version, c.LastLoss}
	}
	return c, true
}

// better reports whether the second candidate b is preferable to the first, a.
func (t *Table) better(b, a *Target, now time.Time) bool {
	if oa, ob := t.exceedsBound(a), t.exceedsBound(b); oa != ob {
		return oa
	}
	wa, wb := t.wait(a, now), t.wait(b, now)
	return wb+wb*affinityMargin/16 < wa
}

// exceedsBound reports whether one more request would exceed the load bound of tg. The
// bound does not apply while this process has fewer requests in flight there than half
// of the slots, rounded down, so that it has no effect at low load.
func (t *Table) exceedsBound(tg *Target) bool {
	if uint32(tg.inFlight) < tg.slots/2 {
		return false
	}
	return (tg.inFlight+1)*loadBoundDen*len(t.targets) > (t.inFlight+len(t.targets))*loadBoundNum
}

func (t *Table) wait(tg *Target, now time.Time) time.Duration { return tg.estimateWait(t.mean, now) }

// candidates returns up to two candidates for q, of the preferred version where
// possible. Other versions supply the rest, so that the first copy of a new
// version does not receive all requests.
func (t *Table) candidates(versions *versionGroups, q *Query, now time.Time, includeLost bool) (a, b candidate) {
	sel := selector{q: q, now: now, includeLost: includeLost}
	gr := versions.group(q.Version)
	if gr != nil {
		if a = sel.best(gr, q.PromptHash, nil); a.target != nil {
			b = sel.best(gr, q.FingerprintHash, a.target)
		}
	}
	for _, other := range versions.groups {
		if b.target != nil {
			break
		}
		if other == gr {
			continue
		}
		if a.target == nil {
			a = sel.best(other, q.PromptHash, nil)
		}
		if a.target != nil {
			b = sel.best(other, q.FingerprintHash, a.target)
		}
	}
	return a, b
}

// selector selects members of a group for one query.
type selector struct {
	q           *Query
	now         time.Time
	includeLost bool
}

func (s *selector) usable(tg, exclude *Target) bool {
	if tg == exclude || s.now.Before(tg.leavingUntil) {
		return false
	}
	if !s.includeLost && !tg.lostAt.IsZero() && s.now.Sub(tg.lostAt) < lossBackoff {
		return false
	}
	for _, tried := range s.q.Tried {
		if tried == tg {
			return false
		}
	}
	return true
}

// best returns the highest-ranked usable member of gr for hash.
func (s *selector) best(gr *group, hash uint64, exclude *Target) candidate {
	bucket := hash % rankingBuckets
	if len(gr.members) >= minCachedGroup {
		for _, i := range gr.ranking(bucket) {
			if tg := gr.members[i].target; s.usable(tg, exclude) {
				return candidate{tg, gr.version}
			}
		}
	}
	var found *Target
	var top uint64
	for i := range gr.members {
		m := &gr.members[i]
		if sc := score(m.seed, bucket); (found == nil || sc > top) && s.usable(m.target, exclude) {
			found, top = m.target, sc
		}
	}
	return candidate{found, gr.version}
}

// invalidateRankings invalidates the cached rankings.
func (gr *group) invalidateRankings() {
	gr.epoch++
	if len(gr.members) >= minCachedGroup && gr.rankings == nil {
		gr.rankings = make([]ranking, rankingBuckets)
	}
}

// ranking returns the indexes of the top-ranked members for a bucket, best first.
// The group must have at least minCachedGroup members.
func (gr *group) ranking(bucket uint64) *[cachedMembers]int32 {
	r := &gr.rankings[bucket]
	if r.epoch == gr.epoch {
		return &r.members
	}
	var scores [cachedMembers]uint64
	r.epoch = gr.epoch
	r.members = [cachedMembers]int32{}
	for i := range gr.members {
		sc := score(gr.members[i].seed, bucket)
		if sc <= scores[cachedMembers-1] {
			continue
		}
		j := cachedMembers - 1
		for ; j > 0 && scores[j-1] < sc; j-- {
			scores[j], r.members[j] = scores[j-1], r.members[j-1]
		}
		scores[j], r.members[j] = sc, int32(i)
	}
	return &r.members
}

// lastRelevantLoss returns the time of the last loss, within LossWindow, of a target that
// served the key and is one of the two candidates or ranks above one of them, or zero.
// If there is no second candidate, every loss of a target that served the key counts.
// The same request may have been sent to the lost target before and have crashed it.
func (t *Table) lastRelevantLoss(q *Query, a, b *Target, now time.Time) (last time.Time) {
	for i := range t.losses {
		l := &t.losses[i]
		if now.Sub(l.at) >= LossWindow || !l.at.After(last) {
			continue
		}
		for _, id := range l.groups {
			if id.key != q.Key {
				continue
			}
			if b == nil || l.name == a.Name || l.name == b.Name ||
				score(l.seed, q.PromptHash%rankingBuckets) > score(a.seed, q.PromptHash%rankingBuckets) ||
				score(l.seed, q.FingerprintHash%rankingBuckets) > score(b.seed, q.FingerprintHash%rankingBuckets) {
				last = l.at
			}
		}
	}
	return last
}

// score is the rendezvous hash of a target and a bucket.
func score(seed, bucket uint64) uint64 {
	h := (bucket + 1) * 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(seed^h, (seed+bits.RotateLeft64(h, 32))|1)
	return hi ^ lo
}

// HashPrompt returns the hash of a model and the first hashedPrefixLen bytes of a prompt.
func HashPrompt(model string, prompt []byte) uint64 {
	return hashBytes(hashString(model), prompt[:min(len(prompt), hashedPrefixLen)])
}

// HashFingerprint returns the hash of a fingerprint.
func HashFingerprint(b []byte) uint64 { return hashBytes(0, b) }

func hashString(s string) uint64 { return hashBytes(0, []byte(s)) }

// hashBytes is FNV-1a, continued from h, with a finalizer because buckets are taken
// from the low bits.
func hashBytes(h uint64, b []byte) uint64 {
	h ^= 14695981039346656037
	for _, c := range b {
		h = (h ^ uint64(c)) * 1099511628211
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// Usable reports whether new requests may be sent to tg.
func (t *Table) Usable(tg *Target, now time.Time) bool {
	return tg.phase == wire.Phase_PHASE_READY && !now.Before(tg.leavingUntil) &&
		(tg.lostAt.IsZero() || now.Sub(tg.lostAt) >= lossBackoff)
}
