package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/wire"
)

const (
	// lossSavePeriod is the interval between two writes of the losses, if they have changed.
	lossSavePeriod = 100 * time.Millisecond
	// lossSaveTimeout bounds one write.
	lossSaveTimeout = time.Second
	// reportSaveTimeout bounds the wait of a report for the write of the losses in it. It is short
	// because the reply also shows the entry instance that it is in contact with control.
	reportSaveTimeout = 100 * time.Millisecond
)

var errSaveInProgress = errors.New("another write of the losses takes too long")

// recordLostRequests records the requests whose targets were lost while they ran them, and those
// that a target has completed. The caller holds mu.
func (f *Fleet) recordLostRequests(now time.Time, req *wire.FleetRequest) {
	for _, l := range req.GetLost() {
		if len(l.GetFingerprint()) != poison.FingerprintSize {
			continue
		}
		f.table.RecordBrokenRequest(now, l.GetTarget())
		process, parts := poison.Process{Target: l.GetTarget(), BornMillis: l.GetBornMillis()}, fingerprints(l.GetParts())
		ofCustomer := fingerprints(l.GetCustomerParts())
		f.lostRequests.RecordLoss(now, poison.Fingerprint(l.GetFingerprint()), process)
		f.lostParts.RecordLoss(now, parts, process)
		f.lostParts.RecordCustomerLoss(now, ofCustomer, process)
		firstAfter := f.table.SequenceAfter(now, l.GetTarget(), time.UnixMilli(l.GetBornMillis()), f.announcePeriod)
		f.lostRequests.RequireSequence(process, firstAfter)
		f.lostParts.RequireSequence(process, firstAfter)
		e := f.log.Warn().Str("event", "requestLost").Str("entry", req.GetName()).Str("target", l.GetTarget()).
			Hex("fingerprint", l.GetFingerprint()).Str("parts", fmt.Sprintf("%x", parts))
		if len(ofCustomer) > 0 {
			e = e.Str("customerParts", fmt.Sprintf("%x", ofCustomer))
		}
		e.Msg("")
	}
	for _, fp := range req.GetCompleted() {
		if len(fp) == poison.FingerprintSize {
			f.lostRequests.RecordCompletion(poison.Fingerprint(fp))
			f.lostParts.RecordCompletion(poison.Fingerprint(fp))
		}
	}
}

// suspects returns the requests and parts of prompts that are suspect or blocked, with the trials that
// the entry instance may make. The caller holds mu.
func (f *Fleet) suspects(now time.Time, req *wire.FleetRequest) []*wire.Suspect {
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

// restoreLosses fills the counts of a new term with those that the previous leader has recorded.
// The caller holds mu.
func (f *Fleet) restoreLosses(now time.Time) {
	f.svc.machineMu.RLock()
	defer f.svc.machineMu.RUnlock()
	saved := f.svc.machine.PartLosses()
	f.lostParts.Load(now, saved.GetParts())
	f.lostParts.LoadOfCustomers(now, saved.GetCustomerParts())
	f.lostRequests.Load(now, saved.GetRequests())
}

// saveLosses records the requests and the parts of prompts with which targets were lost, so that
// a new leader need not lose further targets to know them. It waits for a write in progress,
// which may not have them all.
func (f *Fleet) saveLosses(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lossSaveTimeout)
	defer cancel()
	if !f.savingLosses.tryLock(ctx, lossSaveTimeout) {
		return errSaveInProgress
	}
	defer f.savingLosses.unlock()
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil || !f.lostParts.Unsaved() && !f.lostRequests.Unsaved() {
		f.mu.Unlock()
		return nil
	}
	losses := &wire.PartLosses{
		Parts: f.lostParts.Save(), CustomerParts: f.lostParts.SaveOfCustomers(), Requests: f.lostRequests.Save(),
	}
	f.mu.Unlock()
	_, err := f.svc.propose(ctx, &wire.Command{Body: &wire.Command_PartLosses{PartLosses: losses}})
	if err != nil {
		f.mu.Lock()
		f.lostRequests.SaveAgain()
		f.mu.Unlock()
	}
	return err
}

// saveReported waits for the record of what a report says about lost requests, so that the entry
// instance sends it again if this leader ends before. If it takes too long, saveLosses records it
// later.
func (f *Fleet) saveReported(ctx context.Context, req *wire.FleetRequest) {
	if len(req.GetLost())+len(req.GetCompleted()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportSaveTimeout)
	defer cancel()
	if err := f.saveLosses(ctx); err != nil {
		f.log.Warn().Str("event", "lossesNotSaved").Str("entry", req.GetName()).Err(err).Msg("")
	}
}

// clearVerdict lifts the verdict on a request or on a part of prompts, for an operator.
func (f *Fleet) clearVerdict(fp poison.Fingerprint) (known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request, part := f.lostRequests.RecordCompletion(fp), f.lostParts.RecordCompletion(fp)
	return request || part
}

// lostSuspects returns the requests and parts of prompts that are suspects or blocked.
func (f *Fleet) lostSuspects(now time.Time) []*wire.Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.lostRequests.Suspects(now), f.lostParts.Suspects(now)...)
}

// Clear lifts the verdict on a request, or on a part of prompts, that targets were lost with. It is
// for operators who know that the loss had another cause.
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
	known := s.fleet.clearVerdict(poison.Fingerprint(req.GetFingerprint()))
	s.log.Warn().Str("event", "verdictLifted").Hex("fingerprint", req.GetFingerprint()).Bool("known", known).Msg("")
	return &wire.ClearReply{Known: known}, nil
}
