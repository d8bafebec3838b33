package control

import (
	"context"
	"time"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/wire"
)

const (
	// leaseCheckInterval is far shorter than the lease, so that a lost target is
	// removed within 3.1 s.
	leaseCheckInterval = 100 * time.Millisecond
	// maxSweptClaims limits the claims that one log entry removes.
	maxSweptClaims = 4096
)

func (s *service) tasks(c Control) []daemon.Task {
	return []daemon.Task{
		{Name: "expireLeases", Period: leaseCheckInterval, Run: func(context.Context) error {
			s.expireLeases(time.Now())
			return nil
		}},
		{Name: "sweepClaims", Period: c.SweepPeriod, Run: func(ctx context.Context) error {
			return s.sweep(ctx, time.Now())
		}},
		{Name: "forgetCallers", Period: member.Retention, Run: func(context.Context) error {
			s.forgetCallers(time.Now())
			return nil
		}},
		{Name: "plan", Period: c.PlanPeriod, Run: func(context.Context) error {
			s.runPlanner(time.Now())
			return nil
		}},
	}
}

// expireLeases removes targets whose lease has expired and reports the publications that
// are in effect at all processes. It does nothing if this instance does not lead.
func (s *service) expireLeases(now time.Time) {
	if _, err := s.requireLeader(); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, before := s.table.Version()
	for _, target := range s.table.Tick(now) {
		s.log.Warn().Str("event", "targetDown").Str("target", target).Msg("")
	}
	if _, after := s.table.Version(); after != before {
		s.directoryChanged.notify()
	}
	s.metrics.directory.Update(float64(s.table.Size()))
	for len(s.pendingPublications) > 0 && s.table.Warm(now) {
		p := s.pendingPublications[0]
		if s.table.CountOutdated(now, p.version) > 0 {
			return
		}
		s.metrics.inEffect.Record(now.Sub(p.at))
		s.log.Info().Str("event", "inEffect").Uint64("version", p.version).
			Dur("after", now.Sub(p.at)).Msg("")
		s.pendingPublications = s.pendingPublications[1:]
	}
}

// forgetCallers removes the records of directory replies and plans sent more than
// member.Retention ago, and the notifiers of targets that are not in the table. Replaced
// instances come back under new names, so this data would grow without limit. Directory
// replies are kept until the table is warm, because addDirectory uses them until then.
func (s *service) forgetCallers(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, last := range s.directoryReplies {
		if now.Sub(last.at) > member.Retention && s.table.Warm(now) {
			delete(s.directoryReplies, name)
		}
	}
	for target, last := range s.sentPlans {
		if now.Sub(last.at) > member.Retention {
			delete(s.sentPlans, target)
		}
	}
	known := make(map[string]bool)
	for _, a := range s.table.All() {
		known[a.GetTarget()] = true
	}
	s.planNotifiers.Range(func(target, _ any) bool {
		if !known[target.(string)] {
			s.planNotifiers.Delete(target)
		}
		return true
	})
}

// sweep removes expired state, if there is any, by replicated commands. It does nothing
// if this instance does not lead.
func (s *service) sweep(ctx context.Context, now time.Time) error {
	if _, ok := s.group.Leading(); !ok {
		return nil
	}
	for {
		s.machineMu.Lock()
		due := s.machine.SweepDue(now)
		s.machineMu.Unlock()
		if !due {
			return nil
		}
		reply, err := s.propose(ctx, &wire.Command{
			Body: &wire.Command_Sweep{Sweep: &wire.SweepRequest{Limit: maxSweptClaims}},
		})
		if err != nil || !reply.GetSweep().GetMore() {
			return err
		}
	}
}
