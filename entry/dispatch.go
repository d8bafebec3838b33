package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 8
	// pollTargets is the interval at which a waiting request looks for a usable target.
	pollTargets = 20 * time.Millisecond
	// pollAlone is that interval for a suspect, which waits for an idle target.
	pollAlone = 100 * time.Millisecond
	// stayWait is how long a suspect retries one busy target before it tries others.
	stayWait = 2 * time.Second
	// resumeWindow is the time that another target has to continue an interrupted
	// response.
	resumeWindow = 10 * time.Second
	// busyRetry is the default value of Retry-After.
	busyRetry = time.Second
)

// errCallerGone means that the caller has closed its connection.
var errCallerGone = errors.New("the caller is gone")

// run dispatches one request until it is answered or fails.
type run struct {
	s *server
	c *clientRequest
	a *answer
	// ctx is cancelled when the caller disconnects, unless the request is
	// non-idempotent.
	ctx context.Context
	// limit is the time by which the response must begin or, after an interruption,
	// continue.
	limit time.Time

	tried []*route.Target
	// other is the second candidate of the last choice, which is tried next.
	other        *route.Target
	otherVersion string
	// version is the model version of the last attempt.
	version  string
	attempts int
	// unproven counts the attempts that may have run the request. Unless it is zero,
	// the outcome cannot be not-run.
	unproven int
	// lostAt is when a target of this request was last lost. It is zero if none was.
	lostAt time.Time
	// busy is when a target first rejected this suspect because it was running other
	// work.
	busy   time.Time
	permit permit
	// done is set when the whole response was written.
	done bool
	// last is the error of the last failed attempt.
	last *failure
}

// do runs the request until it is answered or fails permanently.
func (r *run) do() *failure {
	for {
		ch, f := r.pick()
		if f == nil {
			f = r.awaitPermission(ch.Lost)
		}
		if f == nil && r.attempts >= maxAttempts && !r.permit.held {
			f = r.giveUp(r.last)
		}
		if f != nil {
			return f
		}
		again, f := r.exchange(ch)
		if f != nil || !again {
			return f
		}
		if r.limit.Before(time.Now()) {
			return r.timedOut(r.last)
		}
	}
}

// giveUp returns the final error for the caller: f with the outcome unknown if an
// attempt may have run the request. A nil f means that no target was found.
func (r *run) giveUp(f *failure) *failure {
	if f == nil {
		f = reject(http.StatusServiceUnavailable, "noTarget", "no target can run the request now").withRetryAfter(busyRetry)
	}
	if r.unproven > 0 && f.outcome == outcomeNotRun {
		g := *f
		g.outcome = outcomeUnknown
		return &g
	}
	return f
}

func (r *run) timedOut(cause *failure) *failure {
	if cause != nil && r.unproven == 0 {
		// A rejection is more informative than the deadline.
		return cause
	}
	f := reject(http.StatusGatewayTimeout, "deadline", "the answer did not begin before the deadline").withRetryAfter(busyRetry)
	if cause != nil {
		f.cause = cause
	}
	return r.giveUp(f)
}

// pick chooses the next target. It waits for one if none is usable at present.
func (r *run) pick() (route.Choice, *failure) {
	if ch, ok := r.stay(); ok {
		return ch, nil
	}
	if g := r.other; g != nil {
		r.other = nil
		if r.s.routing.isUsable(g, time.Now()) {
			return route.Choice{Target: g, Version: r.otherVersion, Lost: r.lostAt}, nil
		}
	}
	q := route.Query{
		Key: r.c.key, Version: r.c.version, Prefix: r.c.prefixHash, Print: r.c.fingerprintHash, Tried: r.tried,
	}
	if v := r.a.started.GetVersion(); r.a.tokens > 0 && v != "" {
		q.Version = v
	}
	until := time.Now().Add(r.s.cfg.TargetWait)
	if r.limit.Before(until) {
		until = r.limit
	}
	for {
		now := time.Now()
		ch, ok := r.s.routing.pickTarget(&q, now)
		if !ok && r.c.key.Adapter != "" {
			// No usable target has the adapter resident, but an agent may be able to
			// load it.
			bare := q
			bare.Key.Adapter = ""
			ch, ok = r.s.routing.pickTarget(&bare, now)
		}
		if ok {
			r.other, r.otherVersion = ch.Other, ch.OtherVersion
			return ch, nil
		}
		if !now.Before(until) {
			return ch, r.giveUp(r.last)
		}
		if r.last != nil && !r.last.waits() {
			return ch, r.giveUp(r.last)
		}
		select {
		case <-r.ctx.Done():
			return ch, r.gone()
		case <-time.After(r.poll()):
		}
		// The targets that rejected the request before may accept it now.
		r.tried, q.Tried = r.tried[:0], nil
	}
}

