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
	// crashGather is how long a report waits for the other requests of the
	// crashed process; their connections break at the same moment.
	crashGather = 50 * time.Millisecond
	// crashReport bounds how long a failure is held back for its report. Afterwards
	// the report is sent in the background; the entry instance reports the crash as well.
	crashReport = 2 * time.Second
	// crashProbe bounds the time to find out whether the process died, in readings.
	crashProbe = 3
	// crashesKept bounds the table of crashes.
	crashesKept = 64
	// markLife bounds a mark whose crash control never learnt of.
	markLife = 10 * time.Minute
)

// crash is one death of the target's process.
type crash struct {
	boot string
	// pending holds fingerprints that are not in a report yet.
	pending [][]byte
	// report is closed when the report with the latest pending ones has ended.
	report chan struct{}
}

// died finds out whether the target's process that ran a broken request has
// ended: it has another boot id, or does not tell its state any more. An ordinary
// error of one request is no crash. Where a relay or a supervisor holds the port,
// a dead process is not refused at the dial, so any failed reading counts.
func (a *agent) died(ctx context.Context, boot string) bool {
	for range crashProbe {
		err := a.observe(ctx)
		if err == nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.boot != boot
		}
		if refusedDial(err) {
			return true
		}
	}
	return true
}

// reportCrash reports the fingerprint of j together with those of the other
// requests that ended with the same process, and returns when the report has
// been answered or its time is over.
func (a *agent) reportCrash(ctx context.Context, j *job) {
	if len(j.req.GetFingerprint()) == 0 {
		return
	}
	a.mu.Lock()
	c, ok := a.crashes[j.boot]
	if !ok {
		if len(a.crashes) >= crashesKept {
			clear(a.crashes)
		}
		c = &crash{boot: j.boot}
		a.crashes[j.boot] = c
	}
	if len(c.pending) == 0 {
		c.report = make(chan struct{})
		done := c.report
		a.bg.Go(func() {
			defer close(done)
			a.sendCrash(ctx, c)
		})
	}
	a.marked[string(j.req.GetFingerprint())] = mark{math.MaxUint64, time.Now().Add(markLife)}
	same := func(fp []byte) bool { return slices.Equal(fp, j.req.GetFingerprint()) }
	if !slices.ContainsFunc(c.pending, same) {
		c.pending = append(c.pending, j.req.GetFingerprint())
	}
	done := c.report
	a.mu.Unlock()
	<-done
}

func (a *agent) sendCrash(ctx context.Context, c *crash) {
	time.Sleep(crashGather)
	a.mu.Lock()
	fps := c.pending
	c.pending = nil
	a.mu.Unlock()
	a.log.Error().Str("event", "crash").Str("boot", c.boot).Int("running", len(fps)).Msg("")
	a.scope.Counter("crashes").Inc(1)
	first, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashReport)
	defer cancel()
	if a.tellCrash(first, c.boot, fps) {
		return
	}
	// The entry instance that had the requests may end before it reaches control.
	a.bg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, markLife)
		defer cancel()
		a.tellCrash(ctx, c.boot, fps)
	})
}

// tellCrash reports to control until it answers or ctx ends, and reports whether it
// answered.
func (a *agent) tellCrash(ctx context.Context, boot string, fps [][]byte) bool {
	var reply *wire.CrashReply
	err := a.leader.Call(ctx, func(ctx context.Context, cl wire.DRPCControlClient) (err error) {
		reply, err = cl.ReportCrash(ctx, &wire.CrashReport{
			Protocol: link.Protocol, Target: a.set.Agent.Target, BootId: boot, Fingerprints: fps,
		})
		return err
	})
	if err != nil {
		a.log.Error().Str("event", "crashUnreported").Str("boot", boot).Err(err).Msg("")
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, fp := range fps {
		if reply.GetSuspectsVersion() <= a.suspectsVersion {
			delete(a.marked, string(fp))
		} else if m, ok := a.marked[string(fp)]; ok {
			a.marked[string(fp)] = mark{reply.GetSuspectsVersion(), m.until}
		}
	}
	return true
}

// holdCopies refuses copies of j until the returned function is called.
func (a *agent) holdCopies(j *job) func() {
	fp := string(j.req.GetFingerprint())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unclear[fp]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.unclear[fp]--; a.unclear[fp] == 0 {
			delete(a.unclear, fp)
		}
	}
}

// refuseSuspect refuses a blocked request, and a suspect that is not to run alone.
// It is called with mu held, before the request is queued and again before it
// starts: a copy may have crashed the target meanwhile.
func (a *agent) refuseSuspect(now time.Time, req *wire.RunRequest) *wire.End {
	fp := string(req.GetFingerprint())
	if fp == "" {
		return nil
	}
	v, ok := a.judged[fp]
	ruled := ok && (v.until.IsZero() || now.Before(v.until))
	if ruled && v.verdict == wire.Verdict_VERDICT_BLOCKED {
		return refusal(wire.Reason_REASON_BLOCKED, "request has crashed two targets", time.Until(v.until))
	}
	if req.GetAlone() {
		return nil
	}
	if ruled && v.verdict == wire.Verdict_VERDICT_SUSPECT || a.unclear[fp] > 0 || now.Before(a.marked[fp].until) {
		return refusal(wire.Reason_REASON_BUSY, "request was beside a crash and must run alone", 0)
	}
	return nil
}

// runningSuspects returns the suspects that run here though not alone. It is
// called with mu held; with the list of suspects held, none of them starts any more.
func (a *agent) runningSuspects() [][]byte {
	var out [][]byte
	for _, j := range a.jobs {
		fp := j.req.GetFingerprint()
		if _, ok := a.judged[string(fp)]; ok && !j.started.IsZero() && !j.req.GetAlone() {
			out = append(out, fp)
		}
	}
	return out
}

// errReclaimed is the cause of a cancellation in favour of the owner.
var errReclaimed = errors.New("borrowed slot was taken back for the owner")
