package control

import (
	"context"
	"errors"
	"fmt"
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

// errOrderAbandoned means that the leadership or the target was lost before an order was
// answered.
var errOrderAbandoned = errors.New("target or leadership lost")

// errEngineBusy means that an engine executes a model order that is not the one at hand.
var errEngineBusy = errors.New("engine is executing another order")

// SendResult is the outcome of sending an order to an engine.
type SendResult int

//go:generate stringer -type=SendResult -linecomment

// Outcomes of sending an order.
const (
	// Unanswered means that the engine may have accepted the order or may still do so.
	Unanswered SendResult = iota // unanswered
	// Accepted means that the engine executes the order.
	Accepted // accepted
	// AlreadyInEffect means that the effect of the order was already in place.
	AlreadyInEffect // holds
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
	// AcceptedOrders is the number of orders that the engine is expected to have
	// accepted so far. The engine refuses the order if its own count differs, so an
	// order that arrives late has no effect.
	AcceptedOrders uint64
	// Holder identifies the instance that sends the order. Token is its fencing token;
	// engines that check tokens refuse orders with a lower one than they have seen.
	Holder string
	Token  uint64
}

// EngineState is the state that an engine reports about itself.
type EngineState struct {
	Held []scale.ReportedModel
	// Cached names the models whose weights the engine keeps outside its accelerator.
	Cached []string
	// Busy is set while the engine executes a model order.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted. It is set in
	// reports only, not in announcements.
	AcceptedOrders uint64
}

// EngineClient holds the functions to communicate with engines. They must be safe for
// concurrent use.
type EngineClient struct {
	Send   func(ctx context.Context, t fleet.Announcement, o EngineOrder) (SendResult, error)
	Report func(ctx context.Context, t fleet.Announcement) (EngineState, error)
}

// engine is the leader's state of one engine.
type engine struct {
	scale.Target
	// announcement is the engine's last announcement. Like Target, it is guarded by
	// Fleet.mu.
	announcement fleet.Announcement
	// sending serializes the orders to this engine.
	sending timedLock
	// orderCount is the number of orders that the engine has accepted, valid if
	// orderCountKnown is set. Both are guarded by sending.
	orderCount      uint64
	orderCountKnown bool
	// busyUntil is the time until which the engine is not asked again for the sake of an
	// adapter, after it reported an order of somebody else in progress. It is guarded by sending.
	busyUntil time.Time
}

// modelRecords returns the models of a target as they are sent to entry instances.
// ordered reports whether a model order is planned or in progress. The caller holds mu.
func (f *Fleet) modelRecords(id string, held []fleet.Model) (list []*wire.FleetModel, ordered bool) {
	if eng := f.engines[id]; eng != nil {
		return eng.Records(time.Now()), eng.Order != nil
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
	eng := f.engines[a.ID]
	if eng == nil {
		eng = &engine{Target: *scale.NewTarget(a.ID, a.Zone), sending: newTimedLock()}
		f.engines[a.ID] = eng
	}
	eng.announcement = a
	eng.ObserveCached(e.Cached)
	changed := eng.Observe(now, e.Held)
	if changed {
		f.table.MarkChanged(a.ID)
	}
	return changed
}

// touchAdapters updates the time of last use of the adapters in loads. The caller
// holds mu.
func (f *Fleet) touchAdapters(now time.Time, loads []*wire.TargetLoad) {
	for _, l := range loads {
		eng := f.engines[l.GetTarget()]
		if eng == nil {
			continue
		}
		for _, name := range l.GetAdapters() {
			model, adapter, _ := site.CutAdapter(name)
			if c := eng.Copies[model]; c != nil && c.Adapters[adapter] != nil {
				c.Adapters[adapter].LastUsed = now
			}
		}
	}
}

// runPlanners runs the planner of each service that has engines and starts the planned
// orders. partial is set if there may be engines that have not announced themselves
// yet. The caller holds mu.
func (f *Fleet) runPlanners(now time.Time, live []fleet.Announcement, partial bool) {
	index := f.currentIndex()
	if index == nil {
		return
	}
	demand := f.demand(now)
	for i := range index.Config.Services {
		s := &index.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		in := scale.Input{Now: now, Engine: s.Engine, Demand: demand, Partial: partial}
		for _, a := range live {
			if eng := f.engines[a.ID]; eng != nil && a.Service == s.Name {
				eng.Limit = f.limiter.PerSecond(a.ID, a.Born)
				in.Targets = append(in.Targets, &eng.Target)
			}
		}
		p := f.planners[s.Name]
		if p == nil {
			p = &scale.Planner{}
			f.planners[s.Name] = p
		}
		for _, t := range p.Plan(in) {
			eng := f.engines[t.ID]
			f.log.Info().Str("event", "ordered").Str("target", t.ID).Str("op", t.Order.Op.String()).
				Str("model", t.Order.Model).Str("reason", t.Order.Reason).Str("for", t.Order.For).Uint64("term", f.term).
				Float64("work", demand[t.Order.Model].Work).Int("waiting", demand[t.Order.Model].Waiting).Msg("")
			f.table.MarkChanged(t.ID)
			term, order, duration := f.term, *t.Order, t.ReadyAt.Sub(now)
			f.wg.Go(func() { f.executeOrder(term, eng, order, duration) })
		}
	}
}

// mayOrder reports whether this instance still leads in the given term, eng is still
// the current record of its target, and f is not closed.
func (f *Fleet) mayOrder(term uint64, eng *engine) bool {
	current, ok := f.svc.group.Leading()
	f.mu.Lock()
	defer f.mu.Unlock()
	return ok && current == term && f.term == term && f.engines[eng.ID] == eng && f.ctx.Err() == nil
}

// executeOrder sends a model order and waits until it has taken effect or failed.
// duration is the expected duration of the order.
func (f *Fleet) executeOrder(term uint64, eng *engine, o scale.Order, duration time.Duration) {
	if o.Op == scale.Unload && !f.sleep(unloadDelay) {
		return
	}
	eng.sending.lock()
	result, err := f.sendOrder(term, eng, o)
	eng.sending.unlock()
	f.log.Info().Str("event", "orderAnswered").Str("target", eng.ID).Str("op", o.Op.String()).
		Str("model", o.Model).Uint64("term", term).Str("outcome", result.String()).Err(err).Msg("")
	f.mu.Lock()
	switch result {
	case Accepted, AlreadyInEffect, Unanswered:
		eng.Accepted = time.Now()
		eng.ReadyAt = eng.Accepted.Add(duration)
		f.table.MarkChanged(eng.ID)
		f.mu.Unlock()
		f.awaitEffect(term, eng, o)
		return
	case Conflict, Fenced, Invalid, NoRoom, NotSent:
		f.metrics.orderFailures.Inc(1)
		eng.CancelOrder(time.Now().Add(failedTargetBackoff))
		f.table.MarkChanged(eng.ID)
	}
	f.mu.Unlock()
}

// sleep waits for d. It returns false if f is closed before that.
func (f *Fleet) sleep(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// sendOrder sends an order until its outcome is known or all attempts are used up.
// Resending is safe because the engine accepts at most one order for each value of its
// order count. The caller holds eng.sending.
func (f *Fleet) sendOrder(term uint64, eng *engine, o scale.Order) (SendResult, error) {
	result, unanswered, err := f.attemptOrder(term, eng, o)
	if unanswered && result != Accepted && result != AlreadyInEffect {
		// The engine may still execute an earlier attempt, whatever the last one met.
		eng.orderCountKnown = false
		return Unanswered, err
	}
	return result, err
}

// attemptOrder does the work of sendOrder. unanswered reports whether an attempt was not
// answered. The caller holds eng.sending.
func (f *Fleet) attemptOrder(term uint64, eng *engine, o scale.Order) (result SendResult, unanswered bool, err error) {
	result = NotSent
	for range maxSendAttempts {
		done, countErr := f.refreshOrderCount(term, eng, o, unanswered)
		switch {
		case countErr != nil:
			err = countErr
			if !f.sleep(conflictRetryDelay) {
				return result, unanswered, err
			}
			continue
		case done:
			return Accepted, unanswered, nil
		case !f.mayOrder(term, eng):
			if err == nil {
				return result, unanswered, errOrderAbandoned
			}
			return result, unanswered, fmt.Errorf("%w: %w", errOrderAbandoned, err)
		case o.Op == scale.Load && !f.withinLimits(eng):
			return NoRoom, unanswered, errors.New("order would exceed the limits of the engine")
		}
		f.markSent(eng, o)
		ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
		f.metrics.orders.Inc(1)
		result, err = f.engineClient.Send(ctx, f.lastAnnouncement(eng), EngineOrder{Order: o, AcceptedOrders: eng.orderCount, Holder: f.holder, Token: term})
		cancel()
		switch result {
		case Accepted:
			eng.orderCount++
			return result, unanswered, nil
		case AlreadyInEffect:
			// The engine unloads an idle adapter immediately and counts the order as
			// accepted. For other orders, it is unknown whether they were counted.
			if o.Op == scale.Unload && o.Adapter != "" {
				eng.orderCount++
			} else {
				eng.orderCountKnown = false
			}
			return result, unanswered, nil
		case Fenced, Invalid, NoRoom:
			return result, unanswered, err
		case Conflict:
			eng.orderCountKnown = false
			if !f.sleep(conflictRetryDelay) {
				return result, unanswered, err
			}
		case Unanswered:
			unanswered = true
		case NotSent:
			if !unanswered {
				return result, unanswered, err
			}
		}
	}
	return result, unanswered, err
}

// refreshOrderCount reads the order count and the models from the engine if the count is not
// known or the leader's record of the models is in doubt.
// unanswered is set if an earlier attempt to send this order was not answered; done
// reports that the engine has accepted that attempt. The caller holds eng.sending.
func (f *Fleet) refreshOrderCount(term uint64, eng *engine, o scale.Order, unanswered bool) (done bool, err error) {
	f.mu.Lock()
	upToDate := eng.orderCountKnown && !eng.Forgot
	f.mu.Unlock()
	switch {
	case upToDate:
		return false, nil
	case o.Adapter != "" && time.Now().Before(eng.busyUntil):
		return false, errEngineBusy
	}
	if !f.mayOrder(term, eng) {
		return false, errors.New("target or leadership lost")
	}
	ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
	defer cancel()
	e, err := f.engineClient.Report(ctx, f.lastAnnouncement(eng))
	if err != nil {
		return false, fmt.Errorf("read engine report: %w", err)
	}
	if e.Busy {
		// The count includes an order whose effect the report does not show: it may have
		// come from a previous leader.
		if unanswered && o.Adapter == "" {
			return true, nil
		}
		eng.busyUntil = time.Now().Add(effectPollInterval)
		return false, errEngineBusy
	}
	eng.orderCount, eng.orderCountKnown = e.AcceptedOrders, true
	f.mu.Lock()
	defer f.mu.Unlock()
	eng.ObserveCached(e.Cached)
	eng.Observe(time.Now(), e.Held)
	eng.Confirm(e.Held)
	if o.Adapter != "" {
		return unanswered && scale.Holds(e.Held, o.Model, o.Adapter) == (o.Op == scale.Load), nil
	}
	return unanswered && eng.Order == nil, nil
}

// lastAnnouncement returns the engine's last announcement, which contains its address.
func (f *Fleet) lastAnnouncement(eng *engine) fleet.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return eng.announcement
}

// withinLimits reports whether everything that may be resident at the engine, orders in
// progress included, is known to be within its limits.
func (f *Fleet) withinLimits(eng *engine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.engineConfig(eng)
	return err == nil && !eng.Forgot && eng.WithinLimits(e)
}

// markSent records that the engine may have received its model order. Adapter orders
// are not tracked this way.
func (f *Fleet) markSent(eng *engine, o scale.Order) {
	if o.Adapter != "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	eng.Sent = true
}

// awaitEffect waits until an announcement or a report shows that the order has taken
// effect, or until the order counts as failed. It polls the engine only after the
// expected end of the order.
func (f *Fleet) awaitEffect(term uint64, eng *engine, o scale.Order) {
	for f.mayOrder(term, eng) {
		f.mu.Lock()
		ended, readyAt := eng.Order == nil || *eng.Order != o, eng.ReadyAt
		f.mu.Unlock()
		if ended {
			return
		}
		if wait := time.Until(readyAt); wait > 0 {
			f.sleep(min(wait, effectPollInterval))
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
		e, err := f.engineClient.Report(ctx, f.lastAnnouncement(eng))
		cancel()
		if err == nil {
			f.checkOrderEffect(eng, o, e)
		}
		f.sleep(effectPollInterval)
	}
}

// checkOrderEffect records a report made after the expected end of an order, and drops
// the order if it has failed.
func (f *Fleet) checkOrderEffect(eng *engine, o scale.Order, e EngineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	eng.ObserveCached(e.Cached)
	if eng.Observe(now, e.Held) {
		f.table.MarkChanged(eng.ID)
	}
	if eng.Order == nil || *eng.Order != o || e.Busy || now.Sub(eng.ReadyAt) < effectTimeout {
		return
	}
	f.log.Warn().Str("event", "orderWithoutEffect").Str("target", eng.ID).Str("op", o.Op.String()).
		Str("model", o.Model).Uint64("count", e.AcceptedOrders).Msg("")
	f.metrics.orderFailures.Inc(1)
	eng.CancelOrder(now.Add(failedTargetBackoff))
	f.table.MarkChanged(eng.ID)
}

// memberAddrs returns the addresses of the control instances.
func (s *service) memberAddrs() []string {
	var out []string
	for _, m := range s.group.Members() {
		out = append(out, m.GetAddress())
	}
	return out
}
