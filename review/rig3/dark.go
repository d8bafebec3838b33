package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// darkListener can stop to accept connections, like a machine without power: connections to it hang.
type darkListener struct {
	*net.TCPListener
	dark, closed chan struct{}
	once         sync.Once
}

func (l *darkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.dark:
		// It was in the queue when the machine went dark: nobody answers.
		<-l.closed
		_ = c.Close()
		return nil, net.ErrClosed
	default:
	}
	return c, nil
}

// goDark shortens the queue of the listener and fills it, so that further connections hang.
func (l *darkListener) goDark() {
	close(l.dark)
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	for range 4 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 30*time.Millisecond)
		if err == nil {
			defer func() { _ = c.Close() }()
		}
	}
}

// poisonDark: a request crashes the machine of each replica that begins to run it, so that it goes silent,
// and comes again with the same path, caller and body. Its deadline is a second.
func poisonDark(ctx context.Context, w *world) (broken bool, err error) {
	const replicas = 6
	watch := &poisonWatch{}
	var begun sync.Map
	handle := func(r *replica, rw http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(headerID)
		if req.URL.Path != "/till/poison" {
			begun.Store(id, true)
			time.Sleep(30 * time.Millisecond)
			r.answer(rw, http.StatusOK, "paid")
			return
		}
		watch.arrive(id)
		time.Sleep(30 * time.Millisecond)
		if w.trouble {
			watch.crash()
			r.goDark("the request")
			return
		}
		r.answer(rw, http.StatusOK, "status")
	}
	config, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{
			map[string]any{
				"Name": "r-till", "Host": "desk.example", "PathPrefix": "/till/", "Kind": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 150,
				"Priority": 2, "Service": "ledger", "MaxAttempts": 2, "Sticky": false, "Resumable": false,
			},
			map[string]any{
				"Name": "r-pay", "Host": "desk.example", "PathPrefix": "/pay/", "Kind": "unsafe", "TimeoutMs": 1000, "TargetLatencyMs": 150,
				"Priority": 2, "Service": "ledger", "MaxAttempts": 1, "Sticky": false, "Resumable": false,
			},
		},
		"Services": []any{map[string]any{"Name": "ledger", "HealthPath": "/health", "MaxConnections": 260, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err := w.startSystem(nil); err != nil {
		return false, err
	}
	if err := w.startReplicas(replicas, "ledger", 6, handle, func(_ int, r *replica) { r.down = 4 * time.Second }); err != nil {
		return false, err
	}
	if err := w.sendConfig(ctx, config); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	day, end := context.WithTimeout(ctx, 45*time.Second)
	defer end()
	fronts := w.frontAddrs()
	var wg sync.WaitGroup
	var paid, lost, other atomic.Int64
	wg.Go(func() {
		every(day, 40*time.Millisecond, func(n int) {
			a := w.send(fronts[rand.IntN(len(fronts))], request{method: "POST", host: "desk.example", path: "/pay/1", body: fmt.Sprint("payment ", n), deadline: time.Second})
			_, ran := begun.Load(a.id)
			switch {
			case a.status == http.StatusOK:
				paid.Add(1)
			case ran:
				lost.Add(1)
				w.logf("client: payment %s was begun by a replica and has no answer: %s", a.id, a.outcome())
			default:
				other.Add(1)
			}
		})
	})
	wg.Go(func() {
		for n := 0; day.Err() == nil; n++ {
			w.send(fronts[n%len(fronts)], request{method: "GET", host: "desk.example", path: "/till/poison", deadline: time.Second})
			time.Sleep(800 * time.Millisecond)
		}
	})
	wg.Wait()
	time.Sleep(time.Second)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	w.logf("crashes with the request: %d; attempts that reached replicas later than %v after the third crash: %d (allowed: 3)", watch.crashes, stableWindow, len(watch.late))
	w.logf("payments: %d answered, %d begun by a replica and lost, %d not begun", paid.Load(), lost.Load(), other.Load())
	if paid.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return len(watch.late) > 3, nil
}
