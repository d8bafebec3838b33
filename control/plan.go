package control

import (
	"sync"
	"time"

	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/wire"
)

// PlanView is what a planner decides on; it does not change any of it.
type PlanView struct {
	// Config is nil before the first publication.
	Config *wire.Config
	// Targets are the last announcements of all targets with a valid lease,
	// leaving ones included, ordered by name.
	Targets []*wire.Announcement
	// Demand is summed over the entry instances, ordered by model.
	Demand []*wire.Demand
	// Term is the leader's term; the stamps of its plans carry it.
	Term uint64
	// Warm is false while live targets may not have announced themselves yet.
	Warm bool
}

// placement runs lib/place, with a new planner for each term.
type placement struct {
	mu      sync.Mutex
	term    uint64
	planner *place.Planner
}

// Plan returns the plans that changed, by target.
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

// Decisions returns the latest decisions, newest first.
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

// tickPlan runs the planner and wakes the agents whose plan changed.
func (s *service) tickPlan(now time.Time) {
	term, err := s.lead()
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
		if b, ok := s.planBells.Load(target); ok {
			b.(*bell).ring()
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
