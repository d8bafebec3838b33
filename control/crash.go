package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/wire"
)

// ReportCrash records the crash of a target against the requests it was running.
func (s *service) ReportCrash(ctx context.Context, req *wire.CrashReport) (*wire.CrashReply, error) {
	reply, err := call(ctx, s, "ReportCrash", req.GetProtocol(),
		&wire.Command{Body: &wire.Command_Crash{Crash: req}}, (*wire.CommandReply).GetCrash)
	if err == nil {
		s.log.Warn().Str("event", "crashReported").Str("target", req.GetTarget()).
			Str("bootId", req.GetBootId()).Int("fingerprints", len(req.GetFingerprints())).Msg("")
	}
	return reply, err
}

// Judge decides whether a request may run. For a suspect request, it also grants the
// permit to run it on a target that runs no other request, or takes the permit back with
// the result of that run.
func (s *service) Judge(ctx context.Context, req *wire.JudgeRequest) (*wire.JudgeReply, error) {
	if len(req.GetAttempt()) > 0 && !req.GetDone() && !s.earlierCopiesEnded(time.Now(), req.GetFingerprint()) {
		// Grant no permit: a copy that was sent before the crash may still be running
		// and crash its target.
		req = proto.CloneOf(req)
		req.Attempt = nil
	}
	reply, err := call(ctx, s, "Judge", req.GetProtocol(),
		&wire.Command{Body: &wire.Command_Judge{Judge: req}}, (*wire.CommandReply).GetJudge)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	warm := s.table.Warm(time.Now())
	s.mu.Unlock()
	return poison.LeaderReply(reply, req.GetDone(), warm), nil
}

// earlierCopiesEnded reports whether all copies of the request that were sent before it
// became a suspect are known to have ended; this is unknown until the table is warm. It
// returns true for a request that is not a suspect.
func (s *service) earlierCopiesEnded(now time.Time, fingerprint []byte) bool {
	s.machineMu.RLock()
	version, suspect := s.machine.SuspectsVersion(), s.machine.Suspect(fingerprint)
	s.machineMu.RUnlock()
	if !suspect {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Warm(now) && s.acks.AllEnforce(version, fingerprint, s.table.Live(now))
}
