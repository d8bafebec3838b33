package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// Guards against running a non-idempotent request twice (guarantee 5 in
// docs/proofs.md). Entry instances claim with new attempts, messages are lost,
// duplicated and delayed, operators change the retention, time jumps and replicas
// restore snapshots. As the rules require, an attempt runs its request only after it
// has received a grant, and never after it has settled not-run, even if a late claim
// of it is granted.
func TestRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		type attempt struct {
			claim        *wire.ClaimRequest
			granted      bool
			gaveUp, runs bool
		}
		issued := make(map[string]int64)
		runs := make(map[string]int)
		var attempts []*attempt
		var network []*wire.Command
		pick := func(t *rapid.T) *attempt {
			if len(attempts) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(attempts).Draw(t, "attempt")
		}
		settle := func(a *attempt, outcome wire.SettleOutcome) {
			cmd := &wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleRequest{
				Key: a.claim.GetKey(), Attempt: a.claim.GetAttempt(), Outcome: outcome,
			}}}
			network = append(network, cmd)
		}
		t.Repeat(map[string]func(*rapid.T){
			"attempt": func(t *rapid.T) {
				key := drawName("k", 2).Draw(t, "key")
				if issued[key] == 0 {
					issued[key] = d.at.UnixMilli()
				}
				attempts = append(attempts, &attempt{claim: &wire.ClaimRequest{
					Key: key, Digest: digest32(1), IssuedUnixMillis: issued[key], Attempt: fmt.Append(nil, len(attempts)),
				}})
			},
			"claim": func(t *rapid.T) {
				a := pick(t)
				got := d.claim(a.claim)
				if rapid.Bool().Draw(t, "answered") {
					a.granted = got == wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED
				}
				network = append(network, &wire.Command{Body: &wire.Command_Claim{Claim: a.claim}})
			},
			"run": func(t *rapid.T) {
				a := pick(t)
				if !a.granted || a.gaveUp || a.runs {
					t.Skip()
				}
				a.runs = true
				runs[a.claim.GetKey()]++
			},
			"settleRun": func(t *rapid.T) {
				if a := pick(t); a.runs {
					settle(a, rapid.SampledFrom([]wire.SettleOutcome{
						wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED, wire.SettleOutcome_SETTLE_OUTCOME_UNKNOWN,
					}).Draw(t, "outcome"))
				}
			},
			"notRun": func(t *rapid.T) {
				if a := pick(t); !a.runs {
					settle(a, wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN)
					a.gaveUp = true
				}
			},
			"deliver": func(t *rapid.T) {
				if len(network) == 0 {
					t.Skip()
				}
				d.apply(rapid.SampledFrom(network).Draw(t, "message"))
			},
			"retention": func(t *rapid.T) {
				hours := rapid.IntRange(1, 3).Draw(t, "hours")
				v := d.m.Config().GetVersion()
				d.publish(&wire.PublishRequest{
					PublicationId: fmt.Append(nil, "p", v, hours), BaseVersion: v, Config: testConfig(time.Duration(hours) * time.Hour),
				})
			},
			"pass":    d.advanceTime,
			"sweep":   func(*rapid.T) { d.sweep() },
			"restart": d.restart,
			"": func(t *rapid.T) {
				for key, n := range runs {
					assert.Assert(t, n <= 1, "%s ran %d times", key, n)
				}
			},
		})
	})
}

// Guards against wrong replies to later claims of a key. In each case attempt a has
// held the claim since the epoch.
func TestClaimAnswers(t *testing.T) {
	const (
		granted   = wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED
		running   = wire.ClaimOutcome_CLAIM_OUTCOME_RUNNING
		completed = wire.ClaimOutcome_CLAIM_OUTCOME_COMPLETED
		mismatch  = wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH
		expired   = wire.ClaimOutcome_CLAIM_OUTCOME_EXPIRED
		unknown   = wire.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
		done      = wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED
		notRun    = wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN
		lost      = wire.SettleOutcome_SETTLE_OUTCOME_UNKNOWN
	)
	cases := []struct {
		name    string
		settle  wire.SettleOutcome
		by      string
		after   time.Duration
		attempt string
		digest  byte
		issued  time.Duration
		want    wire.ClaimOutcome
	}{
		{name: "resend", attempt: "a", digest: 1, want: granted},
		{name: "second caller", attempt: "b", digest: 1, want: running},
		{name: "other body", attempt: "b", digest: 2, want: mismatch},
		{name: "completed", settle: done, by: "a", attempt: "b", digest: 1, want: completed},
		{name: "own completed", settle: done, by: "a", attempt: "a", digest: 1, want: completed},
		{name: "settle of another attempt", settle: notRun, by: "b", attempt: "b", digest: 1, want: running},
		{name: "released", settle: notRun, by: "a", attempt: "b", digest: 1, want: granted},
		{name: "released, late duplicate", settle: notRun, by: "a", attempt: "a", digest: 1, want: running},
		{name: "unknown", settle: lost, by: "a", attempt: "b", digest: 1, want: unknown},
		{name: "unsettled before the timeout", after: runningTimeout - time.Millisecond, attempt: "b", digest: 1, want: running},
		{name: "unsettled at the timeout", after: runningTimeout, attempt: "b", digest: 1, want: unknown},
		{name: "not run at the timeout", after: runningTimeout, settle: notRun, by: "a", attempt: "b", digest: 1, want: unknown},
		{name: "completed at the timeout", after: runningTimeout, settle: done, by: "a", attempt: "b", digest: 1, want: completed},
		{name: "retention ends", after: time.Hour, attempt: "b", digest: 1, want: expired},
		{name: "completed just before retention ends", after: time.Hour - time.Millisecond, settle: done, by: "a", attempt: "b", digest: 1, want: completed},
		{name: "future", attempt: "b", digest: 1, issued: maxClockSkew + time.Millisecond, want: expired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver()
			req := &wire.ClaimRequest{Key: "k", Digest: digest32(1), Attempt: []byte("a"), IssuedUnixMillis: d.at.UnixMilli()}
			assert.Equal(t, d.claim(req), granted)
			d.at = d.at.Add(c.after)
			if c.by != "" {
				d.settle(&wire.SettleRequest{Key: "k", Attempt: []byte(c.by), Outcome: c.settle})
			}
			req = &wire.ClaimRequest{
				Key: "k", Digest: digest32(c.digest), Attempt: []byte(c.attempt),
				IssuedUnixMillis: epoch.Add(c.issued).UnixMilli(),
			}
			assert.Equal(t, d.claim(req), c.want)
		})
	}
}

