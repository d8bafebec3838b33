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

// refused: one of the replicas of a ledger fails a part of its requests while its health check is good. It runs
// them and answers 503, without the header that says that a request was not run. The clients follow the pages:
// after a 503 they send the same payment once more, as a new attempt.
func refused(ctx context.Context, w *world) (broken bool, err error) {
	const (
		replicas  = 7
		failShare = 0.4
		paymentID = "Payment"
	)
	var mu sync.Mutex
	// ran holds the attempts that a replica ran, and applied how often each payment was applied.
	ran, applied := make(map[string]bool), make(map[string]int)
	var grey *replica
	handle := func(r *replica, rw http.ResponseWriter, req *http.Request) {
		id, payment := req.Header.Get(headerID), req.Header.Get(paymentID)
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		ran[id] = true
		applied[payment]++
		mu.Unlock()
		if w.trouble && r == grey && rand.Float64() < failShare {
			w.logf("replica %s: ran payment %s, attempt %s, and answers 503", r.addr, payment, id)
			r.answer(rw, http.StatusServiceUnavailable, "the payment is written, the receipt is not available")
			return
		}
		r.answer(rw, http.StatusOK, "paid")
	}
	config, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-pay", "Host": "desk.example", "PathPrefix": "/pay/", "Kind": "unsafe", "TimeoutMs": 2500, "TargetLatencyMs": 150,
			"Priority": 2, "Service": "ledger", "MaxAttempts": 1, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": "ledger", "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err := w.startSystem(nil); err != nil {
		return false, err
	}
	if err := w.startReplicas(replicas, "ledger", 6, handle, func(i int, r *replica) {
		if i == 0 {
			grey = r
		}
	}); err != nil {
		return false, err
	}
	if err := w.sendConfig(ctx, config); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	day, end := context.WithTimeout(ctx, 20*time.Second)
	defer end()
	fronts := w.frontAddrs()
	var wg sync.WaitGroup
	var paid, refusedRuns atomic.Int64
	wg.Go(func() {
		every(day, 50*time.Millisecond, func(n int) {
			payment := fmt.Sprintf("p-%d", n)
			for range 2 {
				a := w.send(fronts[rand.IntN(len(fronts))], request{
					method: "POST", host: "desk.example", path: "/pay/1", body: "pay " + payment, deadline: 2500 * time.Millisecond, header: map[string]string{paymentID: payment},
				})
				if a.status == http.StatusOK {
					paid.Add(1)
					return
				}
				mu.Lock()
				hasRun := ran[a.id]
				mu.Unlock()
				promise := a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421
				if promise && hasRun {
					refusedRuns.Add(1)
					w.logf("client: payment %s, attempt %s has run and was answered %s", payment, a.id, a.outcome())
				}
				if !promise {
					return
				}
			}
		})
	})
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range applied {
		if n > 1 {
			twice++
		}
	}
	w.logf("payments answered with success: %d; attempts that have run and were answered 503, 429, 408 or 421: %d; payments applied more than once: %d", paid.Load(), refusedRuns.Load(), twice)
	if paid.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return refusedRuns.Load() > 0, nil
}
