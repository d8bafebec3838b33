package control

import (
	"sync"
	"time"

	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/wire"
)

// PlanView is the input of a planner. The planner must not modify it.
type PlanView struct {
	// Config is nil before the first publication.
	Config *wire.Config
	// Targets holds the last announcement of each target with a valid lease, including
	// leaving targets, ordered by name.
	Targets []*wire.Announcement
	// Demand is the total over all entry instances, ordered by model.
	Demand []*wire.Demand
	// Term is the leader's term. It is part of the stamp of each plan.
	Term uint64
	// Warm is false while there may be live targets that have not announced themselves
	// to this leader yet.
	Warm bool
}

// placement runs lib/place, with a new planner for each term.
type placement struct {
	mu      sync.Mutex
	term    uint64
	planner *place.Planner
}

// Plan returns the changed plans by target.
func (p *placement) Plan(now time.Time, view PlanView) map[string]*wire.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil || p.term != view.Term {
		p.planner, p.term = place.New(view.Term), view.Term
	}
	v := place.View{
		Term: view.Term, Config: view.Config, Targets: view.Targets, Warm: view.Warm,
		Demand: make(map[string]place.Demand, len(view.Demand)),
	}
	for _, d := range view.Demand {
		v.Demand[d.GetModel()] = place.Demand{
			RequestsPerSecond: d.GetRequestsPerSecond(),
			UnservedPerSecond: d.GetUnservedPerSecond(),
		}
	}
	return p.planner.Tick(now, v)
}

// Decisions describes the most recent decisions of the planner, newest first.
func (p *placement) Decisions() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil {
		return nil
	}
	list := p.planner.Decisions()
	out := make([]string, len(list))
	for i, d := range list {
		out[i] = d.String()
	}
	return out
}

// runPlanner runs the planner, stores the changed plans and wakes the long polls of their
// agents. It drops the plans of targets whose lease has expired. It does nothing if this
// instance does not lead.
func (s *service) runPlanner(now time.Time) {
	term, err := s.requireLeader()
	if err != nil {
		return
	}
	s.machineMu.RLock()
	view := PlanView{Term: term, Config: s.machine.Config()}
	s.machineMu.RUnlock()
	s.mu.Lock()
	view.Targets, view.Demand, view.Warm = s.table.Live(now), s.table.Demand(now), s.table.Warm(now)
	s.mu.Unlock()

	plans := s.Plan(now, view)

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		return
	}
	for target, plan := range plans {
		if member.CompareStamps(plan.GetStamp(), s.plans[target].GetStamp()) <= 0 {
			continue
		}
		s.plans[target] = plan
		if n, ok := s.planNotifiers.Load(target); ok {
			n.(*notifier).notify()
		}
	}
	live := make(map[string]bool, len(view.Targets))
	for _, a := range view.Targets {
		live[a.GetTarget()] = true
	}
	for target := range s.plans {
		if !live[target] {
			delete(s.plans, target)
		}
	}
}
