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
	// targetPollInterval is the interval at which a waiting request looks for a usable
	// target.
	targetPollInterval = 20 * time.Millisecond
	// suspectPollInterval is that interval for a suspect, which waits for an idle
	// target.
	suspectPollInterval = 100 * time.Millisecond
	// busyTargetWait is how long a suspect retries one busy target before it tries
	// others.
	busyTargetWait = 2 * time.Second
	// resumeWindow is the time that another target has to continue an interrupted
	// response.
	resumeWindow = 10 * time.Second
	// defaultRetryAfter is the default value of Retry-After.
	defaultRetryAfter = time.Second
)

// errCallerGone means that the caller has closed its connection.
var errCallerGone = errors.New("caller closed the connection")

// dispatcher selects targets for one request, retries and hedges it, and passes the
// response to its caller.
type dispatcher struct {
	s  *server
	c  *clientRequest
	rw *responseWriter
	// ctx is cancelled when the caller disconnects, unless the request is
	// non-idempotent.
	ctx context.Context
	// deadline is the time by which the response must begin or, after an interruption,
	// continue.
	deadline time.Time

	triedTargets []*route.Target
	// alternate is the second candidate of the last choice, which is tried next.
	alternate        *route.Target
	alternateVersion string
	// version is the model version of the last attempt.
	version  string
	attempts int
	// possibleRuns counts the attempts that may have run the request. The outcome can be
	// not-run only if it is zero.
	possibleRuns int
	// targetLostAt is when a target of this request was last lost. It is zero if none
	// was.
	targetLostAt time.Time
	// busySince is when a target first rejected this suspect because it was running
	// other work.
	busySince time.Time
	permit    permit
	// completed is set when the whole response was written.
	completed bool
	// lastFailure is the error of the last failed attempt.
	lastFailure *failure
}

// run tries targets until the request is answered or fails permanently.
func (d *dispatcher) run() *failure {
	for {
		ch, f := d.pickTarget()
		if f == nil {
			f = d.awaitPermission(ch.LastLoss)
		}
		if f == nil && d.attempts >= maxAttempts && !d.permit.held {
			f = d.finalFailure(d.lastFailure)
		}
		if f != nil {
			return f
		}
		retry, f := d.runAttempts(ch)
		if f != nil || !retry {
			return f
		}
		if d.deadline.Before(time.Now()) {
			return d.deadlineFailure(d.lastFailure)
		}
	}
}

// finalFailure returns the final error for the caller: f with the outcome unknown if an
// attempt may have run the request. A nil f means that no target was found.
func (d *dispatcher) finalFailure(f *failure) *failure {
	if f == nil {
		f = reject(http.StatusServiceUnavailable, "noTarget", "no target can run the request now").withRetryAfter(defaultRetryAfter)
	}
	if d.possibleRuns > 0 && f.outcome == outcomeNotRun {
		unknown := *f
		unknown.outcome = outcomeUnknown
		return &unknown
	}
	return f
}

func (d *dispatcher) deadlineFailure(cause *failure) *failure {
	if cause != nil && d.possibleRuns == 0 {
		// A rejection is more informative than the deadline.
		return cause
	}
	f := reject(http.StatusGatewayTimeout, "deadline", "the answer did not begin before the deadline").withRetryAfter(defaultRetryAfter)
	if cause != nil {
		f.cause = cause
	}
	return d.finalFailure(f)
}

// pickTarget chooses the next target. It waits for one if none is usable at present.
func (d *dispatcher) pickTarget() (route.Choice, *failure) {
	if ch, ok := d.retryBusyTarget(); ok {
		return ch, nil
	}
	if target := d.alternate; target != nil {
		d.alternate = nil
		if d.s.routing.isUsable(target, time.Now()) {
			return route.Choice{Target: target, Version: d.alternateVersion, LastLoss: d.targetLostAt}, nil
		}
	}
	q := route.Query{
		Key: d.c.key, Version: d.c.version, PromptHash: d.c.promptHash, FingerprintHash: d.c.fingerprintHash, Tried: d.triedTargets,
	}
	if v := d.rw.started.GetVersion(); d.rw.tokens > 0 && v != "" {
		q.Version = v
	}
	until := time.Now().Add(d.s.cfg.TargetWait)
	if d.deadline.Before(until) {
		until = d.deadline
	}
	for {
		now := time.Now()
		ch, ok := d.s.routing.pickTarget(&q, now)
		if !ok && d.c.key.Adapter != "" {
			// No usable target has the adapter resident, but an agent may be able to
			// load it.
			withoutAdapter := q
			withoutAdapter.Key.Adapter = ""
			ch, ok = d.s.routing.pickTarget(&withoutAdapter, now)
		}
		if ok {
			d.alternate, d.alternateVersion = ch.Alternate, ch.AlternateVersion
			return ch, nil
		}
		if !now.Before(until) {
			return ch, d.finalFailure(d.lastFailure)
		}
		if d.lastFailure != nil && !d.lastFailure.isTransient() {
			return ch, d.finalFailure(d.lastFailure)
		}
		select {
		case <-d.ctx.Done():
			return ch, d.callerGone()
		case <-time.After(d.pollInterval()):
		}
		// The targets that rejected the request before may accept it now.
		d.triedTargets, q.Tried = d.triedTargets[:0], nil
	}
}

