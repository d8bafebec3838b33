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

// FingerprintSize is the size of a fingerprint in bytes.
const FingerprintSize = 16

// Fingerprint identifies requests that are identical to a target.
type Fingerprint [FingerprintSize]byte

// FingerprintOf returns the fingerprint of a request, a truncated SHA-256 over its body and the names that
// tell what runs it, and for whom. Each of them is preceded by its length, so that the encoding is unambiguous.
func FingerprintOf(body []byte, names ...string) Fingerprint {
	var buf []byte
	for _, name := range names {
		buf = binary.BigEndian.AppendUint64(buf, uint64(len(name)))
		buf = append(buf, name...)
	}
	buf = binary.BigEndian.AppendUint64(buf, uint64(len(body)))
	h := sha256.New()
	h.Write(buf)
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:FingerprintSize])
}

// LocalSuspectPeriod is how long a crash that this process observed makes the fingerprint
// a suspect in this process, unless the control group clears it or a request with it
// completes earlier. It equals the time for which the control group blocks a fingerprint.
const LocalSuspectPeriod = time.Hour

// SuspectCache holds the suspects known to one entry instance. The zero value is empty.
type SuspectCache struct {
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
func (c *SuspectCache) Version() uint64 { return c.version }

// Replace replaces the suspect list with that of a SyncReply. A list that is not
// newer is ignored.
func (c *SuspectCache) Replace(version uint64, list []*wire.Suspect) {
	if version <= c.version {
		return
	}
	c.version = version
	c.entries = make(map[Fingerprint]suspectEntry, len(list))
	for _, s := range list {
		if len(s.GetFingerprint()) != FingerprintSize {
			continue
		}
		m := suspectEntry{verdict: s.GetVerdict()}
		if ms := s.GetUntilUnixMillis(); ms != 0 {
			m.until = time.UnixMilli(ms)
		}
		c.entries[Fingerprint(s.GetFingerprint())] = m
	}
}

// RecordCrash records that a target was lost while it ran fp for this process. It also
// removes expired records. reported is true if the agent has already reported the
// crash to the control group.
func (c *SuspectCache) RecordCrash(fp Fingerprint, reported bool, now time.Time) {
	if c.localCrashes == nil {
		c.localCrashes = make(map[Fingerprint]localCrash)
	}
	for k, s := range c.localCrashes {
		if !now.Before(s.until) {
			delete(c.localCrashes, k)
		}
	}
	s := localCrash{now.Add(LocalSuspectPeriod), c.localCrashes[fp].unreported}
	if !reported {
		s.unreported++
	}
	c.localCrashes[fp] = s
}

// CrashReported records that one crash has been reported to the control group.
func (c *SuspectCache) CrashReported(fp Fingerprint) {
	if s, ok := c.localCrashes[fp]; ok && s.unreported > 0 {
		s.unreported--
		c.localCrashes[fp] = s
	}
}

// BeforeDispatch returns the action for a request before dispatch. lost is true if the
// request's first or second choice of target was lost within the last seconds.
func (c *SuspectCache) BeforeDispatch(fp Fingerprint, lost bool, now time.Time) Action {
	switch v := c.verdict(fp, now); {
	case v == wire.Verdict_VERDICT_BLOCKED:
		return ActionRefuse
	case v == wire.Verdict_VERDICT_SUSPECT, lost:
		return ActionJudge
	}
	return ActionRun
}

// Suspect reports whether fp is a suspect or blocked, so that it must not be hedged
// or run beside other requests.
func (c *SuspectCache) Suspect(fp Fingerprint, now time.Time) bool {
	return c.verdict(fp, now) != wire.Verdict_VERDICT_CLEAR
}

// Until returns when the list entry of fp expires. It is the zero time if fp is not
// listed or the entry does not expire.
func (c *SuspectCache) Until(fp Fingerprint) time.Time { return c.entries[fp].until }

func (c *SuspectCache) verdict(fp Fingerprint, now time.Time) wire.Verdict {
	if m, ok := c.entries[fp]; ok && (m.until.IsZero() || now.Before(m.until)) {
		if m.verdict == wire.Verdict_VERDICT_BLOCKED || m.verdict == wire.Verdict_VERDICT_SUSPECT {
			return m.verdict
		}
	}
	if s, ok := c.localCrashes[fp]; ok && now.Before(s.until) {
		return wire.Verdict_VERDICT_SUSPECT
	}
	return wire.Verdict_VERDICT_CLEAR
}

// AfterVerdict returns the action for a request after the control group's verdict.
func (c *SuspectCache) AfterVerdict(fp Fingerprint, verdict wire.Verdict, permit bool) Action {
	if c.localCrashes[fp].unreported > 0 && verdict != wire.Verdict_VERDICT_BLOCKED {
		return ActionWait
	}
	switch verdict {
	case wire.Verdict_VERDICT_CLEAR:
		delete(c.localCrashes, fp)
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

// RecordCompletion records that fp completed, which removes the crash that this process
// observed.
func (c *SuspectCache) RecordCompletion(fp Fingerprint) { delete(c.localCrashes, fp) }

// WithoutControl returns the action for a request that needs a verdict when the control
// group is unreachable: the request waits unless it is blocked. It may be a copy of a
// request that crashed the lost target for another entry instance, and each entry
// instance that dispatched it could crash one more target. The model stays reachable,
// because BeforeDispatch asks for a verdict only while the loss is recent.
func (c *SuspectCache) WithoutControl(fp Fingerprint, now time.Time) Action {
	if c.verdict(fp, now) == wire.Verdict_VERDICT_BLOCKED {
		return ActionRefuse
	}
	return ActionWait
}
