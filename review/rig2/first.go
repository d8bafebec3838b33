package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// startSpread is the time between the starts of the first and of the last machine; the pages allow 0.3 s.
	startSpread = 250 * time.Millisecond
	// killedAfter is the age of the first control process when it is killed, and restartDelay the time
	// until the platform starts it again.
	killedAfter  = 150 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// servedFor is how long clients and operator try.
	servedFor = 25 * time.Second
)

// firstStart starts a new system. While it starts, the control process of one machine is killed, and
// the platform starts it again with the settings that are in effect by then: Bootstrap is false, as
// that is no first start of the whole system.
func firstStart(w *world, trouble bool) (broken bool, err error) {
	ms := w.machines
	begun := time.Now()
	if err := ms[0].start("control", true); err != nil {
		return false, err
	}
	if err := ms[0].start("entry", true); err != nil {
		return false, err
	}
	go func() {
		time.Sleep(startSpread)
		for _, m := range ms[1:] {
			for _, role := range []string{"control", "entry"} {
				if err := m.start(role, true); err != nil {
					w.record.addf("%s: %v", m.name, err)
				}
			}
		}
	}()
	if trouble {
		time.Sleep(killedAfter)
		ms[0].kill("control")
		time.Sleep(restartDelay)
		if err := ms[0].start("control", false); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begun.Add(startSpread + 500*time.Millisecond)))
	for i := range 2 {
		r, err := w.startReplica(fmt.Sprintf("i-%d", i+1), "ledger", ms[i].ip, ms[i].zone)
		if err != nil {
			return false, err
		}
		defer r.close()
	}
	stableFrom := begun.Add(startSpread + killedAfter + restartDelay + stableWindow)
	end := stableFrom.Add(servedFor)
	readFrom := end.Add(-stableWindow - 2*time.Second)
	accepted := make(chan bool, 1)
	go func() {
		// The first configuration is sent again until it is accepted.
		_, ok := w.newOperator().until(readFrom, http.MethodPost, "/bulrushpath/Config.Replace", ledgerConfig(1))
		accepted <- ok
	}()
	served, tried := w.tryClients(readFrom)
	acked := <-accepted
	read, ok := w.newOperator().until(end, http.MethodGet, "/bulrushpath/Config.Read", nil)
	came := ok && bytes.Contains(read, []byte(`"Version"`))
	w.record.addf("the core has been stable since %.1f s; configuration acknowledged: %v; read back at the end: %v; requests: %d sent, %d served",
		stableFrom.Sub(w.record.start).Seconds(), acked, came, tried, served)
	return !came, nil
}

// tryClients sends requests to all machines in turn until the time is over, at least one to each.
func (w *world) tryClients(end time.Time) (served, tried int) {
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	for i := 0; i < 2*len(w.machines) || time.Now().Before(end); i++ {
		m := w.machines[i%len(w.machines)]
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/status/1", m.ip, w.portFront), nil)
		req.Host = "ledger.example"
		req.Header.Set("Bulrushpath-Request-Id", id)
		req.Header.Set("Bulrushpath-Request-Deadline", "2500")
		tried++
		res, err := client.Do(req)
		if err != nil {
			w.record.addf("client: request %s at %s: %v", id, m.name, err)
		} else {
			b, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			w.record.addf("client: request %s at %s: %d, %d bytes", id, m.name, res.StatusCode, len(b))
			if res.StatusCode == http.StatusOK {
				served++
			}
		}
		cancel()
		time.Sleep(400 * time.Millisecond)
	}
	return served, tried
}
