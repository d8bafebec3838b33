package entry

import (
	"context"
	"net/http"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// claimReleaseWait bounds how long a rejection is delayed until its claim is released,
// so that the next try of the caller finds the key free.
const claimReleaseWait = 2 * time.Second

// acquireClaim acquires the claim of a non-idempotent request. It returns nil and nil
// if the request may be dispatched, and the stored response if it has completed before.
func (s *server) acquireClaim(ctx context.Context, c *clientRequest) (*wire.StoredAnswer, *failure) {
	limit := min(s.cfg.ControlTimeout, time.Until(c.deadline))
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req := &wire.ClaimRequest{
		Protocol: link.Protocol, Key: c.claimKey, Digest: c.digest(),
		IssuedUnixMillis: c.issuedAt.UnixMilli(), Attempt: c.claimAttempt, Entry: s.name,
	}
	var reply *wire.ClaimReply
	err := s.leader.Call(callCtx, func(ctx context.Context, cl wire.DRPCControlClient) (err error) {
		reply, err = cl.Claim(ctx, req)
		return err
	})
	if err != nil {
		// Control may have granted the claim although the reply was lost. Claiming
		// again with the same attempt before settling ensures that the release is
		// ordered after the grant.
		s.callControlInBackground("releaseClaim", backgroundTimeout, func(ctx context.Context, cl wire.DRPCControlClient) error {
			again, err := cl.Claim(ctx, req)
			if err != nil || again.GetOutcome() != wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
				return err
			}
			return settleNotRun(ctx, cl, c)
		})
		return nil, reject(http.StatusServiceUnavailable, "noControl",
			"the request could not be claimed").withRetryAfter(defaultRetryAfter).withCause(err)
	}
	return claimResult(reply)
}

// claimResult converts the reply to a Claim call into a stored response or an error.
func claimResult(reply *wire.ClaimReply) (*wire.StoredAnswer, *failure) {
	conflict := func(code, outcome, message string) *failure {
		return &failure{status: http.StatusConflict, code: code, outcome: outcome, message: message}
	}
	switch reply.GetOutcome() {
	case wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		return nil, nil
	case wire.ClaimOutcome_CLAIM_OUTCOME_RUNNING:
		return nil, conflict("running", outcomeUnknown, "a request with this key is running").withRetryAfter(defaultRetryAfter)
	case wire.ClaimOutcome_CLAIM_OUTCOME_COMPLETED:
		if a := reply.GetAnswer(); a != nil && !a.GetTruncated() {
			return a, nil
		}
		return nil, conflict("answerNotKept", outcomeCompleted, "the request has completed; its answer was not kept")
	case wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:
		return nil, reject(http.StatusUnprocessableEntity, "keyReused", "another request was sent with this key")
	case wire.ClaimOutcome_CLAIM_OUTCOME_EXPIRED:
		return nil, conflict("expired", outcomeUnknown,
			"Bulrush-Issued is older than claims are kept, or in the future; whether the request ran is not known")
	}
	return nil, conflict("unknown", outcomeUnknown, "a request with this key was sent; whether it ran is not known")
}

func settleNotRun(ctx context.Context, cl wire.DRPCControlClient, c *clientRequest) error {
	_, err := cl.Settle(ctx, &wire.SettleRequest{
		Protocol: link.Protocol, Key: c.claimKey, Attempt: c.claimAttempt,
		Outcome: wire.SettleOutcome_SETTLE_OUTCOME_NOT_RUN,
	})
	return err
}

// releaseClaim releases the claim of a request that was certainly not run. It waits for
// at most claimReleaseWait; after that the release continues in the background.
func (s *server) releaseClaim(c *clientRequest) {
	done := s.callControlInBackground("settle", backgroundTimeout, func(ctx context.Context, cl wire.DRPCControlClient) error {
		return settleNotRun(ctx, cl, c)
	})
	select {
	case <-done:
	case <-time.After(claimReleaseWait):
	}
}
