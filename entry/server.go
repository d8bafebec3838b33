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
	// contactWithin is how long control counts as reachable after its last reply.
	contactWithin = 3 * time.Second
	// backgroundWait bounds calls to control that continue after their request.
	backgroundWait = 30 * time.Second
	// closeTasks bounds the wait for such calls at shutdown.
	closeTasks = 5 * time.Second
)

// server is an entry instance.
type server struct {
	cfg     *Section
	name    string
	zone    string
	log     *log.Logger
	tracer  trace.Tracer
	met     *metrics
	pool    *link.Pool
	leader  *link.Leader
	routing *routingState

	// catalog is nil until the first configuration has arrived.
	catalog atomic.Pointer[catalog]
	// contact is the time of the last reply of control, in Unix nanoseconds.
	contact atomic.Int64

	draining atomic.Bool
	// active counts the requests in progress. arrived is the time of the last request,
	// in Unix nanoseconds.
	active  atomic.Int64
	arrived atomic.Int64

	// attempts and tasks are waited for at shutdown.
	attempts sync.WaitGroup
	tasks    sync.WaitGroup
	// stop cancels the tasks.
	stop    context.CancelFunc
	taskCtx context.Context
}

func newServer(p *daemon.Process, cfg *Section, opts ...link.PoolOption) *server {
	pool := link.NewPool(opts...)
	ctx, stop := context.WithCancel(context.Background())
	return &server{
		cfg: cfg, name: p.Common.Name, zone: p.Common.Zone,
		log: p.Log, tracer: p.Tracer, met: newMetrics(p.Scope),
		pool: pool, leader: link.NewLeader(pool, cfg.Control),
		routing: newRoutingState(p.Common.Zone), taskCtx: ctx, stop: stop,
	}
}

// Close waits for the attempts and background calls that are still in progress, then
// closes all connections. Background calls are cancelled after closeTasks.
func (s *server) Close() error {
	s.attempts.Wait()
	timer := time.AfterFunc(closeTasks, s.stop)
	s.tasks.Wait()
	timer.Stop()
	s.stop()
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
		s.ready(w)
	case path == "/v1/generate":
		s.serve(w, r, s.readGenerate)
	case strings.HasPrefix(path, "/v1/call/"):
		s.serve(w, r, s.readCall)
	default:
		s.serve(w, r, func(http.ResponseWriter, *http.Request, *catalog) (*call, *fault) {
			return nil, refuse(http.StatusNotFound, "noEndpoint", "there is no such endpoint")
		})
	}
}

// unready returns why the load balancer should not send requests, or an empty string if
// the instance is ready.
func (s *server) unready() string {
	switch {
	case s.draining.Load():
		return "draining"
	case s.catalog.Load() == nil:
		return "no configuration yet"
	case time.Since(time.Unix(0, s.contact.Load())) > s.cfg.ReadyWithout:
		return "no contact to control"
	}
	return ""
}

func (s *server) ready(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	why := s.unready()
	if why != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(why + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// inContact reports whether control has replied recently.
func (s *server) inContact() bool {
	return time.Since(time.Unix(0, s.contact.Load())) < contactWithin
}

// configVersion returns the version of the configuration in use, or 0 if there is none
// yet.
func (s *server) configVersion() uint64 {
	if cat := s.catalog.Load(); cat != nil {
		return cat.config.GetVersion()
	}
	return 0
}

// background calls control in the background, with retries, for at most limit. The
// returned channel is closed when the call ends. what names the call in the log.
func (s *server) background(what string, limit time.Duration,
	fn func(ctx context.Context, c wire.DRPCControlClient) error,
) <-chan struct{} {
	done := make(chan struct{})
	s.tasks.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(s.taskCtx, limit)
		defer cancel()
		if err := s.leader.Call(ctx, fn); err != nil {
			s.log.Warn().Str("event", "controlCallFailed").Str("call", what).Err(err).Msg("")
		}
	})
	return done
}
