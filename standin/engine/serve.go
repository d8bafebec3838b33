package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"bulrushpath.example/standin/answer"
	"bulrushpath.example/standin/host"
)

// State is the response of GET /v1/state.
type State struct {
	BootID      string         `json:"bootId"`
	MemoryBytes uint64         `json:"memoryBytes"`
	Slots       int            `json:"slots"`
	Fencing     bool           `json:"fencing"`
	Leaving     bool           `json:"leaving"`
	Role        string         `json:"role"`
	Resident    []Copy         `json:"resident"`
	Commands    []CommandState `json:"commands"`
	Load        LoadState      `json:"load"`
}

// LoadState is the load at MeasuredAtUnixMillis, which is Config.ReportLag ago.
type LoadState struct {
	Running              int   `json:"running"`
	Queued               int   `json:"queued"`
	MeasuredAtUnixMillis int64 `json:"measuredAtUnixMillis"`
}

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	RequestID   string `json:"requestId"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter"`
	Prompt      string `json:"prompt"`
	MaxTokens   int    `json:"maxTokens"`
	Priority    int    `json:"priority"`
	ResumeIndex int    `json:"resumeIndex"`
	ResumeText  string `json:"resumeText"`
}

// TokenLine is one token of a stream.
type TokenLine struct {
	RequestID string `json:"requestId"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
}

// FinalLine is the last line of a complete stream.
type FinalLine struct {
	RequestID string `json:"requestId"`
	Done      bool   `json:"done"`
	Tokens    int    `json:"tokens"`
}

// ErrorBody is the body of the response to a rejected request or command.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"notRun"`
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("POST /v1/commands", e.serveCommand)
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("POST /v1/faults", e.serveFaults)
	mux.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, e.Audit())
	})
	return mux
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := host.ReadJSON(w, r, &f); err != nil {
		reject(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	host.WriteJSON(w, http.StatusOK, struct{}{})
	_ = http.NewResponseController(w).Flush()
	e.Inject(f)
}

func reject(w http.ResponseWriter, status int, code, message string) {
	host.WriteJSON(w, status, ErrorBody{Code: code, Message: message, NotRun: true})
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	b := e.currentBoot()
	b.mu.Lock()
	defer b.mu.Unlock()
	load := b.history.sampleAt(time.Now(), e.cfg.ReportLag)
	s := State{
		BootID: b.id, MemoryBytes: e.cfg.MemoryBytes, Slots: e.cfg.Slots,
		Fencing: e.cfg.Fencing, Leaving: b.leaving, Role: b.memory.role,
		Resident: []Copy{}, Commands: []CommandState{},
		Load: LoadState{load.running, load.queued, load.at.UnixMilli()},
	}
	for _, alloc := range b.memory.allocations {
		if alloc.resident {
			s.Resident = append(s.Resident, alloc.copy)
		}
	}
	for _, c := range b.memory.order {
		s.Commands = append(s.Commands, CommandState{c.CommandID, c.Op, c.state})
	}
	host.WriteJSON(w, http.StatusOK, s)
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	b := e.currentBoot()
	var c Command
	if err := host.ReadJSON(w, r, &c); err != nil || c.CommandID == "" {
		reject(w, http.StatusBadRequest, "badRequest", "want a command with an id")
		return
	}
	drop, delay, repeat, repeatAfter := e.faults.takeCommandFault()
	if drop {
		select {
		case <-r.Context().Done():
		case <-b.ctx.Done():
		}
		panic(http.ErrAbortHandler)
	}
	submitted := make(chan *command, 1)
	// A delayed command takes effect even if its connection is closed.
	b.spawn(func() {
		if !b.sleep(delay) {
			return
		}
		cmd := b.submit(c)
		submitted <- cmd
		if !repeat {
			return
		}
		select {
		case <-cmd.finished:
		case <-b.ctx.Done():
		}
		if b.sleep(repeatAfter) {
			b.execute(c)
		}
	})
	select {
	case cmd := <-submitted:
		b.respond(w, r, cmd)
	case <-r.Context().Done():
	case <-b.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// sleep sleeps for d and reports whether the boot is still running.
func (b *boot) sleep(d time.Duration) bool {
	if d <= 0 {
		return b.ctx.Err() == nil
	}
	select {
	case <-b.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (b *boot) respond(w http.ResponseWriter, r *http.Request, cmd *command) {
	select {
	case <-cmd.finished:
	case <-r.Context().Done():
		return
	case <-b.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if b.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if cmd.result != resultDone {
		host.WriteJSON(w, cmd.result.status, ErrorBody{Code: cmd.result.code, Message: cmd.Op + " " + cmd.result.code})
		return
	}
	host.WriteJSON(w, http.StatusOK, CommandState{cmd.CommandID, cmd.Op, stateDone})
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	b := e.currentBoot()
	var g GenerateRequest
	if err := host.ReadJSON(w, r, &g); err != nil || g.RequestID == "" || g.MaxTokens < 0 || g.ResumeIndex < 0 {
		reject(w, http.StatusBadRequest, "badRequest", "want requestId, model, version and a prompt")
		return
	}
	req, status, code := b.accept(g)
	if req == nil {
		reject(w, status, code, code)
		return
	}
	defer b.remove(req)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	enc := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-b.ctx.Done():
			panic(http.ErrAbortHandler)
		case index, open := <-req.tokens:
			if !open {
				if req.aborted || b.ctx.Err() != nil {
					panic(http.ErrAbortHandler)
				}
				_ = enc.Encode(FinalLine{g.RequestID, true, req.limit})
				return
			}
			_ = enc.Encode(TokenLine{g.RequestID, index, req.text.Token(index)})
			_ = rc.Flush()
		}
	}
}

// accept queues a generation, or returns the status and code of its rejection.
func (b *boot) accept(g GenerateRequest) (req *request, status int, code string) {
	art := artifact{g.Model, g.Version, g.Adapter}
	crash, downtime := b.e.faults.matchCrashMarker(g.Prompt)
	b.mu.Lock()
	defer b.mu.Unlock()
	base := b.memory.allocations[artifact{g.Model, g.Version, ""}]
	requested := b.memory.allocations[art]
	switch {
	case b.leaving:
		code, status = "leaving", http.StatusServiceUnavailable
		b.e.audit.update(func(a *Audit) {
			a.ArrivedLeaving++
			a.LastArrivalUnixMillis = time.Now().UnixMilli()
		})
	case base == nil || !base.resident || requested == nil || !requested.resident:
		code, status = "notResident", http.StatusNotFound
	case len(b.queued) >= b.e.cfg.QueueLimit:
		code, status = "busy", http.StatusTooManyRequests
	}
	if code != "" {
		return nil, status, code
	}
	limit := answer.Length(g.Prompt, g.MaxTokens)
	text := answer.For(g.Model, g.Version, g.Adapter, g.Prompt)
	next := min(g.ResumeIndex, limit)
	if g.ResumeIndex > limit || (next > 0 && g.ResumeText != text.Join(0, next)) {
		b.e.audit.update(func(a *Audit) { a.ResumeMismatches++ })
	}
	req = &request{
		id: g.RequestID, art: art, prompt: g.Prompt, priority: g.Priority, text: text,
		next: next, limit: limit, abortAt: -1, crash: crash, downtime: downtime,
		tokens: make(chan int, limit-next),
	}
	if b.e.faults.takeCut() {
		req.abortAt = next + (limit-next)/2
	}
	b.enqueue(req)
	return req, 0, ""
}
