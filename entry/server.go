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
	// contactWithin is how long after the last answer control counts as reachable.
	contactWithin = 3 * time.Second
	// backgroundWait bounds calls to control that outlive their request.
	backgroundWait = 30 * time.Second
	// closeTasks bounds the wait for such calls when the process ends.
	closeTasks = 5 * time.Second
)

// server is an entry instance.
type server struct {
	cfg    *Section
	name   string
	zone   string
	log    *log.Logger
	tracer trace.Tracer
	met    *metrics
	pool   *link.Pool
	leader *link.Leader
	fleet  *fleet

	// catalog is nil until the first configuration has arrived.
	catalog atomic.Pointer[catalog]
	// contact is the time of the last answer of control, in Unix nanoseconds.
	contact atomic.Int64

	draining atomic.Bool
	// active counts requests in progress; arrived is the time of the last one, in
	// Unix nanoseconds.
	active  atomic.Int64
	arrived atomic.Int64

	// attempts and tasks end before the process does.
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
		fleet: newFleet(p.Common.Zone), taskCtx: ctx, stop: stop,
	}
}

// Close waits for what goes on after the requests, and closes all connections.
// Reports to control get closeTasks to arrive.
func (s *server) Close() error {
	s.attempts.Wait()
	timer := time.AfterFunc(closeTasks, s.stop)
	s.tasks.Wait()
	timer.Stop()
	s.stop()
	return s.pool.Close()
}

// ServeHTTP implements http.Handler. http.ServeMux is not used: it would redirect
// calls to services whose paths it considers unclean.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Also bounds how long net/http waits for a body that no handler reads.
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

// unready returns why the load balancer should send nothing; empty if it may.
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

// inContact reports whether control has answered lately.
func (s *server) inContact() bool {
	return time.Since(time.Unix(0, s.contact.Load())) < contactWithin
}

// configVersion returns the version in effect here; 0 if there is none yet.
func (s *server) configVersion() uint64 {
	if cat := s.catalog.Load(); cat != nil {
		return cat.config.GetVersion()
	}
	return 0
}

// background calls control until it answers, for at most limit. The channel is
// closed when the call has ended.
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