// Guards against an outcome without an attempt that a released claim, which has no holder,
// takes for its own and gives to later callers.
func TestReleasedClaimTakesNoOutcome(t *testing.T) {
	d := newDriver()
	req := &wire.ClaimRequest{Key: "k", Digest: digest32(1), Attempt: []byte("a"), IssuedUnixMillis: d.at.UnixMilli()}
	assert.Equal(t, d.claim(req), wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED)
	assert.Assert(t, d.settle(&wire.SettleRequest{Key: "k", Attempt: []byte("a"), Outcome: wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN}))
	assert.Assert(t, !d.settle(&wire.SettleRequest{Key: "k", Outcome: wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED}))
	req.Attempt = []byte("b")
	assert.Equal(t, d.claim(req), wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED)
}

// Guards against a retry that has a later issue time than the claim and runs again
// after the claim has expired.
func TestLaterIssueTimeExtendsTheClaim(t *testing.T) {
	d := newDriver()
	req := &wire.ClaimRequest{Key: "k", Digest: digest32(1), Attempt: []byte("a"), IssuedUnixMillis: d.at.UnixMilli()}
	d.claim(req)
	d.at = d.at.Add(50 * time.Minute)
	later := proto.CloneOf(req)
	later.Attempt, later.IssuedUnixMillis = []byte("b"), d.at.UnixMilli()
	assert.Equal(t, d.claim(later), wire.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN)
	d.at = d.at.Add(50 * time.Minute)
	d.sweep()
	assert.Equal(t, d.claim(later), wire.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN)
}

// Guards against stored responses that are cut, altered or above the size limit, and
// against claims that are never removed.
func TestStoredAnswersAndExpiry(t *testing.T) {
	d := newDriver()
	for i, size := range []int{MaxAnswerBytes, MaxAnswerBytes + 1} {
		key := fmt.Sprint("k", i)
		req := &wire.ClaimRequest{Key: key, Digest: digest32(1), Attempt: []byte("a"), IssuedUnixMillis: d.at.UnixMilli() + int64(i)}
		d.claim(req)
		body := bytes.Repeat([]byte("x"), size)
		assert.Assert(t, d.settle(&wire.SettleRequest{
			Key: key, Attempt: []byte("a"), Outcome: wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED,
			Answer: &wire.StoredAnswer{Status: 201, ContentType: "text/plain", Body: body},
		}))
		got := d.apply(&wire.Command{Body: &wire.Command_Claim{Claim: req}}).GetClaim().GetAnswer()
		assert.Equal(t, got.GetStatus(), uint32(201))
		assert.Equal(t, got.GetTruncated(), size > MaxAnswerBytes)
		if !got.GetTruncated() {
			assert.DeepEqual(t, got.GetBody(), body)
		}
	}
	assert.Assert(t, !d.m.SweepDue(d.at))
	assert.Assert(t, d.m.SweepDue(d.at.Add(time.Hour)))
	d.at = d.at.Add(time.Hour)
	d.sweep()
	assert.Equal(t, d.m.Claims(), 1)
	d.at = d.at.Add(time.Millisecond)
	d.sweep()
	assert.Equal(t, d.m.Claims(), 0)
	assert.Equal(t, d.m.claims.answerBytes, 0)
}

// BenchmarkClaims measures applying the claim and settle of one request, and taking a
// snapshot with 100,000 claims.
func BenchmarkClaims(b *testing.B) {
	request := func(i int) (claim, settle []byte) {
		key := fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i)
		claim, _ = proto.Marshal(&wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
			Protocol: 1, Key: key, Digest: digest32(1), Attempt: digest32(2)[:16], IssuedUnixMillis: epoch.UnixMilli(), Entry: "entry-1",
		}}})
		settle, _ = proto.Marshal(&wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleRequest{
			Protocol: 1, Key: key, Attempt: digest32(2)[:16], Outcome: wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED,
			Answer: &wire.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, 100)},
		}}})
		return claim, settle
	}
	b.Run("claimAndSettle", func(b *testing.B) {
		m := New()
		for i := range b.N {
			claim, settle := request(i)
			m.Apply(1, epoch, claim)
			m.Apply(1, epoch, settle)
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		m := New()
		for i := range 100_000 {
			claim, settle := request(i)
			m.Apply(1, epoch, claim)
			m.Apply(1, epoch, settle)
		}
		b.ResetTimer()
		for range b.N {
			data, err := m.Snapshot()
			assert.NilError(b, err)
			b.SetBytes(int64(len(data)))
			b.ReportMetric(float64(len(data))/100_000, "B/claim")
		}
	})
}