// retryBusyTarget chooses the target that rejected a suspect as busy again, for up to
// busyTargetWait. A copy of the request may be running there, and the request must not
// reach a third target.
func (d *dispatcher) retryBusyTarget() (route.Choice, bool) {
	if !d.permit.held || d.lastFailure == nil || d.lastFailure.code != "targetBusy" || time.Since(d.busySince) > busyTargetWait {
		return route.Choice{}, false
	}
	select {
	case <-d.ctx.Done():
		return route.Choice{}, false
	case <-time.After(suspectPollInterval):
	}
	target := d.triedTargets[len(d.triedTargets)-1]
	return route.Choice{Target: target, Version: d.version, LastLoss: d.targetLostAt}, d.s.routing.isUsable(target, time.Now())
}

// pollInterval returns the interval at which the request looks for a usable target.
func (d *dispatcher) pollInterval() time.Duration {
	if d.permit.held {
		return suspectPollInterval
	}
	return targetPollInterval
}

// isTransient reports whether a retry may succeed soon: the error concerns the target
// that was tried and not a lack of capacity.
func (f *failure) isTransient() bool {
	switch f.code {
	case "targetLeaving", "targetDown", "notResident", "targetBusy", "reclaimed",
		"targetFailed", "targetCrashed", "incomplete", "connectionLost", "stalled":
		return true
	}
	return false
}

func (d *dispatcher) callerGone() *failure {
	f := reject(499, "callerGone", "the caller closed the connection").withCause(errCallerGone)
	return d.finalFailure(f)
}

// newRunRequest builds the message for one attempt.
func (d *dispatcher) newRunRequest(version string, hedge bool) *wire.RunRequest {
	c := d.c
	remaining := max(time.Until(d.deadline), time.Millisecond)
	req := &wire.RunRequest{
		Team: c.team, Model: c.key.Model, Version: version, Adapter: c.key.Adapter,
		Priority: c.priority, DeadlineMicros: uint64(remaining.Microseconds()), MaxTokens: c.maxTokens,
		Fingerprint: c.fingerprint[:], Alone: d.permit.held, Body: c.body, ContentType: c.contentType,
		Service: c.key.Service, Method: c.method, Path: c.path, Headers: c.headers,
		ConfigVersion: d.s.configVersion(), Hedge: hedge,
	}
	if !c.plainService {
		req.Method, req.Path = "", ""
		if d.rw.tokens > 0 {
			req.ResumeIndex, req.ResumeText = d.rw.tokens, d.rw.buffered
		}
	}
	if !c.idempotent {
		req.ClaimKey, req.ClaimAttempt = c.claimKey, c.claimAttempt
	}
	return req
}

// attemptPair is an attempt and its hedge, if any. The first one to return a chunk
// wins.
type attemptPair struct {
	primary, hedge *attempt
	// winner is the attempt whose response is sent to the caller, or nil before the
	// first chunk.
	winner *attempt
}

// runAttempts runs an attempt, and possibly a hedge, until the response is complete or
// both have failed. It reports whether to try another target.
func (d *dispatcher) runAttempts(ch route.Choice) (retry bool, f *failure) {
	pair := &attemptPair{primary: d.startAttempt(ch.Target, ch.Version, false)}
	defer pair.close(d)
	hedge := d.hedgeTimer(ch)
	defer hedge.Stop()
	timeout := time.NewTimer(time.Until(d.deadline))
	defer timeout.Stop()
	for {
		var hedgeEvents chan streamEvent
		if pair.hedge != nil {
			hedgeEvents = pair.hedge.events
		}
		var primaryEvents chan streamEvent
		if pair.primary != nil {
			primaryEvents = pair.primary.events
		}
		var ev streamEvent
		var at *attempt
		select {
		case ev = <-primaryEvents:
			at = pair.primary
		case ev = <-hedgeEvents:
			at = pair.hedge
		case <-hedge.C:
			if target := ch.Alternate; pair.winner == nil && d.s.routing.isUsable(target, time.Now()) && d.s.routing.takeHedge(d.c.fingerprint, time.Now()) {
				d.s.metrics.hedges.Inc(1)
				pair.hedge = d.startAttempt(target, ch.AlternateVersion, true)
			}
			continue
		case <-timeout.C:
			return d.handleTimeout(pair)
		case <-d.ctx.Done():
			return false, d.callerGone()
		}
		ended, retry, f := d.handleEvent(pair, at, ev)
		if ended {
			return retry, f
		}
		if pair.winner != nil {
			timeout.Reset(d.s.cfg.StallTimeout)
		}
	}
}

func (d *dispatcher) startAttempt(target *route.Target, version string, hedge bool) *attempt {
	d.attempts++
	d.possibleRuns++
	d.triedTargets = append(d.triedTargets, target)
	d.version = version
	if d.alternate == target {
		d.alternate = nil
	}
	return d.s.startAttempt(d.ctx, d.c, target, d.newRunRequest(version, hedge))
}

