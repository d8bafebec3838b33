package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in for a replica of a plain service. It answers requests after a short time of
// work, announces itself and answers health checks, as a sound one does.
type replica struct {
	w       *world
	id, svc string
	zone    string
	addr    string
	srv     *http.Server
	born    int64
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	sequence int
	ran      int
}

// startReplica starts a replica at its own loopback address.
func (w *world) startReplica(id, svc, ip, zone string) (*replica, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, id: id, svc: svc, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Bulrushpath-Instance-Id", id)
		rw.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/", r.serve)
	r.srv = &http.Server{Handler: mux}
	r.wg.Add(2)
	go func() { defer r.wg.Done(); _ = r.srv.Serve(ln) }()
	go func() { defer r.wg.Done(); r.announce() }()
	return r, nil
}

const workTime = 30 * time.Millisecond

func (r *replica) serve(rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Bulrushpath-Request-Id")
	rw.Header().Set("Bulrushpath-Request-Id", id)
	if to := req.Header.Get("Bulrushpath-Target-Instance"); to != "" && to != r.id {
		rw.Header().Set("Bulrushpath-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	time.Sleep(workTime)
	r.mu.Lock()
	r.ran++
	r.mu.Unlock()
	r.w.record.addf("replica %s: ran %s %s, request %s", r.id, req.Method, req.URL.Path, id)
	body := bytes.Repeat([]byte("x"), 800)
	rw.Header().Set("Bulrushpath-Response-Seal", "seal-"+r.id+"-"+id)
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write(body)
}

// announce sends a heartbeat in each period. It goes to another machine after a failure.
func (r *replica) announce() {
	client := &http.Client{Timeout: time.Second}
	next := 0
	for {
		r.mu.Lock()
		r.sequence++
		n := r.sequence
		r.mu.Unlock()
		beat, _ := json.Marshal(map[string]any{
			"Service": r.svc, "Address": r.addr, "Zone": r.zone, "Version": "v1", "Slots": 6, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": n, "born": r.born,
		})
		seeds := r.w.seeds
		res, err := client.Post("http://"+seeds[next%len(seeds)]+"/bulrushpath/Instances.Heartbeat/"+r.id, "application/json", bytes.NewReader(beat))
		wait := heartbeatTime
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		if err != nil || res.StatusCode/100 != 2 {
			next++
			wait = heartbeatTime / 4
		}
		select {
		case <-r.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (r *replica) close() {
	close(r.stop)
	_ = r.srv.Close()
	r.wg.Wait()
}
