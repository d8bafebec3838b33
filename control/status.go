package control

import (
	"context"
	"time"

	"bulrushpath.example/lib/wire"
)

// Status returns the state of the whole system for the operators' command line tool.
// The quorum confirms it, because operators publish on top of the version shown here.
func (s *service) Status(ctx context.Context, req *wire.StatusRequest) (reply *wire.StatusReply, err error) {
	ctx, end, err := s.begin(ctx, "Status", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	term, err := s.requireLeader()
	if err != nil {
		return nil, err
	}
	if err := s.group.Confirm(ctx); err != nil {
		return nil, s.proposeError(err)
	}
	reply = &wire.StatusReply{Leader: s.id, Term: term, Members: s.group.Members()}
	s.machineMu.RLock()
	reply.Config = s.machine.Config()
	reply.ConfigVersion = reply.Config.GetVersion()
	if reply.GetConfigVersion() > 0 {
		operator, at := s.machine.Published()
		reply.Operator, reply.PublishedUnixMillis = operator, at.UnixMilli()
	}
	reply.Suspects = s.machine.Suspects()
	reply.Claims = uint64(s.machine.Claims())
	s.machineMu.RUnlock()
	if s.fleet != nil {
		reply.Suspects = append(reply.Suspects, s.fleet.lostSuspects(time.Now())...)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reply.Warm = s.table.Warm(now)
	reply.Processes = s.table.Processes(now)
	reply.Targets = s.table.All()
	if s.Decisions != nil {
		reply.Decisions = s.Decisions()
	}
	return reply, nil
}
