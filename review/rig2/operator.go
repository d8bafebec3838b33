package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// operator calls the control API: it picks among the machines that serve it, follows a redirect twice,
// and goes on to the next machine after a failure, a 5xx or a second without a response.
type operator struct {
	w      *world
	client *http.Client
	next   int
	// quiet leaves single calls out of the record.
	quiet bool
}

func (w *world) newOperator() *operator {
	return &operator{w: w, client: &http.Client{
		Timeout: time.Second,
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return errors.New("a third redirect")
			}
			return nil
		},
	}}
}

// call sends one call to the next machine.
func (o *operator) call(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error) {
	at := o.w.seeds[o.next%len(o.w.seeds)]
	o.next++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := o.client.Do(req)
	if err != nil {
		if !o.quiet {
			o.w.record.addf("operator: %s %s at %s: %v", method, path, at, err)
		}
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(res.Body)
	if !o.quiet {
		o.w.record.addf("operator: %s %s at %s: %d %.60q", method, path, at, res.StatusCode, answer)
	}
	return res.StatusCode, answer, err
}

// until repeats a call, with increasing pauses, until it is answered with 200 or the time is over.
func (o *operator) until(end time.Time, method, path string, body []byte) (answer []byte, ok bool) {
	pause := 100 * time.Millisecond
	for time.Now().Before(end) {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		status, answer, err := o.call(ctx, method, path, body)
		cancel()
		if err == nil && status == http.StatusOK {
			return answer, true
		}
		time.Sleep(pause)
		pause = min(pause*3/2, 500*time.Millisecond)
	}
	return nil, false
}

// ledgerConfig is a configuration with one plain service.
func ledgerConfig(version int) []byte {
	b, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "status", "Host": "ledger.example", "PathPrefix": "/status/", "Kind": "safe", "TimeoutMs": 2500,
			"TargetLatencyMs": 150, "Priority": 1, "Service": "ledger", "MaxAttempts": 2,
		}, map[string]any{
			"Name": "reserve", "Host": "ledger.example", "PathPrefix": "/reserve/", "Kind": "unsafe", "TimeoutMs": 2500,
			"TargetLatencyMs": 150, "Priority": 1, "Service": "ledger", "MaxAttempts": 1,
		}},
		"Services": []any{map[string]any{
			"Name": "ledger", "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return b
}

// twoServices is a configuration with a second plain service, whose requests may run once.
func twoServices(version int) []byte {
	var c map[string]any
	_ = json.Unmarshal(ledgerConfig(version), &c)
	c["Routes"] = append(c["Routes"].([]any), map[string]any{
		"Name": "archive", "Host": "ledger.example", "PathPrefix": "/archive/", "Kind": "unsafe", "TimeoutMs": 2500,
		"TargetLatencyMs": 150, "Priority": 1, "Service": "archive", "MaxAttempts": 1,
	})
	c["Services"] = append(c["Services"].([]any), map[string]any{
		"Name": "archive", "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false,
	})
	b, _ := json.Marshal(c)
	return b
}
