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
	// sendTimeout bounds one attempt to send an order, and one report of an engine. An
	// order without an answer is sent again.
	sendTimeout = 100 * time.Millisecond
	// maxSendAttempts limits the attempts to send one order.
	maxSendAttempts = 10
	// conflictRetryDelay is the delay before the next attempt after a conflict or a
	// failed report. It covers the time by which an engine's report lags behind its
	// orders.
	conflictRetryDelay = 200 * time.Millisecond
	// unloadDelay is the delay between the planned unload of a model and its order,
	// during which the entry instances learn that the model is going away.
	unloadDelay = 300 * time.Millisecond
	// effectPollInterval is the interval between two checks whether an order has taken
	// effect.
	effectPollInterval = 250 * time.Millisecond
	// effectTimeout is the time after the expected end of an order at which it counts as
	// failed if the engine is idle and the order has had no effect.
	effectTimeout = 1500 * time.Millisecond
	// failedTargetBackoff is how long a target gets no model orders after one has failed.
	failedTargetBackoff = 3 * time.Second
)

// SendResult is the outcome of sending an order to an engine.
type SendResult int

//go:generate stringer -type=SendResult -linecomment

// Outcomes of sending an order.
const (
	// Unanswered means that the engine may have accepted the order or may still do so.
	Unanswered SendResult = iota // unanswered
	// Accepted means that the engine executes the order.
	Accepted // accepted
	// Holds means that the effect of the order was already in place.
	Holds // holds
	// Conflict means that another order is in progress or that the order count differs.
	Conflict // conflict
	// Fenced means that the engine has seen a higher fencing token.
	Fenced // fenced
	// Invalid means that the engine does not know the model, or that the order reached
	// a different engine.
	Invalid // invalid
	// NotSent means that the engine cannot have received the order.
	NotSent // not sent
	// NoRoom means that the order would exceed the engine's limits and was not sent.
	NoRoom // no room
)

// EngineOrder is an order with the data that the engine uses to reject outdated ones.
type EngineOrder struct {
	scale.Order
	// Count is the number of orders that the engine is expected to have accepted so
	// far. The engine refuses the order if its own count differs, so an order that
	// arrives late has no effect.
	Count uint64
	// Holder identifies the instance that sends the order. Token is its fencing token;
	// engines that check tokens refuse orders with a lower one than they have seen.
	Holder string
	Token  uint64
}

// EngineState is the state that an engine reports about itself.
type EngineState struct {
	Held []scale.Held
	// Cached names the models whose weights the engine keeps outside its accelerator.
	Cached []string
	// Busy is set while the engine executes a model order.
	Busy bool
	// Count is the number of orders that the engine has accepted. It is set in reports
	// only, not in announcements.
	Count uint64
}

// Engines holds the functions to communicate with engines. They must be safe for
// concurrent use.
type Engines struct {
	Send   func(ctx context.Context, t fleet.Announcement, o EngineOrder) (SendResult, error)
	Report func(ctx context.Context, t fleet.Announcement) (EngineState, error)
}

// station is the leader's state of one engine.
type station struct {
	scale.Target
	// at is the engine's last announcement. Like Target, it is guarded by Fleet.mu.
	at fleet.Announcement
	// sending serializes the orders to this engine.
	sending sync.Mutex
	// count is the number of orders that the engine has accepted, valid if counted is
	// set. Both are guarded by sending.
	count   uint64
	counted bool
}

// records returns the models of a target as they are sent to entry instances. ordered
// reports whether a model order is planned or in progress. The caller holds mu.
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

// observe records the state that an engine announced and reports whether its models
// changed. The caller holds mu.
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

// touchAdapters updates the time of last use of the adapters in loads. The caller
// holds mu.
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

// plan runs the planner of each service that has engines and starts the planned
// orders. partial is set if there may be engines that have not announced themselves
// yet. The caller holds mu.
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

