package state

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	maxFingerprintBytes = 64
	maxFingerprints     = 4096
	maxNameBytes        = 256
	// maxSuspects bounds the list that is sent to entry instances. When it is full,
	// the least recently updated suspect is removed.
	maxSuspects = 4096
	// permitLease is how long a permit lasts unless it is returned. It bounds how long
	// a lost entry instance keeps other attempts from running the suspect.
	permitLease   = 10 * time.Minute
	blockDuration = time.Hour
	// suspectRetention is how long a suspect is kept after its last crash or permit, and
	// a crash after its first report.
	suspectRetention = 24 * time.Hour
)

type crashKey struct{ target, bootID string }

// suspectTable holds the fingerprints of requests that were running when a target
// crashed.
type suspectTable struct {
	// version increases when the verdict of a fingerprint or the end of its block
	// changes. After a block has ended, the version increases at the next sweep.
	version       uint64
	byFingerprint map[string]*wire.SuspectRecord
	// crashes holds the fingerprints counted for each crash, so that a crash that the
	// agent and several entry instances report counts once per fingerprint.
	crashes map[crashKey]*wire.CrashRecord
}

// SuspectsVersion returns the version of the suspect list.
func (m *Machine) SuspectsVersion() uint64 { return m.suspects.version }

// Suspect reports whether a fingerprint is a suspect or blocked.
func (m *Machine) Suspect(fingerprint []byte) bool {
	_, ok := m.suspects.byFingerprint[string(fingerprint)]
	return ok
}

// Suspects returns all suspect and blocked fingerprints as of the last applied
// entry, sorted by fingerprint.
func (m *Machine) Suspects() []*wire.Suspect {
	list := make([]*wire.Suspect, 0, len(m.suspects.byFingerprint))
	for _, rec := range m.suspects.byFingerprint {
		s := &wire.Suspect{Fingerprint: rec.GetFingerprint(), Verdict: wire.Verdict_VERDICT_SUSPECT}
		if rec.GetBlockedUnixMillis() > m.now {
			s.Verdict, s.UntilUnixMillis = wire.Verdict_VERDICT_BLOCKED, rec.GetBlockedUnixMillis()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *wire.Suspect) int {
		return bytes.Compare(a.GetFingerprint(), b.GetFingerprint())
	})
	return list
}

// report counts a crash for each of its fingerprints: the first crash makes a
// fingerprint a suspect, and each further one blocks it for blockDuration.
func (t *suspectTable) report(now int64, req *wire.CrashReport) (*wire.CrashReply, error) {
	if err := checkBytes("target", []byte(req.GetTarget()), maxNameBytes); err != nil {
		return nil, err
	}
	if err := checkBytes("bootId", []byte(req.GetBootId()), maxNameBytes); err != nil {
		return nil, err
	}
	if len(req.GetFingerprints()) > maxFingerprints {
		return nil, fmt.Errorf("%d fingerprints, want at most %d", len(req.GetFingerprints()), maxFingerprints)
	}
	for _, f := range req.GetFingerprints() {
		if err := checkBytes("fingerprint", f, maxFingerprintBytes); err != nil {
			return nil, err
		}
	}
	key := crashKey{req.GetTarget(), req.GetBootId()}
	crash, ok := t.crashes[key]
	if !ok {
		crash = &wire.CrashRecord{Target: key.target, BootId: key.bootID, SeenUnixMillis: now}
		t.crashes[key] = crash
	}
	changed := false
	for _, f := range req.GetFingerprints() {
		i, counted := slices.BinarySearchFunc(crash.GetFingerprints(), f, bytes.Compare)
		if !counted {
			crash.Fingerprints = slices.Insert(crash.GetFingerprints(), i, f)
			t.countCrash(now, f)
			changed = true
		}
	}
	if changed {
		t.version++
	}
	return &wire.CrashReply{SuspectsVersion: t.version}, nil
}

func (t *suspectTable) countCrash(now int64, fingerprint []byte) {
	rec, ok := t.byFingerprint[string(fingerprint)]
	if ok {
		rec.BlockedUnixMillis = now + blockDuration.Milliseconds()
		rec.Attempt, rec.PermitUnixMillis = nil, 0
		rec.TouchedUnixMillis = now
		return
	}
	if len(t.byFingerprint) >= maxSuspects {
		t.removeOldest()
	}
	t.byFingerprint[string(fingerprint)] = &wire.SuspectRecord{Fingerprint: fingerprint, TouchedUnixMillis: now}
}

func (t *suspectTable) removeOldest() {
	var oldest *wire.SuspectRecord
	for _, rec := range t.byFingerprint {
		if oldest == nil || cmp.Or(cmp.Compare(rec.GetTouchedUnixMillis(), oldest.GetTouchedUnixMillis()),
			bytes.Compare(rec.GetFingerprint(), oldest.GetFingerprint())) < 0 {
			oldest = rec
		}
	}
	delete(t.byFingerprint, string(oldest.GetFingerprint()))
}

