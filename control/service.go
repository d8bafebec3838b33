package control

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	tally "github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmetadata"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/state"
	"bulrushpath.example/lib/wire"
)

// traceparentKey is the DRPC metadata key of the caller's W3C traceparent.
const traceparentKey = "traceparent"

// service implements the RPC services of one control instance.
type service struct {
	id      string
	log     *log.Logger
	tracer  trace.Tracer
	metrics metrics
	group   *group
	// fleet is nil unless targets announce themselves to this instance.
	fleet *Fleet

	// maxWait limits the duration of a long poll.
	maxWait time.Duration
	// Plan decides which models are resident where. It is not called concurrently.
	Plan func(now time.Time, view PlanView) map[string]*wire.Plan
	// Decisions describes the recent decisions of the planner, newest first. It may be
	// nil.
	Decisions func() []string

	// machineMu guards machine, the replicated state machine.
	machineMu sync.RWMutex
	machine   *state.Machine

	// mu guards the fields up to draining. It is never locked while machineMu is held.
	mu    sync.Mutex
	table *member.Table
	// term is the term that table and the fields up to pendingPublications belong to.
	term uint64
	// plans holds the latest plan of each target, sentPlans the one last sent to its
	// agent.
	plans     map[string]*wire.Plan
	sentPlans map[string]sentPlan
	// acks holds each agent's last acknowledgement of the list of suspects.
	acks poison.Acks
	// directoryReplies holds the last directory reply to each entry instance.
	directoryReplies map[string]directoryReply
	// nextWholeDirectory is the earliest time at which a whole directory may be sent
	// again.
	nextWholeDirectory time.Time
	// pendingPublications holds the publications that are not yet in effect at all
	// processes, oldest first.
	pendingPublications []publication
	// activeCalls counts the calls in progress. idle is signaled when one ends.
	activeCalls int
	idle        *sync.Cond
	draining    bool

	// packMu guards packed, the compressed encoding of the configuration packedFrom.
	packMu     sync.Mutex
	packedFrom *wire.Config
	packed     []byte

	// stateChanged wakes all long polls when the configuration, the suspects or the
	// leadership change, and at shutdown.
	stateChanged notifier
	// directoryChanged wakes the long polls of entry instances when the directory
	// changes.
	directoryChanged notifier
	// planNotifiers holds a *notifier for each target, which wakes the long poll of its
	// agent when the plan changes.
	planNotifiers sync.Map
}

// publication is a published configuration version.
type publication struct {
	version uint64
	at      time.Time
}

func newService(id string, p *daemon.Process) *service {
	s := &service{
		id:      id,
		log:     p.Log,
		tracer:  p.Tracer,
		metrics: newMetrics(p.Scope),
		machine: state.New(),
		table:   member.New(),
		maxWait: maxWait,
	}
	s.idle = sync.NewCond(&s.mu)
	planner := &placement{}
	s.Plan, s.Decisions = planner.Plan, planner.Decisions
	s.reset(time.Now(), 0)
	return s
}

// reset creates empty tables for a new term. The caller holds mu, unless no other
// goroutine uses s yet.
func (s *service) reset(now time.Time, term uint64) {
	s.term = term
	s.table.Reset(now, term)
	s.plans = make(map[string]*wire.Plan)
	s.sentPlans = make(map[string]sentPlan)
	s.acks = make(poison.Acks)
	s.directoryReplies = make(map[string]directoryReply)
	s.nextWholeDirectory = time.Time{}
	s.pendingPublications = nil
}

// apply applies a committed log entry to the state machine. It wakes all long polls if
// the configuration or the suspects changed.
func (s *service) apply(index uint64, at time.Time, command []byte) []byte {
	s.machineMu.Lock()
	version, suspects := s.machine.Config().GetVersion(), s.machine.SuspectsVersion()
	out := s.machine.Apply(index, at, command)
	published := s.machine.Config().GetVersion()
	changed := published != version || s.machine.SuspectsVersion() != suspects
	s.machineMu.Unlock()
	s.metrics.commits.Inc(1)
	if published != version {
		s.mu.Lock()
		s.pendingPublications = append(s.pendingPublications, publication{published, time.Now()})
		s.pendingPublications = s.pendingPublications[max(0, len(s.pendingPublications)-maxPendingPublications):]
		s.mu.Unlock()
	}
	if changed {
		s.stateChanged.notify()
	}
	return out
}

func (s *service) snapshot() ([]byte, error) {
	s.machineMu.RLock()
	defer s.machineMu.RUnlock()
	return s.machine.Snapshot()
}

