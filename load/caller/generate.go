package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"bulrushpath.example/standin/answer"
)

// Generation is one generation request to a model.
type Generation struct {
	Model   string
	Adapter string
	// Versions are the acceptable model versions; the whole text must come from
	// one of them.
	Versions  []string
	Prompt    string
	MaxTokens int
	Priority  int
	Deadline  time.Duration
	Stream    bool
}

// Generate sends a generation until a response arrives. Generations are
// idempotent, so after a broken connection it retries at another instance.
func (cl *Client) Generate(ctx context.Context, g Generation) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, g.Deadline+responseGrace)
	defer cancel()
	body, err := json.Marshal(map[string]any{"prompt": g.Prompt, "maxTokens": g.MaxTokens})
	if err != nil {
		return Result{Reason: err.Error()}
	}
	accept := "application/json"
	if g.Stream {
		accept = "text/event-stream"
	}
	build := func(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
		remaining := max(1, (g.Deadline - time.Since(start)).Milliseconds())
		return newRequest(ctx, http.MethodPost, addr, "/v1/generate", body, map[string]string{
			"Content-Type": "application/json", "Accept": accept,
			"Bulrush-Model": g.Model, "Bulrush-Adapter": g.Adapter,
			"Bulrush-Deadline": strconv.FormatInt(remaining, 10),
			"Bulrush-Priority": strconv.Itoa(g.Priority),
		})
	}
	var avoid netip.AddrPort
	var lastErr error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		r, addr, err := cl.generateOnce(ctx, avoid, build, g, start)
		if err == nil {
			r.Attempts, r.Latency = attempt, time.Since(start)
			return r
		}
		if ctx.Err() == nil || lastErr == nil {
			lastErr = err
		}
		avoid = addr
		if !errors.Is(err, errConnectionBroken) || !sleep(ctx, defaultRetryDelay) {
			return Result{Reason: "no response: " + lastErr.Error(), Attempts: attempt, Latency: time.Since(start)}
		}
	}
	return Result{Reason: "no response: " + lastErr.Error(), Attempts: maxAttempts, Latency: time.Since(start)}
}

func (cl *Client) generateOnce(ctx context.Context, avoid netip.AddrPort, build requestBuilder, g Generation, start time.Time,
) (Result, netip.AddrPort, error) {
	httpResp, addr, err := cl.sendAttempt(ctx, avoid, build)
	if err != nil {
		return Result{}, addr, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	if g.Stream && httpResp.StatusCode == http.StatusOK {
		r, err := readStream(httpResp, g, start)
		return r, addr, err
	}
	resp, err := readResponse(httpResp)
	if err != nil {
		cl.markNotReady(addr)
		return Result{}, addr, err
	}
	if resp.status != http.StatusOK {
		return resp.errorResult(), addr, nil
	}
	var out struct {
		Text    string `json:"text"`
		Tokens  int    `json:"tokens"`
		Model   string `json:"model"`
		Version string `json:"version"`
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal(resp.body, &out); err != nil {
		return Result{Reason: "response is not JSON: " + err.Error()}, addr, nil
	}
	if out.Outcome != "completed" || out.Model != g.Model {
		return Result{Reason: fmt.Sprintf("response of model %q with outcome %q", out.Model, out.Outcome)}, addr, nil
	}
	r := g.verify(out.Text, out.Tokens)
	if r.Outcome == Completed && r.Version != out.Version {
		return Result{Reason: fmt.Sprintf("text of version %s in a response of version %s", r.Version, out.Version)}, addr, nil
	}
	return r, addr, nil
}

// verify compares a complete text with the expected texts of the acceptable versions.
func (g Generation) verify(text string, tokens int) Result {
	want := answer.Length(g.Prompt, g.MaxTokens)
	if tokens != want {
		return Result{Reason: fmt.Sprintf("%d tokens, want %d", tokens, want)}
	}
	for _, v := range g.Versions {
		if text == answer.For(g.Model, v, g.Adapter, g.Prompt).Join(0, want) {
			return Result{Outcome: Completed, Version: v}
		}
	}
	return Result{Reason: "unexpected text: " + g.describeMismatch(text)}
}

// describeMismatch describes the first token that differs from the expected text of the
// version with the longest matching prefix.
func (g Generation) describeMismatch(text string) string {
	parts := strings.SplitAfter(text, " ")
	best, mismatch := "", -1
	for _, v := range g.Versions {
		t := answer.For(g.Model, v, g.Adapter, g.Prompt)
		i := 0
		for i < len(parts) && parts[i] == t.Token(i) {
			i++
		}
		if i > mismatch {
			best, mismatch = v, i
		}
	}
	return fmt.Sprintf("token %d differs from version %s", mismatch, best)
}

// event is one server-sent event.
type event struct {
	name string
	data string
}

// readEvent reads the next event. It returns io.EOF if the body ended cleanly
// between events, io.ErrUnexpectedEOF if it ended within one.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && line == "" && e == (event{}) {
				return e, io.EOF
			}
			if errors.Is(err, io.EOF) {
				return e, io.ErrUnexpectedEOF
			}
			return e, err
		}
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && e != (event{}):
			return e, nil
		case name == "event":
			e.name = value
		case name == "data":
			e.data += value
		}
	}
}

// readStream reads and verifies a stream. It returns errConnectionBroken if the
// connection fails before an end or error event.
func readStream(httpResp *http.Response, g Generation, start time.Time) (Result, error) {
	br := bufio.NewReader(httpResp.Body)
	var text strings.Builder
	var firstToken time.Duration
	for index := 0; ; {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			return Result{Reason: "stream ended cleanly without an end event"}, nil
		}
		if err != nil {
			return Result{}, fmt.Errorf("%w: %w", errConnectionBroken, err)
		}
		switch e.name {
		case "token":
			if firstToken == 0 {
				firstToken = time.Since(start)
			}
			var t struct {
				Index int    `json:"index"`
				Text  string `json:"text"`
			}
			if err := json.Unmarshal([]byte(e.data), &t); err != nil || t.Index != index {
				return Result{Reason: fmt.Sprintf("token event %s, want index %d", e.data, index)}, nil
			}
			text.WriteString(t.Text)
			// An event may contain the text of several tokens, each ending with a space.
			index += max(1, strings.Count(t.Text, " "))
		case "error":
			var body errorBody
			_ = json.Unmarshal([]byte(e.data), &body)
			resp := response{status: httpResp.StatusCode, header: http.Header{}, body: []byte(e.data)}
			return resp.errorResult(), nil
		case "end":
			return finishStream(br, e, text.String(), g, firstToken)
		}
	}
}

func finishStream(br *bufio.Reader, e event, text string, g Generation, firstToken time.Duration) (Result, error) {
	var end struct {
		Outcome string `json:"outcome"`
		Tokens  int    `json:"tokens"`
	}
	if err := json.Unmarshal([]byte(e.data), &end); err != nil || end.Outcome != "completed" {
		return Result{Reason: "unexpected end event " + e.data}, nil
	}
	if _, err := readEvent(br); !errors.Is(err, io.EOF) {
		return Result{Reason: fmt.Sprintf("stream not closed after the end event: %v", err)}, nil
	}
	r := g.verify(text, end.Tokens)
	r.FirstToken = firstToken
	return r, nil
}
