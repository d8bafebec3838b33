package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	replicaSlots = 6
	replicaQueue = 24
	workTime     = 30 * time.Millisecond
)

// replica is one incarnation of a replica of a plain service.
type replica struct {
	rig     *rig
	id      string
	addr    string
	zone    string
	service string
	born    time.Time
	// work is how long a request runs.
	work time.Duration
	// beatDelay is how late the first copy of each heartbeat arrives; 0 for none. With allLate
	// the copies to the next nodes are as late.
	beatDelay time.Duration
	allLate   bool
	// onRun is called when the replica begins to run a request; nil for none.
	onRun func(x *replica, requestID string)
	// deadly is the body of the request that crashes each replica that begins to run it.
	deadly string
	// darkCrash makes it vanish silently then, as with its machine; otherwise its connections are
	// reset.
	darkCrash bool
	// onDeadly is called when the replica begins to run that request.
	onDeadly func(x *replica, requestID string)

	leaving atomic.Bool

	srv    *http.Server
	ln     net.Listener
	alive  context.Context
	die    context.CancelFunc
	slots  chan struct{}
	queued chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence uint64
	// beatURL is the address for heartbeats that control has named.
	beatURL string
	ran     int
}

// start makes the replica listen and announce itself.
func (x *replica) start() error {
	ln, err := net.Listen("tcp", x.addr)
	if err != nil {
		return err
	}
	x.id, x.born = x.rig.newID("i-"), time.Now()
	x.alive, x.die = context.WithCancel(x.rig.closing)
	x.slots, x.queued = make(chan struct{}, replicaSlots), make(chan struct{}, replicaSlots+replicaQueue)
	x.conns = make(map[net.Conn]bool)
	x.srv, x.ln = &http.Server{Handler: x, ConnState: x.track}, ln
	x.rig.mu.Lock()
	x.rig.replicas = append(x.rig.replicas, x)
	x.rig.mu.Unlock()
	x.rig.wg.Go(func() { _ = x.srv.Serve(ln) })
	x.rig.wg.Go(x.beat)
	x.rig.logf("replica %s of %s started at %s", x.id, x.service, x.addr)
	return nil
}

