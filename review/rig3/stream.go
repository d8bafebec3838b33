package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelName    = "model-a"
	streamEvents = 12
	eventPause   = 50 * time.Millisecond
)

// poisonStream: a request for a stream crashes each replica that runs it, in the middle of an event, and
// comes again with the same path, caller and body. The answers have no length and end with their connections.
func poisonStream(ctx context.Context, w *world) (broken bool, err error) {
	const replicas = 6
	framed := os.Getenv("FRAMED") != ""
	watch := &poisonWatch{}
	var begun sync.Map
	handle := func(r *replica, rw http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(headerID)
		poison := req.URL.Path == "/draft/poison"
		if poison {
			watch.arrive(id)
		} else {
			begun.Store(id, true)
		}
		c, err := r.hijack(rw)
		if err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n", headerID, id, headerSeal, r.seal())
		if framed {
			head += "Transfer-Encoding: chunked\r\n"
		} else {
			head += "Connection: close\r\n"
		}
		write := func(text string) bool {
			if framed {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			_, err := c.Write([]byte(text))
			return err == nil
		}
		if _, err := c.Write([]byte(head + "\r\n")); err != nil {
			return
		}
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= streamEvents; n++ {
			time.Sleep(eventPause)
			event := fmt.Sprintf("id: %d\ndata: tokens of event %d\n\n", n, n)
			if poison && w.trouble && n == after+3 {
				write(event[:len(event)/2])
				watch.crash()
				r.crash("the request")
				return
			}
			if !write(event) {
				return
			}
		}
		if framed {
			_, _ = c.Write([]byte("0\r\n\r\n"))
		}
		_ = c.Close()
	}
	config, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{
			map[string]any{
				"Name": "r-draft", "Host": "desk.example", "PathPrefix": "/draft/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 600,
				"Priority": 1, "Service": "models", "MaxAttempts": 2, "Sticky": true, "Resumable": true, "TargetGapMs": 250,
			},
			map[string]any{
				"Name": "r-chat", "Host": "desk.example", "PathPrefix": "/chat/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 400,
				"Priority": 0, "Service": "models", "MaxAttempts": 1, "Sticky": true, "Resumable": false, "TargetGapMs": 250,
			},
		},
		"Services": []any{map[string]any{
			"Name": "models", "HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false, "Engine": engineConfig([]string{modelName}, 0),
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err := w.startSystem(nil); err != nil {
		return false, err
	}
	if err := w.startReplicas(replicas, "models", 64, handle, func(_ int, r *replica) {
		r.engine = &engine{
			weightsMB: engineMB, sizes: map[string]float64{modelName: modelMB}, loadTime: 3 * time.Second, diskTime: time.Second,
			atStart: []string{modelName},
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
	day, end := context.WithTimeout(ctx, 40*time.Second)
	defer end()
	fronts := w.frontAddrs()
	header := func(part string) map[string]string {
		return map[string]string{
			headerModel: modelName, "Bulrushpath-Token-Usage": "900,48", "Bulrushpath-Prompt-Prefix": "5c1e07a2:600," + part + ":300",
		}
	}
	var wg sync.WaitGroup
	var whole, lost atomic.Int64
	wg.Go(func() {
		every(day, 80*time.Millisecond, func(n int) {
			a := w.send(fronts[rand.IntN(len(fronts))], request{
				method: "POST", host: "desk.example", path: "/chat/1", body: fmt.Sprint("question ", n), deadline: 5 * time.Second, header: header(fmt.Sprintf("%x", 1000+n)),
			})
			_, ran := begun.Load(a.id)
			switch {
			case a.status == http.StatusOK && a.whole && strings.Contains(string(a.body), fmt.Sprintf("id: %d\n", streamEvents)):
				whole.Add(1)
			case ran:
				lost.Add(1)
				w.logf("client of another stream: %s was begun by a replica and is not complete: %s", a.id, a.outcome())
			}
		})
	})
	wg.Go(func() {
		for n := 0; day.Err() == nil; n++ {
			w.send(fronts[n%len(fronts)], request{
				method: "POST", host: "desk.example", path: "/draft/poison", body: "the same prompt", deadline: 5 * time.Second, header: header("badc0de"),
			})
			time.Sleep(800 * time.Millisecond)
		}
	})
	wg.Wait()
	time.Sleep(time.Second)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	w.logf("crashes with the request: %d; attempts that reached replicas later than %v after the third crash: %d (allowed: 3)", watch.crashes, stableWindow, len(watch.late))
	w.logf("other streams: %d whole, %d begun by a replica and cut off", whole.Load(), lost.Load())
	if whole.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return len(watch.late) > 3, nil
}

const (
	engineMB = 200000.0
	modelMB  = 60000.0
)

// engineConfig returns the Engine of a service.
func engineConfig(models []string, diskS float64) map[string]any {
	list := []any{}
	for _, m := range models {
		list = append(list, map[string]any{
			"Name": m, "WeightsMb": modelMB, "LoadS": 3.0, "Adapters": 0, "AdapterMb": 12.0, "WarmS": 0.6, "DiskS": max(diskS, 1.0),
		})
	}
	return map[string]any{
		"Slots": 64, "KvCapacity": 261004, "KvTokenBytes": 163840, "LinkMbps": 180000.0, "Moves": true, "Backups": true, "Stride": 4, "Cap": 12,
		"HostMb": 150000.0, "DiskMb": 450000.0, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": list, "WeightsMb": engineMB,
		"AdapterSlots": 8, "LoadsPerS": 1.4,
	}
}
