package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

const (
	// sendTimeout bounds one order; it is sent again after a lost answer.
	sendTimeout = 100 * time.Millisecond
	// sendTries bounds the sends of one order.
	sendTries = 10
	// conflictPause is how long an engine's report lags behind its orders.
	conflictPause = 200 * time.Millisecond
	// leaveNotice is the time between the news that a model leaves a target and its
	// unload, in which the entry instances hear of it.
	leaveNotice = 300 * time.Millisecond
	// effectPoll is the pause between two reports while an effect is awaited.
	effectPoll = 250 * time.Millisecond
	// failedAfter is how long after its expected end an order without effect at an
	// idle engine counts as failed.
	failedAfter = 1500 * time.Millisecond
	// avoidTime is how long a target gets no model order after a failed one.
	avoidTime = 3 * time.Second
)

// SendResult is an engine's answer to an order.
type SendResult int

//go:generate stringer -type=SendResult -linecomment

// Answers to orders.
const (
	// Unanswered: the engine may have taken the order, or take it later.
	Unanswered SendResult = iota // unanswered
	// Accepted: the engine carries the order out.
	Accepted // accepted
	// Holds: the order's effect was there before.
	Holds // holds
	// Conflict: another order is under way, or the count of orders differs.
	Conflict // conflict
	// Fenced: the engine has seen a higher token.
	Fenced // fenced
	// Invalid: the engine does not know the model, or is another one.
	Invalid // invalid
	// NotSent: the engine cannot have received the order.
	NotSent // not sent
	// NoRoom: the order would exceed the engine's limits and was not sent.
	NoRoom // no room
)

// EngineOrder is an order as it goes to an engine.
type EngineOrder struct {
	scale.Order
	// Count is the number of orders that the engine has accepted so far; it
	// refuses the order if that differs, also when the order arrives late.
	Count uint64
	// Holder names the instance that gives orders, and Token fences older ones.
	Holder string
	Token  uint64
}

// EngineState is what an engine says about itself.
type EngineState struct {
	Held []scale.Held
	// Cached names models whose weights it keeps outside its accelerator.
	Cached []string
	// Busy says that a model order is under way.
	Busy bool
	// Count is the number of orders accepted; valid in reports only.
	Count uint64
}

// Engines carries orders to engines; its functions are safe for concurrent use.
type Engines struct {
	Send   func(ctx context.Context, t fleet.Announcement, o EngineOrder) (SendResult, error)
	Report func(ctx context.Context, t fleet.Announcement) (EngineState, error)
}

// station is one engine as the leader's orders see it.
type station struct {
	scale.Target
	// at is the last announcement; it is guarded by Fleet.mu, as Target is.
	at fleet.Announcement
	// sending serializes the orders to this engine.
	sending sync.Mutex
	// count is the number of orders that the engine has accepted; counted is false
	// until it is known. Both are guarded by sending.
	count   uint64
	counted bool
}

// records returns the models of a target for entry instances; the caller holds mu.
func (f *Fleet) records(id string, held []fleet.Model) (list []*wire.FleetModel, ordered bool) {
	if st := f.stations[id]; st != nil {
		return st.Records(time.Now()), st.Order != nil
	}
	out := make([]*wire.FleetModel, 0, len(held))
	for _, h := range held {
		out = append(out, &wire.FleetModel{Name: h.Name, Adapters: h.Adapters})
	}
	return out, false
}

// observe takes the models that an engine announced; the caller holds mu.
func (f *Fleet) observe(now time.Time, a fleet.Announcement, e EngineState) bool {
	st := f.stations[a.ID]
	if st == nil {
		st = &station{Target: *scale.NewTarget(a.ID, a.Zone)}
		f.stations[a.ID] = st
	}
	st.at = a
	st.Cache(e.Cached)
	changed := st.Observe(now, e.Held)
	if changed {
		f.table.Touch(a.ID)
	}
	return changed
}

