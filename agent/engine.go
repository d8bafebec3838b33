package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/ledger"
	"bulrushpath.example/lib/wire"
)

// The protocol of model engines is confined to this file; see docs/engine.md.

const (
	stateTimeout = time.Second
	// commandTimeout bounds one attempt of a command. The engine answers a resent
	// command with the result of the first one.
	commandTimeout = 2 * time.Minute
	// maxLineBytes is the maximum length of a line of a token stream, in bytes.
	maxLineBytes = 64 << 10
	// maxErrorBytes is how much of an error or health response is read, in bytes.
	maxErrorBytes = 64 << 10
	// bodyDrainTimeout bounds the wait for the end of a response body after the final
	// line of its stream.
	bodyDrainTimeout = 200 * time.Millisecond
)

// engineClient is a client for a model engine.
type engineClient struct {
	base   *sling.Sling
	client *http.Client
}

func newEngineClient(url string) *engineClient {
	client := &http.Client{Transport: newTransport()}
	return &engineClient{base: sling.New().Base(url).Client(client), client: client}
}

type copyJSON struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Bytes   uint64 `json:"bytes"`
}

type stateJSON struct {
	BootID      string     `json:"bootId"`
	MemoryBytes uint64     `json:"memoryBytes"`
	Slots       int        `json:"slots"`
	Fencing     bool       `json:"fencing"`
	Leaving     bool       `json:"leaving"`
	Resident    []copyJSON `json:"resident"`
	Commands    []struct {
		CommandID string `json:"commandId"`
		State     string `json:"state"`
	} `json:"commands"`
}

// engineState is the state of an engine as read once.
type engineState struct {
	ledger.EngineState
	slots   int
	leaving bool
}

// state reads the engine's state over a pooled connection.
func (e *engineClient) state(ctx context.Context) (engineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return e.stateWith(ctx, e.base.New())
}

// stateWith reads the engine's state with the client of s.
func (e *engineClient) stateWith(ctx context.Context, s *sling.Sling) (engineState, error) {
	req, err := s.Get("/v1/state").Request()
	if err != nil {
		return engineState{}, fmt.Errorf("build state request: %w", err)
	}
	var st stateJSON
	resp, err := s.Do(req.WithContext(ctx), &st, nil) //nolint:bodyclose // sling closes it
	if err != nil {
		return engineState{}, fmt.Errorf("read engine state: %w", err)
	}
	if resp.StatusCode != http.StatusOK || st.BootID == "" {
		return engineState{}, fmt.Errorf("read engine state: status %d, boot ID %q", resp.StatusCode, st.BootID)
	}
	out := engineState{
		EngineState: ledger.EngineState{BootID: st.BootID, Memory: st.MemoryBytes, Fencing: st.Fencing},
		slots:       st.Slots, leaving: st.Leaving,
	}
	for _, c := range st.Resident {
		out.Resident = append(out.Resident,
			ledger.Artifact{Key: ledger.Key{Model: c.Model, Version: c.Version, Adapter: c.Adapter}, Bytes: c.Bytes})
	}
	for _, c := range st.Commands {
		out.Commands = append(out.Commands, ledger.CommandState{ID: c.CommandID, Running: c.State == "running"})
	}
	return out, nil
}

type commandJSON struct {
	CommandID string    `json:"commandId"`
	Token     uint64    `json:"token"`
	Op        string    `json:"op"`
	Copy      *copyJSON `json:"copy,omitempty"`
}

type commandReplyJSON struct {
	CommandID string `json:"commandId"`
	State     string `json:"state"`
	Code      string `json:"code"`
}

var opNames = map[ledger.Op]string{
	ledger.OpLoad: "load", ledger.OpUnload: "unload", ledger.OpFence: "fence",
}

