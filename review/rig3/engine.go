package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// engine is the part of a replica that holds models.
type engine struct {
	weightsMB float64
	sizes     map[string]float64
	// loadTime is the duration of a load from the weight store, diskTime that of one from the disk.
	loadTime, diskTime time.Duration
	// atStart lists the models of the first start.
	atStart []string
	// onOrder decides about an order before it is checked; it returns true if it has taken it over.
	onOrder func(r *replica, rw http.ResponseWriter, o order) bool

	mu       sync.Mutex
	starts   int
	held     map[string]bool
	disk     map[string]bool
	loading  string
	sequence uint64
	fence    uint64
}

// order is an order of the system.
type order struct {
	Operation, Model, Adapter, Holder string
	Precondition                      *uint64
	FencingToken                      uint64
}

// restart begins a new process, which holds nothing unless it is the first.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held, e.loading, e.sequence, e.fence = make(map[string]bool), "", 0, 0
	if e.disk == nil {
		e.disk = make(map[string]bool)
	}
	if e.starts++; e.starts > 1 {
		return
	}
	for _, m := range e.atStart {
		e.held[m], e.disk[m] = true, true
	}
}

func (e *engine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held[model]
}

func (e *engine) models() []any {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []any{}
	for m := range e.held {
		out = append(out, map[string]any{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	return out
}

func (e *engine) available() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := []string{}
	for m := range e.disk {
		names = append(names, m)
	}
	return map[string]any{"InMemory": []string{}, "OnDisk": names}
}

// usedMB is the memory of all models that are held or being loaded.
func (e *engine) usedMB() (sum float64) {
	for m := range e.held {
		sum += e.sizes[m]
	}
	if e.loading != "" && !e.held[e.loading] {
		sum += e.sizes[e.loading]
	}
	return sum
}

func (e *engine) serve(r *replica, rw http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/bulrushpath/report":
		models, available := e.models(), e.available()
		e.mu.Lock()
		busy, sequence := e.loading != "", e.sequence
		e.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{
			"Stage": "both", "Models": models, "Busy": busy, "Sequence": sequence, "Queued": 0, "Running": 0,
			"KvUsed": 0, "KvTotal": 200000, "Handles": 0, "Available": available,
		})
	case "/bulrushpath/order":
		var o order
		if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if e.onOrder != nil && e.onOrder(r, rw, o) {
			return
		}
		rw.WriteHeader(e.apply(r, o, "on time"))
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// apply carries out an order and returns the status of its answer.
func (e *engine) apply(r *replica, o order, when string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.check(o)
	precondition := "none"
	if o.Precondition != nil {
		precondition = jsonText(*o.Precondition)
	}
	r.w.logf("replica %s: order %s %s, precondition %s, token %d, %s: %d (count %d, holds %.0f MB)",
		r.addr, o.Operation, o.Model, precondition, o.FencingToken, when, status, e.sequence, e.usedMB())
	if status != http.StatusAccepted {
		return status
	}
	e.sequence++
	if o.Operation == "unload" {
		delete(e.held, o.Model)
		return status
	}
	e.loading = o.Model
	if used := e.usedMB(); used > e.weightsMB {
		r.w.logf("replica %s: ordered to load more than it holds: %.0f of %.0f MB", r.addr, used, e.weightsMB)
		r.w.overloads.Add(1)
		e.loading = ""
		go r.crash("ordered to load more than its memory")
		return status
	}
	d := e.loadTime
	if e.disk[o.Model] {
		d = e.diskTime
	}
	starts := e.starts
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts == starts && e.loading == o.Model {
			e.held[o.Model], e.disk[o.Model], e.loading = true, true, ""
		}
	})
	return status
}

// check returns the status of an order, without carrying it out. The caller holds mu.
func (e *engine) check(o order) int {
	switch {
	case o.FencingToken < e.fence:
		return http.StatusPreconditionFailed
	case o.Precondition != nil && *o.Precondition != e.sequence:
		return http.StatusConflict
	}
	e.fence = o.FencingToken
	switch {
	case o.Operation == "load" && e.held[o.Model], o.Operation == "unload" && !e.held[o.Model]:
		return http.StatusOK
	case e.loading != "":
		return http.StatusConflict
	}
	return http.StatusAccepted
}

func jsonText(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
