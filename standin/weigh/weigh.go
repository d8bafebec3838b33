// Package weigh is a simulated weight store: transfers take simulated time, share
// the store's bandwidth and are rate-limited.
package weigh

import (
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bulrushpath.example/standin/host"
)

// updateInterval is how often the progress of a transfer is updated.
const updateInterval = 10 * time.Millisecond

// Config configures a weight store.
type Config struct {
	Listen netip.AddrPort
	// LoadsPerSecond is the rate at which model loads may start, 0 for no limit;
	// Burst is the size of the token bucket.
	LoadsPerSecond float64
	Burst          int
	// FullSpeedLoads is the number of concurrent model loads served at full speed.
	FullSpeedLoads int
	// LoadTime is the duration of a model load at full speed.
	LoadTime time.Duration
	// AdapterMin and AdapterMax bound the duration of an adapter load while no more
	// than AdapterLimit are in flight; above that it grows in proportion.
	AdapterMin, AdapterMax time.Duration
	AdapterLimit           int
}

// DefaultConfig returns the configuration of Inzira's store in docs/design.md, on a free
// loopback port.
func DefaultConfig() Config {
	return Config{
		Listen:         netip.MustParseAddrPort("127.0.0.1:0"),
		LoadsPerSecond: 1.4, Burst: 5, FullSpeedLoads: 5, LoadTime: 2 * time.Second,
		AdapterMin: 5 * time.Millisecond, AdapterMax: 10 * time.Millisecond, AdapterLimit: 40,
	}
}

// Audit holds the counters of a store.
type Audit struct {
	Loads    uint64 `json:"loads"`
	Adapters uint64 `json:"adapters"`
	// Refused counts model loads rejected by the rate limit.
	Refused uint64 `json:"refused"`
	// MaxAtOnce is the peak number of concurrent model loads.
	MaxAtOnce int `json:"maxAtOnce"`
}

// Store is a running weight store.
type Store struct {
	cfg Config
	srv *host.Server

	mu sync.Mutex
	// tokens is the fill level of the token bucket at time refilledAt.
	tokens         float64
	refilledAt     time.Time
	activeLoads    int
	activeAdapters int
	audit          Audit
}

// Start starts a store.
func Start(cfg Config) (*Store, error) {
	s := &Store{cfg: cfg, tokens: float64(cfg.Burst), refilledAt: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.serve)
	mux.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Audit())
	})
	srv, err := host.Listen(cfg.Listen, mux)
	if err != nil {
		return nil, err
	}
	s.srv = srv
	return s, nil
}

// Addr returns the address that the store serves.
func (s *Store) Addr() netip.AddrPort { return s.srv.Addr() }

// Close stops the store and aborts all transfers.
func (s *Store) Close() { s.srv.Close() }

// Audit returns a snapshot of the counters.
func (s *Store) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.audit
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	if adapter := r.URL.Query().Get("adapter"); adapter != "" {
		s.serveAdapter(w, r, adapter)
		return
	}
	if retryAfter := s.startLoad(time.Now()); retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
		host.WriteJSON(w, http.StatusTooManyRequests, map[string]string{"code": "rate"})
		return
	}
	defer s.endLoad()
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for remaining := s.cfg.LoadTime; remaining > 0; {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			remaining -= time.Duration(float64(updateInterval) * s.speedShare())
		}
	}
	host.WriteJSON(w, http.StatusOK, struct{}{})
}

// startLoad starts a model load if the token bucket has a token, or returns how long to
// wait for one.
func (s *Store) startLoad(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.LoadsPerSecond > 0 {
		s.tokens = min(float64(s.cfg.Burst), s.tokens+now.Sub(s.refilledAt).Seconds()*s.cfg.LoadsPerSecond)
		s.refilledAt = now
		if s.tokens < 1 {
			s.audit.Refused++
			return time.Duration((1 - s.tokens) / s.cfg.LoadsPerSecond * float64(time.Second))
		}
		s.tokens--
	}
	s.activeLoads++
	s.audit.Loads++
	s.audit.MaxAtOnce = max(s.audit.MaxAtOnce, s.activeLoads)
	return 0
}

func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads--
}

// speedShare returns the fraction of full speed at which each model load runs.
func (s *Store) speedShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.FullSpeedLoads <= 0 || s.activeLoads <= s.cfg.FullSpeedLoads {
		return 1
	}
	return float64(s.cfg.FullSpeedLoads) / float64(s.activeLoads)
}

func (s *Store) serveAdapter(w http.ResponseWriter, r *http.Request, adapter string) {
	s.mu.Lock()
	s.activeAdapters++
	s.audit.Adapters++
	d := float64(s.cfg.AdapterMin)
	// The name determines the adapter's duration between the bounds.
	var sum byte
	for i := range len(adapter) {
		sum += adapter[i]
	}
	d += float64(s.cfg.AdapterMax-s.cfg.AdapterMin) * float64(sum) / math.MaxUint8
	if s.cfg.AdapterLimit > 0 && s.activeAdapters > s.cfg.AdapterLimit {
		d *= float64(s.activeAdapters) / float64(s.cfg.AdapterLimit)
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeAdapters--
	}()
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(d)):
	}
	host.WriteJSON(w, http.StatusOK, struct{}{})
}
