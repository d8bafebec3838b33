package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// poisonWatch counts what the requests that crash replicas do.
type poisonWatch struct {
	mu sync.Mutex
	// crashes counts the replica processes that ran such a request and crashed; thirdAt is the time of the
	// third crash.
	crashes int
	thirdAt time.Time
	// late holds the client attempts that have reached a replica later than stableWindow after it.
	late map[string]bool
}

// arrive records that an attempt with the request has reached a replica.
func (p *poisonWatch) arrive(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashes >= 3 && time.Since(p.thirdAt) > stableWindow {
		if p.late == nil {
			p.late = make(map[string]bool)
		}
		p.late[id] = true
	}
}

func (p *poisonWatch) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashes++; p.crashes == 3 {
		p.thirdAt = time.Now()
	}
}

// poisonCaller: a request of one customer crashes each replica that begins to run it and comes again with the
// same path, key and body. Another customer sends requests with the same path and an empty body too, which are
// sound: the answer depends on the caller.
func poisonCaller(ctx context.Context, w *world) (broken bool, err error) {
	const replicas = 6
	watch := &poisonWatch{}
	var paid, begun sync.Map
	handle := func(r *replica, rw http.ResponseWriter, req *http.Request) {
		tenant, id := req.Header.Get(headerTenant), req.Header.Get(headerID)
		switch req.URL.Path {
		case "/refunds/status":
			if tenant != "tenant-a" {
				time.Sleep(20 * time.Millisecond)
				r.answer(rw, http.StatusOK, "status of "+tenant)
				return
			}
			watch.arrive(id)
			time.Sleep(40 * time.Millisecond)
			if w.trouble {
				watch.crash()
				r.crash("a request of tenant-a")
				return
			}
			r.answer(rw, http.StatusOK, "status of "+tenant)
		default:
			begun.Store(id, true)
			time.Sleep(60 * time.Millisecond)
			r.answer(rw, http.StatusOK, "paid")
		}
	}
	config, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{
			map[string]any{
				"Name": "r-status", "Host": "desk.example", "PathPrefix": "/refunds/", "Kind": "safe", "TimeoutMs": 2500, "TargetLatencyMs": 300,
				"Priority": 2, "Service": "ledger", "MaxAttempts": 1, "Sticky": false, "Resumable": false,
			},
			map[string]any{
				"Name": "r-pay", "Host": "desk.example", "PathPrefix": "/pay/", "Kind": "unsafe", "TimeoutMs": 2500, "TargetLatencyMs": 300,
				"Priority": 2, "Service": "ledger", "MaxAttempts": 1, "Sticky": false, "Resumable": false,
			},
		},
		"Services": []any{map[string]any{"Name": "ledger", "HealthPath": "/health", "MaxConnections": 260, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{
			map[string]any{"Name": "tenant-a", "ApiKeys": []string{"key-a"}},
			map[string]any{"Name": "tenant-b", "ApiKeys": []string{"key-b"}},
		},
	})
	if err := w.startSystem(map[string]any{"StrictRevoke": true, "RevokeMs": 5000}); err != nil {
		return false, err
	}
	if err := w.startReplicas(replicas, "ledger", 6, handle, nil); err != nil {
		return false, err
	}
	if err := w.sendConfig(ctx, config); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	day, end := context.WithTimeout(ctx, 40*time.Second)
	defer end()
	fronts := w.frontAddrs()
	var wg sync.WaitGroup
	var served, failed, payOK, payLost atomic.Int64
	samePath := "/refunds/status"
	if os.Getenv("OTHER_PATH") != "" {
		samePath = "/refunds/other"
	}
	wg.Go(func() {
		every(day, 60*time.Millisecond, func(int) {
			a := w.send(fronts[rand.IntN(len(fronts))], request{method: "GET", host: "desk.example", path: samePath, key: "key-b", deadline: 2500 * time.Millisecond})
			if a.status == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
	})
	wg.Go(func() {
		every(day, 60*time.Millisecond, func(n int) {
			a := w.send(fronts[rand.IntN(len(fronts))], request{method: "POST", host: "desk.example", path: "/pay/1", key: "key-b", body: fmt.Sprint("payment ", n), deadline: 2500 * time.Millisecond})
			paid.Store(a.id, true)
			_, ran := begun.Load(a.id)
			switch {
			case a.status == http.StatusOK:
				payOK.Add(1)
			case ran:
				payLost.Add(1)
				w.logf("client of tenant-b: payment %s was begun by a replica and has no answer: %s", a.id, a.outcome())
			}
		})
	})
	wg.Go(func() {
		for n := 0; day.Err() == nil; n++ {
			w.send(fronts[n%len(fronts)], request{method: "GET", host: "desk.example", path: "/refunds/status", key: "key-a", deadline: 2500 * time.Millisecond})
			time.Sleep(800 * time.Millisecond)
		}
	})
	wg.Wait()
	time.Sleep(time.Second)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	w.logf("crashes with the request: %d; attempts that reached replicas later than %v after the third crash: %d (allowed: 3)", watch.crashes, stableWindow, len(watch.late))
	w.logf("tenant-b: status %d served, %d not; payments %d answered, %d begun by a replica and lost", served.Load(), failed.Load(), payOK.Load(), payLost.Load())
	if served.Load() == 0 || payOK.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return len(watch.late) > 3, nil
}

// startReplicas starts replicas of a service in all zones.
func (w *world) startReplicas(n int, service string, slots int, handle func(*replica, http.ResponseWriter, *http.Request), setUp func(i int, r *replica)) error {
	zones := []string{"z-a", "z-b", "z-c"}
	for i := range n {
		r := w.newReplica(service, zones[i%len(zones)], slots, handle)
		if setUp != nil {
			setUp(i, r)
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}