func (s *service) restore(data []byte) error {
	s.machineMu.Lock()
	defer s.machineMu.Unlock()
	err := s.machine.Restore(data)
	s.stateChanged.notify()
	return err
}

// onLeadershipChange wakes all long polls when this instance starts or stops leading,
// so that they end if it no longer leads. The consensus node logs the change.
func (s *service) onLeadershipChange(uint64, bool) {
	s.metrics.leaderChanges.Inc(1)
	s.stateChanged.notify()
}

// requireLeader returns the term in which this instance leads, or a redirect to the
// leader. In a new term, it first resets the tables.
func (s *service) requireLeader() (uint64, error) {
	term, ok := s.group.Leading()
	if !ok {
		return 0, s.notLeader()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if term > s.term {
		s.reset(time.Now(), term)
	}
	return term, nil
}

// notLeader returns an error that redirects the caller to the leader.
func (s *service) notLeader() error {
	addr, ok := s.group.Leader()
	if !ok {
		addr = netip.AddrPort{}
	}
	return link.NotLeader(addr)
}

// begin checks the protocol version, refuses the call during shutdown, and starts a
// span if the caller sent a trace parent. The returned function must be called when the
// call ends.
func (s *service) begin(ctx context.Context, name string, protocol uint32) (context.Context, func(error), error) {
	if err := link.CheckProtocol(protocol); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, nil, s.notLeader()
	}
	s.activeCalls++
	var span trace.Span
	if md, ok := drpcmetadata.Get(ctx); ok && md[traceparentKey] != "" && s.tracer != nil {
		ctx, span = s.tracer.Start(daemon.WithTraceParent(ctx, md[traceparentKey]), "Control."+name)
	}
	return ctx, func(err error) {
		if span != nil {
			if err != nil {
				span.SetStatus(codes.Error, err.Error())
			}
			span.End()
		}
		s.mu.Lock()
		s.activeCalls--
		s.mu.Unlock()
		s.idle.Broadcast()
	}, nil
}

// call handles an RPC that is a replicated command: it proposes the command and returns
// the reply once the command is committed. selectReply returns the reply of the RPC.
func call[R any](ctx context.Context, s *service, name string, protocol uint32, cmd *wire.Command,
	selectReply func(*wire.CommandReply) R,
) (out R, err error) {
	ctx, end, err := s.begin(ctx, name, protocol)
	if err != nil {
		return out, err
	}
	defer func() { end(err) }()
	if _, err = s.requireLeader(); err != nil {
		return out, err
	}
	reply, err := s.propose(ctx, cmd)
	if err != nil {
		return out, err
	}
	return selectReply(reply), nil
}

// propose replicates a command and returns the reply of the state machine.
func (s *service) propose(ctx context.Context, cmd *wire.Command) (*wire.CommandReply, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, link.Errorf(link.CodeInvalid, "encode command: %w", err)
	}
	out, err := s.group.Propose(ctx, data)
	if err != nil {
		return nil, s.proposeError(err)
	}
	var reply wire.CommandReply
	if err := proto.Unmarshal(out, &reply); err != nil {
		return nil, fmt.Errorf("decode command reply: %w", err)
	}
	if reply.GetError() != "" {
		return nil, link.Errorf(link.CodeInvalid, "%s", reply.GetError())
	}
	return &reply, nil
}

// proposeError returns an error of the consensus node unchanged if it has a code. It
// reports any other error as CodeNoQuorum: the outcome of the command is unknown.
func (s *service) proposeError(err error) error {
	if link.CodeOf(err) != link.CodeOther {
		return err
	}
	return link.Errorf(link.CodeNoQuorum, "propose: %w", err)
}

// onFull records whether the disk of this instance has room for commands.
func (s *service) onFull(full bool) {
	if !full {
		s.metrics.diskFull.Update(0)
		return
	}
	s.metrics.diskFull.Update(1)
}

// metrics holds the metrics of one instance.
type metrics struct {
	commits, syncs, leaderChanges tally.Counter
	directory                     tally.Gauge
	// diskFull is 1 while the disk has no room for commands.
	diskFull tally.Gauge
	inEffect tally.Timer
	claims   func(outcome string) tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		commits:       scope.Counter("commits"),
		syncs:         scope.Counter("syncs"),
		leaderChanges: scope.Counter("leaderChanges"),
		directory:     scope.Gauge("directorySize"),
		diskFull:      scope.Gauge("diskFull"),
		inEffect:      scope.Timer("timeToInEffect"),
		claims: func(outcome string) tally.Counter {
			return scope.Tagged(map[string]string{"outcome": outcome}).Counter("claims")
		},
	}
}
