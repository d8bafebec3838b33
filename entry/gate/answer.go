package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/steer"
)

const (
	// maxResponseBytes is the maximum size of a response body that is no stream, in bytes.
	maxResponseBytes = 16 << 20
	lastEventHeader  = "Last-Event-Id"
)

var (
	errMissingSeal = errors.New("success without the seal of a target")
	errServerError = errors.New("target answered with a failure of its own")
	errNoID        = errors.New("event without an id")
	errNoEvents    = errors.New("resumed stream has no events and no marked end")
	errTooLong     = fmt.Errorf("answer exceeds %d bytes", maxResponseBytes)
)

// forwardBuffered buffers the response and forwards it. Nothing is sent to the client
// until the body has been read to its end, so that the request can still be resent, unless the
// body is too long to be held.
func (c *call) forwardBuffered(answer *relay.Response, onFirstOutput func()) error {
	switch {
	case isSuccess(answer.Status) && answer.Header.Get(c.gateway.headers.Seal) == "":
		return errMissingSeal
	case answer.Length > maxResponseBytes && c.r.Method != http.MethodHead:
		return errTooLong
	}
	buf := &bodyBuffer{budget: &c.gateway.answerBudget}
	defer buf.release()
	whole, err := buf.fill(answer.Body, answer.Length, maxAnswerBuffer)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	onFirstOutput()
	if answer.Status >= http.StatusInternalServerError && c.route.Repeatable() && c.incompleteAttempts+1 < c.route.MaxAttempts {
		if whole && len(buf.data) <= freeBufferBytes {
			c.fallback = &bufferedResponse{answer: answer, body: slices.Clone(buf.data)}
		}
		return errServerError
	}
	if promisesNotRun(answer.Status) && !c.route.Repeatable() {
		return withhold(answer)
	}
	if !whole {
		return c.passOn(answer, buf)
	}
	c.writeBuffered(answer, buf.data)
	return nil
}

// passOn forwards a response as it arrives; begun holds its beginning. The request can't be resent
// then, and the connection to the client is aborted if the response is not complete.
func (c *call) passOn(answer *relay.Response, begun *bodyBuffer) error {
	c.copyHeader(answer)
	if answer.Length >= 0 && c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	c.w.WriteHeader(answer.Status)
	c.headerSent, c.passedOn = true, true
	left := int64(maxResponseBytes - len(begun.data))
	if _, err := c.w.Write(begun.data); err != nil {
		return fmt.Errorf("write to client: %w", err)
	}
	begun.release()
	n, err := io.Copy(c.w, io.LimitReader(answer.Body, left+1))
	switch {
	case err != nil:
		return fmt.Errorf("pass on answer: %w", err)
	case n > left:
		return errTooLong
	}
	return nil
}

// bufferedResponse is a buffered server error of a target. The client receives it if no
// other target gives a better response.
type bufferedResponse struct {
	answer *relay.Response
	body   []byte
}

// writeBuffered writes a buffered response to the client.
func (c *call) writeBuffered(answer *relay.Response, body []byte) {
	c.copyHeader(answer)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(answer.Status)
	c.headerSent = true
	_, _ = c.w.Write(body)
}

// copyHeader copies the end-to-end headers of a target's response to the client's response.
func (c *call) copyHeader(answer *relay.Response) {
	c.record.status = answer.Status
	h := c.w.Header()
	for name, values := range endToEndHeader(answer.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from sniffing a content type.
		h["Content-Type"] = nil
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// isEventStream reports whether the body of an answer is a stream of events. Targets may leave out
// the type of their content.
func isEventStream(answer *relay.Response) bool {
	contentType := answer.Header.Get("Content-Type")
	kind, _, _ := strings.Cut(contentType, ";")
	return answer.Status == http.StatusOK && (contentType == "" || strings.EqualFold(strings.TrimSpace(kind), "text/event-stream"))
}

// forwardStream forwards complete events as they arrive. If an earlier attempt broke
// off, it resumes after the last event that the client has received. Text that is no event of
// the run ends the attempt as incomplete.
func (c *call) forwardStream(t *steer.Target, answer *relay.Response, onFirstOutput func()) error {
	if answer.Header.Get(c.gateway.headers.Seal) == "" {
		return errMissingSeal
	}
	control := http.NewResponseController(c.w)
	events := relay.NewEventReader(answer.Body, c.gateway.headers.StreamFields...)
	resumed, hasEvents := c.headerSent, false
	var last time.Time
	for {
		ev, err := events.Next()
		now := time.Now()
		if !last.IsZero() {
			c.recordGap(t, now, now.Sub(last))
		}
		last = now
		switch {
		case errors.Is(err, io.EOF) && resumed && !hasEvents && !answer.Framed:
			return errNoEvents
		case errors.Is(err, io.EOF):
			onFirstOutput()
			if !c.headerSent {
				c.writeStreamHeader(answer)
			}
			return nil
		case err != nil:
			return fmt.Errorf("read stream: %w", err)
		case !ev.HasID && !ev.Blank:
			return errNoID
		}
		onFirstOutput()
		hasEvents = hasEvents || ev.HasID
		if c.hasEvent && ev.HasID {
			if ev.ID <= c.lastEvent {
				continue
			}
			if ev.ID != c.lastEvent+1 {
				return fmt.Errorf("event %d follows event %d", ev.ID, c.lastEvent)
			}
		}
		if !c.headerSent {
			c.writeStreamHeader(answer)
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

// recordGap records the time between two consecutive reads from a stream of t.
func (c *call) recordGap(t *steer.Target, now time.Time, gap time.Duration) {
	if gap > c.record.maxGap {
		c.record.maxGap, c.record.maxGapEnd = gap, now.Sub(c.arrivedAt)
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	t.AddGap(now, gap)
}

func (c *call) writeStreamHeader(answer *relay.Response) {
	c.copyHeader(answer)
	c.w.WriteHeader(answer.Status)
	c.headerSent = true
}