// stay chooses the target that rejected a suspect as busy again, for up to stayWait. A
// copy of the request may be running there, and the request must not reach a third
// target.
func (r *run) stay() (route.Choice, bool) {
	if !r.permit.held || r.last == nil || r.last.code != "targetBusy" || time.Since(r.busy) > stayWait {
		return route.Choice{}, false
	}
	select {
	case <-r.ctx.Done():
		return route.Choice{}, false
	case <-time.After(pollAlone):
	}
	g := r.tried[len(r.tried)-1]
	return route.Choice{Target: g, Version: r.version, Lost: r.lostAt}, r.s.routing.isUsable(g, time.Now())
}

// poll returns the interval at which the request looks for a usable target.
func (r *run) poll() time.Duration {
	if r.permit.held {
		return pollAlone
	}
	return pollTargets
}

// waits reports whether a retry may succeed soon: the error concerns the target that
// was tried and not a lack of capacity.
func (f *failure) waits() bool {
	switch f.code {
	case "targetLeaving", "targetDown", "notResident", "targetBusy", "reclaimed",
		"targetFailed", "targetCrashed", "incomplete", "connectionLost", "stalled":
		return true
	}
	return false
}

func (r *run) gone() *failure {
	f := reject(499, "callerGone", "the caller closed the connection").withCause(errCallerGone)
	return r.giveUp(f)
}

// request builds the message for one attempt.
func (r *run) request(version string, hedge bool) *wire.RunRequest {
	c := r.c
	left := max(time.Until(r.limit), time.Millisecond)
	req := &wire.RunRequest{
		Team: c.team, Model: c.key.Model, Version: version, Adapter: c.key.Adapter,
		Priority: c.priority, DeadlineMicros: uint64(left.Microseconds()), MaxTokens: c.maxTokens,
		Fingerprint: c.fingerprint[:], Alone: r.permit.held, Body: c.body, ContentType: c.contentType,
		Service: c.key.Service, Method: c.method, Path: c.path, Headers: c.headers,
		ConfigVersion: r.s.configVersion(), Hedge: hedge,
	}
	if !c.plainService {
		req.Method, req.Path = "", ""
		if r.a.tokens > 0 {
			req.ResumeIndex, req.ResumeText = r.a.tokens, r.a.text
		}
	}
	if !c.idempotent {
		req.ClaimKey, req.ClaimAttempt = c.claimKey, c.claimAttempt
	}
	return req
}

// race is an attempt and its hedge, if any. The first one to return a chunk wins.
type race struct {
	main, hedge *attempt
	// won is the attempt whose response is sent to the caller.
	won *attempt
}

// exchange runs an attempt, and possibly a hedge, until the response is complete or
// both have failed. It reports whether to try another target.
func (r *run) exchange(ch route.Choice) (again bool, f *failure) {
	x := &race{main: r.launch(ch.Target, ch.Version, false)}
	defer x.close(r)
	hedge := r.hedgeTimer(ch)
	defer hedge.Stop()
	limit := time.NewTimer(time.Until(r.limit))
	defer limit.Stop()
	for {
		var hedgeSteps chan step
		if x.hedge != nil {
			hedgeSteps = x.hedge.steps
		}
		var mainSteps chan step
		if x.main != nil {
			mainSteps = x.main.steps
		}
		var st step
		var at *attempt
		select {
		case st = <-mainSteps:
			at = x.main
		case st = <-hedgeSteps:
			at = x.hedge
		case <-hedge.C:
			if g := ch.Other; x.won == nil && r.s.routing.isUsable(g, time.Now()) && r.s.routing.takeHedge(r.c.fingerprint, time.Now()) {
				r.s.metrics.hedges.Inc(1)
				x.hedge = r.launch(g, ch.OtherVersion, true)
			}
			continue
		case <-limit.C:
			return r.expire(x)
		case <-r.ctx.Done():
			return false, r.gone()
		}
		over, again, f := r.step(x, at, st)
		if over {
			return again, f
		}
		if x.won != nil {
			limit.Reset(r.s.cfg.StallTimeout)
		}
	}
}

