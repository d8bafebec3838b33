package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// maxKept is the maximum size of the text kept to resume a response on another
	// target.
	maxKept = 1 << 20
	// maxHeld is the maximum size of a plain service's response that is buffered. A
	// buffered response can be retried and carries its outcome as a header instead of a
	// trailer.
	maxHeld = 64 << 10
)

// answer writes the response of one request to its caller.
type answer struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	c     *clientRequest
	trace string
	limit time.Duration
	// draining is true if the connection is to be closed after the response. It may be
	// nil.
	draining *atomic.Bool

	// begun is set once the response header is sent. From then on a failure aborts the
	// connection.
	begun bool
	// text holds response data. For models it is all the text so far, which a streamed
	// response drops above maxKept; for plain services it is the part that is buffered.
	text []byte
	// tokens is the number of tokens received so far.
	tokens uint32
	// forgot is set when the text exceeds maxKept, after which the response cannot be
	// resumed.
	forgot  bool
	started *wire.Started
}

func newAnswer(w http.ResponseWriter, c *clientRequest, trace string, limit time.Duration) *answer {
	return &answer{w: w, rc: http.NewResponseController(w), c: c, trace: trace, limit: limit}
}

// restart discards buffered data that has not been sent.
func (a *answer) restart() {
	if !a.begun {
		a.text, a.tokens, a.forgot = nil, 0, false
	}
}

// resumable reports whether another target can continue the response.
func (a *answer) resumable() bool {
	if a.c.plainService {
		return !a.begun
	}
	return !a.forgot
}

// chunk buffers or sends one chunk. tokens is the number of tokens up to its end.
func (a *answer) chunk(c *wire.Chunk, tokens uint32) error {
	if a.c.plainService {
		return a.plainChunk(c.GetData())
	}
	a.tokens = tokens
	if !a.c.eventStream {
		a.text = append(a.text, c.GetData()...)
		a.forgot = len(a.text) > maxKept
		return nil
	}
	if !a.forgot {
		a.text = append(a.text, c.GetData()...)
		if a.forgot = len(a.text) > maxKept; a.forgot {
			a.text = nil
		}
	}
	a.beginStream()
	return a.event("token", struct {
		Index uint32 `json:"index"`
		Text  string `json:"text"`
	}{c.GetToken(), string(c.GetData())})
}

func (a *answer) plainChunk(data []byte) error {
	if !a.begun && len(a.text)+len(data) <= maxHeld && !a.c.eventStream {
		a.text = append(a.text, data...)
		return nil
	}
	if !a.begun {
		a.plainHeader()
		a.w.Header().Set("Trailer", headerOutcome)
		a.begin(int(a.started.GetStatus()))
		if err := a.write(a.text); err != nil {
			return err
		}
		a.text = nil
	}
	if err := a.write(data); err != nil {
		return err
	}
	return a.flush()
}

// plainHeader copies the response headers of a plain service.
func (a *answer) plainHeader() {
	h := a.w.Header()
	connection := ""
	for _, x := range a.started.GetHeaders() {
		if http.CanonicalHeaderKey(x.GetName()) == "Connection" {
			connection = x.GetValue()
		}
	}
	for _, x := range a.started.GetHeaders() {
		if name := http.CanonicalHeaderKey(x.GetName()); isForwardedHeader(name, connection) {
			h.Add(name, x.GetValue())
		}
	}
	if ct := a.started.GetContentType(); ct != "" {
		h.Set("Content-Type", ct)
	} else if h.Get("Content-Type") == "" {
		// A nil value keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
}

func (a *answer) begin(status int) {
	if !a.begun {
		a.begun = true
		if a.draining != nil && a.draining.Load() {
			a.w.Header().Set("Connection", "close")
		}
		a.w.WriteHeader(status)
	}
}

func (a *answer) beginStream() {
	if a.begun {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", headerOutcome)
	a.begin(http.StatusOK)
}

// finish completes the response after a valid end record.
func (a *answer) finish(e *wire.End) error {
	tokens := a.tokens
	if e.GetTokens() > 0 {
		tokens = e.GetTokens()
	}
	switch {
	case a.c.plainService:
		return a.finishPlain()
	case a.c.eventStream:
		a.beginStream()
		a.w.Header().Set(headerOutcome, outcomeCompleted)
		return a.event("end", struct {
			Outcome string `json:"outcome"`
			Tokens  uint32 `json:"tokens"`
		}{outcomeCompleted, tokens})
	}
	b, err := encode(struct {
		Text    string `json:"text"`
		Tokens  uint32 `json:"tokens"`
		Model   string `json:"model"`
		Version string `json:"version"`
		Outcome string `json:"outcome"`
	}{string(a.text), tokens, a.c.key.Model, a.started.GetVersion(), outcomeCompleted})
	if err != nil {
		return err
	}
	return a.whole(http.StatusOK, "application/json", b)
}

func (a *answer) finishPlain() error {
	if a.begun {
		a.w.Header().Set(headerOutcome, outcomeCompleted)
		return nil
	}
	a.plainHeader()
	h := a.w.Header()
	h.Set(headerOutcome, outcomeCompleted)
	status := int(a.started.GetStatus())
	if a.c.isHead || status == http.StatusNoContent || status == http.StatusNotModified {
		a.begin(status)
		return nil
	}
	h.Set("Content-Length", strconv.Itoa(len(a.text)))
	a.begin(status)
	return a.write(a.text)
}

// whole sends a response whose body is complete.
func (a *answer) whole(status int, contentType string, body []byte) error {
	h := a.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(headerOutcome, outcomeCompleted)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.begin(status)
	return a.write(body)
}

// fail sends an error. If the response has begun, it aborts the connection, so that the
// caller cannot take a truncated response for a complete one.
func (a *answer) fail(f *failure) {
	if !a.begun {
		f.write(a.w, a.trace)
		return
	}
	if a.c.eventStream && !a.c.plainService {
		_ = a.raw("error", f.encodeBody(a.trace))
	}
	panic(http.ErrAbortHandler)
}

func (a *answer) event(name string, data any) error {
	b, err := encode(data)
	if err != nil {
		return err
	}
	return a.raw(name, b)
}

func (a *answer) raw(name string, data []byte) error {
	b := make([]byte, 0, len(name)+len(data)+18)
	b = append(b, "event: "...)
	b = append(b, name...)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	if err := a.write(b); err != nil {
		return err
	}
	return a.flush()
}

func (a *answer) write(b []byte) error {
	if a.c.isHead || len(b) == 0 {
		return nil
	}
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.limit))
	if _, err := a.w.Write(b); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

func (a *answer) flush() error {
	if err := a.rc.Flush(); err != nil {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

// encode returns v as JSON on one line, without HTML escaping.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}
