// Package plain is a simulated plain service that counts how often each call is
// executed.
package plain

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bulrushpath.example/standin/answer"
	"bulrushpath.example/standin/host"
)

const maxBody = 8 << 20

// Config configures a plain service.
type Config struct {
	Listen netip.AddrPort
	// CallTime is the duration of a call.
	CallTime time.Duration
	// Journal is a file with one line per execution. It is read at startup, so that
	// the counts survive a restart of the process. Empty means no journal.
	Journal string
	Log     *log.Logger
}

// DefaultConfig returns the configuration of a fast service on a free loopback port.
func DefaultConfig() Config {
	return Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), CallTime: 2 * time.Millisecond}
}

// Faults is the body of POST /v1/faults; zero fields change nothing.
type Faults struct {
	// DelayMillis is added to the duration of every call; -1 removes the delay.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseAnswers executes that many of the next calls, but closes their connections
	// without a response.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// CrashMillis closes all connections and the listener for that time.
	CrashMillis int `json:"crashMillis,omitempty"`
	// Leave makes /healthz return 503.
	Leave bool `json:"leave,omitempty"`
}

// Audit holds the execution counts.
type Audit struct {
	// Executed is the number of distinct refs, Total the number of executions.
	Executed int `json:"executed"`
	Total    int `json:"total"`
	// Repeated holds the counts of refs that were executed more than once.
	Repeated map[string]int `json:"repeated"`
	Crashes  int            `json:"crashes"`
	// Runs holds the count of every ref; it is set for /audit?all=true only.
	Runs map[string]int `json:"runs,omitempty"`
}

// Service is a running plain service.
type Service struct {
	cfg     Config
	srv     *host.Server
	journal *os.File

	mu sync.Mutex
	// runs maps a ref to its executions. It survives simulated crashes, like a
	// database behind the service.
	runs        map[string]int
	total       int
	crashes     int
	delay       time.Duration
	loseAnswers int
	leaving     bool
	down        bool
	closed      chan struct{}
	wg          sync.WaitGroup
}

// Start starts a service.
func Start(cfg Config) (*Service, error) {
	s := &Service{cfg: cfg, runs: make(map[string]int), closed: make(chan struct{})}
	if err := s.openJournal(); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /audit", s.serveAudit)
	mux.HandleFunc("POST /v1/faults", s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	srv, err := host.Listen(cfg.Listen, mux)
	if err != nil {
		s.closeJournal()
		return nil, err
	}
	s.srv = srv
	return s, nil
}

// openJournal reads the executions of earlier processes and opens the journal for
// appending.
func (s *Service) openJournal() error {
	if s.cfg.Journal == "" {
		return nil
	}
	runs, err := ReadJournal(s.cfg.Journal)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for ref, n := range runs {
		s.runs[ref] += n
		s.total += n
	}
	s.journal, err = os.OpenFile(s.cfg.Journal, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	return nil
}

func (s *Service) closeJournal() {
	if s.journal != nil {
		_ = s.journal.Close()
	}
}

// ReadJournal returns the number of executions per ref in a journal. The service may
// be running or may have been killed: a line that is incomplete is ignored.
func ReadJournal(path string) (map[string]int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	runs := make(map[string]int)
	for _, line := range strings.Split(string(data), "\n") {
		ref, err := strconv.Unquote(line)
		if err == nil {
			runs[ref]++
		}
	}
	return runs, nil
}

// Addr returns the address that the service serves.
func (s *Service) Addr() netip.AddrPort { return s.srv.Addr() }

// Close stops the service immediately and waits for its goroutines.
func (s *Service) Close() {
	s.mu.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.srv.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeJournal()
	s.journal = nil
}

// Leave makes /healthz return 503 until the next simulated crash has ended.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Inject activates faults.
func (s *Service) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.DelayMillis != 0 {
		s.delay = time.Duration(max(0, f.DelayMillis)) * time.Millisecond
	}
	s.loseAnswers += f.LoseAnswers
	s.leaving = s.leaving || f.Leave
	if f.CrashMillis > 0 && !s.down {
		s.crash(time.Duration(f.CrashMillis) * time.Millisecond)
	}
}

// crash takes the service down for the given time. The caller holds s.mu.
func (s *Service) crash(downtime time.Duration) {
	select {
	case <-s.closed:
		return
	default:
	}
	s.down = true
	s.crashes++
	s.wg.Go(func() {
		s.srv.Down()
		select {
		case <-s.closed:
			return
		case <-time.After(downtime):
		}
		s.mu.Lock()
		s.down, s.leaving = false, false
		s.mu.Unlock()
		if err := s.srv.Up(); err != nil && s.cfg.Log != nil {
			s.cfg.Log.Error().Str("event", "listenFailed").Err(err).Msg("")
		}
	})
}

// Audit returns a snapshot of the counts, without Runs.
func (s *Service) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Audit{Executed: len(s.runs), Total: s.total, Repeated: map[string]int{}, Crashes: s.crashes}
	for ref, n := range s.runs {
		if n > 1 {
			a.Repeated[ref] = n
		}
	}
	return a
}

// Runs returns how often the call with the given ref was executed.
func (s *Service) Runs(ref string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[ref]
}

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		host.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"code": "leaving"})
		return
	}
	host.WriteJSON(w, http.StatusOK, map[string]string{"code": "up"})
}

// serveAudit returns the audit; ?all=true adds the counts of all refs, ?ref= returns
// the count of one ref only.
func (s *Service) serveAudit(w http.ResponseWriter, r *http.Request) {
	if ref := r.URL.Query().Get("ref"); ref != "" {
		host.WriteJSON(w, http.StatusOK, map[string]int{ref: s.Runs(ref)})
		return
	}
	a := s.Audit()
	if r.URL.Query().Get("all") == "true" {
		s.mu.Lock()
		a.Runs = maps.Clone(s.runs)
		s.mu.Unlock()
	}
	host.WriteJSON(w, http.StatusOK, a)
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := host.ReadJSON(w, r, &f); err != nil {
		host.WriteJSON(w, http.StatusBadRequest, map[string]string{"code": "badRequest", "message": err.Error()})
		return
	}
	host.WriteJSON(w, http.StatusOK, struct{}{})
	_ = http.NewResponseController(w).Flush()
	s.Inject(f)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		host.WriteJSON(w, http.StatusBadRequest, map[string]string{"code": "badRequest"})
		return
	}
	var call struct {
		Ref string `json:"ref"`
	}
	// A call without a ref gets a response, but is not counted.
	_ = json.Unmarshal(body, &call)
	s.mu.Lock()
	if call.Ref != "" {
		s.runs[call.Ref]++
		s.total++
		if s.journal != nil {
			_, _ = fmt.Fprintf(s.journal, "%q\n", call.Ref)
		}
	}
	duration := s.cfg.CallTime + s.delay
	loseAnswer := s.loseAnswers > 0 && call.Ref != ""
	if loseAnswer {
		s.loseAnswers--
	}
	s.mu.Unlock()
	// An execution continues after its client has disconnected.
	select {
	case <-time.After(duration):
	case <-s.closed:
	}
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, answer.PlainBody(r.Method, r.URL.Path, call.Ref))
}