// launch starts an attempt.
func (r *run) launch(g *route.Target, version string, hedge bool) *attempt {
	r.attempts++
	r.unproven++
	r.tried = append(r.tried, g)
	r.version = version
	if r.other == g {
		r.other = nil
	}
	return r.s.start(r.ctx, r.c, g, r.request(version, hedge))
}

// hedgeTimer returns a timer that fires when a hedge is due. It never fires if the
// request may not be hedged.
func (r *run) hedgeTimer(ch route.Choice) *time.Timer {
	// No hedge if an earlier attempt may have run the request: three targets could then
	// run it.
	if r.c.idempotent && !r.permit.held && r.unproven == 1 && !r.c.plainService && ch.Other != nil {
		if d, ok := r.s.routing.hedgeDelay(r.c.key.Model); ok {
			return time.NewTimer(d)
		}
	}
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// expire handles a timeout: the deadline before the response has begun, StallTimeout
// after that.
func (r *run) expire(x *race) (again bool, f *failure) {
	now := time.Now()
	for _, at := range []*attempt{x.main, x.hedge} {
		if at != nil {
			r.s.routing.penalize(at.target, now)
		}
	}
	if x.won == nil {
		return false, r.timedOut(nil)
	}
	return r.next(x.won, &failure{
		status: http.StatusGatewayTimeout, code: "stalled", outcome: outcomeUnknown,
		message: "the target stopped sending in the middle of the answer",
	}, now)
}

// step handles one event of an attempt. over reports that the exchange has ended.
func (r *run) step(x *race, at *attempt, st step) (over, again bool, f *failure) {
	now := time.Now()
	switch {
	case st.started != nil:
		at.started = st.started
		r.s.routing.recordLoad(at.target, st.started.GetLoad(), now)
		return false, false, nil
	case st.chunk != nil:
		r.win(x, at, now)
		if err := r.take(at, st.chunk); err != nil {
			return true, false, r.gone().withCause(err)
		}
		return false, false, nil
	case st.end != nil && st.end.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_COMPLETED:
		r.win(x, at, now)
		r.finish(at, now)
		r.s.routing.recordLoad(at.target, st.end.GetLoad(), now)
		if err := r.a.finish(st.end); err != nil {
			return true, false, r.gone().withCause(err)
		}
		r.recordCompletion()
		return true, false, nil
	}
	// The attempt has failed. The other one of the pair continues if it is still in
	// progress.
	r.finish(at, now)
	r.last = r.failed(at, st, now)
	if x.drop(at) {
		return false, false, nil
	}
	again, f = r.next(at, r.last, now)
	return true, again, f
}

// win makes at the attempt whose response is sent, and cancels the other one.
func (r *run) win(x *race, at *attempt, now time.Time) {
	if x.won == at {
		return
	}
	x.won = at
	took := now.Sub(at.begun)
	at.first = true
	r.s.routing.recordFirstChunk(at.target, r.c.key.Model, took, now)
	r.s.metrics.first.RecordDuration(took)
	if at.resume == 0 {
		// This attempt started from the beginning, so data of earlier ones is
		// discarded.
		r.a.restart()
	}
	r.a.started = at.started
	for _, loser := range []*attempt{x.main, x.hedge} {
		if loser != nil && loser != at {
			loser.cancel()
			r.s.routing.recordOvertaken(loser.target, now.Sub(loser.begun), now)
			r.finish(loser, now)
			x.drop(loser)
		}
	}
}

// take passes a chunk to the response.
func (r *run) take(at *attempt, c *wire.Chunk) error {
	at.jumped = at.jumped || c.GetToken() > at.next
	at.next = c.GetToken() + 1
	return r.a.chunk(c, at.next)
}

// finish records the end of an attempt. Further calls have no effect.
func (r *run) finish(at *attempt, now time.Time) {
	if !at.over {
		at.over = true
		r.s.routing.finishAttempt(at.target, r.c.fingerprint, at.first, now)
	}
}

// drop removes a finished attempt and reports whether the other one is still in
// progress.
func (x *race) drop(at *attempt) bool {
	if x.main == at {
		x.main = nil
	}
	if x.hedge == at {
		x.hedge = nil
	}
	return x.main != nil || x.hedge != nil
}

// close cancels the attempts still in progress. The connection of an attempt that has
// ended is kept.
func (x *race) close(r *run) {
	for _, at := range []*attempt{x.main, x.hedge} {
		if at == nil {
			continue
		}
		if !at.over {
			at.cancel()
		}
		r.finish(at, time.Now())
	}
}
