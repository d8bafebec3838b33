package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one client attempt and its end.
type attempt struct {
	id     string
	status int
	body   []byte
	// whole is true if the answer is complete.
	whole bool
	err   error
}

// request describes what a client sends.
type request struct {
	method, host, path, key, body string
	deadline                      time.Duration
	header                        map[string]string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one client attempt on a new connection to the machine, and records it.
func (w *world) send(addr string, r request) attempt {
	id, sent := newID(), time.Now()
	a := w.exchange(addr, id, r)
	w.logf("client: %s %s %s, sent to %s %.3f s ago, answered %s", id, r.method, r.path, addr, time.Since(sent).Seconds(), a.outcome())
	return a
}

// exchange does the work of send.
func (w *world) exchange(addr, id string, r request) attempt {
	a := attempt{id: id}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + 500*time.Millisecond))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, headerID, a.id, headerDeadline, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		a.err = err
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status = res.StatusCode
	a.body, a.err = io.ReadAll(res.Body)
	a.whole = a.err == nil
	return a
}

// outcome is the end of an attempt in words.
func (a attempt) outcome() string {
	switch {
	case a.err != nil && a.status == 0:
		return "no answer: " + shorten(a.err.Error())
	case a.err != nil:
		return fmt.Sprintf("%d, cut off", a.status)
	case a.status >= http.StatusBadRequest:
		return fmt.Sprintf("%d %s", a.status, shorten(strings.TrimSpace(string(a.body))))
	}
	return fmt.Sprint(a.status)
}

func shorten(s string) string { return s[:min(len(s), 120)] }

// every calls fn in a goroutine of its own each period until ctx ends.
func every(ctx context.Context, period time.Duration, fn func(n int)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			go fn(n)
		}
	}
}