func (x *replica) track(c net.Conn, s http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch s {
	case http.StateNew:
		x.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(x.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// crash ends the replica at once: it resets its connections and sends nothing more.
func (x *replica) crash() {
	x.die()
	x.mu.Lock()
	for c := range x.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	x.mu.Unlock()
	_ = x.srv.Close()
}

// vanish ends the replica without a word: its connections stay as they are, and no new one is
// answered. restore ends that state.
func (x *replica) vanish() (restore func(), err error) {
	x.die()
	if err := x.ln.Close(); err != nil {
		return nil, err
	}
	d, err := goDark(x.addr)
	if err != nil {
		return nil, err
	}
	return func() {
		d.close()
		x.crash()
	}, nil
}

// restartAfter starts a new incarnation, with a new id, at the same address.
func (x *replica) restartAfter(d time.Duration) {
	x.rig.wg.Go(func() {
		if x.rig.sleep(d) != nil {
			return
		}
		y := &replica{
			rig: x.rig, addr: x.addr, zone: x.zone, service: x.service, work: x.work, beatDelay: x.beatDelay,
			deadly: x.deadly, darkCrash: x.darkCrash, onDeadly: x.onDeadly,
		}
		if err := y.start(); err != nil {
			x.rig.logf("replica at %s could not start again: %v", x.addr, err)
		}
	})
}

func (x *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	const notRun = "Bulrushpath-Not-Executed"
	id := req.Header.Get("Bulrushpath-Request-Id")
	w.Header().Set("Keep-Alive", "timeout=5")
	if id != "" {
		w.Header().Set("Bulrushpath-Request-Id", id)
	}
	if req.URL.Path == "/health" {
		status := http.StatusOK
		if x.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		w.Header().Set("Bulrushpath-Instance-Id", x.id)
		w.WriteHeader(status)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	refuse := func(status int) {
		w.Header().Set(notRun, "1")
		w.WriteHeader(status)
	}
	if target := req.Header.Get("Bulrushpath-Target-Instance"); target != "" && target != x.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	select {
	case x.queued <- struct{}{}:
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-x.queued }()
	select {
	case x.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-x.slots }()
	if x.deadly != "" && string(body) == x.deadly {
		x.runDeadly(id)
		panic(http.ErrAbortHandler)
	}
	x.mu.Lock()
	x.ran++
	x.mu.Unlock()
	if x.onRun != nil {
		x.onRun(x, id)
	}
	select {
	case <-time.After(x.work):
	case <-req.Context().Done():
		return
	}
	answer := strings.Repeat("x", 800)
	w.Header().Set("Bulrushpath-Response-Seal", x.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// runDeadly crashes the replica, which is back after crashTime.
func (x *replica) runDeadly(id string) {
	x.rig.logf("replica %s begins to run %s, and crashes", x.id, id)
	x.onDeadly(x, id)
	if !x.darkCrash {
		go x.crash()
		<-x.alive.Done()
		x.restartAfter(crashTime)
		return
	}
	restore, err := x.vanish()
	if err != nil {
		x.rig.logf("replica %s could not vanish: %v", x.id, err)
		return
	}
	_ = x.rig.sleep(crashTime)
	restore()
	x.restartAfter(0)
}

// beat sends a heartbeat each heartbeatPeriod while the replica is alive.
func (x *replica) beat() {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		if !x.leaving.Load() {
			x.announce()
		}
		select {
		case <-x.alive.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sends one heartbeat. If it is not acknowledged within a second, the next node is
// called. A copy that is late on its way arrives all the same, even if its sender has crashed by
// then.
func (x *replica) announce() {
	x.mu.Lock()
	x.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": x.service, "Address": x.addr, "Zone": x.zone, "Version": "v1", "Slots": replicaSlots, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": x.sequence, "born": x.born.UnixMilli(),
	})
	url := x.beatURL
	x.mu.Unlock()
	path := "/bulrushpath/Instances.Heartbeat/" + x.id
	first := rand.IntN(3)
	if x.allLate {
		x.deliverLate(x.rig.controlURL(first)+path, body)
		x.deliverLate(x.rig.controlURL((first+1)%3)+path, body)
		return
	}
	if url != "" && x.beatDelay > 0 {
		x.deliverLate(url+path, body)
		select {
		case <-x.alive.Done():
			return
		case <-time.After(ackTimeout):
		}
	} else if url != "" && x.call(x.alive, url+path, body) {
		return
	}
	for i := range 3 {
		if x.alive.Err() != nil || x.call(x.alive, x.rig.controlURL((first+i)%3)+path, body) {
			return
		}
	}
}

// deliverLate delivers a copy of a heartbeat after beatDelay.
func (x *replica) deliverLate(url string, body []byte) {
	x.rig.wg.Go(func() {
		if x.rig.sleep(x.beatDelay) != nil {
			return
		}
		x.call(x.rig.closing, url, body)
	})
}

// leave tells control that the replica is leaving, without having reported that it drains. It
// returns once control has acknowledged that.
func (x *replica) leave() error {
	x.leaving.Store(true)
	path := "/bulrushpath/Instances.Deregister/" + x.id
	body, _ := json.Marshal(map[string]any{"born": x.born.UnixMilli()})
	for i := range 6 {
		status, _, err := callControl(x.rig.closing, x.rig.controlURL(i%3)+path, body)
		if err == nil && status/100 == 2 {
			return nil
		}
	}
	return errors.New("no node has acknowledged that the replica leaves")
}

// call sends a heartbeat and reports whether it was acknowledged.
func (x *replica) call(ctx context.Context, url string, body []byte) bool {
	status, answer, err := callControl(ctx, url, body)
	if err != nil || status/100 != 2 {
		return false
	}
	var reply struct {
		HeartbeatURL string `json:"HeartbeatUrl"`
	}
	if json.Unmarshal(answer, &reply) == nil && reply.HeartbeatURL != "" {
		x.mu.Lock()
		x.beatURL = "http://" + reply.HeartbeatURL
		x.mu.Unlock()
	}
	return true
}