// hedgeTimer returns a timer that fires when a hedge is due. It never fires if the
// request may not be hedged.
func (d *dispatcher) hedgeTimer(ch route.Choice) *time.Timer {
	// No hedge if an earlier attempt may have run the request: three targets could then
	// run it.
	if d.c.idempotent && !d.permit.held && d.possibleRuns == 1 && !d.c.plainService && ch.Alternate != nil {
		if delay, ok := d.s.routing.hedgeDelay(d.c.key.Model); ok {
			return time.NewTimer(delay)
		}
	}
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// handleTimeout ends the attempts after a timeout: the deadline before the response has
// begun, StallTimeout after that.
func (d *dispatcher) handleTimeout(pair *attemptPair) (retry bool, f *failure) {
	now := time.Now()
	for _, at := range []*attempt{pair.primary, pair.hedge} {
		if at != nil {
			d.s.routing.penalize(at.target, now)
		}
	}
	if pair.winner == nil {
		return false, d.deadlineFailure(nil)
	}
	return d.decideRetry(pair.winner, &failure{
		status: http.StatusGatewayTimeout, code: "stalled", outcome: outcomeUnknown,
		message: "the target stopped sending in the middle of the answer",
	}, now)
}

// handleEvent handles one event of an attempt. ended reports that the attempt and its
// hedge are over.
func (d *dispatcher) handleEvent(pair *attemptPair, at *attempt, ev streamEvent) (ended, retry bool, f *failure) {
	now := time.Now()
	switch {
	case ev.started != nil:
		at.started = ev.started
		d.s.routing.recordLoad(at.target, ev.started.GetLoad(), now)
		return false, false, nil
	case ev.chunk != nil:
		d.selectWinner(pair, at, now)
		err := d.writeChunk(at, ev.chunk)
		switch {
		case errors.Is(err, errTextTooLong):
			at.cancel()
			d.finishAttempt(at, now)
			d.s.routing.penalize(at.target, now)
			return true, false, unknownOutcome("answerTooLong", "the answer is too long to be sent in one piece; ask for an event stream")
		case err != nil:
			return true, false, d.callerGone().withCause(err)
		}
		return false, false, nil
	case ev.end != nil && ev.end.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_COMPLETED:
		d.selectWinner(pair, at, now)
		d.finishAttempt(at, now)
		d.s.routing.recordLoad(at.target, ev.end.GetLoad(), now)
		if err := d.rw.complete(ev.end); err != nil {
			return true, false, d.callerGone().withCause(err)
		}
		d.recordCompletion()
		return true, false, nil
	}
	// The attempt has failed. The other one of the pair continues if it is still in
	// progress.
	d.finishAttempt(at, now)
	d.lastFailure = d.attemptFailed(at, ev, now)
	if pair.remove(at) {
		return false, false, nil
	}
	retry, f = d.decideRetry(at, d.lastFailure, now)
	return true, retry, f
}

// selectWinner selects the attempt whose response is sent and cancels the other one.
func (d *dispatcher) selectWinner(pair *attemptPair, at *attempt, now time.Time) {
	if pair.winner == at {
		return
	}
	pair.winner = at
	took := now.Sub(at.startedAt)
	at.gotChunk = true
	d.s.routing.recordFirstChunk(at.target, d.c.key.Model, took, now)
	d.s.metrics.firstChunk.RecordDuration(took)
	if at.resumeIndex == 0 {
		// This attempt started from the beginning, so data of earlier ones is
		// discarded.
		d.rw.reset()
	}
	d.rw.started = at.started
	for _, loser := range []*attempt{pair.primary, pair.hedge} {
		if loser != nil && loser != at {
			loser.cancel()
			d.s.routing.recordSlowerAttempt(loser.target, now.Sub(loser.startedAt), now)
			d.finishAttempt(loser, now)
			pair.remove(loser)
		}
	}
}

// writeChunk passes a chunk to the response.
func (d *dispatcher) writeChunk(at *attempt, c *wire.Chunk) error {
	at.tokenGap = at.tokenGap || c.GetToken() > at.nextToken
	at.nextToken = c.GetToken() + 1
	return d.rw.writeChunk(c, at.nextToken)
}

// finishAttempt records the end of an attempt. Calls after the first have no effect.
func (d *dispatcher) finishAttempt(at *attempt, now time.Time) {
	if !at.finished {
		at.finished = true
		d.s.routing.finishAttempt(at.target, d.c.fingerprint, at.gotChunk, now)
	}
}

// remove removes a finished or cancelled attempt and reports whether the other one is still in
// progress.
func (p *attemptPair) remove(at *attempt) bool {
	if p.primary == at {
		p.primary = nil
	}
	if p.hedge == at {
		p.hedge = nil
	}
	return p.primary != nil || p.hedge != nil
}

// close cancels the attempts still in progress. The connection of an attempt that has
// ended is kept.
func (p *attemptPair) close(d *dispatcher) {
	for _, at := range []*attempt{p.primary, p.hedge} {
		if at == nil {
			continue
		}
		if !at.finished {
			at.cancel()
		}
		d.finishAttempt(at, time.Now())
	}
}
