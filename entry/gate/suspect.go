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
	// maxLost and completedKept are the maximum numbers of lost requests and of
	// completed suspects in one report.
	maxLost       = 64
	completedKept = 64
	// blockedRetry is the Retry-After of a blocked request.
	blockedRetry = 30 * time.Second
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

// take stores the verdicts from a reply and returns how many are new or changed.
// Verdicts that the reply does not repeat are kept until they expire, because a new
// leader does not know those of the previous one.
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

// fingerprint returns the fingerprint of the request, which is equal for requests that
// a target processes in the same way.
func (c *call) fingerprint() poison.Fingerprint {
	return poison.Of(c.r.Host+" "+c.r.Method+" "+c.r.RequestURI, c.prompt.Model+"/"+c.prompt.Adapter, c.out.Body)
}

// verdict returns the verdict of control on the request; ok is false if there is no
// valid one.
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

// blocked returns a failure if control has blocked the request because several targets
// in a row crashed while running it.
func (c *call) blocked() *failure {
	v, ok := c.verdict()
	if !ok || !v.blocked {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: "blocked: targets were lost with this request", retryAfter: blockedRetry,
	}
}

// lostWith reports the request as lost if err looks like a crash of the target process.
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

// completedSuspect clears the verdict on a suspect that a target has completed, and
// reports its completion to control.
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
