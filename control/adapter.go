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
	lockPollInterval   = 2 * time.Millisecond
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
	term, err := f.lead()
	st, since := f.stations[req.GetTarget()], f.since
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var readyAt time.Time
	refusal := errModelNotResident
	switch {
	case time.Since(since) < f.orderPause:
		refusal = errOrdersPaused
	case st != nil:
		readyAt, refusal = f.fetch(term, st, req.GetModel(), req.GetAdapter())
	}
	f.log.Info().Str("event", "adapterFetched").Str("target", req.GetTarget()).Str("model", req.GetModel()).
		Str("adapter", req.GetAdapter()).Uint64("term", term).Err(refusal).Msg("")
	if refusal != nil {
		return &wire.FetchReply{Message: refusal.Error()}, nil
	}
	if wait := time.Until(readyAt); wait > 0 {
		f.pause(wait)
	}
	return &wire.FetchReply{Accepted: true}, nil
}

// fetch sends a load order unless the adapter is already resident. If all adapter
// slots are in use, it unloads another adapter first. It holds st.sending, so each
// engine handles one fetch at a time.
func (f *Fleet) fetch(term uint64, st *station, model, adapter string) (readyAt time.Time, err error) {
	if !f.lockStation(st) {
		return time.Time{}, errOrderPending
	}
	defer st.sending.Unlock()
	if at, ok := f.heldAdapter(st, model, adapter); ok {
		return at, nil
	}
	if f.ordered(st) {
		return time.Time{}, errModelOrderInProgress
	}
	load := scale.Order{Op: scale.Load, Model: model, Adapter: adapter}
	if _, err := f.recount(term, st, load, false); err != nil {
		return time.Time{}, err
	}
	if at, ok := f.heldAdapter(st, model, adapter); ok {
		return at, nil
	}
	if err := f.makePlace(term, st); err != nil {
		return time.Time{}, err
	}
	if !f.reserve(st, model, adapter) {
		return time.Time{}, errModelNotResident
	}
	result, err := f.deliver(term, st, load)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.table.Touch(st.ID)
	c := st.Copies[model]
	if c == nil {
		return time.Time{}, errModelNotResident
	}
	switch result {
	case Accepted, Holds:
		readyAt = time.Now().Add(adapterLoadTime)
		if a := c.Adapters[adapter]; a != nil {
			a.ReadyAt = readyAt
		}
		return readyAt, nil
	case Unanswered:
		// The engine may still execute the order, so the slot stays reserved.
	case Conflict, Fenced, Invalid, NotSent, NoRoom:
		delete(c.Adapters, adapter)
	}
	return time.Time{}, fmt.Errorf("order %s: %w", result, err)
}

// ordered reports whether the engine may be executing a model order. Until that
// order has ended, the engine refuses adapter orders.
func (f *Fleet) ordered(st *station) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return st.Order != nil && st.Sent
}

// lockStation locks st.sending and reports whether it succeeded within
// adapterLockTimeout.
func (f *Fleet) lockStation(st *station) bool {
	for end := time.Now().Add(adapterLockTimeout); !st.sending.TryLock(); {
		if time.Now().After(end) || !f.pause(lockPollInterval) {
			return false
		}
	}
	return true
}

// heldAdapter returns the time from which the adapter can be used. ok is false if the
// adapter is not resident, is being unloaded, or is not expected to be ready within
// adapterLoadTime, as is the case after an unanswered order.
func (f *Fleet) heldAdapter(st *station, model, adapter string) (readyAt time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := st.Copies[model]
	if c == nil || c.Adapters[adapter] == nil {
		return time.Time{}, false
	}
	a := c.Adapters[adapter]
	a.Used = time.Now()
	if a.Leaving || time.Until(a.ReadyAt) > adapterLoadTime {
		return time.Time{}, false
	}
	return a.ReadyAt, true
}

// reserve reserves a slot for the adapter before its load order is sent. It returns
// false if the model is not resident.
func (f *Fleet) reserve(st *station, model, adapter string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := st.Copies[model]
	if c == nil {
		return false
	}
	now := time.Now()
	c.Adapters[adapter] = &scale.Adapter{ReadyAt: now.Add(unansweredAdapterTimeout), Used: now}
	return true
}

// makePlace unloads the least recently used adapter if no adapter slot is free.
func (f *Fleet) makePlace(term uint64, st *station) error {
	f.mu.Lock()
	e, err := f.engineOf(st)
	if err != nil || st.AdapterCount() < e.AdapterPlaces {
		f.mu.Unlock()
		return err
	}
	model, adapter, ok := st.Stale(time.Now().Add(-adapterMinIdle))
	f.mu.Unlock()
	if !ok {
		return errNoFreeSlot
	}
	result, err := f.deliver(term, st, scale.Order{Op: scale.Unload, Model: model, Adapter: adapter})
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.table.Touch(st.ID)
	c := st.Copies[model]
	if c == nil || c.Adapters[adapter] == nil {
		return nil
	}
	switch result {
	case Holds:
		delete(c.Adapters, adapter)
		return nil
	case Accepted, Unanswered:
		// Either the unload waits for running requests, or it is unknown whether the
		// engine accepted it.
		c.Adapters[adapter].Leaving = true
	case Conflict, Fenced, Invalid, NotSent, NoRoom:
	}
	return fmt.Errorf("unload of %s/%s %s: %w", model, adapter, result, errors.Join(errNoFreeSlot, err))
}

// engineOf returns the configured limits of the engine's service. The caller holds mu.
func (f *Fleet) engineOf(st *station) (*site.Engine, error) {
	index := f.current()
	if index == nil {
		return nil, errNoEngines
	}
	s := index.Service(st.at.Service)
	if s == nil || s.Engine == nil {
		return nil, errNoEngines
	}
	return s.Engine, nil
}
