package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxCommands limits the commands that are remembered and listed in the state.
const maxCommands = 256

// Copy is the wire format of an artifact.
type Copy struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Bytes   uint64 `json:"bytes"`
}

func (c Copy) artifact() artifact { return artifact{c.Model, c.Version, c.Adapter} }

// Command is the body of POST /v1/commands.
type Command struct {
	CommandID string `json:"commandId"`
	Token     uint64 `json:"token"`
	Op        string `json:"op"`
	Copy      Copy   `json:"copy"`
	Role      string `json:"role,omitempty"`
}

// CommandState is a command in the response of GET /v1/state.
type CommandState struct {
	CommandID string `json:"commandId"`
	Op        string `json:"op"`
	State     string `json:"state"`
}

const (
	stateRunning = "running"
	stateDone    = "done"
	stateFailed  = "failed"
)

// commandResult is the result of a command; code is empty on success.
type commandResult struct {
	status int
	code   string
}

var (
	resultDone       = commandResult{http.StatusOK, ""}
	resultStaleToken = commandResult{http.StatusConflict, "staleToken"}
	resultNoMemory   = commandResult{http.StatusInsufficientStorage, "noMemory"}
	resultFailed     = commandResult{http.StatusInternalServerError, "failed"}
)

// command is a received command with its progress.
type command struct {
	Command
	state string
	// finished is closed once result is set.
	finished chan struct{}
	result   commandResult
}

// allocation is the memory allocated to one artifact, from the start of its load to the
// end of its unload.
type allocation struct {
	copy     Copy
	resident bool
	// token is the fencing token of the load command.
	token uint64
	// cancel aborts a load in progress; finished is closed when the load or unload in
	// progress ends.
	cancel   context.CancelFunc
	finished chan struct{}
}

type memory struct {
	allocations map[artifact]*allocation
	commands    map[string]*command
	order       []*command
	token       uint64
	role        string
}

func newMemory() memory {
	return memory{allocations: make(map[artifact]*allocation), commands: make(map[string]*command), role: "both"}
}

func (m *memory) allocatedBytes() uint64 {
	var n uint64
	for _, s := range m.allocations {
		n += s.copy.Bytes
	}
	return n
}

// submit starts c and returns its record. A command id that is already known is not
// executed again; its existing record is returned.
func (b *boot) submit(c Command) *command {
	b.mu.Lock()
	defer b.mu.Unlock()
	if existing, ok := b.memory.commands[c.CommandID]; ok {
		return existing
	}
	cmd := &command{Command: c, state: stateRunning, finished: make(chan struct{})}
	b.memory.commands[c.CommandID] = cmd
	b.memory.order = append(b.memory.order, cmd)
	if len(b.memory.order) > maxCommands {
		delete(b.memory.commands, b.memory.order[0].CommandID)
		b.memory.order = b.memory.order[1:]
	}
	if b.ctx.Err() != nil {
		return cmd
	}
	b.wg.Go(func() {
		result := b.execute(c)
		b.mu.Lock()
		defer b.mu.Unlock()
		cmd.result = result
		cmd.state = stateDone
		if result != resultDone {
			cmd.state = stateFailed
		}
		close(cmd.finished)
	})
	return cmd
}

// execute executes a command and returns once it has taken effect or failed.
func (b *boot) execute(c Command) commandResult {
	if !b.advanceToken(c.Token) {
		b.e.audit.update(func(a *Audit) { a.StaleTokens++ })
		return resultStaleToken
	}
	switch c.Op {
	case "fence":
		return resultDone
	case "role":
		b.mu.Lock()
		defer b.mu.Unlock()
		b.memory.role = c.Role
		return resultDone
	case "load":
		return b.load(c)
	case "unload":
		return b.unload(c)
	}
	return resultFailed
}

