// Package poison decides how entry and control instances treat poison requests,
// which are requests that crash targets. It does no I/O and reads no clock; the
// caller passes the time.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"bulrushpath.example/lib/wire"
)

//go:generate stringer -type=Action -trimprefix=Action

// Action is what an entry instance does with a request.
type Action int

// Actions, from the least to the most restrictive.
const (
	// ActionRun dispatches the request like any other.
	ActionRun Action = iota
	// ActionJudge asks the control group before dispatch.
	ActionJudge
	// ActionAlone dispatches the request to a target that runs no other request.
	ActionAlone
	// ActionWait refuses the request for now, because it may be a suspect and has
	// no permit to run.
	ActionWait
	// ActionRefuse refuses the request: it is blocked.
	ActionRefuse
)

// Size is the size of a fingerprint in bytes.
const Size = 16

// Fingerprint identifies requests that are identical to a target.
type Fingerprint [Size]byte

// Of returns the fingerprint of a request, a truncated SHA-256 over its parts.
// Each part is preceded by its length, so that the encoding is unambiguous.
func Of(model, adapter string, body []byte) Fingerprint {
	buf := make([]byte, 0, 24+len(model)+len(adapter))
	buf = binary.BigEndian.AppendUint64(buf, uint64(len(model)))
	buf = append(buf, model...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(len(adapter)))
	buf = append(buf, adapter...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(len(body)))
	h := sha256.New()
	h.Write(buf)
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:Size])
}

// WitnessFor is how long a crash that this process observed makes the fingerprint
// a suspect locally, unless the control group clears it earlier. It equals the time
// for which the control group blocks a fingerprint.
const WitnessFor = time.Hour

// Book holds the suspects known to one entry instance. The zero value is empty.
type Book struct {
	// version is the version of entries; it never decreases.
	version uint64
	// entries is the suspect list received from the control group.
	entries map[Fingerprint]suspectEntry
	// localCrashes holds the fingerprints of requests from this process that were running
	// when their target was lost.
	localCrashes map[Fingerprint]localCrash
}

// localCrash is a crash that this process observed.
type localCrash struct {
	until time.Time
	// unreported counts the crashes that have not been reported to the control group.
	// While it is not zero, only the verdict BLOCKED is trusted.
	unreported int
}

type suspectEntry struct {
	verdict wire.Verdict
	until   time.Time
}

// Version returns the version of the current suspect list, for SyncRequest.
func (b *Book) Version() uint64 { return b.version }

// Replace replaces the suspect list with that of a SyncReply. A list that is not
// newer is ignored.
func (b *Book) Replace(version uint64, list []*wire.Suspect) {
	if version <= b.version {
		return
	}
	b.version = version
	b.entries = make(map[Fingerprint]suspectEntry, len(list))
	for _, s := range list {
		if len(s.GetFingerprint()) != Size {
			continue
		}
		m := suspectEntry{verdict: s.GetVerdict()}
		if ms := s.GetUntilUnixMillis(); ms != 0 {
			m.until = time.UnixMilli(ms)
		}
		b.entries[Fingerprint(s.GetFingerprint())] = m
	}
}

// Witness records that a target was lost while it ran fp for this process. It also
// removes expired records. reported is true if the agent has already reported the
// crash to the control group.
func (b *Book) Witness(fp Fingerprint, reported bool, now time.Time) {
	if b.localCrashes == nil {
		b.localCrashes = make(map[Fingerprint]localCrash)
	}
	for k, s := range b.localCrashes {
		if !now.Before(s.until) {
			delete(b.localCrashes, k)
		}
	}
	s := localCrash{now.Add(WitnessFor), b.localCrashes[fp].unreported}
	if !reported {
		s.unreported++
	}
	b.localCrashes[fp] = s
}

// Reported records that one crash has been reported to the control group.
func (b *Book) Reported(fp Fingerprint) {
	if s, ok := b.localCrashes[fp]; ok && s.unreported > 0 {
		s.unreported--
		b.localCrashes[fp] = s
	}
}

// Gate returns the action for a request before dispatch. lost is true if the
// request's first or second choice of target was lost within the last seconds.
func (b *Book) Gate(fp Fingerprint, lost bool, now time.Time) Action {
	switch v := b.verdict(fp, now); {
	case v == wire.Verdict_VERDICT_BLOCKED:
		return ActionRefuse
	case v == wire.Verdict_VERDICT_SUSPECT, lost:
		return ActionJudge
	}
	return ActionRun
}

// Suspect reports whether fp is a suspect or blocked, so that it must not be hedged
// or run beside other requests.
func (b *Book) Suspect(fp Fingerprint, now time.Time) bool {
	return b.verdict(fp, now) != wire.Verdict_VERDICT_CLEAR
}

// Until returns when the list entry of fp expires. It is the zero time if fp is not
// listed or the entry does not expire.
func (b *Book) Until(fp Fingerprint) time.Time { return b.entries[fp].until }

func (b *Book) verdict(fp Fingerprint, now time.Time) wire.Verdict {
	if m, ok := b.entries[fp]; ok && (m.until.IsZero() || now.Before(m.until)) {
		if m.verdict == wire.Verdict_VERDICT_BLOCKED || m.verdict == wire.Verdict_VERDICT_SUSPECT {
			return m.verdict
		}
	}
	if s, ok := b.localCrashes[fp]; ok && now.Before(s.until) {
		return wire.Verdict_VERDICT_SUSPECT
	}
	return wire.Verdict_VERDICT_CLEAR
}

// Judged returns the action for a request after the control group's verdict.
func (b *Book) Judged(fp Fingerprint, verdict wire.Verdict, permit bool) Action {
	if b.localCrashes[fp].unreported > 0 && verdict != wire.Verdict_VERDICT_BLOCKED {
		return ActionWait
	}
	switch verdict {
	case wire.Verdict_VERDICT_CLEAR:
		delete(b.localCrashes, fp)
		return ActionRun
	case wire.Verdict_VERDICT_SUSPECT:
		if permit {
			return ActionAlone
		}
		return ActionWait
	case wire.Verdict_VERDICT_BLOCKED:
		return ActionRefuse
	}
	return ActionWait
}

// Completed records that fp completed, which removes the crash observed here.
func (b *Book) Completed(fp Fingerprint) { delete(b.localCrashes, fp) }

// WithoutControl returns the action for a request that needs a verdict when the
// control group is unreachable: the request waits unless it is blocked. It may be a
// copy of a request that crashed the lost target for another entry instance, and
// each entry instance that dispatched it could crash one more target. The model
// stays reachable, because Gate asks for a verdict only while the loss is recent.
func (b *Book) WithoutControl(fp Fingerprint, now time.Time) Action {
	if b.verdict(fp, now) == wire.Verdict_VERDICT_BLOCKED {
		return ActionRefuse
	}
	return ActionWait
}
