package state

import (
	"bytes"
	"cmp"
	"container/heap"
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

const (
	maxKeyBytes         = 256
	maxAttemptBytes     = 64
	maxContentTypeBytes = 256
	// MaxAnswerBytes is the size of the largest response body that is stored to
	// answer duplicates.
	MaxAnswerBytes = 4 << 10
	// maxTotalAnswerBytes bounds the total size of the stored response bodies, so that
	// snapshots stay small. A claim that completes beyond it is kept without a body.
	maxTotalAnswerBytes = 64 << 20
	// maxRetention limits the retention that a configuration may set, and thereby
	// the memory that claims occupy.
	maxRetention = 24 * time.Hour
	// maxClockSkew is how far a caller's clock may be ahead.
	maxClockSkew = time.Minute
	// runningTimeout is the time after its grant at which an unsettled claim becomes
	// unknown.
	runningTimeout = 10 * time.Minute
	// maxReleasedAttempts bounds the released attempts that are kept per claim. A late
	// duplicate of a message arrives long before that many further attempts are made.
	maxReleasedAttempts = 8
)

// claim is a claim record with its position in the expiry heap.
type claim struct {
	rec       *wire.ClaimRecord
	heapIndex int
}

// claimTable holds the claims of non-idempotent requests.
type claimTable struct {
	// floor is the issue time, in Unix milliseconds, up to which claims have expired.
	// It never decreases: if the retention is raised, requests whose claims have
	// already been removed must not become valid again.
	floor       int64
	byKey       map[string]*claim
	expiry      claimHeap
	answerBytes int
}

// Claims returns the number of stored claims.
func (m *Machine) Claims() int { return len(m.claims.byKey) }

func (t *claimTable) advanceFloor(now int64, retention time.Duration) {
	t.floor = max(t.floor, now-retention.Milliseconds())
}

// claim decides whether an attempt may run its request. An attempt that has sent a
// settle with the outcome not-run must never dispatch again, even if a later claim
// of it is granted: that settle may arrive late and release the claim.
func (t *claimTable) claim(now int64, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if err := checkBytes("key", []byte(req.GetKey()), maxKeyBytes); err != nil {
		return nil, err
	}
	if err := checkBytes("attempt", req.GetAttempt(), maxAttemptBytes); err != nil {
		return nil, err
	}
	if len(req.GetDigest()) != sha256.Size {
		return nil, fmt.Errorf("digest has %d bytes, want %d", len(req.GetDigest()), sha256.Size)
	}
	issued := req.GetIssuedUnixMillis()
	if issued <= t.floor || issued > now+maxClockSkew.Milliseconds() {
		return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_EXPIRED}, nil
	}
	c, ok := t.byKey[req.GetKey()]
	if ok && c.rec.GetIssuedUnixMillis() <= t.floor {
		// The claim has expired, but has not been swept yet.
		t.remove(c)
		ok = false
	}
	if !ok {
		c = &claim{rec: &wire.ClaimRecord{Key: req.GetKey(), Digest: req.GetDigest(), IssuedUnixMillis: issued}}
		t.byKey[req.GetKey()] = c
		heap.Push(&t.expiry, c)
		return c.grant(now, req.GetAttempt()), nil
	}
	if !bytes.Equal(c.rec.GetDigest(), req.GetDigest()) {
		return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH}, nil
	}
	if issued > c.rec.GetIssuedUnixMillis() {
		// Otherwise a retry with a later issue time could outlive the claim and run
		// again.
		c.rec.IssuedUnixMillis = issued
		heap.Fix(&t.expiry, c.heapIndex)
	}
	return c.reply(now, req.GetAttempt()), nil
}

func (c *claim) grant(now int64, attempt []byte) *wire.ClaimReply {
	c.rec.State = wire.ClaimState_CLAIM_STATE_RUNNING
	c.rec.Attempt, c.rec.GrantedUnixMillis = attempt, now
	return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED}
}

// reply returns the reply for an existing claim with an equal digest.
func (c *claim) reply(now int64, attempt []byte) *wire.ClaimReply {
	c.expireRunning(now)
	switch c.rec.GetState() {
	case wire.ClaimState_CLAIM_STATE_COMPLETED:
		return &wire.ClaimReply{
			Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_COMPLETED,
			Answer:  proto.CloneOf(c.rec.GetAnswer()),
		}
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN}
	case wire.ClaimState_CLAIM_STATE_RELEASED:
		if !c.hasReleased(attempt) {
			return c.grant(now, attempt)
		}
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		if bytes.Equal(c.rec.GetAttempt(), attempt) {
			return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED}
		}
	}
	return &wire.ClaimReply{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_RUNNING}
}

