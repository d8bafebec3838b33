package poison

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushpath.example/lib/wire"
)

// PartFingerprint returns the fingerprint of one part of a prompt to a service. Unlike
// that of a request it is the same for different requests that share the part.
func PartFingerprint(service string, part uint64) (fp Fingerprint) {
	binary.BigEndian.PutUint64(fp[:8], xxhash.Sum64String("part of "+service))
	binary.BigEndian.PutUint64(fp[8:], part)
	return fp
}

// maxClearedParts bounds the parts in one of the two generations of ClearedParts.
const maxClearedParts = 8192

// ClearedParts holds the parts of prompts on which a target has begun an answer. A part that
// crashes targets does so before the first output, always, so these parts don't. It keeps
// the maxClearedParts parts that were used last, and at most twice as many. The zero value is
// empty.
type ClearedParts struct {
	recent, older map[Fingerprint]struct{}
}

// Add records that a target has begun an answer on the part.
func (c *ClearedParts) Add(fp Fingerprint) {
	if _, ok := c.recent[fp]; ok {
		return
	}
	if c.recent == nil || len(c.recent) >= maxClearedParts {
		c.recent, c.older = make(map[Fingerprint]struct{}), c.recent
	}
	c.recent[fp] = struct{}{}
}

// Has reports whether the part is cleared.
func (c *ClearedParts) Has(fp Fingerprint) bool {
	if _, ok := c.recent[fp]; ok {
		return true
	}
	_, ok := c.older[fp]
	return ok
}

// PartCounter finds the parts of prompts that crash targets. Each part of a request that was
// lost before its first output may have crashed the target, unless an answer has cleared it.
// A part that was lost with blockThreshold processes is blocked. Parts that were lost with
// the same processes form a group, and only requests with all parts of the group are
// blocked: requests with some of them either clear these parts or crash another process,
// which tells the parts apart. The zero value is empty.
type PartCounter struct {
	losses LossCounter
	// suspects holds the last result of Suspects, and stale whether it must be computed anew.
	suspects []*wire.Suspect
	stale    bool
}

// RecordLoss records that the process was lost before the first output of a request with the
// given parts that no answer has cleared.
func (c *PartCounter) RecordLoss(now time.Time, parts []Fingerprint, p Process) {
	for _, fp := range parts {
		c.losses.RecordLoss(now, fp, p)
	}
	c.stale = c.stale || len(parts) > 0
}

// RecordAnnouncement records an announcement by a process, as LossCounter does.
func (c *PartCounter) RecordAnnouncement(now time.Time, p Process) {
	c.stale = c.stale || len(c.losses.byProcess[p]) > 0
	c.losses.RecordAnnouncement(now, p)
}

// RecordCompletion records that a target has begun an answer on the part.
func (c *PartCounter) RecordCompletion(fp Fingerprint) {
	c.losses.RecordCompletion(fp)
	c.stale = true
}

// Suspects returns the parts that are suspects or blocked.
func (c *PartCounter) Suspects(now time.Time) []*wire.Suspect {
	expired := func(s *wire.Suspect) bool { return now.UnixMilli() > s.GetUntilUnixMillis() }
	if !c.stale && !slices.ContainsFunc(c.suspects, expired) {
		return c.suspects
	}
	c.suspects, c.stale = c.losses.Suspects(now), false
	groups := make(map[uint64][]*wire.Suspect)
	for _, s := range c.suspects {
		if s.GetVerdict() == wire.Verdict_VERDICT_BLOCKED {
			g := c.losses.group(Fingerprint(s.GetFingerprint()))
			groups[g] = append(groups[g], s)
		}
	}
	for g, members := range groups {
		for _, s := range members {
			s.Group, s.GroupSize = binary.BigEndian.AppendUint64(nil, g), uint32(len(members))
		}
	}
	c.suspects = slices.DeleteFunc(c.suspects, c.explained)
	slices.SortFunc(c.suspects, func(a, b *wire.Suspect) int { return bytes.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return c.suspects
}

// group returns a key that is the same for the fingerprints that were lost with the same
// processes.
func (c *LossCounter) group(fp Fingerprint) (key uint64) {
	for p := range c.byFingerprint[fp].processes {
		// The sum does not depend on the order of the map.
		key += xxhash.Sum64String(p.Target) ^ uint64(p.BornMillis)*0x9e3779b97f4a7c15
	}
	return key
}

// explained reports whether a part is left without enough losses once those are taken out
// that another part explains, one that was lost with all of the same processes and more.
func (c *PartCounter) explained(s *wire.Suspect) bool {
	own := c.losses.byFingerprint[Fingerprint(s.GetFingerprint())].processes
	for _, other := range c.suspects {
		if other.GetVerdict() != wire.Verdict_VERDICT_BLOCKED || bytes.Equal(other.GetFingerprint(), s.GetFingerprint()) {
			continue
		}
		theirs := c.losses.byFingerprint[Fingerprint(other.GetFingerprint())].processes
		if len(theirs) > len(own) && containsAll(theirs, own) {
			return true
		}
	}
	return false
}

func containsAll(all, some map[Process]time.Time) bool {
	for p := range some {
		if _, ok := all[p]; !ok {
			return false
		}
	}
	return true
}

// BlockedParts decides from the verdicts on single parts whether a request is blocked. The
// zero value is empty.
type BlockedParts struct {
	seen map[uint64]uint32
}

// Add records the verdict on one part of the request, and reports whether the request has
// all parts of a blocked group now.
func (b *BlockedParts) Add(group uint64, size uint32) bool {
	if b.seen == nil {
		b.seen = make(map[uint64]uint32)
	}
	b.seen[group]++
	return b.seen[group] >= size
}
