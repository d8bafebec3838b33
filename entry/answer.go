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
	// maxResumeText is the maximum size of the text kept to resume a response on
	// another target, and of the text of a response that is not streamed.
	maxResumeText = 1 << 20
	// maxBufferedPlain is the maximum size of a plain service's response that is
	// buffered. A buffered response can be retried and carries its outcome as a header
	// instead of a trailer.
	maxBufferedPlain = 64 << 10
)

// errTextTooLong means that a target sends more text than a response that is not streamed may have.
var errTextTooLong = fmt.Errorf("the text exceeds %d bytes", maxResumeText)

// responseWriter writes the response of one request to its caller.
type responseWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	c            *clientRequest
	traceID      string
	writeTimeout time.Duration
	// closeAfter tells whether to close the connection after the response. It may be
	// nil.
	closeAfter *atomic.Bool

	// headerSent is set once the response header is sent. From then on a failure aborts
	// the connection.
	headerSent bool
	// buffered holds response data. For models it is all the text so far, which a
	// streamed response drops above maxResumeText; for plain services it is the part
	// not yet sent.
	buffered []byte
	// tokens is the number of tokens received so far.
	tokens uint32
	// textDropped is set when the text exceeds maxResumeText, after which the response
	// cannot be resumed.
	textDropped bool
	started     *wire.Started
}

func newResponseWriter(w http.ResponseWriter, c *clientRequest, traceID string, writeTimeout time.Duration) *responseWriter {
	return &responseWriter{w: w, rc: http.NewResponseController(w), c: c, traceID: traceID, writeTimeout: writeTimeout}
}

// reset discards buffered data that has not been sent.
func (rw *responseWriter) reset() {
	if !rw.headerSent {
		rw.buffered, rw.tokens, rw.textDropped = nil, 0, false
	}
}

// canResume reports whether another target can continue the response of a model, or
// repeat the call to a plain service.
func (rw *responseWriter) canResume() bool {
	if rw.c.plainService {
		return !rw.headerSent
	}
	return !rw.textDropped
}

// writeChunk buffers or sends one chunk. tokens is the number of tokens up to its end.
func (rw *responseWriter) writeChunk(c *wire.Chunk, tokens uint32) error {
	if rw.c.plainService {
		return rw.writePlainChunk(c.GetData())
	}
	rw.tokens = tokens
	if !rw.c.eventStream {
		if len(rw.buffered)+len(c.GetData()) > maxResumeText {
			return errTextTooLong
		}
		rw.buffered = append(rw.buffered, c.GetData()...)
		return nil
	}
	if !rw.textDropped {
		rw.buffered = append(rw.buffered, c.GetData()...)
		if rw.textDropped = len(rw.buffered) > maxResumeText; rw.textDropped {
			rw.buffered = nil
		}
	}
	rw.startEventStream()
	return rw.writeEvent("token", struct {
		Index uint32 `json:"index"`
		Text  string `json:"text"`
	}{c.GetToken(), string(c.GetData())})
}

func (rw *responseWriter) writePlainChunk(data []byte) error {
	if !rw.headerSent && len(rw.buffered)+len(data) <= maxBufferedPlain && !rw.c.eventStream {
		rw.buffered = append(rw.buffered, data...)
		return nil
	}
	if !rw.headerSent {
		rw.setPlainHeader()
		rw.w.Header().Set("Trailer", headerOutcome)
		rw.sendHeader(int(rw.started.GetStatus()))
		if err := rw.write(rw.buffered); err != nil {
			return err
		}
		rw.buffered = nil
	}
	if err := rw.write(data); err != nil {
		return err
	}
	return rw.flush()
}

