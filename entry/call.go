package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

const (
	// maxIdempotencyKeyLen bounds an idempotency key in bytes.
	maxIdempotencyKeyLen = 200
	// maxPriority is the highest priority of a request.
	maxPriority = 9
)

// clientRequest is a validated request of a caller.
type clientRequest struct {
	key route.Key
	// version is the preferred version of the model.
	version string
	team    string
	// plainService is set for calls to a plain service.
	plainService bool
	// eventStream is set if the caller accepts server-sent events.
	eventStream bool
	// isHead is set for HEAD requests, whose responses have no body.
	isHead bool

	method, path string
	headers      []*wire.Header
	body         []byte
	contentType  string

	priority, maxTokens uint32
	// deadline is the time by which the response must begin.
	deadline time.Time

	// idempotent is set if the request may be dispatched again after a target may have
	// run it.
	idempotent bool
	claimKey   string
	// claimAttempt identifies this submission, so that control recognizes a resent
	// claim.
	claimAttempt []byte
	issuedAt     time.Time

	fingerprint                 poison.Fingerprint
	promptHash, fingerprintHash uint64
}

// knownHeaders are the request headers of this API. Any other Bulrush- header is
// rejected: if a misspelt Bulrush-Non-Idempotent were ignored, a payment could run
// twice.
var knownHeaders = []string{
	"Bulrush-Model", "Bulrush-Adapter", "Bulrush-Deadline", "Bulrush-Priority",
	"Bulrush-Max-Tokens", "Bulrush-Issued", "Bulrush-Non-Idempotent",
}

// validateHeaders rejects unknown or repeated API headers, and header sections of more
// than limit bytes.
func validateHeaders(h http.Header, limit int) *failure {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
		if strings.HasPrefix(name, "Bulrush-") && !slices.Contains(knownHeaders, name) {
			return reject(http.StatusBadRequest, "badHeader", "header %s is not known", name)
		}
		if len(values) > 1 && (strings.HasPrefix(name, "Bulrush-") || name == "Idempotency-Key") {
			return reject(http.StatusBadRequest, "badHeader", "header %s stands twice", name)
		}
	}
	if size > limit {
		return reject(http.StatusRequestHeaderFieldsTooLarge, "headersTooLarge",
			"headers have %d bytes, at most %d are allowed", size, limit)
	}
	return nil
}