// expireRunning changes the state of a running claim to unknown if its holder has not
// settled it in time.
func (c *claim) expireRunning(now int64) {
	if c.rec.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING &&
		now >= c.rec.GetGrantedUnixMillis()+runningTimeout.Milliseconds() {
		c.rec.State = wire.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

// hasReleased reports whether attempt has released the claim. A late duplicate of
// its claim or settle message must not acquire or release the claim again.
func (c *claim) hasReleased(attempt []byte) bool {
	return slices.ContainsFunc(c.rec.GetReleased(), func(a []byte) bool { return bytes.Equal(a, attempt) })
}

func (t *claimTable) settle(now int64, req *wire.SettleRequest) (*wire.SettleReply, error) {
	switch req.GetOutcome() {
	case wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED, wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN,
		wire.SettleOutcome_SETTLE_OUTCOME_UNKNOWN:
	default:
		return nil, fmt.Errorf("settle has outcome %d", req.GetOutcome())
	}
	c, ok := t.byKey[req.GetKey()]
	if !ok {
		return &wire.SettleReply{}, nil
	}
	notRun := req.GetOutcome() == wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN
	if notRun && c.hasReleased(req.GetAttempt()) {
		return &wire.SettleReply{Accepted: true}, nil
	}
	// A released claim has no holder, and an empty attempt.
	if len(req.GetAttempt()) == 0 || !bytes.Equal(c.rec.GetAttempt(), req.GetAttempt()) {
		return &wire.SettleReply{}, nil
	}
	c.expireRunning(now)
	return &wire.SettleReply{Accepted: t.settleByHolder(c, req)}, nil
}

// settleByHolder applies a settle by the attempt that holds the claim. Completion is
// accepted in every state but released, in which a claim has no holder. Not-run is
// accepted only while the claim is running, because a caller may already have been
// told that the outcome is unknown.
func (t *claimTable) settleByHolder(c *claim, req *wire.SettleRequest) bool {
	state := c.rec.GetState()
	switch req.GetOutcome() {
	case wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED:
		if state != wire.ClaimState_CLAIM_STATE_COMPLETED {
			c.rec.State = wire.ClaimState_CLAIM_STATE_COMPLETED
			c.rec.Answer = t.trimAnswer(req.GetAnswer())
		}
		return true
	case wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN:
		if state != wire.ClaimState_CLAIM_STATE_RUNNING {
			return false
		}
		c.rec.State = wire.ClaimState_CLAIM_STATE_RELEASED
		c.rec.Attempt = nil
		c.rec.Released = appendBounded(c.rec.GetReleased(), req.GetAttempt(), maxReleasedAttempts)
		return true
	default:
		if state == wire.ClaimState_CLAIM_STATE_COMPLETED {
			return false
		}
		c.rec.State = wire.ClaimState_CLAIM_STATE_UNKNOWN
		return true
	}
}

// trimAnswer returns the part of an answer that is stored. A body above the size limits
// is omitted, and the answer is marked as truncated.
func (t *claimTable) trimAnswer(a *wire.StoredAnswer) *wire.StoredAnswer {
	if a == nil {
		return nil
	}
	stored := &wire.StoredAnswer{Status: a.GetStatus(), Truncated: a.GetTruncated()}
	if len(a.GetContentType()) <= maxContentTypeBytes {
		stored.ContentType = a.GetContentType()
	}
	if n := len(a.GetBody()); n > MaxAnswerBytes || t.answerBytes+n > maxTotalAnswerBytes {
		stored.Truncated = true
	} else if !stored.Truncated {
		stored.Body = a.GetBody()
	}
	t.answerBytes += len(stored.GetBody())
	return stored
}

func (t *claimTable) remove(c *claim) {
	heap.Remove(&t.expiry, c.heapIndex)
	delete(t.byKey, c.rec.GetKey())
	t.answerBytes -= len(c.rec.GetAnswer().GetBody())
}

func (t *claimTable) due(floor int64) bool {
	return len(t.expiry) > 0 && t.expiry[0].rec.GetIssuedUnixMillis() <= max(floor, t.floor)
}

// sweep removes up to limit expired claims, earliest issue time first, and reports
// whether more remain.
func (t *claimTable) sweep(limit int) (removed int, more bool) {
	for ; t.due(t.floor); removed++ {
		if removed == limit {
			return removed, true
		}
		t.remove(t.expiry[0])
	}
	return removed, false
}

func (t *claimTable) save(s *wire.StateSnapshot) {
	s.ClaimFloorUnixMillis = t.floor
	s.Claims = make([]*wire.ClaimRecord, 0, len(t.byKey))
	for _, c := range t.byKey {
		s.Claims = append(s.Claims, c.rec)
	}
	slices.SortFunc(s.Claims, func(a, b *wire.ClaimRecord) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
}

func (t *claimTable) load(s *wire.StateSnapshot) {
	*t = claimTable{floor: s.GetClaimFloorUnixMillis(), byKey: make(map[string]*claim, len(s.GetClaims()))}
	for _, rec := range s.GetClaims() {
		c := &claim{rec: rec}
		t.byKey[rec.GetKey()] = c
		heap.Push(&t.expiry, c)
		t.answerBytes += len(rec.GetAnswer().GetBody())
	}
}

// claimHeap orders claims by issue time, then key, so that a sweep with a limit
// removes the same claims on every replica.
type claimHeap []*claim

// Len implements heap.Interface.
func (h claimHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h claimHeap) Less(i, j int) bool {
	a, b := h[i].rec, h[j].rec
	return cmp.Or(cmp.Compare(a.GetIssuedUnixMillis(), b.GetIssuedUnixMillis()),
		cmp.Compare(a.GetKey(), b.GetKey())) < 0
}

// Swap implements heap.Interface.
func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