// setPlainHeader copies the response headers of a plain service.
func (rw *responseWriter) setPlainHeader() {
	h := rw.w.Header()
	connection := ""
	for _, x := range rw.started.GetHeaders() {
		if http.CanonicalHeaderKey(x.GetName()) == "Connection" {
			connection = x.GetValue()
		}
	}
	for _, x := range rw.started.GetHeaders() {
		if name := http.CanonicalHeaderKey(x.GetName()); isForwardedHeader(name, connection) {
			h.Add(name, x.GetValue())
		}
	}
	if ct := rw.started.GetContentType(); ct != "" {
		h.Set("Content-Type", ct)
	} else if h.Get("Content-Type") == "" {
		// A nil value keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
}

func (rw *responseWriter) sendHeader(status int) {
	if !rw.headerSent {
		rw.headerSent = true
		if rw.closeAfter != nil && rw.closeAfter.Load() {
			rw.w.Header().Set("Connection", "close")
		}
		rw.w.WriteHeader(status)
	}
}

func (rw *responseWriter) startEventStream() {
	if rw.headerSent {
		return
	}
	h := rw.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", headerOutcome)
	rw.sendHeader(http.StatusOK)
}

// complete ends the response after a valid end record.
func (rw *responseWriter) complete(e *wire.End) error {
	tokens := rw.tokens
	if e.GetTokens() > 0 {
		tokens = e.GetTokens()
	}
	switch {
	case rw.c.plainService:
		return rw.completePlain()
	case rw.c.eventStream:
		rw.startEventStream()
		rw.w.Header().Set(headerOutcome, outcomeCompleted)
		return rw.writeEvent("end", struct {
			Outcome string `json:"outcome"`
			Tokens  uint32 `json:"tokens"`
		}{outcomeCompleted, tokens})
	}
	b, err := encodeJSON(struct {
		Text    string `json:"text"`
		Tokens  uint32 `json:"tokens"`
		Model   string `json:"model"`
		Version string `json:"version"`
		Outcome string `json:"outcome"`
	}{string(rw.buffered), tokens, rw.c.key.Model, rw.started.GetVersion(), outcomeCompleted})
	if err != nil {
		return err
	}
	return rw.sendComplete(http.StatusOK, "application/json", b)
}

func (rw *responseWriter) completePlain() error {
	if rw.headerSent {
		rw.w.Header().Set(headerOutcome, outcomeCompleted)
		return nil
	}
	rw.setPlainHeader()
	h := rw.w.Header()
	h.Set(headerOutcome, outcomeCompleted)
	status := int(rw.started.GetStatus())
	if rw.c.isHead || status == http.StatusNoContent || status == http.StatusNotModified {
		rw.sendHeader(status)
		return nil
	}
	h.Set("Content-Length", strconv.Itoa(len(rw.buffered)))
	rw.sendHeader(status)
	return rw.write(rw.buffered)
}

// sendComplete sends a response whose body is complete.
func (rw *responseWriter) sendComplete(status int, contentType string, body []byte) error {
	h := rw.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(headerOutcome, outcomeCompleted)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	rw.sendHeader(status)
	return rw.write(body)
}

// fail sends an error. If the response has begun, it aborts the connection, so that the
// caller cannot take a truncated response for a complete one.
func (rw *responseWriter) fail(f *failure) {
	if !rw.headerSent {
		f.write(rw.w, rw.traceID)
		return
	}
	if rw.c.eventStream && !rw.c.plainService {
		_ = rw.writeRawEvent("error", f.encodeBody(rw.traceID))
	}
	panic(http.ErrAbortHandler)
}

func (rw *responseWriter) writeEvent(name string, data any) error {
	b, err := encodeJSON(data)
	if err != nil {
		return err
	}
	return rw.writeRawEvent(name, b)
}

func (rw *responseWriter) writeRawEvent(name string, data []byte) error {
	b := make([]byte, 0, len(name)+len(data)+18)
	b = append(b, "event: "...)
	b = append(b, name...)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	if err := rw.write(b); err != nil {
		return err
	}
	return rw.flush()
}

func (rw *responseWriter) write(b []byte) error {
	if rw.c.isHead || len(b) == 0 {
		return nil
	}
	_ = rw.rc.SetWriteDeadline(time.Now().Add(rw.writeTimeout))
	if _, err := rw.w.Write(b); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

func (rw *responseWriter) flush() error {
	if err := rw.rc.Flush(); err != nil {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

// encodeJSON returns v as JSON on one line, without HTML escaping.
func encodeJSON(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}
