package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	wake    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	sequence int
	ran      int
	// draining is set once the replica says that it leaves, and ackedAt is the time of the first
	// acknowledgement of that.
	draining bool
	ackedAt  time.Time
	// foreign counts the requests of other services that the replica has run.
	foreign int
	// late counts the requests that reach the replica later than DrainMs after it.
	late int
}

// drainBound is DrainMs.
const drainBound = 2 * time.Second

// startReplica starts a replica at its own loopback address.
func (w *world) startReplica(id, svc, ip, zone string) (*replica, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, id: id, svc: svc, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{}), wake: make(chan struct{}, 1)}
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
	r.mu.Lock()
	since := time.Duration(0)
	if !r.ackedAt.IsZero() {
		since = time.Since(r.ackedAt)
	}
	if since > drainBound {
		r.late++
	}
	r.ran++
	foreign := r.svc == "ledger" && strings.HasPrefix(req.URL.Path, "/archive/") || r.svc == "archive" && !strings.HasPrefix(req.URL.Path, "/archive/")
	if foreign {
		r.foreign++
	}
	r.mu.Unlock()
	_, _ = io.Copy(io.Discard, req.Body)
	time.Sleep(workTime)
	if foreign {
		r.w.record.addf("replica %s of %s: ran %s %s of another service, request %s", r.id, r.svc, req.Method, req.URL.Path, id)
	} else if since > 0 {
		r.w.record.addf("replica %s: ran %s %s, request %s, which reached it %.2f s after its leaving was acknowledged", r.id, req.Method, req.URL.Path, id, since.Seconds())
	} else {
		r.w.record.addf("replica %s: ran %s %s, request %s", r.id, req.Method, req.URL.Path, id)
	}
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
		n, state := r.sequence, "ready"
		if r.draining {
			state = "draining"
		}
		r.mu.Unlock()
		beat, _ := json.Marshal(r.beat(n, state))
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
		} else if state == "draining" {
			r.acknowledged(n)
		}
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-time.After(wait):
		}
	}
}

// beat is the content of a heartbeat.
func (r *replica) beat(sequence int, state string) map[string]any {
	return map[string]any{
		"Service": r.svc, "Address": r.addr, "Zone": r.zone, "Version": "v1", "Slots": 6, "State": state,
		"ColdRemainingMs": 0, "Sequence": sequence, "born": r.born,
	}
}

// drain makes the replica say at once that it leaves. It goes on serving.
func (r *replica) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.wake <- struct{}{}
}

func (r *replica) acknowledged(sequence int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ackedAt.IsZero() {
		r.ackedAt = time.Now()
		r.w.record.addf("replica %s: its leaving is acknowledged (heartbeat %d)", r.id, sequence)
	}
}

func (r *replica) close() {
	close(r.stop)
	_ = r.srv.Close()
	r.wg.Wait()
}
