package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// orderDelay is the time after which the order without an answer is carried out.
const orderDelay = 8 * time.Second

// lateOrder: a replica leaves an order to load a model unanswered, and carries it out some seconds later. It
// crashes in between and starts again under the id that it had. Its count of orders begins anew and reaches
// the number that the late order expects once the memory is full again.
func lateOrder(ctx context.Context, w *world) (broken bool, err error) {
	// Two models fill a replica.
	const size = 72700.0
	const replicas = 7
	sizes := map[string]float64{}
	list := []any{}
	// held lists what each replica holds at first. The models from m4 on are in demand all the time.
	held, busy := [][]string{{"m1"}}, []string{}
	for i := 1; i < replicas; i++ {
		busy = append(busy, fmt.Sprint("m", 2*i+2), fmt.Sprint("m", 2*i+3))
		held = append(held, busy[len(busy)-2:])
	}
	for _, m := range append([]string{"m1", "m2", "m3"}, busy...) {
		sizes[m] = size
		list = append(list, map[string]any{"Name": m, "WeightsMb": size, "LoadS": 4.2, "Adapters": 0, "AdapterMb": 12.0, "WarmS": 0.6, "DiskS": 1.3})
	}
	config := engineConfig(nil, 0)
	config["Models"], config["WeightsMb"] = list, engineMB
	document, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-chat", "Host": "desk.example", "PathPrefix": "/chat/", "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 400,
			"Priority": 0, "Service": "models", "MaxAttempts": 1, "Sticky": true, "Resumable": false, "TargetGapMs": 250,
		}},
		"Services": []any{map[string]any{"Name": "models", "HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false, "Engine": config}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	var begun sync.Map
	handle := func(_ *replica, rw http.ResponseWriter, req *http.Request) {
		begun.Store(req.Header.Get(headerID), true)
		rw.Header().Set(headerSeal, "1."+newID())
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.WriteHeader(http.StatusOK)
		flush := http.NewResponseController(rw)
		for n := 1; n <= streamEvents; n++ {
			time.Sleep(eventPause)
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: x\n\n", n); err != nil || flush.Flush() != nil {
				return
			}
		}
	}
	var victim *replica
	// phase is 0 at first, 1 while m3 is in demand and m1 is not, and 2 after the crash.
	var phase atomic.Int64
	if err := w.startSystem(nil); err != nil {
		return false, err
	}
	err = w.startReplicas(len(held), "models", 64, handle, func(i int, r *replica) {
		r.keepID = true
		r.engine = &engine{weightsMB: engineMB, sizes: sizes, loadTime: 4200 * time.Millisecond, diskTime: 1300 * time.Millisecond, atStart: held[i]}
		if i == 0 {
			victim = r
			r.engine.onOrder = func(r *replica, _ http.ResponseWriter, o order) bool { return w.delayOrder(r, o, &phase) }
		}
	})
	if err != nil {
		return false, err
	}
	if err := w.sendConfig(ctx, document); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	day, end := context.WithTimeout(ctx, 60*time.Second)
	defer end()
	fronts := w.frontAddrs()
	var wg sync.WaitGroup
	var served, lost atomic.Int64
	wg.Go(func() {
		every(day, 30*time.Millisecond, func(n int) {
			demand := append([]string{"m1", "m2"}, busy...)
			if phase.Load() == 1 {
				demand[0] = "m3"
			}
			model := demand[n%len(demand)]
			a := w.send(fronts[rand.IntN(len(fronts))], request{
				method: "POST", host: "desk.example", path: "/chat/1", body: fmt.Sprint("question ", n), deadline: 8 * time.Second,
				header: map[string]string{
					headerModel: model, "Bulrushpath-Token-Usage": "900,48", "Bulrushpath-Prompt-Prefix": fmt.Sprintf("5c1e07a2:600,%x:300", 1000+n),
				},
			})
			_, ran := begun.Load(a.id)
			switch {
			case a.status == http.StatusOK && a.whole:
				served.Add(1)
			case ran:
				lost.Add(1)
				w.logf("client: stream %s of %s was begun by a replica and is not complete: %s", a.id, model, a.outcome())
			}
		})
	})
	wg.Go(func() {
		// The demand moves from m1 to m3 once m2 is loaded and no copy is new.
		for day.Err() == nil && !victim.engine.holds("m2") {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		if day.Err() == nil {
			w.logf("clients: ask for m3 and no longer for m1")
			phase.Store(1)
		}
	})
	wg.Wait()
	w.logf("orders to load more than a replica holds: %d", w.overloads.Load())
	w.logf("streams: %d whole, %d begun by a replica and cut off", served.Load(), lost.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return w.overloads.Load() > 0, nil
}

// delayOrder takes over the order to load m3 that expects two earlier orders: it gets no answer, the replica
// crashes, and the order is carried out later.
func (w *world) delayOrder(r *replica, o order, phase *atomic.Int64) bool {
	if !w.trouble || o.Operation != "load" || o.Model != "m3" || o.Precondition == nil || *o.Precondition != 2 || r.crashes > 0 {
		return false
	}
	w.logf("replica %s: order load %s, precondition %d, token %d: left without an answer", r.addr, o.Model, *o.Precondition, o.FencingToken)
	if phase.CompareAndSwap(1, 2) {
		time.AfterFunc(150*time.Millisecond, func() { r.crash("trouble") })
		time.AfterFunc(orderDelay, func() { r.engine.apply(r, o, fmt.Sprintf("%v late", orderDelay)) })
	}
	time.Sleep(400 * time.Millisecond)
	panic(http.ErrAbortHandler)
}