// advanceToken returns false for a stale token. A newer token aborts loads in progress
// with an older one, so that none of them takes effect after the response.
func (b *boot) advanceToken(token uint64) bool {
	if !b.e.cfg.Fencing {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if token < b.memory.token {
		return false
	}
	b.memory.token = token
	for art, s := range b.memory.allocations {
		if s.cancel != nil && s.token < token {
			s.cancel()
			delete(b.memory.allocations, art)
		}
	}
	return true
}

func (b *boot) load(c Command) commandResult {
	art := c.Copy.artifact()
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	s := &allocation{copy: c.Copy, token: c.Token, cancel: cancel, finished: make(chan struct{})}
	for {
		pending, result := b.reserve(art, s)
		if pending == nil {
			if result != resultDone || s.resident {
				return result
			}
			break
		}
		select {
		case <-pending:
		case <-b.ctx.Done():
			return resultFailed
		}
	}
	err := b.fetch(ctx, c.Copy)
	b.mu.Lock()
	defer b.mu.Unlock()
	s.cancel = nil
	close(s.finished)
	s.finished = nil
	switch {
	case b.memory.allocations[art] != s:
		return resultStaleToken
	case err != nil:
		delete(b.memory.allocations, art)
		return resultFailed
	}
	s.resident = true
	return resultDone
}

// reserve allocates memory for s. If another command is loading or unloading the
// artifact, it returns a channel that is closed when that command ends; the caller
// then tries again. If the artifact is resident already, it sets s.resident.
func (b *boot) reserve(art artifact, s *allocation) (<-chan struct{}, commandResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if existing, ok := b.memory.allocations[art]; ok {
		if existing.finished != nil {
			return existing.finished, resultDone
		}
		s.resident = true
		return nil, resultDone
	}
	// The token may have become stale while the command was waiting.
	if b.e.cfg.Fencing && s.token < b.memory.token {
		return nil, resultStaleToken
	}
	total := b.memory.allocatedBytes() + s.copy.Bytes
	over := total > b.e.cfg.MemoryBytes
	if over && b.e.cfg.Strict {
		b.e.audit.update(func(a *Audit) { a.NoMemory++ })
		return nil, resultNoMemory
	}
	b.memory.allocations[art] = s
	b.e.audit.update(func(a *Audit) {
		a.MaxResidentBytes = max(a.MaxResidentBytes, total)
		if over {
			a.Overcommits++
		}
	})
	return nil, resultDone
}

func (b *boot) unload(c Command) commandResult {
	art := c.Copy.artifact()
	b.mu.Lock()
	s, ok := b.memory.allocations[art]
	for ok && s.finished != nil {
		finished := s.finished
		b.mu.Unlock()
		select {
		case <-finished:
		case <-b.ctx.Done():
			return resultFailed
		}
		b.mu.Lock()
		s, ok = b.memory.allocations[art]
	}
	// The token may have become stale while the command was waiting.
	if b.e.cfg.Fencing && c.Token < b.memory.token {
		b.mu.Unlock()
		return resultStaleToken
	}
	if !ok {
		b.mu.Unlock()
		return resultDone
	}
	s.resident = false
	s.finished = make(chan struct{})
	b.abortUsers(art)
	b.mu.Unlock()
	select {
	case <-time.After(b.e.cfg.UnloadTime):
	case <-b.ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	close(s.finished)
	s.finished = nil
	delete(b.memory.allocations, art)
	return resultDone
}

// fetch downloads the weights from the store, or sleeps for LoadTime if none is
// configured.
func (b *boot) fetch(ctx context.Context, c Copy) error {
	if !b.e.cfg.Store.IsValid() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(b.e.cfg.LoadTime):
			return nil
		}
	}
	u := url.URL{
		Scheme: "http", Host: b.e.cfg.Store.String(),
		Path: "/v1/weights/" + c.Model + "/" + c.Version,
	}
	if c.Adapter != "" {
		u.RawQuery = url.Values{"adapter": {c.Adapter}}.Encode()
	}
	for {
		wait, err := fetchOnce(ctx, u.String())
		if err != nil || wait == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// fetchOnce makes one attempt and returns the delay before the next one; 0 means
// that the weights have been fetched.
func fetchOnce(ctx context.Context, u string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("fetch weights: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("fetch weights: %w", err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil {
			seconds = 1
		}
		return max(time.Duration(seconds)*time.Second, 100*time.Millisecond), nil
	}
	return 0, fmt.Errorf("fetch weights: status %d", resp.StatusCode)
}