// command sends c once. It first reads the engine's boot ID over the same connection,
// so that c cannot reach a process other than the one it is meant for. allowed is
// checked immediately before c is written.
func (e *engineClient) command(ctx context.Context, c ledger.Command, allowed func() bool) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	tr := newSingleConnTransport()
	defer tr.CloseIdleConnections()
	s := e.base.New().Client(&http.Client{Transport: tr})
	stateCtx, cancelState := context.WithTimeout(ctx, stateTimeout)
	st, err := e.stateWith(stateCtx, s.New())
	cancelState()
	if err != nil {
		return ledger.ResultNotSent, err
	}
	if st.BootID != c.BootID {
		return ledger.ResultNotSent, fmt.Errorf("engine has boot ID %q, command is for %q", st.BootID, c.BootID)
	}
	body := commandJSON{CommandID: c.ID, Token: c.Token, Op: opNames[c.Op]}
	if c.Op != ledger.OpFence {
		body.Copy = &copyJSON{c.Model, c.Version, c.Adapter, c.Bytes}
	}
	req, err := s.New().Post("/v1/commands").BodyJSON(body).Request()
	if err != nil {
		return ledger.ResultNotSent, fmt.Errorf("build command: %w", err)
	}
	if !allowed() {
		return ledger.ResultNotSent, errors.New("command lease has expired")
	}
	tr.trackWrites.Store(true)
	var ans commandReplyJSON
	resp, err := s.Do(req.WithContext(ctx), &ans, &ans) //nolint:bodyclose // sling closes it
	if err != nil {
		if !tr.written.Load() {
			return ledger.ResultNotSent, err
		}
		return ledger.ResultUnknown, fmt.Errorf("send command: %w", err)
	}
	return commandResult(c, resp.StatusCode, ans)
}

func commandResult(c ledger.Command, status int, ans commandReplyJSON) (ledger.Result, error) {
	switch {
	case status == http.StatusOK && ans.CommandID == c.ID && ans.State == "done":
		return ledger.ResultDone, nil
	case status == http.StatusOK && ans.CommandID == c.ID && ans.State == "failed",
		status == http.StatusInsufficientStorage && ans.Code == "noMemory",
		status == http.StatusInternalServerError && ans.Code == "failed":
		return ledger.ResultFailed, fmt.Errorf("engine answered %d %s", status, ans.Code)
	case status == http.StatusConflict && ans.Code == "staleToken":
		return ledger.ResultStale, errors.New("engine has seen a larger fencing token")
	}
	return ledger.ResultUnknown, fmt.Errorf("engine answered %d %q", status, ans.Code)
}

type generateJSON struct {
	RequestID   string `json:"requestId"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter"`
	Prompt      string `json:"prompt"`
	MaxTokens   uint32 `json:"maxTokens"`
	Priority    uint32 `json:"priority"`
	ResumeIndex uint32 `json:"resumeIndex"`
	ResumeText  string `json:"resumeText"`
}