// parseHeaders parses the headers common to all requests.
func (c *clientRequest) parseHeaders(h http.Header, cfg *Section, policy time.Duration, now time.Time) *failure {
	c.idempotent = true
	if v := h.Get("Bulrush-Non-Idempotent"); v != "" {
		switch v {
		case "true":
			c.idempotent = false
		case "false":
		default:
			return invalidHeader("Bulrush-Non-Idempotent", "true or false")
		}
	}
	wait := cfg.Deadline
	if policy > 0 {
		wait = policy
	}
	if v := h.Get("Bulrush-Deadline"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > cfg.MaxDeadline.Milliseconds() {
			return invalidHeader("Bulrush-Deadline", "milliseconds from 1 to "+
				strconv.FormatInt(cfg.MaxDeadline.Milliseconds(), 10))
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	c.deadline = now.Add(wait)
	if v := h.Get("Bulrush-Priority"); v != "" {
		n, err := strconv.ParseUint(v, 10, 8)
		if err != nil || n > maxPriority {
			return invalidHeader("Bulrush-Priority", "a number from 0 to 9")
		}
		c.priority = uint32(n)
	}
	if v := h.Get("Bulrush-Max-Tokens"); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil || n == 0 {
			return invalidHeader("Bulrush-Max-Tokens", "a number from 1 up")
		}
		c.maxTokens = uint32(n)
	}
	return nil
}

func invalidHeader(name, want string) *failure {
	return reject(http.StatusBadRequest, "badHeader", "header %s: want %s", name, want)
}

// parseClaimHeaders parses the headers that a non-idempotent request must have.
func (c *clientRequest) parseClaimHeaders(h http.Header) *failure {
	if c.idempotent {
		return nil
	}
	key := h.Get("Idempotency-Key")
	if key == "" || len(key) > maxIdempotencyKeyLen || strings.ContainsFunc(key, func(r rune) bool { return r < '!' || r > '~' }) {
		return invalidHeader("Idempotency-Key", "1 to 200 visible ASCII characters on a non-idempotent request")
	}
	issued, err := time.Parse(time.RFC3339, h.Get("Bulrush-Issued"))
	if err != nil {
		return invalidHeader("Bulrush-Issued", "the time of issue in RFC 3339 on a non-idempotent request")
	}
	c.claimKey, c.issuedAt, c.claimAttempt = key, issued, newRandomID()
	return nil
}

// digest returns the hash that binds a claim to the contents of its request.
func (c *clientRequest) digest() []byte {
	h := sha256.New()
	writePart := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	for _, s := range []string{c.method, c.key.Service, c.key.Model, c.key.Adapter, c.path} {
		writePart([]byte(s))
	}
	writePart(c.body)
	return h.Sum(nil)
}

// computeHashes computes the hashes of the request. key and body must be set.
func (c *clientRequest) computeHashes() {
	if c.plainService {
		// Two calls with the same body on different paths are different requests.
		c.fingerprint = poison.FingerprintOf(c.body, "service "+c.key.Service, c.method+" "+c.path)
		c.fingerprintHash = route.HashFingerprint(c.fingerprint[:])
		c.promptHash = c.fingerprintHash
		return
	}
	c.fingerprint = poison.FingerprintOf(c.body, c.key.Model, c.key.Adapter)
	c.fingerprintHash = route.HashFingerprint(c.fingerprint[:])
	c.promptHash = route.HashPrompt(c.key.Model, c.body)
}

// readBody reads the whole body, bounded in size and time.
func readBody(w http.ResponseWriter, r *http.Request, cfg *Section) ([]byte, *failure) {
	rc := http.NewResponseController(w)
	if r.ContentLength > int64(cfg.MaxBody) {
		return nil, bodyTooLarge(cfg)
	}
	_ = rc.SetReadDeadline(time.Now().Add(cfg.BodyTimeout))
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		// The declared length is not trusted: a caller that declares a large body and
		// sends nothing must not use much memory.
		buf.Grow(min(int(r.ContentLength), 64<<10) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, int64(cfg.MaxBody)))
	var sizeErr *http.MaxBytesError
	switch {
	case errors.As(err, &sizeErr):
		return nil, bodyTooLarge(cfg)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, reject(http.StatusRequestTimeout, "bodyTimeout", "the body did not arrive within %s", cfg.BodyTimeout)
	case err != nil:
		return nil, reject(http.StatusBadRequest, "badBody", "the body could not be read").withCause(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return buf.Bytes(), nil
}

func bodyTooLarge(cfg *Section) *failure {
	return reject(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body may have at most %d bytes", cfg.MaxBody)
}

// parsePrompt parses the body of a model request and keeps the prompt as body.
func (c *clientRequest) parsePrompt(contentType string, body []byte) *failure {
	media, params, err := mime.ParseMediaType(contentType)
	if err != nil {
		return reject(http.StatusUnsupportedMediaType, "badContentType", "want application/json or text/plain")
	}
	switch {
	case media == "text/plain" && (params["charset"] == "" || strings.EqualFold(params["charset"], "utf-8")):
	case media == "application/json":
		var in struct {
			Prompt    *string `json:"prompt"`
			MaxTokens *uint32 `json:"maxTokens"`
		}
		dec := json.NewDecoder(bytes.NewReader(body))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&in); err != nil {
			return reject(http.StatusBadRequest, "badBody", "the body is not the JSON object expected: %v", err)
		}
		if _, err := dec.Token(); !errors.Is(err, io.EOF) {
			return reject(http.StatusBadRequest, "badBody", "there is more after the JSON object")
		}
		if in.Prompt == nil {
			return reject(http.StatusBadRequest, "badBody", "prompt is missing")
		}
		if in.MaxTokens != nil && c.maxTokens == 0 {
			if c.maxTokens = *in.MaxTokens; c.maxTokens == 0 {
				return reject(http.StatusBadRequest, "badBody", "maxTokens is not above zero")
			}
		}
		// The JSON decoder replaces invalid UTF-8, which must be rejected instead.
		if utf8.Valid(body) {
			body = []byte(*in.Prompt)
		}
	default:
		return reject(http.StatusUnsupportedMediaType, "badContentType", "want application/json or text/plain in UTF-8")
	}
	if len(body) == 0 {
		return reject(http.StatusBadRequest, "badBody", "the prompt is empty")
	}
	if !utf8.Valid(body) {
		return reject(http.StatusBadRequest, "badBody", "the prompt is not valid UTF-8")
	}
	c.body, c.contentType = body, "text/plain; charset=utf-8"
	return nil
}

// hopByHopHeaders belong to one connection and are not forwarded in either direction.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// isForwardedHeader reports whether a header is forwarded between a caller and a plain
// service. connection is the value of the Connection header, which can name further
// hop-by-hop headers.
func isForwardedHeader(name string, connection string) bool {
	if slices.Contains(hopByHopHeaders, name) || strings.HasPrefix(name, "Bulrush-") || name == "Traceparent" {
		return false
	}
	for _, n := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return false
		}
	}
	return true
}

// copyForwardedHeaders copies the headers that are forwarded to a plain service.
func (c *clientRequest) copyForwardedHeaders(h http.Header) {
	for name, values := range h {
		if !isForwardedHeader(name, h.Get("Connection")) || !c.idempotent && name == "Idempotency-Key" {
			continue
		}
		for _, v := range values {
			c.headers = append(c.headers, &wire.Header{Name: name, Value: v})
		}
	}
}
