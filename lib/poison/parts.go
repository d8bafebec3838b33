package poison

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
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

// CustomerPartFingerprint returns the fingerprint of one part of a prompt to a service as one customer uses it. It
// differs from those of other customers, and ends like that of the part.
func CustomerPartFingerprint(service, customer string, part uint64) (fp Fingerprint) {
	binary.BigEndian.PutUint64(fp[:8], xxhash.Sum64String("customer "+strconv.Quote(customer)+" part of "+service))
	binary.BigEndian.PutUint64(fp[8:], part)
	return fp
}

// partID returns the id of the part of prompts, for the fingerprints of both kinds.
func partID(fp Fingerprint) uint64 { return binary.BigEndian.Uint64(fp[8:]) }

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
// which tells the parts apart.
//
// What crashes a process may depend on the customer, so that the losses are counted both for a part and for the part
// as one customer uses it. If one customer has lost all the processes that were lost with a part, only its own
// requests are suspect. The zero value is empty.
type PartCounter struct {
	losses LossCounter
	// suspects holds the last result of Suspects, and stale whether it must be computed anew.
	suspects []*wire.Suspect
	stale    bool
	// trialEnds holds the ends of the trials of suspect parts that may be in progress.
	trialEnds map[Fingerprint]time.Time
}

const (
	// trialTime is how long a trial of a suspect part may take: one request with the part is
	// sent, and either its target begins to answer or another process is lost.
	trialTime = 2 * time.Second
	// trialPause is the time from the latest loss to the next trial. By then the lost process, or
	// another copy of its model, serves again, so that a part takes one process at a time.
	trialPause = 5 * time.Second
)

// StartTrial reports whether one request with the suspect part may be sent now, and begins the
// trial if so.
func (c *PartCounter) StartTrial(now time.Time, fp Fingerprint) bool {
	x := c.losses.byFingerprint[fp]
	if x == nil || len(x.processes) >= blockThreshold || now.Sub(x.lastLoss) < trialPause || now.Before(c.trialEnds[fp]) {
		return false
	}
	if c.trialEnds == nil {
		c.trialEnds = make(map[Fingerprint]time.Time)
	}
	maps.DeleteFunc(c.trialEnds, func(_ Fingerprint, end time.Time) bool { return now.After(end) })
	c.trialEnds[fp] = now.Add(trialTime)
	return true
}

// Unsaved reports whether the losses have changed since the last call of Save.
func (c *PartCounter) Unsaved() bool { return c.losses.Unsaved() }

// Save returns the losses, for Load at a later leader, without those of SaveOfCustomers.
func (c *PartCounter) Save() []*wire.PartLoss {
	c.losses.unsaved = false
	return c.losses.saveOnly(func(x *losses) bool { return !x.ofCustomer })
}

// SaveOfCustomers returns the losses with parts as one customer uses them, for LoadOfCustomers.
func (c *PartCounter) SaveOfCustomers() []*wire.PartLoss {
	return c.losses.saveOnly(func(x *losses) bool { return x.ofCustomer })
}

// SaveAgain makes Unsaved true even if the losses do not change any more.
func (c *PartCounter) SaveAgain() { c.losses.SaveAgain() }

// Load adds saved losses.
func (c *PartCounter) Load(now time.Time, saved []*wire.PartLoss) {
	c.losses.forgetsBlocks = true
	c.losses.Load(now, saved)
	c.stale = true
}

// LoadOfCustomers adds saved losses with parts as one customer uses them.
func (c *PartCounter) LoadOfCustomers(now time.Time, saved []*wire.PartLoss) {
	c.Load(now, saved)
	for _, s := range saved {
		if len(s.GetFingerprint()) == FingerprintSize {
			c.markOfCustomer(Fingerprint(s.GetFingerprint()))
		}
	}
}

// markOfCustomer records that the fingerprint is of a part as one customer uses it.
func (c *PartCounter) markOfCustomer(fp Fingerprint) {
	if x := c.losses.byFingerprint[fp]; x != nil {
		x.ofCustomer = true
	}
}

// RecordLoss records that the process was lost before the first output of a request with the
// given parts that no answer has cleared.
func (c *PartCounter) RecordLoss(now time.Time, parts []Fingerprint, p Process) {
	// Many requests share a part, and a trial of each would follow its lapse.
	c.losses.forgetsBlocks = true
	for _, fp := range parts {
		c.losses.RecordLoss(now, fp, p)
	}
	c.stale = c.stale || len(parts) > 0
}

// RecordCustomerLoss does the same for parts as the customer of the request uses them.
func (c *PartCounter) RecordCustomerLoss(now time.Time, parts []Fingerprint, p Process) {
	c.RecordLoss(now, parts, p)
	for _, fp := range parts {
		c.markOfCustomer(fp)
	}
}

