package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bulrushpath.example/lib/admit"
	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/ledger"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// maxDeadline is the upper limit of a request's deadline.
const maxDeadline = time.Hour

var errIntentRefused = errors.New("load intent was refused")

// job is a request that is queued or running.
type job struct {
	id  uint64
	req *wire.RunRequest
	// decision receives one value: nil when the request may run, otherwise its
	// refusal. It receives none if the caller disconnects while the request is queued.
	decision chan *wire.End
	// cancel cancels the call to the target. It is nil if the slot was reclaimed
	// before the call began.
	cancel context.CancelCauseFunc
	// key is the artifact that the request uses at an engine; set when it starts.
	key ledger.Key
	// bootID is the target's boot ID when the request started.
	bootID  string
	started time.Time
}

func (j *job) claimed() bool { return j.req.GetClaimKey() != "" }

// model returns the name under which admission and demand count the request.
func (j *job) model() string { return requestModel(j.req) }

func requestModel(r *wire.RunRequest) string {
	if r.GetModel() == "" {
		return r.GetService()
	}
	return r.GetModel()
}

func (j *job) refuse(reason wire.Reason, message string, retryAfter time.Duration) {
	j.decision <- refusal(reason, message, retryAfter)
}

func refusal(reason wire.Reason, message string, retryAfter time.Duration) *wire.End {
	return &wire.End{
		Outcome: wire.RunOutcome_RUN_OUTCOME_NOT_RUN, Reason: reason, Message: message,
		RetryAfterMicros: uint64(retryAfter.Microseconds()),
	}
}

func unknownOutcome(reason wire.Reason, message string) *wire.End {
	return &wire.End{Outcome: wire.RunOutcome_RUN_OUTCOME_UNKNOWN, Reason: reason, Message: message}
}

