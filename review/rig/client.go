package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id     string
	status int
	sealed bool
	whole  bool
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + strings.ReplaceAll(a.err.Error(), "\n", " ")
	}
	return fmt.Sprintf("status %d, sealed %v, body whole %v", a.status, a.sealed, a.whole)
}

// send sends one request to the entry instance of a machine, on a new connection.
func (r *rig) send(m *machine, method, path, body string, deadline time.Duration) answer {
	a := answer{id: r.newID("r")}
	ctx, cancel := context.WithTimeout(r.closing, deadline+200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, r.ports.front, path), strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	if body == "" {
		req.Body = nil
		req.ContentLength = 0
	}
	req.Host = hostName
	req.Header.Set("Bulrushpath-Request-Id", a.id)
	req.Header.Set("Bulrushpath-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	a.status, a.sealed, a.whole = res.StatusCode, res.Header.Get("Bulrushpath-Response-Seal") != "", err == nil
	return a
}

const (
	hostName     = "ficu95.example"
	paymentPath  = "/puxa403/"
	statusPath   = "/lohu930/"
	serviceName  = "ledger"
	callDeadline = 2500 * time.Millisecond
)

// plainConfig is a configuration with one plain service: an unsafe route and a safe one.
func plainConfig(version int) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": callDeadline.Milliseconds(),
			"TargetLatencyMs": 150, "Priority": 2, "Service": serviceName, "MaxAttempts": 2, "Sticky": false, "Resumable": false,
		}
	}
	return map[string]any{
		"Version":  version,
		"Routes":   []any{route("r-pay", paymentPath, "unsafe"), route("r-status", statusPath, "safe")},
		"Services": []any{map[string]any{"Name": serviceName, "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
