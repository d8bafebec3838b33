package entry

import (
	"net/http"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// failed records the failure of an attempt and returns the error for the caller.
func (r *run) failed(at *attempt, st step, now time.Time) *failure {
	switch {
	case st.end == nil:
		return r.broke(at, st.err, now)
	case st.end.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_NOT_RUN:
		r.s.routing.recordLoad(at.target, st.end.GetLoad(), now)
		return r.refused(at, st.end, now)
	}
	r.s.routing.recordLoad(at.target, st.end.GetLoad(), now)
	switch st.end.GetReason() {
	case wire.Reason_REASON_RECLAIMED:
		return unknown("reclaimed", "the target was needed by its owner")
	case wire.Reason_REASON_CRASHED:
		// The agent reports the crash before it sends this event.
		r.lost(at, true, now)
		return unknown("targetCrashed", "the target crashed while it ran the request")
	}
	r.s.routing.penalize(at.target, now)
	return unknown("targetFailed", "the target did not complete the request: "+st.end.GetMessage())
}

func unknown(code, message string) *failure {
	return &failure{status: http.StatusBadGateway, code: code, message: message, outcome: outcomeUnknown}
}

// lost records that the target of an attempt crashed while it ran the request. reported
// is set if the agent has reported the crash to control.
func (r *run) lost(at *attempt, reported bool, now time.Time) {
	// The suspect is recorded first: another attempt with the same request that sees
	// the target as lost must also see the suspect.
	r.s.routing.recordCrash(r.c.fingerprint, reported, now)
	r.s.routing.markLost(at.target, now)
	r.judgeAgain(now)
}

// judgeAgain withdraws the permission to dispatch after the loss of a target, because
// another copy of the request may have caused it.
func (r *run) judgeAgain(now time.Time) {
	r.lostAt = now
	r.permit.held = false
}

// refusals maps each reason of a rejection to the error for the caller.
var refusals = map[wire.Reason]struct {
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

// refused handles an end record with the outcome not run.
func (r *run) refused(at *attempt, e *wire.End, now time.Time) *failure {
	r.unproven--
	f := reject(http.StatusServiceUnavailable, "targetFailed", "the target refused the request: %s", e.GetMessage())
	if x, ok := refusals[e.GetReason()]; ok {
		f = reject(x.status, x.code, "%s", x.message)
	}
	if f.status == http.StatusServiceUnavailable {
		f.retryAfter = max(time.Duration(e.GetRetryAfterMicros())*time.Microsecond, busyRetry)
	}
	if e.GetReason() == wire.Reason_REASON_BAD_REQUEST && e.GetMessage() != "" {
		f.message += ": " + e.GetMessage()
	}
	switch e.GetReason() {
	case wire.Reason_REASON_LEAVING:
		r.s.routing.markLeaving(at.target, now)
	case wire.Reason_REASON_ENGINE_DOWN, wire.Reason_REASON_CRASHED:
		r.s.routing.markLost(at.target, now)
		r.judgeAgain(now)
	case wire.Reason_REASON_BUSY:
		if r.busy.IsZero() {
			r.busy = now
		}
		if !r.permit.held {
			// The agent knows of a crash that this instance may not have learned of
			// yet.
			r.lostAt = now
		}
	case wire.Reason_REASON_BAD_REQUEST, wire.Reason_REASON_BLOCKED,
		wire.Reason_REASON_RECLAIMED, wire.Reason_REASON_LENT_LIMIT:
		// These reasons do not depend on the speed of the target.
	default:
		r.s.routing.penalize(at.target, now)
	}
	return f
}

// broke handles a stream that ended without an end record.
func (r *run) broke(at *attempt, err error, now time.Time) *failure {
	if at.notRun(err, r.c.idempotent) {
		r.unproven--
		r.s.routing.markLost(at.target, now)
		r.judgeAgain(now)
		return reject(http.StatusServiceUnavailable, "targetDown", "the target could not be reached").
			withRetryAfter(busyRetry).withCause(err)
	}
	if !isCut(err) {
		at.untrusted = true
		r.s.metrics.violations.Inc(1)
		r.s.routing.penalize(at.target, now)
		return unknown("incomplete", "the target sent an incomplete or invalid response").withCause(err)
	}
	if link.CodeOf(err) != link.CodeOther {
		// The agent returned an error, so it is running.
		r.s.routing.penalize(at.target, now)
		return unknown("targetFailed", "the target returned an error").withCause(err)
	}
	r.lost(at, false, now)
	r.reportCrash(at)
	return unknown("connectionLost", "the connection to the target was lost").withCause(err)
}

// next decides whether to retry after the failure f of an attempt with no other in
// progress.
func (r *run) next(at *attempt, f *failure, now time.Time) (again bool, final *failure) {
	r.last = f
	if f.code == "badRequest" || f.code == "blocked" || r.unproven > 0 && !r.c.idempotent {
		return false, r.giveUp(f)
	}
	if at.first {
		trusted := !at.untrusted && !at.jumped && r.a.resumable()
		switch {
		case !r.a.begun && !trusted:
			r.a.restart()
		case !r.a.begun && r.c.plainService:
			r.a.restart()
		case !trusted:
			return false, r.giveUp(f)
		case r.a.tokens > 0:
			r.s.metrics.resumes.Inc(1)
		}
		r.limit = now.Add(resumeWindow)
	}
	// Retries that cannot add to an overload are not limited by the budget.
	if !f.waits() || f.outcome != outcomeNotRun && f.code != "reclaimed" {
		if !r.s.routing.takeRetry() {
			return false, r.giveUp(f)
		}
	}
	r.s.metrics.retries.Inc(1)
	return true, nil
}
