package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// Guards against different requests that share a fingerprint because the boundary
// between their parts, or their number, is not encoded.
func TestFingerprintSeparatesParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringMatching("[ab]{0,3}")
		names := rapid.SliceOfN(part, 0, 3)
		a, b := names.Draw(t, "names"), names.Draw(t, "otherNames")
		x, y := part.Draw(t, "body"), part.Draw(t, "otherBody")
		same := FingerprintOf([]byte(x), a...) == FingerprintOf([]byte(y), b...)
		assert.Equal(t, same, slices.Equal(a, b) && x == y)
	})
}

// Guards against counts that are lost in a rolling update: instances of earlier builds report requests without
// a customer under the same fingerprints.
func TestFingerprintOfEarlierBuilds(t *testing.T) {
	assert.Equal(t, fmt.Sprintf("%x", FingerprintOf([]byte("body"), "a.example POST /once/x", "/")), "abab47851675fe5d681573841d860371")
}

// Guards against a suspect or blocked request that runs beside others, an old list
// that replaces a newer one, and a cleared request that remains a suspect.
func TestBookAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cache SuspectCache
		now := time.Unix(1_800_000_000, 0)
		listed, until := map[Fingerprint]wire.Verdict{}, map[Fingerprint]time.Time{}
		crashUntil, version := map[Fingerprint]time.Time{}, uint64(0)
		unreported := map[Fingerprint]int{}
		fp := func() Fingerprint { return Fingerprint{byte(rapid.IntRange(0, 3).Draw(t, "fingerprint"))} }
		wantVerdict := func(f Fingerprint) wire.Verdict {
			switch {
			case listed[f] != 0 && now.Before(until[f]):
				return listed[f]
			case now.Before(crashUntil[f]):
				return wire.Verdict_VERDICT_SUSPECT
			}
			return wire.Verdict_VERDICT_CLEAR
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(*rapid.T) {
				v := rapid.Uint64Range(0, 8).Draw(t, "version")
				var list []*wire.Suspect
				if v > version {
					clear(listed)
				}
				for range rapid.IntRange(0, 3).Draw(t, "n") {
					f, end := fp(), now.Add(time.Minute)
					verdict := rapid.SampledFrom([]wire.Verdict{
						wire.Verdict_VERDICT_SUSPECT, wire.Verdict_VERDICT_BLOCKED,
					}).Draw(t, "verdict")
					list = append(list, &wire.Suspect{Fingerprint: f[:], Verdict: verdict, UntilUnixMillis: end.UnixMilli()})
					if v > version {
						listed[f], until[f] = verdict, end
					}
				}
				version = max(version, v)
				cache.Replace(v, list)
			},
			"witness": func(*rapid.T) {
				f, reported := fp(), rapid.Bool().Draw(t, "told")
				cache.RecordCrash(f, reported, now)
				crashUntil[f] = now.Add(LocalSuspectPeriod)
				if !reported {
					unreported[f]++
				}
				for f, until := range crashUntil {
					if !now.Before(until) {
						delete(crashUntil, f)
						delete(unreported, f)
					}
				}
			},
			"reported": func(*rapid.T) { f := fp(); cache.CrashReported(f); unreported[f] = max(unreported[f]-1, 0) },
			"clear": func(*rapid.T) {
				f := fp()
				act := cache.AfterVerdict(f, wire.Verdict_VERDICT_CLEAR, false)
				if unreported[f] > 0 {
					assert.Equal(t, act, ActionWait)
					return
				}
				assert.Equal(t, act, ActionRun)
				delete(crashUntil, f)
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "s")) * time.Second)
			},
			"gate": func(*rapid.T) {
				f, lost := fp(), rapid.Bool().Draw(t, "lost")
				want := ActionRun
				switch wantVerdict(f) {
				case wire.Verdict_VERDICT_BLOCKED:
					want = ActionRefuse
				case wire.Verdict_VERDICT_SUSPECT:
					want = ActionJudge
				default:
					if lost {
						want = ActionJudge
					}
				}
				assert.Equal(t, cache.BeforeDispatch(f, lost, now), want)
				assert.Equal(t, cache.Suspect(f, now), wantVerdict(f) != wire.Verdict_VERDICT_CLEAR)
				act := cache.WithoutControl(f, now)
				assert.Assert(t, act != ActionRun && act != ActionAlone)
			},
		})
	})
	var cache SuspectCache
	assert.Equal(t, cache.AfterVerdict(Fingerprint{}, wire.Verdict_VERDICT_SUSPECT, true), ActionAlone)
	assert.Equal(t, cache.AfterVerdict(Fingerprint{}, wire.Verdict_VERDICT_SUSPECT, false), ActionWait)
	assert.Equal(t, cache.AfterVerdict(Fingerprint{}, wire.Verdict_VERDICT_BLOCKED, true), ActionRefuse)
}
