package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

const (
	// adapterLoadTime is the expected time to load an adapter into an engine.
	adapterLoadTime = 20 * time.Millisecond
	// adapterMinIdle is how long an adapter must be unused before it can be evicted.
	adapterMinIdle = 500 * time.Millisecond
	// adapterLockTimeout bounds the wait for other orders to the same engine; after a
	// longer wait, another target would serve the request sooner.
	adapterLockTimeout = 250 * time.Millisecond
	// unansweredAdapterTimeout is how long an adapter counts as loading when its load
	// order was not answered.
	unansweredAdapterTimeout = 15 * time.Second
)

var (
	errOrdersPaused         = errors.New("new leader does not send orders yet")
	errModelNotResident     = errors.New("model is not resident at the target")
	errNoFreeSlot           = errors.New("all adapter slots of the target are in use")
	errNoEngines            = errors.New("service has no engines")
	errModelOrderInProgress = errors.New("target is executing a model order")
	errOrderPending         = errors.New("target has not answered an earlier order yet")
)

// Fetch loads an adapter into a target where its model is resident. It returns once
// the adapter is expected to be loaded.
func (f *Fleet) Fetch(ctx context.Context, req *wire.FetchRequest) (reply *wire.FetchReply, err error) {
	_, end, err := f.svc.begin(ctx, "Fetch", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	f.mu.Lock()
	term, err := f.requireLeader()
	eng, termStart := f.engines[req.GetTarget()], f.termStart
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var readyAt time.Time
	refusal := errModelNotResident
	switch {
	case time.Since(termStart) < f.orderPause:
		refusal = errOrdersPaused
	case eng != nil:
		readyAt, refusal = f.loadAdapter(term, eng, req.GetModel(), req.GetAdapter())
	}
	f.log.Info().Str("event", "adapterFetched").Str("target", req.GetTarget()).Str("model", req.GetModel()).
		Str("adapter", req.GetAdapter()).Uint64("term", term).Err(refusal).Msg("")
	if refusal != nil {
		return &wire.FetchReply{Message: refusal.Error()}, nil
	}
	if wait := time.Until(readyAt); wait > 0 {
		f.sleep(wait)
	}
	return &wire.FetchReply{Accepted: true}, nil
}

// loadAdapter sends a load order unless the adapter is already resident. If all adapter
// slots are in use, it unloads another adapter first. It holds eng.sending, so each
// engine handles one fetch at a time.
func (f *Fleet) loadAdapter(term uint64, eng *engine, model, adapter string) (readyAt time.Time, err error) {
	if !eng.sending.tryLock(f.ctx, adapterLockTimeout) {
		return time.Time{}, errOrderPending
	}
	defer eng.sending.unlock()
	if at, ok := f.adapterReadyAt(eng, model, adapter); ok {
		return at, nil
	}
	if f.modelOrderInProgress(eng) {
		return time.Time{}, errModelOrderInProgress
	}
	load := scale.Order{Op: scale.Load, Model: model, Adapter: adapter}
	if _, err := f.refreshOrderCount(term, eng, load, false); err != nil {
		return time.Time{}, err
	}
	if at, ok := f.adapterReadyAt(eng, model, adapter); ok {
		return at, nil
	}
	if err := f.freeSlot(term, eng); err != nil {
		return time.Time{}, err
	}
	if !f.reserveSlot(eng, model, adapter) {
		return time.Time{}, errModelNotResident
	}
	result, err := f.sendOrder(term, eng, load)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.table.MarkChanged(eng.ID)
	c := eng.Copies[model]
	if c == nil {
		return time.Time{}, errModelNotResident
	}
	switch result {
	case Accepted, AlreadyInEffect:
		readyAt = time.Now().Add(adapterLoadTime)
		if a := c.Adapters[adapter]; a != nil {
			a.ReadyAt, a.Confirmed = readyAt, true
		}
		return readyAt, nil
	case Unanswered:
		// The engine may still execute the order, so the slot stays reserved.
	case Conflict, Fenced, Invalid, NotSent, NoRoom:
		delete(c.Adapters, adapter)
	}
	return time.Time{}, fmt.Errorf("order %s: %w", result, err)
}

// modelOrderInProgress reports whether the engine may be executing a model order. Until
// that order has ended, the engine refuses adapter orders.
func (f *Fleet) modelOrderInProgress(eng *engine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return eng.Order != nil && eng.Sent
}

// adapterReadyAt returns the time from which the adapter can be used, and updates the
// time of its last use. ok is false if the adapter is not resident, is being unloaded, or
// is not expected to be ready within adapterLoadTime, as after an unanswered order.
func (f *Fleet) adapterReadyAt(eng *engine, model, adapter string) (readyAt time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := eng.Copies[model]
	if c == nil || c.Adapters[adapter] == nil {
		return time.Time{}, false
	}
	a := c.Adapters[adapter]
	a.LastUsed = time.Now()
	if a.Unloading || time.Until(a.ReadyAt) > adapterLoadTime {
		return time.Time{}, false
	}
	return a.ReadyAt, true
}

// reserveSlot reserves a slot for the adapter before its load order is sent. It returns
// false if the model is not resident.
func (f *Fleet) reserveSlot(eng *engine, model, adapter string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := eng.Copies[model]
	if c == nil {
		return false
	}
	now := time.Now()
	c.Adapters[adapter] = &scale.Adapter{ReadyAt: now.Add(unansweredAdapterTimeout), LastUsed: now}
	return true
}

// freeSlot unloads the least recently used adapter if no adapter slot is free.
func (f *Fleet) freeSlot(term uint64, eng *engine) error {
	f.mu.Lock()
	e, err := f.engineConfig(eng)
	if err != nil || eng.AdapterCount() < e.AdapterSlots {
		f.mu.Unlock()
		return err
	}
	model, adapter, ok := eng.LeastRecentlyUsed(time.Now().Add(-adapterMinIdle))
	f.mu.Unlock()
	if !ok {
		return errNoFreeSlot
	}
	result, err := f.sendOrder(term, eng, scale.Order{Op: scale.Unload, Model: model, Adapter: adapter})
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.table.MarkChanged(eng.ID)
	c := eng.Copies[model]
	if c == nil || c.Adapters[adapter] == nil {
		return nil
	}
	switch result {
	case AlreadyInEffect:
		if !c.Adapters[adapter].Confirmed {
			// It may have been gone already, and the order was not counted then.
			eng.orderCountKnown = false
		}
		delete(c.Adapters, adapter)
		return nil
	case Accepted, Unanswered:
		// Either the unload waits for running requests, or it is unknown whether the
		// engine accepted it.
		c.Adapters[adapter].Unloading = true
	case Conflict, Fenced, Invalid, NotSent, NoRoom:
	}
	return fmt.Errorf("unload of %s/%s %s: %w", model, adapter, result, errors.Join(errNoFreeSlot, err))
}

// engineConfig returns the configured limits of the engine's service. The caller holds
// mu.
func (f *Fleet) engineConfig(eng *engine) (*site.Engine, error) {
	index := f.currentIndex()
	if index == nil {
		return nil, errNoEngines
	}
	s := index.Service(eng.announcement.Service)
	if s == nil || s.Engine == nil {
		return nil, errNoEngines
	}
	return s.Engine, nil
}
