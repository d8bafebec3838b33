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
	// collecting announcements: such a leader replies at once and with its whole
	// directory.
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
func (y *syncer) run(ctx context.Context) {
	y.lastDemandReport = time.Now()
	for ctx.Err() == nil {
		err := y.syncOnce(ctx)
		if err != nil && ctx.Err() == nil {
			y.s.log.Warn().Str("event", "syncFailed").Err(err).Msg("")
		}
		pause := minSyncPause
		if y.directoryIncomplete || err != nil {
			pause = retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	// Best effort: if this call fails, the lease expires.
	signOff, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = y.s.leader.Call(signOff, func(ctx context.Context, c wire.DRPCControlClient) error {
		req := y.newRequest(0)
		req.Leaving = true
		_, err := c.Sync(ctx, req)
		return err
	})
}

func (y *syncer) newRequest(wait time.Duration) *wire.SyncRequest {
	y.s.routing.mu.Lock()
	suspects := y.s.routing.suspects.Version()
	y.s.routing.mu.Unlock()
	return &wire.SyncRequest{
		Protocol: link.Protocol, Role: wire.Role_ROLE_ENTRY, Name: y.s.name, Zone: y.s.zone,
		ConfigVersion: y.s.configVersion(), DirectoryTerm: y.term, DirectoryVersion: y.version,
		SuspectsVersion: suspects, WaitMillis: uint32(wait.Milliseconds()), AcceptPacked: true,
	}
}

// syncOnce reports the demand and applies the reply.
func (y *syncer) syncOnce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	now := time.Now()
	demand := y.s.routing.demand(now.Sub(y.lastDemandReport))
	y.lastDemandReport = now
	req := y.newRequest(maxSyncWait)
	req.Demand = demand
	var reply *wire.SyncReply
	err := y.s.leader.Call(callCtx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Sync(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	if err := link.CheckProtocol(reply.GetProtocol()); err != nil {
		return err
	}
	if reply.Config, err = wire.ConfigOf(reply); err != nil {
		return err
	}
	y.apply(reply, time.Now())
	return nil
}

// apply applies a reply to the local state.
func (y *syncer) apply(reply *wire.SyncReply, now time.Time) {
	y.s.lastContact.Store(now.UnixNano())
	y.directoryIncomplete = !reply.GetDirectoryWarm()
	if c := reply.GetConfig(); c != nil && c.GetVersion() > y.s.configVersion() {
		y.s.config.Store(newConfigIndex(c))
		y.s.metrics.config.Update(float64(c.GetVersion()))
		y.s.log.Info().Str("event", "configured").Uint64("version", c.GetVersion()).Msg("")
	}
	y.s.routing.mu.Lock()
	defer y.s.routing.mu.Unlock()
	y.s.routing.suspects.Replace(reply.GetSuspectsVersion(), reply.GetSuspects())
	y.applyDirectory(reply, now)
}

// applyDirectory applies the target records of a reply. The mutex of the routing state
// must be held.
func (y *syncer) applyDirectory(reply *wire.SyncReply, now time.Time) {
	table := y.s.routing.table
	switch {
	case reply.GetDirectoryTerm() < y.term:
		// Reply of a deposed leader.
	case reply.GetDirectoryTerm() > y.term && (!reply.GetDirectoryWarm() || !reply.GetDirectoryWhole()):
		// A new leader does not know all targets yet. Its records are used, but targets
		// missing from them are kept. Term and version stay unchanged, so that the
		// leader sends its whole directory once it is warm.
		table.Update(withoutRemoved(reply.GetTargets()), now)
	case reply.GetDirectoryTerm() == y.term && reply.GetDirectoryVersion() < y.version:
		// Outdated reply.
	case reply.GetDirectoryWhole():
		table.Replace(reply.GetTargets(), now)
		y.term, y.version = reply.GetDirectoryTerm(), reply.GetDirectoryVersion()
	default:
		table.Update(reply.GetTargets(), now)
		y.term, y.version = reply.GetDirectoryTerm(), reply.GetDirectoryVersion()
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
