package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerID       = "Bulrushpath-Request-Id"
	headerDeadline = "Bulrushpath-Request-Deadline"
	headerTarget   = "Bulrushpath-Target-Instance"
	headerNotRun   = "Bulrushpath-Not-Executed"
	headerSeal     = "Bulrushpath-Response-Seal"
	headerTenant   = "Bulrushpath-Tenant"
	headerModel    = "Bulrushpath-Model"
)

// replica is a stand-in for a replica. Its process is a part of this one: a crash closes its sockets, as
// the kernel does for a process that ends.
type replica struct {
	w       *world
	service string
	zone    string
	addr    string
	slots   int
	// handle answers a request that the replica runs. It may call crash.
	handle func(r *replica, rw http.ResponseWriter, req *http.Request)
	engine *engine
	// keepID makes the replica start again under the id that it had.
	keepID bool
	// down is the time between a crash and the next start.
	down time.Duration

	mu       sync.Mutex
	id       string
	born     time.Time
	sequence int
	running  int
	up       bool
	srv      *http.Server
	ln       *darkListener
	hijacked map[net.Conn]bool
	crashes  int
	stop     context.CancelFunc
}

func (w *world) newReplica(service, zone string, slots int, handle func(*replica, http.ResponseWriter, *http.Request)) *replica {
	w.replicaCount++
	return &replica{
		w: w, service: service, zone: zone, slots: slots, handle: handle, down: 2 * time.Second,
		addr: fmt.Sprintf("%s:%d", w.ip(20+w.replicaCount), w.port+10),
	}
}

// start starts a process of the replica.
func (r *replica) start() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if r.id == "" || !r.keepID {
		r.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	r.born, r.sequence, r.running, r.up = time.Now(), 0, 0, true
	r.hijacked = make(map[net.Conn]bool)
	srv := &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.srv = srv
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	id, born := r.id, r.born
	r.mu.Unlock()
	if r.engine != nil {
		r.engine.restart()
	}
	listener := &darkListener{TCPListener: ln.(*net.TCPListener), dark: make(chan struct{}), closed: make(chan struct{})}
	r.mu.Lock()
	r.ln = listener
	r.mu.Unlock()
	go func() { _ = srv.Serve(listener) }()
	go r.beat(ctx, id, born)
	r.w.logf("replica %s: process %s of %s starts", r.addr, id, r.service)
	return nil
}

// crash ends the process of the replica. It starts again after some seconds.
func (r *replica) crash(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.crashes++
	r.stop()
	srv, conns, running := r.srv, r.hijacked, r.running
	r.mu.Unlock()
	r.w.logf("replica %s: process %s crashes with %d requests running: %s", r.addr, r.id, running, why)
	for c := range conns {
		_ = c.Close()
	}
	_ = srv.Close()
	time.AfterFunc(r.down, func() {
		for r.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// goDark ends the process of the replica with its machine: nothing closes its connections, and nothing
// answers. Some seconds later both are back.
func (r *replica) goDark(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.crashes++
	r.stop()
	srv, ln, running := r.srv, r.ln, r.running
	r.mu.Unlock()
	r.w.logf("replica %s: the machine of process %s goes dark with %d requests running: %s", r.addr, r.id, running, why)
	ln.goDark()
	time.Sleep(r.down)
	_ = ln.Close()
	_ = srv.Close()
	err := r.start()
	for ; err != nil; err = r.start() {
		r.w.logf("replica %s: %v", r.addr, err)
		time.Sleep(500 * time.Millisecond)
	}
}

// isUp reports whether the process with the given id runs.
func (r *replica) isUp(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.id == id
}

// hijack takes over the connection of a request, so that the answer can have any form.
func (r *replica) hijack(rw http.ResponseWriter) (net.Conn, error) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		_ = c.Close()
		return c, nil
	}
	r.hijacked[c] = true
	return c, nil
}

func (r *replica) serve(rw http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	if t := req.Header.Get(headerTarget); t != "" && t != id {
		rw.Header().Set(headerNotRun, "1")
		rw.Header().Set(headerID, req.Header.Get(headerID))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case !r.isUp(id):
		time.Sleep(r.down)
		return
	case req.URL.Path == "/health":
		rw.Header().Set("Bulrushpath-Instance-Id", id)
		rw.WriteHeader(http.StatusOK)
		return
	case r.engine != nil && strings.HasPrefix(req.URL.Path, "/bulrushpath/"):
		r.engine.serve(r, rw, req)
		return
	}
	rw.Header().Set(headerID, req.Header.Get(headerID))
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.id == id {
			r.running--
		}
	}()
	if r.engine != nil && !r.engine.holds(req.Header.Get(headerModel)) {
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.w.logf("replica %s: process %s runs %s %s of %s", r.addr, id, req.Method, req.URL.Path, req.Header.Get(headerID))
	r.handle(r, rw, req)
}

// seal is the signature of an answer.
func (r *replica) seal() string { return fmt.Sprintf("%08x.%s", rand.Uint32(), r.id) }

// answer answers a request with a body.
func (r *replica) answer(rw http.ResponseWriter, status int, body string) {
	r.mu.Lock()
	up := r.up
	r.mu.Unlock()
	if !up {
		// Its machine is dark.
		time.Sleep(r.down)
		return
	}
	rw.Header().Set(headerSeal, r.seal())
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	rw.WriteHeader(status)
	_, _ = rw.Write([]byte(body))
}

// beat sends heartbeats until the process ends.
func (r *replica) beat(ctx context.Context, id string, born time.Time) {
	next := ""
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		addrs := r.w.controlAddrs()
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		if next != "" {
			addrs = append([]string{next}, addrs...)
		}
		next = ""
		r.mu.Lock()
		r.sequence++
		m := map[string]any{
			"Service": r.service, "Address": r.addr, "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": r.sequence, "born": born.UnixMilli(),
		}
		r.mu.Unlock()
		if r.engine != nil {
			m["Stage"], m["Models"] = "both", r.engine.models()
			m["Available"] = r.engine.available()
		}
		body, _ := json.Marshal(m)
		for _, addr := range addrs {
			if ctx.Err() != nil {
				return
			}
			res, err := client.Post("http://"+addr+"/bulrushpath/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			var reply struct{ HeartbeatUrl string } //nolint:revive // The name on the wire.
			_ = json.NewDecoder(res.Body).Decode(&reply)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				next = reply.HeartbeatUrl
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod - 50*time.Millisecond + rand.N(100*time.Millisecond)):
		}
	}
}
