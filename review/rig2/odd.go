package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// ahead is how far the odd entry is ahead of the sequence of the replica that it names.
	ahead = 300
	// leaveDelay is the time from the odd entry to the leaving of the replica, and leaveTime the time
	// for which the replica still serves.
	leaveDelay = 1500 * time.Millisecond
	leaveTime  = 7 * time.Second
	// clientPause is the time between two requests of one client.
	clientPause = 150 * time.Millisecond
)

// oddWriter lets another writer send one entry with the id of a replica, in which two fields have
// another type. Then the replica leaves as planned.
func oddWriter(w *world, trouble bool) (broken bool, err error) {
	if err := w.startAll(ledgerConfig(1)); err != nil {
		return false, err
	}
	var replicas []*replica
	for i, m := range w.machines {
		r, err := w.startReplica(fmt.Sprintf("i-%d", i+1), "ledger", m.ip, m.zone)
		if err != nil {
			return false, err
		}
		defer r.close()
		replicas = append(replicas, r)
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, m := range w.machines {
		wg.Add(1)
		go func() { defer wg.Done(); w.sendFrom(i, m, "reserve", stop) }()
	}
	time.Sleep(stableWindow + 3*time.Second)
	leaver := replicas[0]
	if trouble {
		leaver.mu.Lock()
		entry := leaver.beat(leaver.sequence+ahead, "ready")
		leaver.mu.Unlock()
		entry["Version"], entry["ColdRemainingMs"] = 1, "none"
		if err := w.sendEntry(leaver.id, entry); err != nil {
			return false, err
		}
	}
	time.Sleep(leaveDelay)
	leaver.drain()
	time.Sleep(leaveTime)
	close(stop)
	wg.Wait()
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	if leaver.ackedAt.IsZero() {
		return false, errors.New("the leaving of the replica was not acknowledged")
	}
	w.record.addf("requests that reached %s later than DrainMs after its leaving was acknowledged: %d", leaver.id, leaver.late)
	return leaver.late > 0, nil
}

// startAll starts all machines and sends the first configuration.
func (w *world) startAll(config []byte) error {
	for _, m := range w.machines {
		for _, role := range []string{"control", "entry"} {
			if err := m.start(role, true); err != nil {
				return err
			}
		}
	}
	if _, ok := w.newOperator().until(time.Now().Add(20*time.Second), http.MethodPost, "/bulrushpath/Config.Replace", config); !ok {
		return errors.New("no configuration was acknowledged")
	}
	return nil
}

// oddService lets another writer send one entry with the id and the address of a replica, in which two
// fields have another type and the service is another one.
func oddService(w *world, trouble bool) (broken bool, err error) {
	if err := w.startAll(twoServices(1)); err != nil {
		return false, err
	}
	var replicas []*replica
	for _, svc := range []string{"ledger", "archive"} {
		for i, m := range w.machines {
			r, err := w.startReplica(fmt.Sprintf("i-%s-%d", svc, i+1), svc, m.ip, m.zone)
			if err != nil {
				return false, err
			}
			defer r.close()
			replicas = append(replicas, r)
		}
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, m := range w.machines {
		for k, route := range []string{"reserve", "archive"} {
			wg.Add(1)
			go func() { defer wg.Done(); w.sendFrom(2*i+k, m, route, stop) }()
		}
	}
	time.Sleep(stableWindow + 3*time.Second)
	if trouble {
		entry := replicas[0].beat(1, "ready")
		entry["Service"], entry["born"] = "archive", time.Now().UnixMilli()
		entry["Version"], entry["ColdRemainingMs"] = 1, "none"
		if err := w.sendEntry(replicas[0].id, entry); err != nil {
			return false, err
		}
	}
	time.Sleep(leaveTime)
	close(stop)
	wg.Wait()
	foreign := 0
	for _, r := range replicas {
		r.mu.Lock()
		foreign += r.foreign
		w.record.addf("replica %s of %s: ran %d requests, %d of them of another service", r.id, r.svc, r.ran, r.foreign)
		r.mu.Unlock()
	}
	return foreign > 0, nil
}

// sendEntry sends an entry of another writer, to one machine after the other.
func (w *world) sendEntry(id string, entry map[string]any) error {
	body, _ := json.Marshal(entry)
	client := &http.Client{Timeout: time.Second}
	for _, at := range w.seeds {
		res, err := client.Post("http://"+at+"/bulrushpath/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		w.record.addf("other writer: entry %s at %s: %d", body, at, res.StatusCode)
		return nil
	}
	return errors.New("no machine took the entry of the other writer")
}

// sendFrom sends requests that may run once to one machine until stop is closed.
func (w *world) sendFrom(i int, m *machine, route string, stop <-chan struct{}) {
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		id := fmt.Sprintf("%04x%012x", i, n)
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/%d", m.ip, w.portFront, route, n), bytes.NewReader([]byte("pay")))
		req.Host = "ledger.example"
		req.Header.Set("Bulrushpath-Request-Id", id)
		req.Header.Set("Bulrushpath-Request-Deadline", "2500")
		res, err := client.Do(req)
		if err != nil {
			w.record.addf("client: request %s at %s: %v", id, m.name, err)
			continue
		}
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			w.record.addf("client: request %s at %s: %d %.60q", id, m.name, res.StatusCode, b)
		}
	}
}