// RequireSequence is that of LossCounter.
func (c *PartCounter) RequireSequence(p Process, firstAfter uint64) {
	c.losses.RequireSequence(p, firstAfter)
}

// RecordAnnouncement records an announcement by a process, as LossCounter does.
func (c *PartCounter) RecordAnnouncement(now time.Time, p Process, sequence uint64) {
	if len(c.losses.byProcess[p]) == 0 {
		return
	}
	c.losses.RecordAnnouncement(now, p, sequence)
	c.stale = true
}

// RecordCompletion records that a target has begun an answer on the part. It reports whether
// targets had been lost with the part. If it is that of one customer, the part does not crash targets by itself
// either.
func (c *PartCounter) RecordCompletion(fp Fingerprint) (known bool) {
	if x := c.losses.byFingerprint[fp]; x != nil && x.ofCustomer {
		for _, other := range c.lostWith(x) {
			if y := c.losses.byFingerprint[other]; y != nil && !y.ofCustomer && partID(other) == partID(fp) {
				c.losses.RecordCompletion(other)
			}
		}
	}
	known = c.losses.RecordCompletion(fp)
	c.stale = c.stale || known
	return known
}

// Suspects returns the parts that are suspects or blocked.
func (c *PartCounter) Suspects(now time.Time) []*wire.Suspect {
	expired := func(s *wire.Suspect) bool { return now.UnixMilli() > s.GetUntilUnixMillis() }
	if !c.stale && !slices.ContainsFunc(c.suspects, expired) {
		return c.suspects
	}
	ofCustomers := c.suspectsOfCustomers()
	all := slices.DeleteFunc(c.losses.Suspects(now), func(s *wire.Suspect) bool {
		return c.lostByOneCustomer(Fingerprint(s.GetFingerprint()), ofCustomers)
	})
	blocked := make([]*wire.Suspect, 0, len(all))
	for _, s := range all {
		s.Part = true
		if s.GetVerdict() == wire.Verdict_VERDICT_BLOCKED {
			blocked = append(blocked, s)
		}
	}
	c.setGroups(blocked)
	c.suspects = slices.DeleteFunc(all, func(s *wire.Suspect) bool { return c.explained(s, blocked) })
	slices.SortFunc(c.suspects, func(a, b *wire.Suspect) int { return bytes.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	c.stale = false
	return c.suspects
}

// setGroups sets the groups of blocked parts.
func (c *PartCounter) setGroups(blocked []*wire.Suspect) {
	groups := make(map[uint64][]*wire.Suspect)
	for _, s := range blocked {
		g := c.losses.group(Fingerprint(s.GetFingerprint()))
		groups[g] = append(groups[g], s)
	}
	for g, members := range groups {
		for _, s := range members {
			s.Group, s.GroupSize = binary.BigEndian.AppendUint64(nil, g), uint32(len(members))
		}
	}
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

// explained reports whether one of the blocked parts was lost with all the processes that s
// was lost with, and with more: it explains these losses alone.
func (c *PartCounter) explained(s *wire.Suspect, blocked []*wire.Suspect) bool {
	own := c.losses.byFingerprint[Fingerprint(s.GetFingerprint())].processes
	for _, other := range blocked {
		theirs := c.losses.byFingerprint[Fingerprint(other.GetFingerprint())].processes
		if len(theirs) > len(own) && containsAll(theirs, own) {
			return true
		}
	}
	return false
}

// suspectsOfCustomers returns the losses with parts as one customer uses them, by the id of the part, if they are
// enough for a suspect.
func (c *PartCounter) suspectsOfCustomers() map[uint64][]*losses {
	out := make(map[uint64][]*losses)
	for fp, x := range c.losses.byFingerprint {
		if x.ofCustomer && len(x.processes) >= suspectThreshold {
			out[partID(fp)] = append(out[partID(fp)], x)
		}
	}
	return out
}

// lostByOneCustomer reports whether one customer has lost, with the part, all the processes that were lost with it.
// The part of that customer is a suspect then. ofCustomers is the result of suspectsOfCustomers.
func (c *PartCounter) lostByOneCustomer(fp Fingerprint, ofCustomers map[uint64][]*losses) bool {
	own := c.losses.byFingerprint[fp]
	return !own.ofCustomer && slices.ContainsFunc(ofCustomers[partID(fp)], func(x *losses) bool {
		return containsAll(x.processes, own.processes)
	})
}

// lostWith returns the fingerprints that were lost with the processes of x, once for each process.
func (c *PartCounter) lostWith(x *losses) (out []Fingerprint) {
	for p := range x.processes {
		out = append(out, c.losses.byProcess[p]...)
	}
	return out
}

func containsAll(all, some map[Process]loss) bool {
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
