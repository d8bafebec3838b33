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
	// judgePoll and judgePollMax bound the interval between two requests for a permit.
	// Requests that were in progress during the same crash wait for one another.
	judgePoll    = 25 * time.Millisecond
	judgePollMax = 400 * time.Millisecond
	// lossSettle is the time from the loss of a target until a suspect may run. Within
	// it arrives the crash report of another instance whose copy of the request crashed
	// a second target at nearly the same time.
	lossSettle = 300 * time.Millisecond
	// judgeQuick bounds a Judge call while control is known to be unreachable.
	judgeQuick = 250 * time.Millisecond
	// reportWait bounds how long the error is delayed until the crash is reported.
	reportWait = 2 * time.Second
)

// permit is the permission to run a suspect alone.
type permit struct {
	// attempt identifies this request to control. It is nil until control is first
	// asked.
	attempt []byte
	held    bool
	// owed is set if control may have granted the permit, which then has to be
	// released.
	owed bool
}

// gate waits until the request may be dispatched. A suspect needs a permit.
func (r *run) gate(lost time.Time) *fault {
	if r.permit.held {
		return nil
	}
	for wait := judgePoll; ; wait = min(2*wait, judgePollMax) {
		recent := !lost.IsZero() && time.Since(lost) < route.LostFor
		act := r.s.routing.suspectAction(r.c.print, recent, time.Now())
		if act == poison.ActionJudge {
			act = r.judge()
			if act == poison.ActionRun && time.Since(r.lostAt) < lossSettle {
				// Another report of the loss observed by this request may not have
				// reached control yet.
				act = poison.ActionWait
			}
		}
		if act == poison.ActionAlone && (time.Since(lost) < lossSettle || r.s.routing.attemptsInFlight(r.c.print) > 0) {
			act = poison.ActionWait
		}
		switch act {
		case poison.ActionRun:
			return nil
		case poison.ActionAlone:
			r.permit.held = true
			return nil
		case poison.ActionRefuse:
			f := refuse(http.StatusUnprocessableEntity, "blocked", "the request crashed targets and is blocked")
			return r.giveUp(f)
		}
		if !time.Now().Add(wait).Before(r.limit) {
			f := refuse(http.StatusServiceUnavailable, "suspect",
				"a target crashed while it ran this request; the request must wait to run alone").after(busyRetry)
			return r.giveUp(f)
		}
		select {
		case <-r.ctx.Done():
			return r.gone()
		case <-time.After(wait):
		}
	}
}

// judge asks control for the verdict on the request.
func (r *run) judge() poison.Action {
	r.s.met.judged.Inc(1)
	if r.permit.attempt == nil {
		r.permit.attempt = newID()
	}
	limit := min(r.s.cfg.ControlTimeout, time.Until(r.limit))
	if !r.s.inContact() {
		limit = min(limit, judgeQuick)
	}
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	var reply *wire.JudgeReply
	err := r.s.leader.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Judge(ctx, &wire.JudgeRequest{
			Protocol: link.Protocol, Fingerprint: r.c.print[:], Attempt: r.permit.attempt,
		})
		return err
	})
	r.permit.owed = r.permit.owed || err != nil || reply.GetPermit()
	if err != nil {
		r.s.log.Warn().Str("event", "judgeFailed").Err(err).Msg("")
		return r.s.routing.actionWithoutControl(r.c.print, time.Now())
	}
	return r.s.routing.applyVerdict(r.c.print, reply.GetVerdict(), reply.GetPermit())
}

// release returns the permit and the result to control in the background.
func (r *run) release(completed bool) {
	if !r.permit.owed {
		return
	}
	req := &wire.JudgeRequest{
		Protocol: link.Protocol, Fingerprint: r.c.print[:], Attempt: r.permit.attempt, Done: true, Completed: completed,
	}
	r.s.background("releasePermit", backgroundWait, func(ctx context.Context, c wire.DRPCControlClient) error {
		_, err := c.Judge(ctx, req)
		return err
	})
}

// completed records that the request completed.
func (r *run) completed() {
	if r.permit.held {
		r.s.routing.recordCompleted(r.c.print)
	}
	r.done = true
}

// reportCrash reports to control that a target was lost while it ran the request. The
// caller gets the error only after that, so that its retry finds the request recorded
// as a suspect.
func (r *run) reportCrash(at *attempt) {
	r.s.met.crashes.Inc(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), reportWait)
	defer cancel()
	report := &wire.CrashReport{
		Protocol: link.Protocol, Target: at.target.Name,
		// All entry instances that lost connections to this agent report the same id,
		// so that the crash counts once.
		BootId:       "agent-" + strconv.FormatUint(at.incarnation, 10),
		Fingerprints: [][]byte{r.c.print[:]},
	}
	call := func(ctx context.Context, c wire.DRPCControlClient) error {
		_, err := c.ReportCrash(ctx, report)
		if err == nil {
			r.s.routing.markCrashReported(r.c.print)
		}
		return err
	}
	if err := r.s.leader.Call(ctx, call); err != nil {
		r.s.log.Warn().Str("event", "crashNotReported").Str("target", at.target.Name).Err(err).Msg("")
		// The request cannot run while it is a suspect on this instance, so the report
		// is retried for that long.
		r.s.background("reportCrash", poison.WitnessFor, call)
	}
}
