package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// largeFleet is the number of entry instances above which replies share table parts that
	// are up to sharedPartAge old.
	largeFleet    = 100
	sharedPartAge = 250 * time.Millisecond
	// minPackedTargets is the number of targets from which on a part of the table is
	// compressed.
	minPackedTargets = 16
	// tableBytesPerSecond limits the parts of whole tables in all replies to half of a link
	// of 100 Mbit/s. tableBurstBytes is what 100 instances need for 1,000 targets, so that
	// fleets up to this size never wait.
	tableBytesPerSecond = 6 << 20
	tableBurstBytes     = 8 << 20
	// minTablePart is the size of a part below which an instance never waits for it.
	minTablePart = 4 << 10
	// minDeferral and maxDeferral limit the time until an instance asks again for a table that
	// it was refused.
	minDeferral = 100 * time.Millisecond
	maxDeferral = time.Second
)

// tablePart is the part of the table that follows a version. Instances that hold the same version
// share it, so that it is built, encoded and compressed once.
type tablePart struct {
	builtAt time.Time
	// builtVersion is the table version at that time, and upTo the one up to which the part is
	// complete.
	builtVersion, upTo uint64
	whole              bool
	// loading is set if a record has a remaining load time, which ends.
	loading bool
	// targets is empty if packed is set.
	targets []*wire.FleetTarget
	packed  []byte
}

// bytes returns roughly the size of the part in a reply.
func (p *tablePart) bytes() int {
	if p.packed != nil {
		return len(p.packed)
	}
	return len(p.targets) * unpackedTargetBytes
}

// unpackedTargetBytes is roughly the size of the record of an engine with 4 models and 12 adapters.
const unpackedTargetBytes = 450

// addTargets adds the part of the table that the instance needs next, and the interval until its
// next report. It returns false if the instance has to ask again for the table of a new term, and the
// reply is to contain nothing that depends on it. The caller holds mu.
func (f *Fleet) addTargets(now time.Time, req *wire.FleetRequest, reply *wire.FleetReply) bool {
	part := f.tablePartAfter(now, req.GetTerm(), req.GetTableVersion(), req.GetAcceptPackedTargets())
	if n := part.bytes(); n > minTablePart && req.GetAcceptPackedTargets() && !f.tableBudget.take(now, n) {
		reply.ReportMillis = uint32(f.deferral(n).Milliseconds())
		reply.Partial, reply.Deferred = true, true
		return false
	}
	reply.Targets, reply.PackedTargets = part.targets, part.packed
	reply.TableVersion, reply.Whole = part.upTo, part.whole
	reply.ReportMillis = uint32(reportPeriod(len(f.entries)).Milliseconds())
	if part.upTo < part.builtVersion {
		reply.ReportMillis = uint32(partialTablePeriod.Milliseconds())
		reply.Partial = true
	}
	return true
}

// deferral returns the time after which an instance that was refused a part of n bytes asks
// again. It is spread over the time that all instances need for theirs.
func (f *Fleet) deferral(n int) time.Duration {
	behind := 0
	for _, e := range f.entries {
		if e.heldVersion == 0 {
			behind++
		}
	}
	spread := time.Duration(float64(behind) * float64(n) / tableBytesPerSecond * float64(time.Second))
	return minDeferral + rand.N(min(max(spread, minDeferral), maxDeferral-minDeferral))
}

// tablePartAfter returns the part of the table that follows the given version of a term, at most
// maxTargetsPerReply records. The caller holds mu.
func (f *Fleet) tablePartAfter(now time.Time, term, version uint64, pack bool) *tablePart {
	current, tableVersion := f.table.Version()
	if term != current || version > tableVersion {
		version = wholeTable
	}
	if !pack {
		return f.buildPart(now, version)
	}
	p := f.tableParts[version]
	if p != nil && f.isCurrent(now, p) {
		return p
	}
	p = f.buildPart(now, version)
	if len(p.targets) >= minPackedTargets {
		packed, err := wire.PackTargets(p.targets)
		if err != nil {
			f.log.Error().Str("event", "targetsNotPacked").Err(err).Msg("")
			return p
		}
		p.targets, p.packed = nil, packed
	}
	if f.tableParts == nil || now.Sub(f.partsSince) > sharedPartAge && len(f.tableParts) > maxTableParts {
		f.tableParts, f.partsSince = make(map[uint64]*tablePart), now
	}
	f.tableParts[version] = p
	return p
}

const (
	// wholeTable stands for the version of an instance that holds no table of this term.
	wholeTable = ^uint64(0)
	// noTerm is the term of an instance without a table.
	noTerm = 0
	// maxTableParts is the number of table parts that are kept.
	maxTableParts = 32
)

// buildPart returns the part of the table that follows a version of this term. The caller holds mu.
func (f *Fleet) buildPart(now time.Time, version uint64) *tablePart {
	p := &tablePart{builtAt: now}
	term, _ := f.table.Version()
	if version == wholeTable {
		term, version = noTerm, 0
	}
	p.targets, p.upTo, p.whole = f.table.Since(term, version, maxTargetsPerReply)
	_, p.builtVersion = f.table.Version()
	for _, r := range p.targets {
		p.loading = p.loading || slices.ContainsFunc(r.GetModels(), func(m *wire.FleetModel) bool { return m.GetLoadingMicros() > 0 })
	}
	return p
}

// isCurrent reports whether a part may be sent although the table may have changed since. A part
// that lacks the leaving of a target is never sent: the reply would confirm to the instance that
// the target still accepts work.
func (f *Fleet) isCurrent(now time.Time, p *tablePart) bool {
	_, version := f.table.Version()
	if p.builtVersion == version && !p.loading {
		return true
	}
	return len(f.entries) > largeFleet && now.Sub(p.builtAt) <= sharedPartAge && f.table.LeavingVersion() <= p.builtVersion
}

// byteBudget is a token bucket for the bytes of whole tables; see tableBytesPerSecond.
type byteBudget struct {
	available float64
	at        time.Time
}

// take reports whether n bytes are available, and takes them if so. A bucket that has not been
// used yet is full.
func (b *byteBudget) take(now time.Time, n int) bool {
	if b.at.IsZero() {
		b.available = tableBurstBytes
	} else {
		b.available = min(b.available+tableBytesPerSecond*now.Sub(b.at).Seconds(), tableBurstBytes)
	}
	b.at = now
	if b.available < float64(n) {
		return false
	}
	b.available -= float64(n)
	return true
}