// touchAdapters notes which adapters are in use; the caller holds mu.
func (f *Fleet) touchAdapters(now time.Time, loads []*wire.TargetLoad) {
	for _, l := range loads {
		st := f.stations[l.GetTarget()]
		if st == nil {
			continue
		}
		for _, name := range l.GetAdapters() {
			model, adapter, _ := site.CutAdapter(name)
			if c := st.Copies[model]; c != nil && c.Adapters[adapter] != nil {
				c.Adapters[adapter].Used = now
			}
		}
	}
}

// plan runs the planner of each service with engines; partial says that more
// engines may be live. The caller holds mu.
func (f *Fleet) plan(now time.Time, live []fleet.Announcement, partial bool) {
	index := f.current()
	if index == nil {
		return
	}
	demand := f.demand(now)
	for i := range index.Config.Services {
		s := &index.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		v := scale.View{Now: now, Engine: s.Engine, Demand: demand, Partial: partial}
		for _, a := range live {
			if st := f.stations[a.ID]; st != nil && a.Service == s.Name {
				v.Targets = append(v.Targets, &st.Target)
			}
		}
		p := f.planners[s.Name]
		if p == nil {
			p = &scale.Planner{}
			f.planners[s.Name] = p
		}
		for _, t := range p.Tick(v) {
			st := f.stations[t.ID]
			f.log.Info().Str("event", "ordered").Str("target", t.ID).Str("op", t.Order.Op.String()).
				Str("model", t.Order.Model).Str("reason", t.Order.Reason).Str("for", t.Order.For).Uint64("term", f.term).
				Float64("work", demand[t.Order.Model].Work).Int("waiting", demand[t.Order.Model].Waiting).Msg("")
			f.table.Touch(t.ID)
			term, order, took := f.term, *t.Order, t.ReadyAt.Sub(now)
			f.wg.Go(func() { f.carryOut(term, st, order, took) })
		}
	}
}

// mayOrder says that this instance still leads in term, and that st is the
// station of its target.
func (f *Fleet) mayOrder(term uint64, st *station) bool {
	now, ok := f.svc.group.Leading()
	f.mu.Lock()
	defer f.mu.Unlock()
	return ok && now == term && f.term == term && f.stations[st.ID] == st && f.ctx.Err() == nil
}

// carryOut sends a model order until the engine has taken it, and waits for its effect.
func (f *Fleet) carryOut(term uint64, st *station, o scale.Order, took time.Duration) {
	if o.Op == scale.Unload && !f.pause(leaveNotice) {
		return
	}
	st.sending.Lock()
	result, err := f.deliver(term, st, o)
	st.sending.Unlock()
	f.log.Info().Str("event", "orderAnswered").Str("target", st.ID).Str("op", o.Op.String()).
		Str("model", o.Model).Uint64("term", term).Str("outcome", result.String()).Err(err).Msg("")
	f.mu.Lock()
	switch result {
	case Accepted, Holds, Unanswered:
		st.Accepted = time.Now()
		st.ReadyAt = st.Accepted.Add(took)
		f.table.Touch(st.ID)
		f.mu.Unlock()
		f.awaitEffect(term, st, o)
		return
	case Conflict, Fenced, Invalid, NoRoom, NotSent:
		f.count.orderFailures.Inc(1)
		st.Drop(time.Now().Add(avoidTime))
		f.table.Touch(st.ID)
	}
	f.mu.Unlock()
}