// mayOrder reports whether this instance still leads in the given term, st is still
// the current record of its target, and f is not closed.
func (f *Fleet) mayOrder(term uint64, st *station) bool {
	now, ok := f.svc.group.Leading()
	f.mu.Lock()
	defer f.mu.Unlock()
	return ok && now == term && f.term == term && f.stations[st.ID] == st && f.ctx.Err() == nil
}

// carryOut sends a model order and waits until it has taken effect or failed. took is
// the expected duration of the order.
func (f *Fleet) carryOut(term uint64, st *station, o scale.Order, took time.Duration) {
	if o.Op == scale.Unload && !f.pause(unloadDelay) {
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
		st.Drop(time.Now().Add(failedTargetBackoff))
		f.table.Touch(st.ID)
	}
	f.mu.Unlock()
}

// pause waits for d. It returns false if f is closed before that.
func (f *Fleet) pause(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// deliver sends an order until its outcome is known or all attempts are used up.
// Resending is safe because the engine accepts at most one order with the same order
// count. The caller holds st.sending.
func (f *Fleet) deliver(term uint64, st *station, o scale.Order) (result SendResult, err error) {
	result = NotSent
	open := false
	for range maxSendAttempts {
		done, cerr := f.recount(term, st, o, open)
		switch {
		case cerr != nil:
			err = cerr
			if !f.pause(conflictRetryDelay) {
				return result, err
			}
			continue
		case done:
			return Accepted, nil
		case !f.mayOrder(term, st):
			return result, fmt.Errorf("target or leadership lost: %w", err)
		case o.Op == scale.Load && !f.fits(st):
			return NoRoom, errors.New("order would exceed the limits of the engine")
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
			// The engine unloads an idle adapter immediately and counts the order as
			// accepted. For other orders, it is unknown whether they were counted.
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
			if !f.pause(conflictRetryDelay) {
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

// recount reads the order count from the engine if it is not known. open is set if an
// earlier attempt to send this order was not answered; done reports that the engine
// has accepted that attempt. The caller holds st.sending.
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
		return false, fmt.Errorf("read engine report: %w", err)
	}
	if e.Busy && o.Adapter == "" {
		if open {
			return true, nil
		}
		return false, errors.New("engine is executing another order")
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

// where returns the engine's last announcement, which contains its address.
func (f *Fleet) where(st *station) fleet.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return st.at
}

// fits reports whether everything that may be resident at the engine, orders in
// progress included, is within its limits.
func (f *Fleet) fits(st *station) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.engineOf(st)
	return err == nil && st.Fits(e)
}

// markSent records that the engine may have received its model order. Adapter orders
// are not tracked this way.
func (f *Fleet) markSent(st *station, o scale.Order) {
	if o.Adapter != "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	st.Sent = true
}

// awaitEffect waits until an announcement or a report shows that the order has taken
// effect, or until the order counts as failed. It polls the engine only after the
// expected end of the order.
func (f *Fleet) awaitEffect(term uint64, st *station, o scale.Order) {
	for f.mayOrder(term, st) {
		f.mu.Lock()
		over, readyAt := st.Order == nil || *st.Order != o, st.ReadyAt
		f.mu.Unlock()
		if over {
			return
		}
		if wait := time.Until(readyAt); wait > 0 {
			f.pause(min(wait, effectPollInterval))
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
		e, err := f.engines.Report(ctx, f.where(st))
		cancel()
		if err == nil {
			f.settle(st, o, e)
		}
		f.pause(effectPollInterval)
	}
}

// settle records a report made after the expected end of an order, and drops the order
// if it has failed.
func (f *Fleet) settle(st *station, o scale.Order, e EngineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	st.Cache(e.Cached)
	if st.Observe(now, e.Held) {
		f.table.Touch(st.ID)
	}
	if st.Order == nil || *st.Order != o || e.Busy || now.Sub(st.ReadyAt) < effectTimeout {
		return
	}
	f.log.Warn().Str("event", "orderWithoutEffect").Str("target", st.ID).Str("op", o.Op.String()).
		Str("model", o.Model).Uint64("count", e.Count).Msg("")
	f.count.orderFailures.Inc(1)
	st.Drop(now.Add(failedTargetBackoff))
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
