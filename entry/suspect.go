package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

const (
	// minPermitInterval and maxPermitInterval bound the interval between two requests
	// for a permit. Requests that were in progress during the same crash wait for one
	// another.
	minPermitInterval = 25 * time.Millisecond
	maxPermitInterval = 400 * time.Millisecond
	// crashReportDelay is the time from the loss of a target until a suspect may run.
	// Within it arrives the crash report of another instance whose copy of the request
	// crashed a second target at nearly the same time.
	crashReportDelay = 300 * time.Millisecond
	// unreachableJudgeTimeout bounds a Judge call while control is known to be
	// unreachable.
	unreachableJudgeTimeout = 250 * time.Millisecond
	// crashReportTimeout bounds how long the error is delayed until the crash is
	// reported.
	crashReportTimeout = 2 * time.Second
)

// permit is the permission to run a suspect alone.
type permit struct {
	// attemptID identifies this request to control. It is nil until control is first
	// asked.
	attemptID []byte
	held      bool
	// needsRelease is set if control may have granted the permit, which then has to be
	// released.
	needsRelease bool
}

// awaitPermission waits until the request may be dispatched. A suspect needs a permit.
func (r *run) awaitPermission(lost time.Time) *failure {
	if r.permit.held {
		return nil
	}
	for wait := minPermitInterval; ; wait = min(2*wait, maxPermitInterval) {
		recent := !lost.IsZero() && time.Since(lost) < route.LostFor
		action := r.s.routing.suspectAction(r.c.fingerprint, recent, time.Now())
		if action == poison.ActionJudge {
			action = r.requestVerdict()
			if action == poison.ActionRun && time.Since(r.lostAt) < crashReportDelay {
				// Another report of the loss observed by this request may not have
				// reached control yet.
				action = poison.ActionWait
			}
		}
		if action == poison.ActionAlone && (time.Since(lost) < crashReportDelay || r.s.routing.attemptsInFlight(r.c.fingerprint) > 0) {
			action = poison.ActionWait
		}
		switch action {
		case poison.ActionRun:
			return nil
		case poison.ActionAlone:
			r.permit.held = true
			return nil
		case poison.ActionRefuse:
			f := reject(http.StatusUnprocessableEntity, "blocked", "the request crashed targets and is blocked")
			return r.giveUp(f)
		}
		if !time.Now().Add(wait).Before(r.limit) {
			f := reject(http.StatusServiceUnavailable, "suspect",
				"a target crashed while it ran this request; the request must wait to run alone").withRetryAfter(busyRetry)
			return r.giveUp(f)
		}
		select {
		case <-r.ctx.Done():
			return r.gone()
		case <-time.After(wait):
		}
	}
}

// requestVerdict asks control for the verdict on the request.
func (r *run) requestVerdict() poison.Action {
	r.s.metrics.judged.Inc(1)
	if r.permit.attemptID == nil {
		r.permit.attemptID = newID()
	}
	limit := min(r.s.cfg.ControlTimeout, time.Until(r.limit))
	if !r.s.controlReachable() {
		limit = min(limit, unreachableJudgeTimeout)
	}
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	var reply *wire.JudgeReply
	err := r.s.leader.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Judge(ctx, &wire.JudgeRequest{
			Protocol: link.Protocol, Fingerprint: r.c.fingerprint[:], Attempt: r.permit.attemptID,
		})
		return err
	})
	r.permit.needsRelease = r.permit.needsRelease || err != nil || reply.GetPermit()
	if err != nil {
		r.s.log.Warn().Str("event", "judgeFailed").Err(err).Msg("")
		return r.s.routing.actionWithoutControl(r.c.fingerprint, time.Now())
	}
	return r.s.routing.applyVerdict(r.c.fingerprint, reply.GetVerdict(), reply.GetPermit())
}

// releasePermit returns the permit and the result to control in the background.
func (r *run) releasePermit(completed bool) {
	if !r.permit.needsRelease {
		return
	}
	req := &wire.JudgeRequest{
		Protocol: link.Protocol, Fingerprint: r.c.fingerprint[:], Attempt: r.permit.attemptID, Done: true, Completed: completed,
	}
	r.s.callControlInBackground("releasePermit", backgroundTimeout, func(ctx context.Context, c wire.DRPCControlClient) error {
		_, err := c.Judge(ctx, req)
		return err
	})
}

// recordCompletion records that the request completed.
func (r *run) recordCompletion() {
	if r.permit.held {
		r.s.routing.recordCompleted(r.c.fingerprint)
	}
	r.done = true
}

// reportCrash reports to control that a target was lost while it ran the request. The
// caller gets the error only after that, so that its retry finds the request recorded
// as a suspect.
func (r *run) reportCrash(at *attempt) {
	r.s.metrics.crashes.Inc(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), crashReportTimeout)
	defer cancel()
	report := &wire.CrashReport{
		Protocol: link.Protocol, Target: at.target.Name,
		// All entry instances that lost connections to this agent report the same id,
		// so that the crash counts once.
		BootId:       "agent-" + strconv.FormatUint(at.incarnation, 10),
		Fingerprints: [][]byte{r.c.fingerprint[:]},
	}
	call := func(ctx context.Context, c wire.DRPCControlClient) error {
		_, err := c.ReportCrash(ctx, report)
		if err == nil {
			r.s.routing.markCrashReported(r.c.fingerprint)
		}
		return err
	}
	if err := r.s.leader.Call(ctx, call); err != nil {
		r.s.log.Warn().Str("event", "crashNotReported").Str("target", at.target.Name).Err(err).Msg("")
		// The request cannot run while it is a suspect on this instance, so the report
		// is retried for that long.
		r.s.callControlInBackground("reportCrash", poison.WitnessFor, call)
	}
}
