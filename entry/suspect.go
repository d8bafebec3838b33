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
	// judgePoll and judgePollMax bound the pause between two questions for a
	// permit: requests that were beside a crash wait for each other.
	judgePoll    = 25 * time.Millisecond
	judgePollMax = 400 * time.Millisecond
	// lossSettle is the time from the loss of a target until a suspect may run. The
	// report of a copy that crashed the second target at nearly the same time, sent
	// by another instance, arrives within it.
	lossSettle = 300 * time.Millisecond
	// judgeQuick bounds the question while control is known to be out of reach.
	judgeQuick = 250 * time.Millisecond
	// reportWait bounds how long a failure is held back for the report of its crash.
	reportWait = 2 * time.Second
)

// permit is the right to run a suspect alone.
type permit struct {
	// attempt identifies this request to control; nil if control was not asked.
	attempt []byte
	held    bool
	// owed says that control may have granted the permit and waits for its return.
	owed bool
}

// gate lets a request pass that may be dispatched now. It waits for a permit if
// the request is a suspect.
func (r *run) gate(lost time.Time) *fault {
	if r.permit.held {
		return nil
	}
	for wait := judgePoll; ; wait = min(2*wait, judgePollMax) {
		recent := !lost.IsZero() && time.Since(lost) < route.LostFor
		act := r.s.fleet.gate(r.c.print, recent, time.Now())
		if act == poison.ActionJudge {
			act = r.judge()
			if act == poison.ActionRun && time.Since(r.lostAt) < lossSettle {
				// The report of the loss that this request met may still be on its way.
				act = poison.ActionWait
			}
		}
		if act == poison.ActionAlone && (time.Since(lost) < lossSettle || r.s.fleet.copies(r.c.print) > 0) {
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
				"a target crashed with this request; it waits for its turn to run alone").after(busyRetry)
			return r.giveUp(f)
		}
		select {
		case <-r.ctx.Done():
			return r.gone()
		case <-time.After(wait):
		}
	}
}

// judge asks control about the request.
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
		return r.s.fleet.withoutControl(r.c.print, time.Now())
	}
	return r.s.fleet.judged(r.c.print, reply.GetVerdict(), reply.GetPermit())
}

// release returns the permit with the result. It goes on when the caller has its answer.
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

// completed records that the request ran to its end.
func (r *run) completed() {
	if r.permit.held {
		r.s.fleet.completed(r.c.print)
	}
	r.done = true
}

// reportCrash tells control that the target of at was lost with the request on
// it. The failure is passed on only afterwards: the caller's next try must find
// the request marked.
func (r *run) reportCrash(at *attempt) {
	r.s.met.crashes.Inc(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), reportWait)
	defer cancel()
	report := &wire.CrashReport{
		Protocol: link.Protocol, Target: at.target.Name,
		// The same for all entry instances that saw this agent's connections break.
		BootId:       "agent-" + strconv.FormatUint(at.incarnation, 10),
		Fingerprints: [][]byte{r.c.print[:]},
	}
	call := func(ctx context.Context, c wire.DRPCControlClient) error {
		_, err := c.ReportCrash(ctx, report)
		if err == nil {
			r.s.fleet.reported(r.c.print)
		}
		return err
	}
	if err := r.s.leader.Call(ctx, call); err != nil {
		r.s.log.Warn().Str("event", "crashNotReported").Str("target", at.target.Name).Err(err).Msg("")
		// As long as the request is a suspect here: it cannot run before.
		r.s.background("reportCrash", poison.WitnessFor, call)
	}
}
