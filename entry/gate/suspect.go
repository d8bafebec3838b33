package gate

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/wire"
)

const (
	// maxLost and maxCompleted are the maximum numbers of lost requests and of completed
	// suspects in one report.
	maxLost      = 64
	maxCompleted = 64
	// blockedRetryAfter is the Retry-After of a blocked request.
	blockedRetryAfter = 30 * time.Second
)

// suspects is this instance's record of requests that are suspected of crashing targets.
type suspects struct {
	// verdicts holds the verdicts of the current and of earlier control leaders.
	verdicts map[poison.Fingerprint]verdict
	// lost and completed are the entries of the next report.
	lost      []*wire.LostRequest
	completed [][]byte
}

type verdict struct {
	blocked bool
	until   time.Time
}

// apply stores the verdicts from a reply and returns how many are new or changed.
// Verdicts that the reply does not repeat are kept until they expire, because a new
// leader does not know those of the previous one.
func (s *suspects) apply(now time.Time, list []*wire.Suspect) (changed int) {
	for fp, v := range s.verdicts {
		if now.After(v.until) {
			delete(s.verdicts, fp)
		}
	}
	for _, x := range list {
		if len(x.GetFingerprint()) != poison.FingerprintSize {
			continue
		}
		if s.verdicts == nil {
			s.verdicts = make(map[poison.Fingerprint]verdict)
		}
		fp := poison.Fingerprint(x.GetFingerprint())
		v := verdict{x.GetVerdict() == wire.Verdict_VERDICT_BLOCKED, time.UnixMilli(x.GetUntilUnixMillis())}
		if old, ok := s.verdicts[fp]; !ok || old.blocked != v.blocked {
			changed++
		}
		s.verdicts[fp] = v
	}
	return changed
}

// fingerprint returns the fingerprint of the request, which is equal for requests that
// a target processes in the same way.
func (c *call) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(c.r.Host+" "+c.r.Method+" "+c.r.RequestURI, c.prompt.Model+"/"+c.prompt.Adapter, c.outbound.Body)
}

// verdict returns the verdict of control on the request; ok is false if there is no
// valid one.
func (c *call) verdict() (v verdict, ok bool) {
	c.gateway.mu.Lock()
	empty := len(c.gateway.suspects.verdicts) == 0
	c.gateway.mu.Unlock()
	if empty {
		return verdict{}, false
	}
	fp := c.fingerprint()
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	v, ok = c.gateway.suspects.verdicts[fp]
	return v, ok && time.Now().Before(v.until)
}

// checkBlocked returns a failure if control has blocked the request because several
// target processes in a row were lost while running it.
func (c *call) checkBlocked() *failure {
	v, ok := c.verdict()
	if !ok || !v.blocked {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: "blocked: targets were lost with this request", retryAfter: blockedRetryAfter,
	}
}

// recordLost reports the request as lost if err looks like a crash of the target process.
func (c *call) recordLost(err error) {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !ended {
		return
	}
	fp := c.fingerprint()
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if len(c.gateway.suspects.lost) < maxLost {
		c.gateway.suspects.lost = append(c.gateway.suspects.lost, &wire.LostRequest{
			Fingerprint: fp[:], Target: c.dest.ID, BornMillis: c.dest.startedAt.UnixMilli(),
		})
	}
}

// recordCompleted clears the verdict on a suspect that a target has completed, and
// reports its completion to control.
func (c *call) recordCompleted() {
	if _, ok := c.verdict(); !ok {
		return
	}
	fp := c.fingerprint()
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	delete(c.gateway.suspects.verdicts, fp)
	if len(c.gateway.suspects.completed) < maxCompleted {
		c.gateway.suspects.completed = append(c.gateway.suspects.completed, fp[:])
	}
}
