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
	// minPermitInterval and maxPermitInterval bound the interval at which a waiting
	// request checks, with control if necessary, whether it may be dispatched. Requests
	// that were in progress during the same crash wait for one another.
	minPermitInterval = 25 * time.Millisecond
	maxPermitInterval = 400 * time.Millisecond
	// crashReportDelay is the time from the loss of a target until a suspect may run.
	// If another instance had a copy of the request that crashed a second target at
	// nearly the same time, its crash report arrives within this time.
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
func (d *dispatcher) awaitPermission(lost time.Time) *failure {
	if d.permit.held {
		return nil
	}
	for wait := minPermitInterval; ; wait = min(2*wait, maxPermitInterval) {
		recent := !lost.IsZero() && time.Since(lost) < route.LossWindow
		action := d.s.routing.suspectAction(d.c.fingerprint, recent, time.Now())
		if action == poison.ActionJudge {
			action = d.requestVerdict()
			if action == poison.ActionRun && time.Since(d.targetLostAt) < crashReportDelay {
				// Another report of the loss observed by this request may not have
				// reached control yet.
				action = poison.ActionWait
			}
		}
		if action == poison.ActionAlone && (time.Since(lost) < crashReportDelay || d.s.routing.attemptsInFlight(d.c.fingerprint) > 0) {
			action = poison.ActionWait
		}
		switch action {
		case poison.ActionRun:
			return nil
		case poison.ActionAlone:
			d.permit.held = true
			return nil
		case poison.ActionRefuse:
			f := reject(http.StatusUnprocessableEntity, "blocked", "the request crashed targets and is blocked")
			return d.finalFailure(f)
		}
		if !time.Now().Add(wait).Before(d.deadline) {
			f := reject(http.StatusServiceUnavailable, "suspect",
				"a target crashed with this request; it waits for its turn to run alone").withRetryAfter(defaultRetryAfter)
			return d.finalFailure(f)
		}
		select {
		case <-d.ctx.Done():
			return d.callerGone()
		case <-time.After(wait):
		}
	}
}

// requestVerdict asks control for the verdict on the request.
func (d *dispatcher) requestVerdict() poison.Action {
	d.s.metrics.judgeCalls.Inc(1)
	if d.permit.attemptID == nil {
		d.permit.attemptID = newRandomID()
	}
	limit := min(d.s.cfg.ControlTimeout, time.Until(d.deadline))
	if !d.s.controlReachable() {
		limit = min(limit, unreachableJudgeTimeout)
	}
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	var reply *wire.JudgeReply
	err := d.s.leader.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Judge(ctx, &wire.JudgeRequest{
			Protocol: link.Protocol, Fingerprint: d.c.fingerprint[:], Attempt: d.permit.attemptID,
		})
		return err
	})
	d.permit.needsRelease = d.permit.needsRelease || err != nil || reply.GetPermit()
	if err != nil {
		d.s.log.Warn().Str("event", "judgeFailed").Err(err).Msg("")
		return d.s.routing.actionWithoutControl(d.c.fingerprint, time.Now())
	}
	return d.s.routing.applyVerdict(d.c.fingerprint, reply.GetVerdict(), reply.GetPermit())
}

// releasePermit returns the permit and the result to control in the background.
func (d *dispatcher) releasePermit(completed bool) {
	if !d.permit.needsRelease {
		return
	}
	req := &wire.JudgeRequest{
		Protocol: link.Protocol, Fingerprint: d.c.fingerprint[:], Attempt: d.permit.attemptID, Done: true, Completed: completed,
	}
	d.s.callControlInBackground("releasePermit", backgroundTimeout, func(ctx context.Context, c wire.DRPCControlClient) error {
		_, err := c.Judge(ctx, req)
		return err
	})
}

// recordCompletion records that the request completed.
func (d *dispatcher) recordCompletion() {
	if d.permit.held {
		d.s.routing.recordCompleted(d.c.fingerprint)
	}
	d.completed = true
}

// reportCrash reports to control that a target was lost while it ran the request. The
// caller gets the error only after that, so that its retry finds the request recorded
// as a suspect.
func (d *dispatcher) reportCrash(at *attempt) {
	d.s.metrics.crashes.Inc(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), crashReportTimeout)
	defer cancel()
	report := &wire.CrashReport{
		Protocol: link.Protocol, Target: at.target.Name,
		// All entry instances that lost connections to this agent report the same id,
		// so that the crash counts once.
		BootId:       "agent-" + strconv.FormatUint(at.incarnation, 10),
		Fingerprints: [][]byte{d.c.fingerprint[:]},
	}
	call := func(ctx context.Context, c wire.DRPCControlClient) error {
		_, err := c.ReportCrash(ctx, report)
		if err == nil {
			d.s.routing.markCrashReported(d.c.fingerprint)
		}
		return err
	}
	if err := d.s.leader.Call(ctx, call); err != nil {
		d.s.log.Warn().Str("event", "crashNotReported").Str("target", at.target.Name).Err(err).Msg("")
		// Until the crash is reported, this instance does not dispatch the request while
		// it is a suspect here, so the report is retried for that long.
		d.s.callControlInBackground("reportCrash", poison.LocalSuspectPeriod, call)
	}
}
