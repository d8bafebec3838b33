package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
	// controlContactTimeout is how long control counts as reachable after its last Sync
	// reply.
	controlContactTimeout = 3 * time.Second
	// backgroundTimeout bounds calls to control that continue after their request.
	backgroundTimeout = 30 * time.Second
	// shutdownTimeout bounds the wait for such calls at shutdown.
	shutdownTimeout = 5 * time.Second
)

// server is an entry instance.
type server struct {
	cfg     *Section
	name    string
	zone    string
	log     *log.Logger
	tracer  trace.Tracer
	metrics *metrics
	pool    *link.Pool
	leader  *link.LeaderClient
	routing *routingState

	// config is nil until the first configuration has arrived.
	config atomic.Pointer[configIndex]
	// contact is the last contact with control, which limits the age of config.
	contact link.Contact

	draining atomic.Bool
	// activeRequests counts the requests in progress. lastRequest is the arrival time
	// of the latest one, in Unix nanoseconds.
	activeRequests atomic.Int64
	lastRequest    atomic.Int64

	// attempts and tasks track the attempts and background calls that Close waits for.
	attempts sync.WaitGroup
	tasks    sync.WaitGroup
	// taskCtx is the context of the background calls; cancelTasks cancels it.
	cancelTasks context.CancelFunc
	taskCtx     context.Context
}

func newServer(p *daemon.Process, cfg *Section, opts ...link.PoolOption) *server {
	pool := link.NewPool(opts...)
	ctx, stop := context.WithCancel(context.Background())
	return &server{
		cfg: cfg, name: p.Common.Name, zone: p.Common.Zone,
		log: p.Log, tracer: p.Tracer, metrics: newMetrics(p.Scope),
		pool: pool, leader: link.NewLeaderClient(pool, cfg.Control),
		routing: newRoutingState(p.Common.Zone), taskCtx: ctx, cancelTasks: stop,
	}
}

// Close waits for the attempts and background calls that are still in progress, then
// closes all connections. Background calls are cancelled after shutdownTimeout.
func (s *server) Close() error {
	s.attempts.Wait()
	timer := time.AfterFunc(shutdownTimeout, s.cancelTasks)
	s.tasks.Wait()
	timer.Stop()
	s.cancelTasks()
	return s.pool.Close()
}

// ServeHTTP implements http.Handler. It does not use http.ServeMux, which would
// redirect calls whose paths are not in canonical form.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// This also bounds how long net/http waits for a body that no handler reads.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout))
	switch path := r.URL.Path; {
	case path == "/healthz":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte("ok\n"))
	case path == "/readyz":
		s.handleReady(w)
	case path == "/v1/generate":
		s.handleRequest(w, r, s.parseGenerate)
	case strings.HasPrefix(path, "/v1/call/"):
		s.handleRequest(w, r, s.parseServiceCall)
	default:
		s.handleRequest(w, r, func(http.ResponseWriter, *http.Request, *configIndex) (*clientRequest, *failure) {
			return nil, reject(http.StatusNotFound, "noEndpoint", "there is no such endpoint")
		})
	}
}

// notReadyReason returns why the load balancer should not send requests, or an empty
// string if the instance is ready.
func (s *server) notReadyReason() string {
	switch {
	case s.draining.Load():
		return "draining"
	case s.config.Load() == nil:
		return "no configuration yet"
	case s.contact.Age() > s.cfg.ReadyWithout:
		return "no contact to control"
	}
	return ""
}

func (s *server) handleReady(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	reason := s.notReadyReason()
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(reason + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// controlReachable reports whether control has recently replied to a Sync.
func (s *server) controlReachable() bool {
	return s.contact.Age() < controlContactTimeout
}

// configVersion returns the version of the configuration in use, or 0 if there is none
// yet.
func (s *server) configVersion() uint64 {
	if index := s.config.Load(); index != nil {
		return index.config.GetVersion()
	}
	return 0
}

// callControlInBackground calls control in the background, with retries, for at most
// limit. The returned channel is closed when the call ends. name identifies the call in
// the log.
func (s *server) callControlInBackground(name string, limit time.Duration,
	fn func(ctx context.Context, c wire.DRPCControlClient) error,
) <-chan struct{} {
	done := make(chan struct{})
	s.tasks.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(s.taskCtx, limit)
		defer cancel()
		if err := s.leader.Call(ctx, fn); err != nil {
			s.log.Warn().Str("event", "controlCallFailed").Str("call", name).Err(err).Msg("")
		}
	})
	return done
}
