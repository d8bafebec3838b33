package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
	// maxStoredBody is the largest response body that control stores, in bytes.
	maxStoredBody = 4 << 10
	// maxSettleDelay is how long the end record is delayed for the settlement.
	maxSettleDelay = 5 * time.Second
	// settleTimeout bounds the settlement, which continues in the background.
	settleTimeout = time.Minute
	// maxBufferedBody is how much of a claimed response is buffered until it is settled,
	// in bytes, so that a stalled entry instance does not delay the settlement.
	maxBufferedBody = 1 << 20
	readBufferSize  = 32 << 10
)

// targetResponse is a complete response of the target.
type targetResponse struct {
	status      int
	contentType string
	body        []byte
	// truncated is set if body is only a part of the response.
	truncated bool
}

// settle records the outcome of a claimed request at control. It returns when control
// has replied, or after maxSettleDelay while the settlement continues in the background.
func (a *agent) settle(j *job, outcome wire.SettleOutcome, resp *targetResponse) {
	if !j.claimed() {
		return
	}
	req := &wire.SettleRequest{
		Protocol: link.Protocol, Key: j.req.GetClaimKey(), Attempt: j.req.GetClaimAttempt(), Outcome: outcome,
	}
	if resp != nil {
		req.Answer = &wire.StoredAnswer{Status: uint32(resp.status), ContentType: resp.contentType, Body: resp.body}
		if resp.truncated || len(resp.body) > maxStoredBody {
			req.Answer.Body, req.Answer.Truncated = nil, true
		}
	}
	done := make(chan struct{})
	a.mu.Lock()
	a.active++
	a.mu.Unlock()
	a.goroutines.Go(func() {
		defer a.decrementActive()
		defer close(done)
		ctx, cancel := context.WithTimeout(a.backgroundCtx, settleTimeout)
		defer cancel()
		var reply *wire.SettleReply
		err := a.leader.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
			reply, err = c.Settle(ctx, req)
			return err
		})
		if err != nil || !reply.GetAccepted() {
			a.log.Error().Str("event", "settleFailed").Str("key", req.GetKey()).
				Str("outcome", wire.Label(outcome)).Err(err).Msg("")
		}
	})
	select {
	case <-done:
	case <-time.After(maxSettleDelay):
	}
}

// runPlain runs j on the plain service.
func (a *agent) runPlain(ctx context.Context, j *job, out *eventSender) *wire.End {
	ctx, span := a.startCallSpan(ctx, "service.call")
	defer span.End()
	resp, err := a.plain.call(ctx, j.req, j.claimed())
	if err != nil {
		return a.handleFailure(ctx, j, err, span)
	}
	defer func() { _ = resp.Body.Close() }()
	a.mu.Lock()
	load := a.currentLoad()
	a.mu.Unlock()
	head := &wire.Started{
		Status: uint32(resp.StatusCode), ContentType: resp.Header.Get("Content-Type"),
		Headers: responseHeaders(resp), Load: load,
	}
	buffered, err := a.forwardBody(j, resp, head, out)
	if err != nil {
		return a.handleFailure(ctx, j, err, span)
	}
	a.finish(j, true, 0)
	a.settle(j, wire.SettleOutcome_SETTLE_OUTCOME_COMPLETED, &targetResponse{
		status: resp.StatusCode, contentType: head.GetContentType(), body: buffered, truncated: len(buffered) > maxBufferedBody,
	})
	if j.claimed() && len(buffered) <= maxBufferedBody {
		out.started(head)
		_ = out.chunk(0, buffered, true)
	}
	return &wire.End{Outcome: wire.RunOutcome_RUN_OUTCOME_COMPLETED, BootId: j.bootID}
}

// forwardBody reads the response to its end. The body of an unclaimed request is
// forwarded as it arrives. The body of a claimed request is buffered and returned. Once
// it exceeds maxBufferedBody, the buffer and the rest of the body are forwarded, and the
// returned part is longer than maxBufferedBody.
func (a *agent) forwardBody(j *job, resp *http.Response, head *wire.Started, out *eventSender) ([]byte, error) {
	var buffered []byte
	var total int64
	if !j.claimed() {
		out.started(head)
	}
	for {
		buf := make([]byte, readBufferSize)
		n, err := resp.Body.Read(buf)
		total += int64(n)
		if n > 0 {
			switch {
			case !j.claimed():
				last := err == io.EOF || total == resp.ContentLength
				if sendErr := out.chunk(0, buf[:n], last); sendErr != nil {
					return nil, fmt.Errorf("pass body on: %w", sendErr)
				}
			case len(buffered) <= maxBufferedBody:
				buffered = append(buffered, buf[:n]...)
				if len(buffered) > maxBufferedBody {
					out.started(head)
					_ = out.chunk(0, buffered, false)
				}
			default:
				_ = out.chunk(0, buf[:n], false)
			}
		}
		if err == io.EOF {
			return buffered, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
	}
}
