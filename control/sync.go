package control

import (
	"context"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/wire"
)

const (
	maxWait = time.Second
	// minDirectoryInterval is the minimum interval between two directory replies to one
	// entry instance, so that a frequently changing directory does not cost one Sync
	// for each change.
	minDirectoryInterval = 200 * time.Millisecond
	// wholeDirectoryRecordTime is the time reserved for each record of a whole
	// directory before the next whole directory may be sent. When all entry instances
	// ask at once, this keeps the replies from delaying announcements past their lease:
	// 510 directories of 6,400 records, each of about 216 bytes, are spread over 3.3 s.
	wholeDirectoryRecordTime = time.Microsecond
	// planResendDelay is the delay before an unacknowledged plan is sent again.
	planResendDelay = 500 * time.Millisecond
	// maxPendingPublications limits the publications that are tracked until they are in
	// effect.
	maxPendingPublications = 64
)

// directoryReply describes the last directory reply to an entry instance in this term.
type directoryReply struct {
	at      time.Time
	version uint64
}

// sentPlan describes the last plan that was sent to an agent.
type sentPlan struct {
	stamp *wire.Stamp
	at    time.Time
}

// Sync records the state that the caller reports and replies as soon as there are
// changes for the caller, or after at most one second.
func (s *service) Sync(ctx context.Context, req *wire.SyncRequest) (reply *wire.SyncReply, err error) {
	ctx, end, err := s.begin(ctx, "Sync", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	if err := checkSync(req); err != nil {
		return nil, err
	}
	term, err := s.requireLeader()
	if err != nil {
		return nil, err
	}
	s.metrics.syncs.Inc(1)
	s.recordReport(time.Now(), req)
	reply, err = s.poll(ctx, req)
	if err != nil {
		return nil, err
	}
	if req.GetConfigVersion() == 0 && reply.GetConfig() != nil {
		if err := s.confirmConfig(ctx, reply); err != nil {
			return nil, err
		}
	}
	if err := s.packConfig(req, reply); err != nil {
		return nil, err
	}
	// If this instance was paused or deposed in the meantime, the reply may be outdated
	// and must not be sent.
	if current, ok := s.group.Leading(); !ok || current != term {
		return nil, s.notLeader()
	}
	return reply, nil
}

func checkSync(req *wire.SyncRequest) error {
	switch {
	case req.GetName() == "":
		return link.Errorf(link.CodeInvalid, "sync has no name")
	case req.GetRole() == wire.Role_ROLE_ENTRY:
		return nil
	case req.GetRole() != wire.Role_ROLE_AGENT:
		return link.Errorf(link.CodeInvalid, "sync of %s has role %d", req.GetName(), req.GetRole())
	case req.GetAnnouncement().GetTarget() != req.GetName():
		return link.Errorf(link.CodeInvalid, "agent %s announces target %q",
			req.GetName(), req.GetAnnouncement().GetTarget())
	}
	return nil
}

// confirmConfig sets the configuration of a first reply after the quorum has confirmed
// this leader, so that a process never starts on an outdated configuration from a
// partitioned leader.
func (s *service) confirmConfig(ctx context.Context, reply *wire.SyncReply) error {
	if err := s.group.Confirm(ctx); err != nil {
		return s.proposeError(err)
	}
	s.machineMu.RLock()
	defer s.machineMu.RUnlock()
	reply.Config = s.machine.Config()
	reply.ConfigVersion = reply.Config.GetVersion()
	return nil
}

// packConfig replaces the configuration in the reply by its compressed encoding if the
// caller accepts that. The encoding is cached, because it is the same for all callers.
// Uncompressed configurations would be most of the data that control sends.
func (s *service) packConfig(req *wire.SyncRequest, reply *wire.SyncReply) error {
	if reply.GetConfig() == nil || !req.GetAcceptPacked() {
		return nil
	}
	s.packMu.Lock()
	defer s.packMu.Unlock()
	if s.packedFrom != reply.GetConfig() {
		data, err := wire.PackConfig(reply.GetConfig())
		if err != nil {
			return err
		}
		s.packedFrom, s.packed = reply.GetConfig(), data
	}
	reply.PackedConfig, reply.Config = s.packed, nil
	return nil
}

// recordReport records the state that the caller reports about itself.
func (s *service) recordReport(now time.Time, req *wire.SyncRequest) {
	superseded := s.superseded(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, before := s.table.Version()
	a := req.GetAnnouncement()
	switch {
	case superseded:
	case req.GetLeaving() && req.GetRole() == wire.Role_ROLE_AGENT:
		s.table.Leave(req.GetName(), a.GetIncarnation())
		s.log.Info().Str("event", "targetLeft").Str("target", req.GetName()).Msg("")
	case req.GetLeaving():
		s.table.RemoveProcess(req.GetRole(), req.GetName())
		delete(s.directoryReplies, req.GetName())
		s.log.Info().Str("event", "entryLeft").Str("entry", req.GetName()).Msg("")
	default:
		s.table.RecordSync(now, req.GetRole(), req.GetName(), req.GetZone(), req.GetConfigVersion())
		if req.GetRole() == wire.Role_ROLE_ENTRY {
			s.table.RecordDemand(now, req.GetName(), req.GetDemand())
			break
		}
		s.acks[req.GetName()] = poison.Ack{Version: req.GetSuspectsVersion(), Running: req.GetRunningSuspects()}
		if c := s.table.Announce(now, a); c.From != c.To {
			s.log.Info().Str("event", "targetPhase").Str("target", req.GetName()).
				Str("from", wire.Label(c.From)).Str("to", wire.Label(c.To)).
				Uint64("incarnation", a.GetIncarnation()).Msg("")
		}
	}
	if _, after := s.table.Version(); after != before {
		s.directoryChanged.notify()
	}
}

// superseded reports whether a newer incarnation of the caller's target has
// registered. It is always false for entry instances.
func (s *service) superseded(req *wire.SyncRequest) bool {
	if req.GetRole() != wire.Role_ROLE_AGENT {
		return false
	}
	s.machineMu.RLock()
	defer s.machineMu.RUnlock()
	return s.machine.Incarnation(req.GetName()) > req.GetAnnouncement().GetIncarnation()
}

// poll waits until there are changes for the caller, the long poll times out or the
// shutdown begins, and returns the reply.
func (s *service) poll(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	wait := min(time.Duration(req.GetWaitMillis())*time.Millisecond, s.maxWait)
	if req.GetLeaving() {
		wait = 0
	}
	deadline := time.Now().Add(wait)
	callerNotifier := s.callerNotifier(req)
	for {
		// The channels are obtained before the state is read, so that no change in
		// between is missed.
		stateChanged, callerChanged := s.stateChanged.wait(), callerNotifier.wait()
		now := time.Now()
		last := !now.Before(deadline) || s.stopping()
		reply, changes, retryAfter := s.buildReply(now, req, last)
		if last || changes {
			return reply, nil
		}
		timer := time.NewTimer(min(retryAfter, deadline.Sub(now)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		case <-stateChanged:
			if _, ok := s.group.Leading(); !ok {
				timer.Stop()
				return nil, s.notLeader()
			}
		case <-callerChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// callerNotifier returns the notifier for the changes that concern the caller: that of
// the directory for entry instances, and that of the target's plan for agents.
func (s *service) callerNotifier(req *wire.SyncRequest) *notifier {
	if req.GetRole() == wire.Role_ROLE_ENTRY {
		return &s.directoryChanged
	}
	n, _ := s.planNotifiers.LoadOrStore(req.GetName(), &notifier{})
	return n.(*notifier)
}

// stopping reports whether the shutdown has begun.
func (s *service) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// buildReply builds the reply at time now. changes reports whether the reply contains
// changes; retryAfter is the delay after which to try again otherwise. force skips
// minDirectoryInterval.
func (s *service) buildReply(now time.Time, req *wire.SyncRequest, force bool) (
	reply *wire.SyncReply, changes bool, retryAfter time.Duration,
) {
	reply = &wire.SyncReply{
		Protocol: link.Protocol, DirectoryTerm: req.GetDirectoryTerm(),
		DirectoryVersion: req.GetDirectoryVersion(), SuspectsVersion: req.GetSuspectsVersion(),
	}
	reply.Superseded = s.superseded(req)
	changes = reply.GetSuperseded()
	s.machineMu.RLock()
	reply.ConfigVersion = s.machine.Config().GetVersion()
	if reply.GetConfigVersion() > req.GetConfigVersion() {
		reply.Config, changes = s.machine.Config(), true
	}
	if v := s.machine.SuspectsVersion(); v > req.GetSuspectsVersion() {
		reply.SuspectsVersion, reply.Suspects, changes = v, s.machine.Suspects(), true
	}
	s.machineMu.RUnlock()

	s.mu.Lock()
	defer s.mu.Unlock()
	reply.DirectoryWarm = s.table.Warm(now)
	if req.GetRole() == wire.Role_ROLE_AGENT {
		retryAfter = s.maxWait
		if s.addPlan(now, req, reply) {
			changes = true
		}
		return reply, changes, retryAfter
	}
	added, retryAfter := s.addDirectory(now, req, reply, force || changes)
	return reply, changes || added, retryAfter
}

// addDirectory adds the directory records that the entry instance does not have yet. It
// returns whether it did, and otherwise the delay after which to try again.
//
// Until the table is warm, an entry instance keeps its directory of the last term and
// reports the version of that one. The version in the last reply to it is used instead,
// so that it gets each record of this term once: the whole directory with every reply
// would amount to gigabytes in the largest intended deployment.
func (s *service) addDirectory(now time.Time, req *wire.SyncRequest, reply *wire.SyncReply, force bool) (bool, time.Duration) {
	term, version := s.table.Version()
	heldTerm, held := req.GetDirectoryTerm(), req.GetDirectoryVersion()
	last := s.directoryReplies[req.GetName()]
	if heldTerm != term && last.version > 0 && req.GetConfigVersion() > 0 && !s.table.Warm(now) {
		heldTerm, held = term, last.version
	}
	if heldTerm == term && held >= version {
		return false, s.maxWait
	}
	if pause := last.at.Add(minDirectoryInterval).Sub(now); pause > 0 && !force {
		return false, pause
	}
	d := s.table.ChangesSince(heldTerm, held)
	if d.Full {
		if pause := s.nextWholeDirectory.Sub(now); pause > 0 {
			return false, pause
		}
		s.nextWholeDirectory = now.Add(time.Duration(len(d.Targets)) * wholeDirectoryRecordTime)
	}
	reply.DirectoryTerm, reply.DirectoryVersion = d.Term, d.Version
	reply.DirectoryWhole, reply.Targets = d.Full, d.Targets
	s.directoryReplies[req.GetName()] = directoryReply{at: now, version: d.Version}
	return true, 0
}

// addPlan adds the target's plan to the reply if its agent has not acknowledged it yet,
// and reports whether it did.
func (s *service) addPlan(now time.Time, req *wire.SyncRequest, reply *wire.SyncReply) bool {
	p := s.plans[req.GetName()]
	if p == nil || reply.GetSuperseded() || req.GetLeaving() ||
		member.CompareStamps(p.GetStamp(), req.GetAnnouncement().GetPlanAck()) <= 0 {
		return false
	}
	last := s.sentPlans[req.GetName()]
	if member.CompareStamps(last.stamp, p.GetStamp()) == 0 && now.Sub(last.at) < planResendDelay {
		return false
	}
	s.sentPlans[req.GetName()] = sentPlan{stamp: p.GetStamp(), at: now}
	reply.Plan = p
	return true
}
