package entry

import (
	"context"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
	// maxSyncWait is how long the leader may delay its reply while there are no
	// changes.
	maxSyncWait = time.Second
	// syncTimeout bounds one Sync with all its retries.
	syncTimeout = 5 * time.Second
	// minSyncPause bounds the rate of Sync calls while the directory changes
	// constantly.
	minSyncPause = 50 * time.Millisecond
	// retryPause is the pause after an error, and while a new leader is still
	// collecting announcements: such a leader does not delay its replies, and each
	// contains its whole directory.
	retryPause = 250 * time.Millisecond
)

// syncer keeps the configuration, the target directory and the suspects up to date.
type syncer struct {
	s *server
	// term and version identify the directory in use.
	term, version    uint64
	lastDemandReport time.Time
	// directoryIncomplete is set if the last reply came from a leader whose directory
	// is not yet complete.
	directoryIncomplete bool
}

// run syncs until ctx ends, then notifies control that the instance is leaving.
func (sy *syncer) run(ctx context.Context) {
	sy.lastDemandReport = time.Now()
	for ctx.Err() == nil {
		err := sy.syncOnce(ctx)
		if err != nil && ctx.Err() == nil {
			sy.s.log.Warn().Str("event", "syncFailed").Err(err).Msg("")
		}
		pause := minSyncPause
		if sy.directoryIncomplete || err != nil {
			pause = retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	// Best effort: if this call fails, the lease expires.
	leaveCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = sy.s.leader.Call(leaveCtx, func(ctx context.Context, c wire.DRPCControlClient) error {
		req := sy.newRequest(0)
		req.Leaving = true
		_, err := c.Sync(ctx, req)
		return err
	})
}

func (sy *syncer) newRequest(wait time.Duration) *wire.SyncRequest {
	sy.s.routing.mu.Lock()
	suspects := sy.s.routing.suspects.Version()
	sy.s.routing.mu.Unlock()
	return &wire.SyncRequest{
		Protocol: link.Protocol, Role: wire.Role_ROLE_ENTRY, Name: sy.s.name, Zone: sy.s.zone,
		ConfigVersion: sy.s.configVersion(), DirectoryTerm: sy.term, DirectoryVersion: sy.version,
		SuspectsVersion: suspects, WaitMillis: uint32(wait.Milliseconds()), AcceptPacked: true,
	}
}

// syncOnce reports the demand and applies the reply.
func (sy *syncer) syncOnce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	now, sent := time.Now(), sy.s.contact.Now()
	demand := sy.s.routing.demand(now.Sub(sy.lastDemandReport))
	sy.lastDemandReport = now
	req := sy.newRequest(maxSyncWait)
	req.Demand = demand
	var reply *wire.SyncReply
	err := sy.s.leader.Call(callCtx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Sync(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	if err := link.CheckProtocol(reply.GetProtocol()); err != nil {
		return err
	}
	if reply.Config, err = wire.UnpackConfig(reply); err != nil {
		return err
	}
	sy.apply(reply, time.Now())
	sy.s.contact.Answered(sent)
	return nil
}

// apply applies a reply to the local state.
func (sy *syncer) apply(reply *wire.SyncReply, now time.Time) {
	sy.directoryIncomplete = !reply.GetDirectoryWarm()
	if c := reply.GetConfig(); c != nil && c.GetVersion() > sy.s.configVersion() {
		sy.s.config.Store(newConfigIndex(c))
		sy.s.metrics.configVersion.Update(float64(c.GetVersion()))
		sy.s.log.Info().Str("event", "configured").Uint64("version", c.GetVersion()).Msg("")
	}
	sy.s.routing.mu.Lock()
	defer sy.s.routing.mu.Unlock()
	sy.s.routing.suspects.Replace(reply.GetSuspectsVersion(), reply.GetSuspects())
	sy.applyDirectory(reply, now)
}

// applyDirectory applies the target records of a reply. The mutex of the routing state
// must be held.
func (sy *syncer) applyDirectory(reply *wire.SyncReply, now time.Time) {
	table := sy.s.routing.table
	switch {
	case reply.GetDirectoryTerm() < sy.term:
		// Reply of a deposed leader.
	case reply.GetDirectoryTerm() > sy.term && (!reply.GetDirectoryWarm() || !reply.GetDirectoryWhole()):
		// A new leader does not know all targets yet. Its records are used, but targets
		// missing from them are kept. Term and version stay unchanged, so that the
		// leader sends its whole directory once it is warm.
		table.Update(withoutRemoved(reply.GetTargets()), now)
	case reply.GetDirectoryTerm() == sy.term && reply.GetDirectoryVersion() < sy.version:
		// Outdated reply.
	case reply.GetDirectoryWhole():
		table.Replace(reply.GetTargets(), now)
		sy.term, sy.version = reply.GetDirectoryTerm(), reply.GetDirectoryVersion()
	default:
		table.Update(reply.GetTargets(), now)
		sy.term, sy.version = reply.GetDirectoryTerm(), reply.GetDirectoryVersion()
	}
}

func withoutRemoved(records []*wire.TargetRecord) []*wire.TargetRecord {
	var out []*wire.TargetRecord
	for _, r := range records {
		if !r.GetRemoved() {
			out = append(out, r)
		}
	}
	return out
}