// judge returns whether a request may run, or takes the permit back when its run has
// ended. A suspect runs only with the permit, which one attempt holds at a time. When
// a permit expires, another attempt may get it: expiry does not count as a crash,
// only a report does.
func (t *suspectTable) judge(now int64, req *wire.JudgeRequest) (*wire.JudgeReply, error) {
	if err := checkBytes("fingerprint", req.GetFingerprint(), maxFingerprintBytes); err != nil {
		return nil, err
	}
	if len(req.GetAttempt()) > maxAttemptBytes {
		return nil, fmt.Errorf("attempt has %d bytes, want at most %d", len(req.GetAttempt()), maxAttemptBytes)
	}
	rec, ok := t.byFingerprint[string(req.GetFingerprint())]
	if !ok {
		return &wire.JudgeReply{Verdict: wire.Verdict_VERDICT_CLEAR}, nil
	}
	if rec.GetBlockedUnixMillis() > now {
		return &wire.JudgeReply{
			Verdict:         wire.Verdict_VERDICT_BLOCKED,
			UntilUnixMillis: rec.GetBlockedUnixMillis(),
		}, nil
	}
	holds := len(req.GetAttempt()) > 0 && bytes.Equal(rec.GetAttempt(), req.GetAttempt())
	if req.GetDone() {
		return t.returnPermit(rec, holds, req.GetCompleted()), nil
	}
	free := len(rec.GetAttempt()) == 0 || now >= rec.GetPermitUnixMillis()
	if len(req.GetAttempt()) > 0 && free {
		rec.Attempt, rec.PermitUnixMillis = req.GetAttempt(), now+permitLease.Milliseconds()
		rec.TouchedUnixMillis = now
		holds = true
	}
	reply := &wire.JudgeReply{Verdict: wire.Verdict_VERDICT_SUSPECT, Permit: holds}
	if !free || holds {
		reply.UntilUnixMillis = rec.GetPermitUnixMillis()
	}
	return reply, nil
}

// returnPermit ends a run with the permit. Only completion by the holder clears the
// suspect: an attempt started before the first crash did not run alone, so its
// completion proves nothing.
func (t *suspectTable) returnPermit(rec *wire.SuspectRecord, holds, completed bool) *wire.JudgeReply {
	if !holds {
		return &wire.JudgeReply{Verdict: wire.Verdict_VERDICT_SUSPECT}
	}
	if completed {
		delete(t.byFingerprint, string(rec.GetFingerprint()))
		t.version++
		return &wire.JudgeReply{Verdict: wire.Verdict_VERDICT_CLEAR}
	}
	rec.Attempt, rec.PermitUnixMillis = nil, 0
	return &wire.JudgeReply{Verdict: wire.Verdict_VERDICT_SUSPECT}
}

// blockEnded reports whether the block has ended since the last sweep. The
// fingerprint then becomes a suspect again and not clear: its requests run one at a
// time, each with the permit, so that another crash blocks it before a second target
// crashes.
func blockEnded(rec *wire.SuspectRecord, now int64) bool {
	return rec.GetBlockedUnixMillis() > 0 && rec.GetBlockedUnixMillis() <= now
}

// suspectExpired reports whether a suspect last updated at touched, or a crash first
// reported then, has expired.
func suspectExpired(touched, now int64) bool { return now-touched >= suspectRetention.Milliseconds() }

func (t *suspectTable) due(now int64) bool {
	for _, rec := range t.byFingerprint {
		if blockEnded(rec, now) || suspectExpired(rec.GetTouchedUnixMillis(), now) {
			return true
		}
	}
	for _, c := range t.crashes {
		if suspectExpired(c.GetSeenUnixMillis(), now) {
			return true
		}
	}
	return false
}

func (t *suspectTable) sweep(now int64) (removed int) {
	changed := false
	for f, rec := range t.byFingerprint {
		if blockEnded(rec, now) {
			rec.BlockedUnixMillis = 0
			changed = true
		}
		if suspectExpired(rec.GetTouchedUnixMillis(), now) {
			delete(t.byFingerprint, f)
			changed = true
			removed++
		}
	}
	if changed {
		t.version++
	}
	for k, c := range t.crashes {
		if suspectExpired(c.GetSeenUnixMillis(), now) {
			delete(t.crashes, k)
			removed++
		}
	}
	return removed
}

func (t *suspectTable) save(s *wire.StateSnapshot) {
	s.SuspectsVersion = t.version
	for _, rec := range t.byFingerprint {
		s.Suspects = append(s.Suspects, rec)
	}
	slices.SortFunc(s.Suspects, func(a, b *wire.SuspectRecord) int {
		return bytes.Compare(a.GetFingerprint(), b.GetFingerprint())
	})
	for _, c := range t.crashes {
		s.Crashes = append(s.Crashes, c)
	}
	slices.SortFunc(s.Crashes, func(a, b *wire.CrashRecord) int {
		return cmp.Or(cmp.Compare(a.GetTarget(), b.GetTarget()), cmp.Compare(a.GetBootId(), b.GetBootId()))
	})
}

func (t *suspectTable) load(s *wire.StateSnapshot) {
	*t = suspectTable{
		version:       s.GetSuspectsVersion(),
		byFingerprint: make(map[string]*wire.SuspectRecord, len(s.GetSuspects())),
		crashes:       make(map[crashKey]*wire.CrashRecord, len(s.GetCrashes())),
	}
	for _, rec := range s.GetSuspects() {
		t.byFingerprint[string(rec.GetFingerprint())] = rec
	}
	for _, c := range s.GetCrashes() {
		t.crashes[crashKey{c.GetTarget(), c.GetBootId()}] = c
	}
}