// Run implements the DRPC service Target.
func (a *agent) Run(req *wire.RunRequest, stream wire.DRPCTarget_RunStream) error {
	ctx, span := a.tracer.Start(daemon.WithTraceParent(stream.Context(), req.GetTraceParent()), "agent.run",
		trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	span.SetAttributes(attribute.String("target", a.settings.Agent.Target),
		attribute.String("model", requestModel(req)), attribute.String("team", req.GetTeam()))
	out := &eventSender{send: stream.Send, id: req.GetRequestId()}
	j, end := a.serve(ctx, req, out)
	if j != nil {
		// The drain waits until the end record has been written.
		defer a.decrementActive()
	}
	span.SetAttributes(attribute.String("outcome", wire.Label(end.GetOutcome())),
		attribute.String("reason", wire.Label(end.GetReason())))
	a.scope.Tagged(map[string]string{
		"outcome": wire.Label(end.GetOutcome()), "reason": wire.Label(end.GetReason()),
	}).Counter("requests").Inc(1)
	if end.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_UNKNOWN {
		a.log.Warn().Str("event", "requestUnknown").Str("model", requestModel(req)).
			Str("reason", wire.Label(end.GetReason())).Str("cause", end.GetMessage()).Msg("")
	}
	a.mu.Lock()
	end.Load = a.currentLoad()
	a.mu.Unlock()
	return out.end(end)
}

// serve admits a request and runs it. The job is nil if the request was refused
// before it was queued.
func (a *agent) serve(ctx context.Context, req *wire.RunRequest, out *eventSender) (*job, *wire.End) {
	if end := a.checkRequest(req); end != nil {
		return nil, end
	}
	j, end := a.submit(req)
	if end != nil {
		return nil, end
	}
	arrived := time.Now()
	if end := a.awaitSlot(ctx, j); end != nil {
		return j, end
	}
	a.scope.Timer("queueWait").Record(time.Since(arrived))
	if j.claimed() {
		// A claimed request runs to its end and is settled even if its caller
		// disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := a.withCancel(ctx, j)
	defer cancel(nil)
	if a.plain != nil {
		return j, a.runPlain(ctx, j, out)
	}
	return j, a.runEngine(ctx, j, out)
}

// withCancel returns the context for the call to the target. It is already cancelled
// if the slot was reclaimed in the meantime.
func (a *agent) withCancel(ctx context.Context, j *job) (context.Context, context.CancelCauseFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out, cancel := context.WithCancelCause(ctx)
	early := j.cancel
	j.cancel = cancel
	if early == nil {
		cancel(errReclaimed)
	}
	return out, cancel
}

// checkRequest refuses requests that this agent can never run.
func (a *agent) checkRequest(req *wire.RunRequest) *wire.End {
	if err := link.CheckProtocol(req.GetProtocol()); err != nil {
		return refusal(wire.Reason_REASON_PROTOCOL, err.Error(), 0)
	}
	if a.plain != nil && req.GetService() != a.settings.Agent.Service ||
		a.engine != nil && (req.GetModel() == "" || len(req.GetRequestId()) == 0) {
		return refusal(wire.Reason_REASON_BAD_REQUEST,
			fmt.Sprintf("target %s does not serve %q", a.settings.Agent.Target, requestModel(req)), 0)
	}
	return nil
}

// submit queues a request for admission.
func (a *agent) submit(req *wire.RunRequest) (*job, *wire.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.demand.recordRequest(now, requestModel(req))
	if end := a.refuseByState(now, req); end != nil {
		return nil, end
	}
	a.lastJob++
	j := &job{
		id: a.lastJob, req: req, decision: make(chan *wire.End, 1),
		cancel: func(error) {},
	}
	ref, ok := a.admit.Submit(now, admit.Request{
		ID: j.id, Team: req.GetTeam(), Model: requestModel(req), Priority: int(req.GetPriority()),
		Deadline:  now.Add(a.deadline(req)),
		MaxTokens: req.GetMaxTokens() - min(req.GetResumeIndex(), req.GetMaxTokens()), Exclusive: req.GetAlone(),
		PromptBytes: len(req.GetBody()) + len(req.GetResumeText()),
		Idempotent:  !j.claimed(),
	})
	if !ok {
		a.demand.recordUnserved(now, requestModel(req))
		return nil, refusal(admitReason(ref.Reason), "no slot in time", ref.RetryAfter)
	}
	a.jobs[j.id] = j
	a.active++
	a.scheduleLocked()
	return j, nil
}

// deadline returns the time that remains for req. It is called with mu held.
func (a *agent) deadline(req *wire.RunRequest) time.Duration {
	if req.GetDeadlineMicros() > 0 {
		return time.Duration(min(req.GetDeadlineMicros(), uint64(maxDeadline.Microseconds()))) * time.Microsecond
	}
	if ms := a.cfg.GetPolicy().GetDefaultDeadlineMillis(); ms > 0 {
		return time.Duration(min(ms, uint64(maxDeadline.Milliseconds()))) * time.Millisecond
	}
	return maxDeadline
}

// refuseByState refuses a request that the target cannot run in its current state. It is
// called with mu held.
func (a *agent) refuseByState(now time.Time, req *wire.RunRequest) *wire.End {
	switch {
	case a.draining:
		return refusal(wire.Reason_REASON_LEAVING, "target is leaving", 0)
	case a.superseded:
		return refusal(wire.Reason_REASON_LEAVING, "another agent serves this target", 0)
	case a.phase != wire.Phase_PHASE_READY:
		return refusal(wire.Reason_REASON_ENGINE_DOWN, "target is not up", 0)
	}
	if end := a.refuseSuspect(now, req); end != nil {
		return end
	}
	if a.engine != nil {
		if _, ok := a.ledger.PickVersion(req.GetModel(), req.GetVersion(), req.GetAdapter()); !ok {
			a.demand.recordUnserved(now, req.GetModel())
			return refusal(wire.Reason_REASON_NOT_RESIDENT, "model is not resident", 0)
		}
	}
	return nil
}

// start lets j run in the slot that admission gave it. If j can no longer run, start
// refuses it, releases the slot and reports false. It is called with mu held.
func (a *agent) start(now time.Time, j *job) bool {
	if end := a.refuseSuspect(now, j.req); end != nil {
		a.admit.Done(now, j.id, false, 0)
		delete(a.jobs, j.id)
		j.decision <- end
		return false
	}
	if a.engine != nil {
		version, ok := a.ledger.PickVersion(j.req.GetModel(), j.req.GetVersion(), j.req.GetAdapter())
		if !ok {
			a.admit.Done(now, j.id, false, 0)
			delete(a.jobs, j.id)
			j.refuse(wire.Reason_REASON_NOT_RESIDENT, "model was unloaded", 0)
			return false
		}
		j.key = ledger.Key{Model: j.req.GetModel(), Version: version, Adapter: j.req.GetAdapter()}
		a.ledger.Acquire(j.key)
	}
	j.bootID, j.started = a.bootID, now
	// Until the call begins there is nothing to cancel. A reclaim sets cancel to nil, and
	// withCancel then cancels the call at once.
	j.cancel = func(error) { j.cancel = nil }
	j.decision <- nil
	return true
}

// finish releases the slot of a started job.
func (a *agent) finish(j *job, completed bool, tokens uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.engine != nil {
		a.ledger.Release(j.key)
	}
	a.admit.Done(now, j.id, completed, tokens)
	delete(a.jobs, j.id)
	if completed {
		a.scope.Timer("service").Record(now.Sub(j.started))
	}
	a.scheduleLocked()
}

// refuseQueued refuses all queued requests. It is called with mu held.
func (a *agent) refuseQueued(reason wire.Reason, message string) {
	for id, j := range a.jobs {
		if a.admit.Cancel(id) {
			j.refuse(reason, message, 0)
			delete(a.jobs, id)
		}
	}
}

// decrementActive decrements active and signals idle when it reaches zero.
func (a *agent) decrementActive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.active == 0 {
		select {
		case a.idle <- struct{}{}:
		default:
		}
	}
}

// awaitSlot blocks until j may run and returns nil, or returns the end record of j if it
// was refused or its caller disconnected.
func (a *agent) awaitSlot(ctx context.Context, j *job) *wire.End {
	var end *wire.End
	select {
	case end = <-j.decision:
		return end
	case <-ctx.Done():
	}
	a.mu.Lock()
	waiting := a.admit.Cancel(j.id)
	if waiting {
		delete(a.jobs, j.id)
		a.scheduleLocked()
	}
	a.mu.Unlock()
	if !waiting {
		if end = <-j.decision; end == nil {
			a.finish(j, false, 0)
		}
	}
	// Nothing was sent to the target. The entry instance has disconnected and will
	// not learn this, so the agent releases the claim.
	a.settle(j, wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN, nil)
	return refusal(wire.Reason_REASON_CANCELLED, "caller is gone", 0)
}

// startCallSpan starts the trace span of the call to the target.
func (a *agent) startCallSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	return a.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
}

