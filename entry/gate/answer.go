package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/steer"
)

const (
	// maxAnswer is the maximum size of a buffered response body, in bytes.
	maxAnswer       = 16 << 20
	lastEventHeader = "Last-Event-Id"
)

var (
	errSeal   = errors.New("successful response lacks the seal header of a target")
	errServer = errors.New("target responded with a server error")
)

// passWhole buffers the response and forwards it. Nothing is sent to the client
// until the body has been read to its end, so that the request can still be resent.
func (c *call) passWhole(answer *relay.Answer, started func()) error {
	if success(answer.Status) && answer.Header.Get(c.g.headers.Seal) == "" {
		return errSeal
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	switch {
	case err != nil:
		return fmt.Errorf("read answer: %w", err)
	case len(body) > maxAnswer:
		return fmt.Errorf("response body exceeds %d bytes", maxAnswer)
	}
	started()
	if answer.Status >= http.StatusInternalServerError && c.route.Repeatable() && c.ran+1 < c.route.MaxAttempts {
		c.kept = &keptAnswer{answer: answer, body: body}
		return errServer
	}
	c.pass(answer, body)
	return nil
}

// keptAnswer is a buffered server error of a target. The client receives it if no
// other target gives a better response.
type keptAnswer struct {
	answer *relay.Answer
	body   []byte
}

// pass writes a buffered response to the client.
func (c *call) pass(answer *relay.Answer, body []byte) {
	c.head(answer)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(answer.Status)
	c.sent = true
	_, _ = c.w.Write(body)
}

// head copies the end-to-end headers of a target's response to the client's response.
func (c *call) head(answer *relay.Answer) {
	c.decision.status = answer.Status
	h := c.w.Header()
	for name, values := range endToEnd(answer.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from sniffing a content type.
		h["Content-Type"] = nil
	}
}

func success(status int) bool { return status >= 200 && status < 300 }

// passStream forwards complete events as they arrive. If an earlier attempt broke
// off, it resumes after the last event that the client has received.
func (c *call) passStream(t *steer.Target, answer *relay.Answer, started func()) error {
	if answer.Header.Get(c.g.headers.Seal) == "" {
		return errSeal
	}
	control := http.NewResponseController(c.w)
	events := relay.NewEventReader(answer.Body)
	var last time.Time
	for {
		ev, err := events.Next()
		now := time.Now()
		if !last.IsZero() {
			c.paused(t, now, now.Sub(last))
		}
		last = now
		switch {
		case errors.Is(err, io.EOF):
			started()
			if !c.sent {
				c.startStream(answer)
			}
			return nil
		case err != nil:
			return fmt.Errorf("read stream: %w", err)
		}
		started()
		if c.hasEvent && ev.HasID {
			if ev.ID <= c.lastEvent {
				continue
			}
			if ev.ID != c.lastEvent+1 {
				return fmt.Errorf("gap in stream: event %d follows event %d", ev.ID, c.lastEvent)
			}
		}
		if !c.sent {
			c.startStream(answer)
		}
		if _, err := c.w.Write(ev.Raw); err != nil {
			return fmt.Errorf("write to client: %w", err)
		}
		if err := control.Flush(); err != nil {
			return fmt.Errorf("write to client: %w", err)
		}
		if ev.HasID {
			c.lastEvent, c.hasEvent = ev.ID, true
		}
	}
}

// paused records the time between two consecutive reads from a stream of t.
func (c *call) paused(t *steer.Target, now time.Time, pause time.Duration) {
	if pause > c.decision.gap {
		c.decision.gap, c.decision.gapAt = pause, now.Sub(c.arrived)
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	t.Event(now, pause)
}

func (c *call) startStream(answer *relay.Answer) {
	c.head(answer)
	c.w.WriteHeader(answer.Status)
	c.sent = true
}