type refusalJSON struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"notRun"`
}

// refusedError is a refusal that guarantees that the request did not run.
type refusedError struct {
	reason  wire.Reason
	message string
}

func (e *refusedError) Error() string { return e.message }

var engineReasons = map[string]wire.Reason{
	"notResident": wire.Reason_REASON_NOT_RESIDENT,
	"busy":        wire.Reason_REASON_QUEUE_FULL,
	"leaving":     wire.Reason_REASON_LEAVING,
	"badRequest":  wire.Reason_REASON_BAD_REQUEST,
}

// generate starts a request. Unless it returns an error, the caller must close the
// stream. A claimed request uses a connection of its own.
func (e *engineClient) generate(ctx context.Context, r *wire.RunRequest, version string, claimed bool) (*tokenStream, error) {
	body, err := json.Marshal(generateJSON{
		RequestID: fmt.Sprintf("%x", r.GetRequestId()), Model: r.GetModel(), Version: version,
		Adapter: r.GetAdapter(), Prompt: string(r.GetBody()), MaxTokens: r.GetMaxTokens(),
		Priority: r.GetPriority(), ResumeIndex: r.GetResumeIndex(), ResumeText: string(r.GetResumeText()),
	})
	if err != nil {
		return nil, &notSentError{fmt.Errorf("encode request: %w", err)}
	}
	req, err := e.base.New().Post("/v1/generate").Body(bodyReader(body, claimed)).Request()
	if err != nil {
		return nil, &notSentError{fmt.Errorf("build request: %w", err)}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	if tp := daemon.TraceParent(ctx); tp != "" {
		req.Header.Set("Traceparent", tp)
	}
	resp, err := sendOnce(e.client.Transport, req.WithContext(ctx), claimed)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, engineRefusal(resp)
	}
	return newTokenStream(resp.Body, fmt.Sprintf("%x", r.GetRequestId()), r.GetResumeIndex()), nil
}

func engineRefusal(resp *http.Response) error {
	var ref refusalJSON
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(data, &ref)
	}
	if err != nil || !ref.NotRun {
		return fmt.Errorf("engine answered %d %q", resp.StatusCode, ref.Code)
	}
	reason, ok := engineReasons[ref.Code]
	if !ok {
		reason = wire.Reason_REASON_FAILED
	}
	return &refusedError{reason: reason, message: ref.Code + ": " + ref.Message}
}

// tokenJSON is a line of a token stream. Index and Tokens are pointers to tell a
// missing value from 0.
type tokenJSON struct {
	RequestID string  `json:"requestId"`
	Index     *uint32 `json:"index"`
	Text      *string `json:"text"`
	Done      bool    `json:"done"`
	Tokens    *uint32 `json:"tokens"`
}

// tokenStream decodes the response to a generate request.
type tokenStream struct {
	body io.ReadCloser
	r    *bufio.Reader
	id   string
	// nextIndex is the index that the next token must have.
	nextIndex uint32
	done      bool
}

func newTokenStream(body io.ReadCloser, id string, from uint32) *tokenStream {
	return &tokenStream{body: body, r: bufio.NewReaderSize(body, maxLineBytes), id: id, nextIndex: from}
}

// token returns the index and text of the next token. It returns io.EOF after the
// final line, and another error if the stream is malformed or ends without one.
func (s *tokenStream) token() (uint32, string, error) {
	if s.done {
		return 0, "", io.EOF
	}
	line, err := s.r.ReadSlice('\n')
	if err != nil {
		// A line without a newline may be truncated, even if it can be decoded.
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, "", fmt.Errorf("stream ended before its final line: %w", err)
	}
	var t tokenJSON
	if err := json.Unmarshal(line, &t); err != nil {
		return 0, "", fmt.Errorf("decode stream: %w", err)
	}
	if t.RequestID != s.id {
		return 0, "", fmt.Errorf("stream of request %q has a line of request %q", s.id, t.RequestID)
	}
	if t.Done {
		if t.Tokens == nil || *t.Tokens != s.nextIndex || t.Text != nil || t.Index != nil {
			return 0, "", fmt.Errorf("final line does not match %d tokens", s.nextIndex)
		}
		s.done = true
		return 0, "", io.EOF
	}
	if t.Index == nil || *t.Index != s.nextIndex || t.Text == nil || t.Tokens != nil {
		return 0, "", fmt.Errorf("line is not token %d", s.nextIndex)
	}
	s.nextIndex++
	return s.nextIndex - 1, *t.Text, nil
}

// close closes the response. A complete response is first read to its end in the
// background, so that the connection can be reused.
func (s *tokenStream) close() {
	if !s.done {
		_ = s.body.Close()
		return
	}
	go func() {
		timer := time.AfterFunc(bodyDrainTimeout, func() { _ = s.body.Close() })
		defer timer.Stop()
		var one [1]byte
		_, _ = s.r.Read(one[:])
		_ = s.body.Close()
	}()
}