func (f *Fleet) pause(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// deliver sends an order until its outcome is known; the caller holds
// st.sending. The count of orders makes a resend safe: the engine takes at most
// one order with the same count.
func (f *Fleet) deliver(term uint64, st *station, o scale.Order) (result SendResult, err error) {
	result = NotSent
	open := false
	for range sendTries {
		done, cerr := f.recount(term, st, o, open)
		switch {
		case cerr != nil:
			err = cerr
			if !f.pause(conflictPause) {
				return result, err
			}
			continue
		case done:
			return Accepted, nil
		case !f.mayOrder(term, st):
			return result, fmt.Errorf("target or leadership lost: %w", err)
		case o.Op == scale.Load && !f.fits(st):
			return NoRoom, errors.New("the engine has no room for it")
		}
		f.markSent(st, o)
		ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
		f.count.orders.Inc(1)
		result, err = f.engines.Send(ctx, f.where(st), EngineOrder{Order: o, Count: st.count, Holder: f.holder, Token: term})
		cancel()
		switch result {
		case Accepted:
			st.count++
			return result, nil
		case Holds:
			// The engine carries out the unload of an idle adapter at once, and counts it.
			if o.Op == scale.Unload && o.Adapter != "" {
				st.count++
			} else {
				st.counted = false
			}
			return result, nil
		case Fenced, Invalid, NoRoom:
			return result, err
		case Conflict:
			st.counted = false
			if !f.pause(conflictPause) {
				return result, err
			}
		case Unanswered:
			open = true
		case NotSent:
			if !open {
				return result, err
			}
		}
	}
	if open {
		st.counted = false
		return Unanswered, err
	}
	return result, err
}

// recount reads how many orders the engine has accepted, if that is not known.
// open says that a send of this order had no answer; done that it was taken.
func (f *Fleet) recount(term uint64, st *station, o scale.Order, open bool) (done bool, err error) {
	if st.counted {
		return false, nil
	}
	if !f.mayOrder(term, st) {
		return false, errors.New("target or leadership lost")
	}
	ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
	defer cancel()
	e, err := f.engines.Report(ctx, f.where(st))
	if err != nil {
		return false, fmt.Errorf("report: %w", err)
	}
	if e.Busy && o.Adapter == "" {
		if open {
			return true, nil
		}
		return false, errors.New("engine carries out another order")
	}
	st.count, st.counted = e.Count, true
	f.mu.Lock()
	defer f.mu.Unlock()
	st.Cache(e.Cached)
	st.Observe(time.Now(), e.Held)
	if o.Adapter != "" {
		return open && scale.Holds(e.Held, o.Model, o.Adapter) == (o.Op == scale.Load), nil
	}
	return open && st.Order == nil, nil
}

// where returns the engine's last announcement, which names its address.
func (f *Fleet) where(st *station) fleet.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return st.at
}

// fits checks the engine's limits against all that may be resident there.
func (f *Fleet) fits(st *station) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.engineOf(st)
	return err == nil && st.Fits(e)
}

func (f *Fleet) markSent(st *station, o scale.Order) {
	if o.Adapter != "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	st.Sent = true
}

// awaitEffect polls the engine from the expected end of the order on, until an
// announcement or a report shows its effect, or that it had none.
func (f *Fleet) awaitEffect(term uint64, st *station, o scale.Order) {
	for f.mayOrder(term, st) {
		f.mu.Lock()
		over, readyAt := st.Order == nil || *st.Order != o, st.ReadyAt
		f.mu.Unlock()
		if over {
			return
		}
		if wait := time.Until(readyAt); wait > 0 {
			f.pause(min(wait, effectPoll))
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
		e, err := f.engines.Report(ctx, f.where(st))
		cancel()
		if err == nil {
			f.settle(st, o, e)
		}
		f.pause(effectPoll)
	}
}

// settle takes a report after the expected end of an order.
func (f *Fleet) settle(st *station, o scale.Order, e EngineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	st.Cache(e.Cached)
	if st.Observe(now, e.Held) {
		f.table.Touch(st.ID)
	}
	if st.Order == nil || *st.Order != o || e.Busy || now.Sub(st.ReadyAt) < failedAfter {
		return
	}
	f.log.Warn().Str("event", "orderWithoutEffect").Str("target", st.ID).Str("op", o.Op.String()).
		Str("model", o.Model).Uint64("count", e.Count).Msg("")
	f.count.orderFailures.Inc(1)
	st.Drop(now.Add(avoidTime))
	f.table.Touch(st.ID)
}

// members returns the addresses of the control instances.
func (s *service) members() []string {
	var out []string
	for _, m := range s.group.Members() {
		out = append(out, m.GetAddress())
	}
	return out
}