// handleFailure returns the end record of a request whose call failed with err. Before
// that it reports a crash of the target and settles the claim where necessary.
func (a *agent) handleFailure(ctx context.Context, j *job, err error, span trace.Span) *wire.End {
	span.SetStatus(codes.Error, err.Error())
	var ref *refusedError
	switch {
	case errors.As(err, &ref):
		a.finish(j, false, 0)
		return refusal(ref.reason, ref.message, 0)
	case isNotSent(err):
		a.finish(j, false, 0)
		return refusal(wire.Reason_REASON_ENGINE_DOWN, err.Error(), 0)
	}
	end := unknownOutcome(wire.Reason_REASON_FAILED, err.Error())
	switch {
	case errors.Is(context.Cause(ctx), errReclaimed):
		end = unknownOutcome(wire.Reason_REASON_RECLAIMED, errReclaimed.Error())
	case ctx.Err() != nil:
		end = unknownOutcome(wire.Reason_REASON_CANCELLED, "caller is gone")
	default:
		// Duplicates of the request are refused until the cause is known and
		// reported.
		release := a.refuseDuplicates(j)
		if a.processEnded(a.backgroundCtx, j.bootID) {
			end.Reason, end.BootId = wire.Reason_REASON_CRASHED, j.bootID
			a.reportCrash(a.backgroundCtx, j)
		}
		release()
	}
	a.finish(j, false, 0)
	a.settle(j, wire.SettleOutcome_SETTLE_OUTCOME_UNKNOWN, nil)
	return end
}

// runEngine runs j on the model engine.
func (a *agent) runEngine(ctx context.Context, j *job, out *eventSender) *wire.End {
	ctx, span := a.startCallSpan(ctx, "engine.generate")
	defer span.End()
	tokens, text, err := a.generate(ctx, j, out)
	if err != nil {
		return a.handleFailure(ctx, j, err, span)
	}
	a.finish(j, true, tokens-j.req.GetResumeIndex())
	a.settle(j, wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED, &targetResponse{
		status: 200, contentType: "text/plain; charset=utf-8", body: text,
	})
	return &wire.End{Outcome: wire.RunOutcome_RUN_OUTCOME_COMPLETED, Tokens: tokens, BootId: j.bootID}
}

// generate forwards the engine's tokens until its final line. It returns the number
// of tokens and, for a claimed request, the text.
func (a *agent) generate(ctx context.Context, j *job, out *eventSender) (uint32, []byte, error) {
	st, err := a.engine.generate(ctx, j.req, j.key.Version, j.claimed())
	if err != nil {
		return 0, nil, err
	}
	defer st.close()
	a.mu.Lock()
	load := a.currentLoad()
	a.mu.Unlock()
	out.started(&wire.Started{
		Status: 200, ContentType: "text/plain; charset=utf-8", Version: j.key.Version, Load: load,
	})
	var text []byte
	for {
		index, piece, err := st.token()
		if err != nil {
			if st.done {
				return st.nextIndex, text, nil
			}
			return 0, nil, err
		}
		if j.claimed() && len(text) <= maxStoredBody {
			text = append(text, piece...)
		}
		if err := out.chunk(index, []byte(piece), false); err != nil && !j.claimed() {
			return 0, nil, fmt.Errorf("pass token on: %w", err)
		}
		a.reportTokens(j, index+1-j.req.GetResumeIndex())
	}
}

// reportTokens reports the number of tokens generated so far to admission.
func (a *agent) reportTokens(j *job, tokens uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admit.RecordToken(time.Now(), j.id, tokens)
}
