package state

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

const (
	maxNonceBytes = 64
	// maxRegistrations is the number of latest nonces per target that are kept to
	// recognize late resends.
	maxRegistrations = 4
	// maxIntents is the maximum number of open load intents of one target.
	maxIntents = 256
	// maxClosedCommands is the number of latest closed command IDs per target that are kept
	// to recognize late duplicates.
	maxClosedCommands = 4
	// incarnationRetention is how long an unused target without open intents is kept.
	incarnationRetention = 30 * 24 * time.Hour
	// incarnationScanInterval is the time between scans while none finds an expired target.
	incarnationScanInterval = time.Minute
)

// incarnationTable holds the incarnation and the open load intents of each target.
type incarnationTable struct {
	byTarget map[string]*wire.IncarnationRecord
	// highestRemoved is the highest incarnation among the removed targets. New targets
	// start above it, because an engine may still hold the old fencing token and
	// must accept the new one.
	highestRemoved uint64
	// oldestUse is a lower bound of the last use of any target without open intents. It
	// only saves scans and is not part of the replicated state.
	oldestUse int64
}

// Incarnation returns the current incarnation of a target, 0 if it never registered.
func (m *Machine) Incarnation(target string) uint64 {
	return m.incarnations.byTarget[target].GetCurrent()
}

// register assigns the next incarnation to each new nonce. A known nonce gets its
// incarnation again, so that a late resend by an old process does not supersede the
// new one.
func (t *incarnationTable) register(now int64, req *wire.RegisterRequest) (*wire.RegisterReply, error) {
	if err := checkBytes("target", []byte(req.GetTarget()), maxNameBytes); err != nil {
		return nil, err
	}
	if err := checkBytes("nonce", req.GetNonce(), maxNonceBytes); err != nil {
		return nil, err
	}
	rec, ok := t.byTarget[req.GetTarget()]
	if !ok {
		rec = &wire.IncarnationRecord{Target: req.GetTarget(), Current: t.highestRemoved}
		t.byTarget[req.GetTarget()] = rec
	}
	rec.TouchedUnixMillis = now
	reply := &wire.RegisterReply{}
	for _, in := range rec.GetIntents() {
		reply.Intents = append(reply.Intents, proto.CloneOf(in))
	}
	for _, r := range rec.GetRegistrations() {
		if bytes.Equal(r.GetNonce(), req.GetNonce()) {
			reply.Incarnation = r.GetIncarnation()
			return reply, nil
		}
	}
	rec.Current++
	rec.Registrations = appendBounded(rec.GetRegistrations(),
		&wire.Registration{Nonce: req.GetNonce(), Incarnation: rec.GetCurrent()}, maxRegistrations)
	reply.Incarnation = rec.GetCurrent()
	return reply, nil
}

// intend opens a load intent of the current incarnation, or closes an intent. A
// close is accepted from any incarnation, because it reports what the engine has
// answered.
func (t *incarnationTable) intend(now int64, req *wire.IntendRequest) (*wire.IntendReply, error) {
	in := req.GetIntent()
	if err := checkBytes("target", []byte(in.GetTarget()), maxNameBytes); err != nil {
		return nil, err
	}
	if err := checkBytes("commandId", []byte(in.GetCommandId()), maxNameBytes); err != nil {
		return nil, err
	}
	rec, known := t.byTarget[in.GetTarget()]
	if !known {
		return &wire.IntendReply{Accepted: req.GetClose()}, nil
	}
	rec.TouchedUnixMillis = now
	at := slices.IndexFunc(rec.GetIntents(), func(o *wire.Intent) bool {
		return o.GetCommandId() == in.GetCommandId()
	})
	if req.GetClose() {
		if at >= 0 {
			rec.Intents = slices.Delete(rec.GetIntents(), at, at+1)
			rec.Closed = appendBounded(rec.GetClosed(), in.GetCommandId(), maxClosedCommands)
		}
		return &wire.IntendReply{Accepted: true}, nil
	}
	switch {
	case in.GetIncarnation() != rec.GetCurrent():
		return &wire.IntendReply{}, nil
	case slices.Contains(rec.GetClosed(), in.GetCommandId()):
		// A late duplicate would leave an intent that nobody closes. The reply is an
		// error and not a refusal, because a refusal tells the agent that it has been
		// superseded.
		return nil, fmt.Errorf("load intent %s of target %s is already closed", in.GetCommandId(), in.GetTarget())
	case at >= 0:
		return &wire.IntendReply{Accepted: true}, nil
	case len(rec.GetIntents()) >= maxIntents:
		return nil, fmt.Errorf("target %s has %d open intents, which is the maximum", in.GetTarget(), maxIntents)
	}
	rec.Intents = append(rec.GetIntents(), in)
	return &wire.IntendReply{Accepted: true}, nil
}

// incarnationExpired reports whether the target has expired.
func incarnationExpired(rec *wire.IncarnationRecord, now int64) bool {
	return len(rec.GetIntents()) == 0 && now-rec.GetTouchedUnixMillis() >= incarnationRetention.Milliseconds()
}

// due reports whether a target has expired. It scans the targets only if the least
// recently used one may have expired.
func (t *incarnationTable) due(now int64) bool {
	if now-t.oldestUse < incarnationRetention.Milliseconds() {
		return false
	}
	oldest, found := now, false
	for _, rec := range t.byTarget {
		found = found || incarnationExpired(rec, now)
		if len(rec.GetIntents()) == 0 {
			oldest = min(oldest, rec.GetTouchedUnixMillis())
		}
	}
	if !found {
		// Intents may be closed at any time, and their targets then expire by their
		// last use, so scan again after a pause.
		t.oldestUse = min(oldest, now-incarnationRetention.Milliseconds()+incarnationScanInterval.Milliseconds())
	}
	return found
}

func (t *incarnationTable) sweep(now int64) (removed int) {
	for target, rec := range t.byTarget {
		if incarnationExpired(rec, now) {
			t.highestRemoved = max(t.highestRemoved, rec.GetCurrent())
			delete(t.byTarget, target)
			removed++
		}
	}
	return removed
}

func (t *incarnationTable) save(s *wire.StateSnapshot) {
	s.ForgottenIncarnation = t.highestRemoved
	for _, rec := range t.byTarget {
		s.Incarnations = append(s.Incarnations, rec)
	}
	slices.SortFunc(s.Incarnations, func(a, b *wire.IncarnationRecord) int {
		return cmp.Compare(a.GetTarget(), b.GetTarget())
	})
}

func (t *incarnationTable) load(s *wire.StateSnapshot) {
	*t = incarnationTable{
		byTarget:       make(map[string]*wire.IncarnationRecord, len(s.GetIncarnations())),
		highestRemoved: s.GetForgottenIncarnation(),
	}
	for _, rec := range s.GetIncarnations() {
		t.byTarget[rec.GetTarget()] = rec
	}
}
