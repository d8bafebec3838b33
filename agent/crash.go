package agent

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
	// crashReportDelay is how long a report is delayed to include the other requests of
	// the crashed process, whose connections break at the same moment.
	crashReportDelay = 50 * time.Millisecond
	// crashReportTimeout bounds how long the end record of a failed request is delayed
	// for the crash report. After that, the report continues in the background; the
	// entry instance reports the crash as well.
	crashReportTimeout = 2 * time.Second
	// maxCrashProbes is the maximum number of reads of the target's state to find out
	// whether its process has ended.
	maxCrashProbes = 3
	// maxCrashes limits the size of the table of crashes.
	maxCrashes = 64
	// localSuspectTTL is how long a request remains a local suspect if control never
	// learns of its crash.
	localSuspectTTL = 10 * time.Minute
)

// crash is one unexpected end of the target's process.
type crash struct {
	bootID string
	// pending holds the fingerprints that are not part of a report yet.
	pending [][]byte
	// reported is closed when the report that includes pending has been answered or has
	// timed out.
	reported chan struct{}
}

// processEnded reports whether the process that ran a failed request has ended: the
// target has another boot ID, or its state cannot be read. An ordinary error of a single
// request is not a crash. Where a relay or supervisor keeps the port open, the connection
// to a process that has ended is not refused, so repeated failures of any kind count as well.
func (a *agent) processEnded(ctx context.Context, boot string) bool {
	for range maxCrashProbes {
		err := a.readTarget(ctx)
		if err == nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.bootID != boot
		}
		if isConnRefused(err) {
			return true
		}
	}
	return true
}

// reportCrash reports the fingerprint of j to control, together with those of the
// other requests that ended with the same process. It returns when control has replied
// or the report has timed out.
func (a *agent) reportCrash(ctx context.Context, j *job) {
	if len(j.req.GetFingerprint()) == 0 {
		return
	}
	a.mu.Lock()
	c, ok := a.crashes[j.bootID]
	if !ok {
		if len(a.crashes) >= maxCrashes {
			clear(a.crashes)
		}
		c = &crash{bootID: j.bootID}
		a.crashes[j.bootID] = c
	}
	if len(c.pending) == 0 {
		c.reported = make(chan struct{})
		done := c.reported
		a.goroutines.Go(func() {
			defer close(done)
			a.sendCrashReport(ctx, c)
		})
	}
	a.localSuspects[string(j.req.GetFingerprint())] = localSuspect{math.MaxUint64, time.Now().Add(localSuspectTTL)}
	same := func(fp []byte) bool { return slices.Equal(fp, j.req.GetFingerprint()) }
	if !slices.ContainsFunc(c.pending, same) {
		c.pending = append(c.pending, j.req.GetFingerprint())
	}
	done := c.reported
	a.mu.Unlock()
	<-done
}

// sendCrashReport collects the pending fingerprints of c and reports them. If control does
// not reply in time, the report continues in the background.
func (a *agent) sendCrashReport(ctx context.Context, c *crash) {
	time.Sleep(crashReportDelay)
	a.mu.Lock()
	fps := c.pending
	c.pending = nil
	a.mu.Unlock()
	a.log.Error().Str("event", "crash").Str("boot", c.bootID).Int("running", len(fps)).Msg("")
	a.scope.Counter("crashes").Inc(1)
	first, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashReportTimeout)
	defer cancel()
	if a.callReportCrash(first, c.bootID, fps) {
		return
	}
	// The report is not left to the entry instances alone, because the one that sent
	// the requests may end before it reaches control.
	a.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, localSuspectTTL)
		defer cancel()
		a.callReportCrash(ctx, c.bootID, fps)
	})
}

// callReportCrash sends the crash report to control, retrying until ctx is cancelled. It
// reports whether control replied.
func (a *agent) callReportCrash(ctx context.Context, boot string, fps [][]byte) bool {
	var reply *wire.CrashReply
	err := a.leader.Call(ctx, func(ctx context.Context, cl wire.DRPCControlClient) (err error) {
		reply, err = cl.ReportCrash(ctx, &wire.CrashReport{
			Protocol: link.Protocol, Target: a.settings.Agent.Target, BootId: boot, Fingerprints: fps,
		})
		return err
	})
	if err != nil {
		a.log.Error().Str("event", "crashReportFailed").Str("boot", boot).Err(err).Msg("")
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, fp := range fps {
		if reply.GetSuspectsVersion() <= a.suspectsVersion {
			delete(a.localSuspects, string(fp))
		} else if m, ok := a.localSuspects[string(fp)]; ok {
			a.localSuspects[string(fp)] = localSuspect{reply.GetSuspectsVersion(), m.until}
		}
	}
	return true
}

// refuseDuplicates makes the agent refuse duplicates of j until the returned function is
// called.
func (a *agent) refuseDuplicates(j *job) func() {
	fp := string(j.req.GetFingerprint())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.undiagnosed[fp]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.undiagnosed[fp]--; a.undiagnosed[fp] == 0 {
			delete(a.undiagnosed, fp)
		}
	}
}

// refuseSuspect refuses a blocked request, and a suspect that is not to run alone. It
// is called with mu held, before the request is queued and again before it starts,
// because a duplicate may have crashed the target in the meantime.
func (a *agent) refuseSuspect(now time.Time, req *wire.RunRequest) *wire.End {
	fp := string(req.GetFingerprint())
	if fp == "" {
		return nil
	}
	v, ok := a.verdicts[fp]
	hasVerdict := ok && (v.until.IsZero() || now.Before(v.until))
	if hasVerdict && v.verdict == wire.Verdict_VERDICT_BLOCKED {
		return refusal(wire.Reason_REASON_BLOCKED, "request has crashed two targets", time.Until(v.until))
	}
	if req.GetAlone() {
		return nil
	}
	if hasVerdict && v.verdict == wire.Verdict_VERDICT_SUSPECT || a.undiagnosed[fp] > 0 || now.Before(a.localSuspects[fp].until) {
		return refusal(wire.Reason_REASON_BUSY, "request was beside a crash and must run alone", 0)
	}
	return nil
}

// runningSuspects returns the fingerprints of suspects that still run alongside other
// requests. All of them started before the agent received the list of suspects, because
// refuseSuspect refuses the others. It is called with mu held.
func (a *agent) runningSuspects() [][]byte {
	var out [][]byte
	for _, j := range a.jobs {
		fp := j.req.GetFingerprint()
		if _, ok := a.verdicts[string(fp)]; ok && !j.started.IsZero() && !j.req.GetAlone() {
			out = append(out, fp)
		}
	}
	return out
}

// errReclaimed is the cancellation cause of a request whose borrowed slot is reclaimed
// by the team that owns the target.
var errReclaimed = errors.New("borrowed slot was taken back for the owner")
