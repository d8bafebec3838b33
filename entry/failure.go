package entry

import (
	"net/http"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// attemptFailed records the failure of an attempt and returns the error for the caller.
func (d *dispatcher) attemptFailed(at *attempt, ev streamEvent, now time.Time) *failure {
	switch {
	case ev.end == nil:
		return d.handleBrokenStream(at, ev.err, now)
	case ev.end.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_NOT_RUN:
		d.s.routing.recordLoad(at.target, ev.end.GetLoad(), now)
		return d.handleRejection(at, ev.end, now)
	}
	d.s.routing.recordLoad(at.target, ev.end.GetLoad(), now)
	switch ev.end.GetReason() {
	case wire.Reason_REASON_RECLAIMED:
		return unknownOutcome("reclaimed", "the target was needed by its owner")
	case wire.Reason_REASON_CRASHED:
		// The agent reports the crash before it sends this event.
		d.recordTargetLost(at, true, now)
		return unknownOutcome("targetCrashed", "the target crashed while it ran the request")
	}
	d.s.routing.penalize(at.target, now)
	return unknownOutcome("targetFailed", "the target did not complete the request: "+ev.end.GetMessage())
}

func unknownOutcome(code, message string) *failure {
	return &failure{status: http.StatusBadGateway, code: code, message: message, outcome: outcomeUnknown}
}

// recordTargetLost records that the target of an attempt crashed while it ran the
// request. reported is set if the agent has reported the crash to control.
func (d *dispatcher) recordTargetLost(at *attempt, reported bool, now time.Time) {
	// The suspect is recorded first: another attempt with the same request that sees
	// the target as lost must also see the suspect.
	d.s.routing.recordCrash(d.c.fingerprint, reported, now)
	d.s.routing.markLost(at.target, now)
	d.revokePermit(now)
}

// revokePermit withdraws the permission to dispatch after the loss of a target, because
// another copy of the request may have caused it.
func (d *dispatcher) revokePermit(now time.Time) {
	d.targetLostAt = now
	d.permit.held = false
}

// rejections maps each reason of a rejection to the error for the caller.
var rejections = map[wire.Reason]struct {
	status  int
	code    string
	message string
}{
	wire.Reason_REASON_LEAVING:      {503, "targetLeaving", "the target is leaving"},
	wire.Reason_REASON_QUEUE_FULL:   {503, "overloaded", "the queues of the targets are full"},
	wire.Reason_REASON_DEADLINE:     {503, "overloaded", "the request cannot start before its deadline"},
	wire.Reason_REASON_NOT_RESIDENT: {503, "notResident", "the model is not resident at the target"},
	wire.Reason_REASON_LENT_LIMIT:   {503, "overloaded", "the capacity lent by other teams is used up"},
	wire.Reason_REASON_BLOCKED:      {422, "blocked", "the request crashed targets and is blocked"},
	wire.Reason_REASON_ENGINE_DOWN:  {503, "targetDown", "the engine or service is down"},
	wire.Reason_REASON_CRASHED:      {503, "targetDown", "the engine or service is down"},
	wire.Reason_REASON_BAD_REQUEST:  {400, "badRequest", "the target refused the request as malformed"},
	wire.Reason_REASON_BUSY:         {503, "targetBusy", "the request must run alone and the target is busy"},
	wire.Reason_REASON_RECLAIMED:    {503, "reclaimed", "the target was needed by its owner"},
}

// handleRejection handles an end record with the outcome not run.
func (d *dispatcher) handleRejection(at *attempt, e *wire.End, now time.Time) *failure {
	d.possibleRuns--
	f := reject(http.StatusServiceUnavailable, "targetFailed", "the target refused the request: %s", e.GetMessage())
	if r, ok := rejections[e.GetReason()]; ok {
		f = reject(r.status, r.code, "%s", r.message)
	}
	if f.status == http.StatusServiceUnavailable {
		f.retryAfter = max(time.Duration(e.GetRetryAfterMicros())*time.Microsecond, defaultRetryAfter)
	}
	if e.GetReason() == wire.Reason_REASON_BAD_REQUEST && e.GetMessage() != "" {
		f.message += ": " + e.GetMessage()
	}
	switch e.GetReason() {
	case wire.Reason_REASON_LEAVING:
		d.s.routing.markLeaving(at.target, now)
	case wire.Reason_REASON_ENGINE_DOWN, wire.Reason_REASON_CRASHED:
		d.s.routing.markLost(at.target, now)
		d.revokePermit(now)
	case wire.Reason_REASON_BUSY:
		if d.busySince.IsZero() {
			d.busySince = now
		}
		if !d.permit.held {
			// The agent knows of a crash that this instance may not have learned of
			// yet.
			d.targetLostAt = now
		}
	case wire.Reason_REASON_BAD_REQUEST, wire.Reason_REASON_BLOCKED,
		wire.Reason_REASON_RECLAIMED, wire.Reason_REASON_LENT_LIMIT:
		// These reasons say nothing about the speed of the target, so it is not
		// penalized.
	default:
		d.s.routing.penalize(at.target, now)
	}
	return f
}

// handleBrokenStream handles a stream that ended without an end record.
func (d *dispatcher) handleBrokenStream(at *attempt, err error, now time.Time) *failure {
	if at.provesNotRun(err, d.c.idempotent) {
		d.possibleRuns--
		d.s.routing.markLost(at.target, now)
		d.revokePermit(now)
		return reject(http.StatusServiceUnavailable, "targetDown", "the target could not be reached").
			withRetryAfter(defaultRetryAfter).withCause(err)
	}
	if !isConnectionError(err) {
		at.untrusted = true
		d.s.metrics.violations.Inc(1)
		d.s.routing.penalize(at.target, now)
		return unknownOutcome("incomplete", "the target sent an answer that is not whole").withCause(err)
	}
	if link.CodeOf(err) != link.CodeOther {
		// The agent returned an error, so it is running.
		d.s.routing.penalize(at.target, now)
		return unknownOutcome("targetFailed", "the target answered with an error").withCause(err)
	}
	d.recordTargetLost(at, false, now)
	d.reportCrash(at)
	return unknownOutcome("connectionLost", "the connection to the target broke").withCause(err)
}

// decideRetry decides whether to retry after the last attempt in progress has failed
// with f.
func (d *dispatcher) decideRetry(at *attempt, f *failure, now time.Time) (retry bool, final *failure) {
	d.lastFailure = f
	if f.code == "badRequest" || f.code == "blocked" || d.possibleRuns > 0 && !d.c.idempotent {
		return false, d.finalFailure(f)
	}
	if at.gotChunk {
		trusted := !at.untrusted && !at.tokenGap && d.rw.canResume()
		switch {
		case !d.rw.headerSent && !trusted:
			d.rw.reset()
		case !d.rw.headerSent && d.c.plainService:
			d.rw.reset()
		case !trusted:
			return false, d.finalFailure(f)
		case d.rw.tokens > 0:
			d.s.metrics.resumes.Inc(1)
		}
		d.deadline = now.Add(resumeWindow)
	}
	// Retries that cannot add to an overload are not limited by the budget.
	if !f.isTransient() || f.outcome != outcomeNotRun && f.code != "reclaimed" {
		if !d.s.routing.takeRetry() {
			return false, d.finalFailure(f)
		}
	}
	d.s.metrics.retries.Inc(1)
	return true, nil
}
