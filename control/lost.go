package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/wire"
)

const (
	// partsPeriod is the interval between two writes of the parts of prompts with which
	// targets were lost, if they have changed.
	partsPeriod = 100 * time.Millisecond
	// partsTimeout bounds one write.
	partsTimeout = time.Second
)

// recordLostRequests records the requests whose targets were lost while they ran them,
// and returns the requests that are suspect or blocked. The caller holds mu.
func (f *Fleet) recordLostRequests(now time.Time, req *wire.FleetRequest) []*wire.Suspect {
	for _, l := range req.GetLost() {
		if len(l.GetFingerprint()) != poison.FingerprintSize {
			continue
		}
		f.table.RecordBrokenRequest(now, l.GetTarget())
		process, parts := poison.Process{Target: l.GetTarget(), BornMillis: l.GetBornMillis()}, fingerprints(l.GetParts())
		f.lostRequests.RecordLoss(now, poison.Fingerprint(l.GetFingerprint()), process)
		f.lostParts.RecordLoss(now, parts, process)
		f.log.Warn().Str("event", "requestLost").Str("entry", req.GetName()).Str("target", l.GetTarget()).
			Hex("fingerprint", l.GetFingerprint()).Str("parts", fmt.Sprintf("%x", parts)).Msg("")
	}
	for _, fp := range req.GetCompleted() {
		if len(fp) == poison.FingerprintSize {
			f.lostRequests.RecordCompletion(poison.Fingerprint(fp))
			f.lostParts.RecordCompletion(poison.Fingerprint(fp))
		}
	}
	return append(f.lostRequests.Suspects(now), f.startTrials(now, req, f.lostParts.Suspects(now))...)
}

// startTrials begins the trials of suspect parts that the entry instance wants and that are
// possible now. It returns the suspects with these trials. The caller holds mu.
func (f *Fleet) startTrials(now time.Time, req *wire.FleetRequest, suspects []*wire.Suspect) []*wire.Suspect {
	if len(req.GetWanted()) == 0 {
		return suspects
	}
	wanted := make(map[poison.Fingerprint]bool)
	for _, fp := range fingerprints(req.GetWanted()) {
		wanted[fp] = true
	}
	out := slices.Clone(suspects)
	for i, s := range out {
		fp := poison.Fingerprint(s.GetFingerprint())
		if !wanted[fp] || !f.lostParts.StartTrial(now, fp) {
			continue
		}
		// Replies share the other records.
		out[i] = proto.CloneOf(s)
		out[i].Trial = true
		f.log.Info().Str("event", "trialStarted").Str("entry", req.GetName()).Hex("part", fp[:]).Msg("")
	}
	return out
}

// fingerprints returns the valid ones of the given fingerprints.
func fingerprints(list [][]byte) []poison.Fingerprint {
	out := make([]poison.Fingerprint, 0, len(list))
	for _, fp := range list {
		if len(fp) == poison.FingerprintSize {
			out = append(out, poison.Fingerprint(fp))
		}
	}
	return out
}

// restoreParts fills the counts of a new term with those that the previous leader has
// recorded. The caller holds mu.
func (f *Fleet) restoreParts() {
	f.svc.machineMu.RLock()
	defer f.svc.machineMu.RUnlock()
	f.lostParts.Load(f.svc.machine.PartLosses())
}

// saveParts records the parts of prompts with which targets were lost, so that a new leader
// need not lose further targets to know them.
func (f *Fleet) saveParts(ctx context.Context) error {
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil {
		f.mu.Unlock()
		return nil
	}
	losses, changed := f.lostParts.Save()
	f.mu.Unlock()
	if !changed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, partsTimeout)
	defer cancel()
	_, err := f.svc.propose(ctx, &wire.Command{Body: &wire.Command_PartLosses{PartLosses: losses}})
	if err != nil {
		f.mu.Lock()
		f.lostParts.SaveAgain()
		f.mu.Unlock()
	}
	return err
}

// clearPart lifts the verdict on a part of prompts, for an operator.
func (f *Fleet) clearPart(fp poison.Fingerprint) (known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostParts.RecordCompletion(fp)
}

// lostSuspects returns the requests and parts of prompts that are suspects or blocked.
func (f *Fleet) lostSuspects(now time.Time) []*wire.Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.lostRequests.Suspects(now), f.lostParts.Suspects(now)...)
}

// Clear lifts the verdict on a part of prompts that targets were lost with. It is for
// operators who know that the loss had another cause.
func (s *service) Clear(_ context.Context, req *wire.ClearRequest) (*wire.ClearReply, error) {
	if err := link.CheckProtocol(req.GetProtocol()); err != nil {
		return nil, err
	}
	if _, err := s.requireLeader(); err != nil {
		return nil, err
	}
	if len(req.GetFingerprint()) != poison.FingerprintSize {
		return nil, link.Errorf(link.CodeInvalid, "fingerprint has %d bytes, want %d", len(req.GetFingerprint()), poison.FingerprintSize)
	}
	if s.fleet == nil {
		return nil, link.Errorf(link.CodeInvalid, "this group has no targets that announce themselves")
	}
	known := s.fleet.clearPart(poison.Fingerprint(req.GetFingerprint()))
	s.log.Warn().Str("event", "verdictLifted").Hex("fingerprint", req.GetFingerprint()).Bool("known", known).Msg("")
	return &wire.ClearReply{Known: known}, nil
}
