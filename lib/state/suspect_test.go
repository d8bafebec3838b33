package state

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// Guards against a fingerprint that is not blocked after its second crash and so could
// crash a third target, two valid permits at the same time, and several reports of one
// crash that count more than once.
func TestSuspectsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		type fingerprint struct {
			suspect      bool
			blockedUntil time.Time
			holder       string
			lease        time.Time
		}
		known := map[string]*fingerprint{"f1": {}, "f2": {}}
		counted := make(map[string]bool)
		anyFingerprint := drawName("f", 2)
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				r := &wire.CrashReport{Target: drawName("t", 2).Draw(t, "target"), BootId: drawName("b", 3).Draw(t, "boot")}
				for _, f := range []string{"f1", "f2"} {
					o := known[f]
					if !rapid.Bool().Draw(t, "ran") {
						continue
					}
					r.Fingerprints = append(r.Fingerprints, []byte(f), []byte(f))
					id := fmt.Sprint(r.GetTarget(), r.GetBootId(), f)
					if counted[id] {
						continue
					}
					counted[id] = true
					if o.suspect {
						o.blockedUntil, o.holder = d.at.Add(time.Hour), ""
					}
					o.suspect = true
				}
				d.crash(r)
			},
			"ask": func(t *rapid.T) {
				f, attempt := anyFingerprint.Draw(t, "fingerprint"), drawName("a", 3).Draw(t, "attempt")
				got := d.judge(&wire.JudgeRequest{Fingerprint: []byte(f), Attempt: []byte(attempt)})
				o := known[f]
				if o.suspect && !d.at.Before(o.blockedUntil) && (o.holder == "" || !d.at.Before(o.lease)) {
					o.holder, o.lease = attempt, d.at.Add(10*time.Minute)
				}
				assert.Equal(t, got.GetPermit(), o.holder == attempt && o.suspect)
			},
			"done": func(t *rapid.T) {
				f, attempt := anyFingerprint.Draw(t, "fingerprint"), drawName("a", 3).Draw(t, "attempt")
				completed := rapid.Bool().Draw(t, "completed")
				d.judge(&wire.JudgeRequest{Fingerprint: []byte(f), Attempt: []byte(attempt), Done: true, Completed: completed})
				o := known[f]
				if o.holder != attempt || d.at.Before(o.blockedUntil) {
					return
				}
				o.holder = ""
				if completed {
					*o = fingerprint{}
				}
			},
			// Stays below the 24 hours after which crashes and suspects are removed.
			"pass": func(t *rapid.T) {
				if d.at.Sub(epoch) < 20*time.Hour {
					d.at = d.at.Add(rapid.SampledFrom([]time.Duration{time.Second, 11 * time.Minute, time.Hour}).Draw(t, "pass"))
				}
			},
			"sweep":   func(*rapid.T) { d.sweep() },
			"restart": d.restart,
			"": func(t *rapid.T) {
				listed := make(map[string]wire.Verdict)
				for _, s := range d.m.Suspects() {
					listed[string(s.GetFingerprint())] = s.GetVerdict()
				}
				for f, o := range known {
					want := wire.Verdict_VERDICT_CLEAR
					switch {
					case d.at.Before(o.blockedUntil):
						want = wire.Verdict_VERDICT_BLOCKED
					case o.suspect:
						want = wire.Verdict_VERDICT_SUSPECT
					}
					got := d.judge(&wire.JudgeRequest{Fingerprint: []byte(f)})
					assert.Equal(t, got.GetVerdict(), want)
					_, isListed := listed[f]
					assert.Equal(t, isListed, o.suspect)
				}
			},
		})
	})
}

// Guards against suspects and crashes that are kept forever, and against an unbounded
// suspect list.
func TestSuspectsAreBounded(t *testing.T) {
	d := newDriver()
	for i := range maxSuspects + 5 {
		d.at = d.at.Add(time.Millisecond)
		d.crash(&wire.CrashReport{Target: "t", BootId: fmt.Sprint(i), Fingerprints: [][]byte{fmt.Append(nil, i)}})
	}
	assert.Equal(t, len(d.m.Suspects()), maxSuspects)
	oldest := d.judge(&wire.JudgeRequest{Fingerprint: []byte("0")})
	assert.Equal(t, oldest.GetVerdict(), wire.Verdict_VERDICT_CLEAR)
	version := d.m.SuspectsVersion()
	d.at = d.at.Add(suspectRetention)
	assert.Assert(t, d.m.SweepDue(d.at))
	d.sweep()
	assert.Equal(t, len(d.m.Suspects())+len(d.m.suspects.crashes), 0)
	assert.Assert(t, d.m.SuspectsVersion() > version)
}
