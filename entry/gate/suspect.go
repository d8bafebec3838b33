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
	// maxLost bounds the lost requests in one report, and completedKept the completed
	// suspects.
	maxLost       = 64
	completedKept = 64
	// blockedRetry is when a client may ask again for a request that is blocked.
	blockedRetry = 30 * time.Second
)

// suspects holds what this instance knows of requests that crash their targets.
type suspects struct {
	// verdicts are those of control, also of an earlier leader.
	verdicts map[poison.Fingerprint]verdict
	// lost and completed wait for the next report.
	lost      []*wire.LostRequest
	completed [][]byte
}

type verdict struct {
	blocked bool
	until   time.Time
}

// take notes the verdicts of control; those that it does not repeat stay until
// their time is over, since a new leader does not know them.
func (s *suspects) take(now time.Time, list []*wire.Suspect) (news int) {
	for fp, v := range s.verdicts {
		if now.After(v.until) {
			delete(s.verdicts, fp)
		}
	}
	for _, x := range list {
		if len(x.GetFingerprint()) != poison.Size {
			continue
		}
		if s.verdicts == nil {
			s.verdicts = make(map[poison.Fingerprint]verdict)
		}
		fp := poison.Fingerprint(x.GetFingerprint())
		v := verdict{x.GetVerdict() == wire.Verdict_VERDICT_BLOCKED, time.UnixMilli(x.GetUntilUnixMillis())}
		if old, ok := s.verdicts[fp]; !ok || old.blocked != v.blocked {
			news++
		}
		s.verdicts[fp] = v
	}
	return news
}

// fingerprint identifies the requests that a target treats as this one.
func (c *call) fingerprint() poison.Fingerprint {
	return poison.Of(c.r.Host+" "+c.r.Method+" "+c.r.RequestURI, c.prompt.Model+"/"+c.prompt.Adapter, c.out.Body)
}

// verdict returns what control thinks of the request; false if it is like others.
func (c *call) verdict() (v verdict, ok bool) {
	c.g.mu.Lock()
	empty := len(c.g.suspects.verdicts) == 0
	c.g.mu.Unlock()
	if empty {
		return verdict{}, false
	}
	fp := c.fingerprint()
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	v, ok = c.g.suspects.verdicts[fp]
	return v, ok && time.Now().Before(v.until)
}

// blocked refuses a request that several targets in a row were lost with.
func (c *call) blocked() *failure {
	v, ok := c.verdict()
	if !ok || !v.blocked {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: "blocked: targets were lost with this request", retryAfter: blockedRetry,
	}
}

// lostWith notes that the target broke off as a process that ends does.
func (c *call) lostWith(err error) {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !ended {
		return
	}
	fp := c.fingerprint()
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if len(c.g.suspects.lost) < maxLost {
		c.g.suspects.lost = append(c.g.suspects.lost, &wire.LostRequest{
			Fingerprint: fp[:], Target: c.to.ID, BornMillis: c.to.born.UnixMilli(),
		})
	}
}

// completedSuspect notes that a target completed a request that was a suspect.
func (c *call) completedSuspect() {
	if _, ok := c.verdict(); !ok {
		return
	}
	fp := c.fingerprint()
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	delete(c.g.suspects.verdicts, fp)
	if len(c.g.suspects.completed) < completedKept {
		c.g.suspects.completed = append(c.g.suspects.completed, fp[:])
	}
}
