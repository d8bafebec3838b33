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
	// maxAnswer bounds the body of an answer that is passed on whole, in bytes.
	maxAnswer       = 16 << 20
	lastEventHeader = "Last-Event-Id"
)

var (
	errSeal   = errors.New("success without the seal of a target")
	errServer = errors.New("target answered with a failure of its own")
)

// passWhole reads the whole answer and passes it on; nothing goes to the client
// before its end was seen.
func (c *call) passWhole(answer *relay.Answer, started func()) error {
	if success(answer.Status) && answer.Header.Get(c.g.headers.Seal) == "" {
		return errSeal
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	switch {
	case err != nil:
		return fmt.Errorf("read answer: %w", err)
	case len(body) > maxAnswer:
		return fmt.Errorf("answer exceeds %d bytes", maxAnswer)
	}
	started()
	if answer.Status >= http.StatusInternalServerError && c.route.Repeatable() && c.ran+1 < c.route.MaxAttempts {
		c.kept = &keptAnswer{answer: answer, body: body}
		return errServer
	}
	c.pass(answer, body)
	return nil
}

// keptAnswer is a target's failure, which the client gets if no other target
// does better.
type keptAnswer struct {
	answer *relay.Answer
	body   []byte
}

// pass sends a whole answer to the client.
func (c *call) pass(answer *relay.Answer, body []byte) {
	c.head(answer)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(answer.Status)
	c.sent = true
	_, _ = c.w.Write(body)
}

// head copies the end-to-end headers of an answer.
func (c *call) head(answer *relay.Answer) {
	c.decision.status = answer.Status
	h := c.w.Header()
	for name, values := range endToEnd(answer.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
}

func success(status int) bool { return status >= 200 && status < 300 }

// passStream passes whole events on as they arrive. After an earlier break, it
// goes on behind the last event that the client has got.
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
				return fmt.Errorf("event %d follows event %d", ev.ID, c.lastEvent)
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

// paused notes the pause before an event of a stream from t.
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
