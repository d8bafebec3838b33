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

// commandsKept limits the commands that are remembered and listed in the state.
const commandsKept = 256

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

// verdict is the result of a command; code is empty on success.
type verdict struct {
	status int
	code   string
}

var (
	done       = verdict{http.StatusOK, ""}
	staleToken = verdict{http.StatusConflict, "staleToken"}
	noMemory   = verdict{http.StatusInsufficientStorage, "noMemory"}
	failed     = verdict{http.StatusInternalServerError, "failed"}
)

// command is a received command with its progress.
type command struct {
	Command
	state string
	// answered is closed once verdict is set.
	answered chan struct{}
	verdict  verdict
}

// slot is the memory allocated to one artifact, from the start of its load to the
// end of its unload.
type slot struct {
	copy     Copy
	resident bool
	// token is the fencing token of the load command.
	token uint64
	// abort cancels a load in progress; ended is closed when the load or unload in
	// progress ends.
	abort context.CancelFunc
	ended chan struct{}
}

type memory struct {
	slots    map[artifact]*slot
	commands map[string]*command
	order    []*command
	token    uint64
	role     string
}

func newMemory() memory {
	return memory{slots: make(map[artifact]*slot), commands: make(map[string]*command), role: "both"}
}

func (m *memory) sum() uint64 {
	var n uint64
	for _, s := range m.slots {
		n += s.copy.Bytes
	}
	return n
}

// submit starts c and returns its record. A command id that is already known is not
// executed again; its existing record is returned.
func (b *boot) submit(c Command) *command {
	b.mu.Lock()
	defer b.mu.Unlock()
	if have, ok := b.memory.commands[c.CommandID]; ok {
		return have
	}
	cmd := &command{Command: c, state: stateRunning, answered: make(chan struct{})}
	b.memory.commands[c.CommandID] = cmd
	b.memory.order = append(b.memory.order, cmd)
	if len(b.memory.order) > commandsKept {
		delete(b.memory.commands, b.memory.order[0].CommandID)
		b.memory.order = b.memory.order[1:]
	}
	if b.ctx.Err() != nil {
		return cmd
	}
	b.wg.Go(func() {
		v := b.apply(c)
		b.mu.Lock()
		defer b.mu.Unlock()
		cmd.verdict = v
		cmd.state = stateDone
		if v != done {
			cmd.state = stateFailed
		}
		close(cmd.answered)
	})
	return cmd
}

// apply executes a command and returns once it has taken effect or failed.
func (b *boot) apply(c Command) verdict {
	if !b.raiseToken(c.Token) {
		b.e.audit.update(func(a *Audit) { a.StaleTokens++ })
		return staleToken
	}
	switch c.Op {
	case "fence":
		return done
	case "role":
		b.mu.Lock()
		defer b.mu.Unlock()
		b.memory.role = c.Role
		return done
	case "load":
		return b.load(c)
	case "unload":
		return b.unload(c)
	}
	return failed
}

// raiseToken returns false for a stale token. A newer token aborts loads in progress
// with an older one, so that none of them takes effect after the response.
func (b *boot) raiseToken(token uint64) bool {
	if !b.e.cfg.Fencing {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if token < b.memory.token {
		return false
	}
	b.memory.token = token
	for art, s := range b.memory.slots {
		if s.abort != nil && s.token < token {
			s.abort()
			delete(b.memory.slots, art)
		}
	}
	return true
}

func (b *boot) load(c Command) verdict {
	art := c.Copy.artifact()
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	s := &slot{copy: c.Copy, token: c.Token, abort: cancel, ended: make(chan struct{})}
	for {
		other, v := b.reserve(art, s)
		if other == nil {
			if v != done || s.resident {
				return v
			}
			break
		}
		select {
		case <-other:
		case <-b.ctx.Done():
			return failed
		}
	}
	err := b.fetch(ctx, c.Copy)
	b.mu.Lock()
	defer b.mu.Unlock()
	s.abort = nil
	close(s.ended)
	s.ended = nil
	switch {
	case b.memory.slots[art] != s:
		return staleToken
	case err != nil:
		delete(b.memory.slots, art)
		return failed
	}
	s.resident = true
	return done
}

// reserve allocates memory for s. If another command is loading or unloading the
// artifact, it returns a channel that is closed when that command ends; the caller
// then tries again. If the artifact is resident already, it sets s.resident.
func (b *boot) reserve(art artifact, s *slot) (<-chan struct{}, verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if have, ok := b.memory.slots[art]; ok {
		if have.ended != nil {
			return have.ended, done
		}
		s.resident = true
		return nil, done
	}
	// The token may have become stale while the command was waiting.
	if b.e.cfg.Fencing && s.token < b.memory.token {
		return nil, staleToken
	}
	sum := b.memory.sum() + s.copy.Bytes
	over := sum > b.e.cfg.MemoryBytes
	if over && b.e.cfg.Strict {
		b.e.audit.update(func(a *Audit) { a.NoMemory++ })
		return nil, noMemory
	}
	b.memory.slots[art] = s
	b.e.audit.update(func(a *Audit) {
		a.MaxResidentBytes = max(a.MaxResidentBytes, sum)
		if over {
			a.Overcommits++
		}
	})
	return nil, done
}

func (b *boot) unload(c Command) verdict {
	art := c.Copy.artifact()
	b.mu.Lock()
	s, ok := b.memory.slots[art]
	for ok && s.ended != nil {
		ended := s.ended
		b.mu.Unlock()
		select {
		case <-ended:
		case <-b.ctx.Done():
			return failed
		}
		b.mu.Lock()
		s, ok = b.memory.slots[art]
	}
	// The token may have become stale while the command was waiting.
	if b.e.cfg.Fencing && c.Token < b.memory.token {
		b.mu.Unlock()
		return staleToken
	}
	if !ok {
		b.mu.Unlock()
		return done
	}
	s.resident = false
	s.ended = make(chan struct{})
	b.breakUsers(art)
	b.mu.Unlock()
	select {
	case <-time.After(b.e.cfg.UnloadTime):
	case <-b.ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	close(s.ended)
	s.ended = nil
	delete(b.memory.slots, art)
	return done
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
