package gate

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/wire"
)

const (
	// maxLost and maxCompleted are the maximum numbers of lost requests and of completed
	// suspects in one report.
	maxLost      = 64
	maxCompleted = 64
	// groupBytes is the size of a group of parts in a message.
	groupBytes = 8
	// blockedRetryAfter is the Retry-After of a blocked request.
	blockedRetryAfter = 30 * time.Second
)

// suspects is this instance's record of requests that are suspected of crashing targets.
type suspects struct {
	// verdicts holds the verdicts of the current and of earlier control leaders.
	verdicts map[poison.Fingerprint]verdict
	// parts holds the verdicts of the current control leader on parts of prompts. Each
	// leader knows those of the previous ones.
	parts map[poison.Fingerprint]verdict
	// lost and completed are the entries of the next report.
	lost      []*wire.LostRequest
	completed [][]byte
	// cleared holds the parts of prompts that certainly do not crash targets.
	cleared poison.ClearedParts
	// wanted holds the suspect parts with which a request waits for a trial.
	wanted map[poison.Fingerprint]bool
	// running holds the requests in progress of which a part is not cleared and that have no
	// output yet, with the functions that cancel their current attempts.
	running map[*call]context.CancelCauseFunc
}

// verdict is the verdict of control on a request or on a part of prompts.
type verdict struct {
	blocked bool
	until   time.Time
	// term is that of the control leader that told it.
	term uint64
	// group and groupSize are set for a blocked part; see poison.PartCounter.
	group     uint64
	groupSize uint32
	// trial is true for a suspect part until this instance sends the one request with it that
	// control allows.
	trial bool
}

// apply stores the verdicts from a reply of the leader of a term and returns how many are new or
// changed. A verdict that its leader does not repeat was taken back. Those of a previous leader
// are kept until they expire if they are not repeated: it may have ended before they were recorded.
func (s *suspects) apply(now time.Time, term uint64, list []*wire.Suspect) (changed int) {
	repeated := requestsIn(list)
	for fp, v := range s.verdicts {
		if now.After(v.until) || v.term == term && !repeated[fp] {
			delete(s.verdicts, fp)
		}
	}
	before := s.parts
	s.parts = nil
	for _, x := range list {
		if x.GetPart() {
			changed += s.applyPart(before, x)
			continue
		}
		if len(x.GetFingerprint()) != poison.FingerprintSize {
			continue
		}
		if s.verdicts == nil {
			s.verdicts = make(map[poison.Fingerprint]verdict)
		}
		fp := poison.Fingerprint(x.GetFingerprint())
		v := newVerdict(x)
		v.term = term
		if old, ok := s.verdicts[fp]; !ok || old.blocked != v.blocked {
			changed++
		}
		s.verdicts[fp] = v
	}
	return changed
}

// requestsIn returns the requests that the list has verdicts on.
func requestsIn(list []*wire.Suspect) map[poison.Fingerprint]bool {
	out := make(map[poison.Fingerprint]bool)
	for _, x := range list {
		if !x.GetPart() && len(x.GetFingerprint()) == poison.FingerprintSize {
			out[poison.Fingerprint(x.GetFingerprint())] = true
		}
	}
	return out
}

// applyPart stores the verdict on a part of prompts and returns 1 if it is new or changed.
func (s *suspects) applyPart(before map[poison.Fingerprint]verdict, x *wire.Suspect) (changed int) {
	if len(x.GetFingerprint()) != poison.FingerprintSize {
		return 0
	}
	fp, v := poison.Fingerprint(x.GetFingerprint()), newVerdict(x)
	if s.cleared.Has(fp) {
		s.complete(fp) // Control does not know what this instance has seen.
		return 0
	}
	if s.parts == nil {
		s.parts = make(map[poison.Fingerprint]verdict)
	}
	s.parts[fp] = v
	old, ok := before[fp]
	if v.trial {
		delete(s.wanted, fp)
	}
	if ok && old.blocked == v.blocked {
		return 0
	}
	return 1
}

func newVerdict(x *wire.Suspect) verdict {
	v := verdict{blocked: x.GetVerdict() == wire.Verdict_VERDICT_BLOCKED, until: time.UnixMilli(x.GetUntilUnixMillis()), trial: x.GetTrial()}
	if g := x.GetGroup(); len(g) == groupBytes {
		v.group, v.groupSize = binary.BigEndian.Uint64(g), x.GetGroupSize()
	}
	return v
}

// complete clears a fingerprint and reports that to control.
func (s *suspects) complete(fp poison.Fingerprint) {
	delete(s.verdicts, fp)
	delete(s.parts, fp)
	if len(s.completed) < maxCompleted {
		s.completed = append(s.completed, fp[:])
	}
}

// fingerprint returns the fingerprint of the request, which is equal for requests that a target
// processes in the same way. What a target does may depend on the customer, but not on the key
// that the customer uses or on its spelling of the host.
func (c *call) fingerprint() poison.Fingerprint {
	names := []string{strings.ToLower(c.route.Host) + " " + c.r.Method + " " + c.r.RequestURI, c.prompt.Model + "/" + c.prompt.Adapter}
	if c.customer != nil {
		names = append(names, c.customer.Name)
	}
	return poison.FingerprintOf(c.outbound.Body, names...)
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
	reason := ""
	if v, ok := c.partsVerdict(); ok && v.blocked {
		reason = "blocked: targets were lost with a part of this prompt"
	} else if v, ok := c.verdict(); ok && v.blocked {
		reason = "blocked: targets were lost with this request"
	}
	if reason == "" {
		return nil
	}
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: blockedRetryAfter}
}

// isSuspect reports whether the request, or a part of its prompt, is a suspect.
func (c *call) isSuspect() bool {
	_, request := c.verdict()
	_, part := c.partsVerdict()
	return request || part
}

// looksLikeCrash reports whether err looks like a crash of the target process.
func looksLikeCrash(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// mayHaveCrashed reports whether the request may be the one that has crashed its target: no
// answer has cleared its parts, and the target has stopped answering. A resend would crash
// another target. Requests that only ran beside it mostly have no such part.
func (c *call) mayHaveCrashed(err error) bool {
	if !looksLikeCrash(err) {
		return false
	}
	c.gateway.mu.Lock()
	suspicious := c.hasUnclearedParts()
	c.gateway.mu.Unlock()
	return suspicious && c.gateway.checkHealth(c.dest, c.service) != nil
}

// recordLost reports the request as lost if err looks like a crash of the target process, or if the
// target has gone dark: its machine may have crashed with it.
func (c *call) recordLost(err error) {
	if !looksLikeCrash(err) && !errors.Is(err, relay.ErrSilent) {
		return
	}
	fp := c.fingerprint()
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if len(c.gateway.suspects.lost) >= maxLost {
		return
	}
	parts := c.unclearedParts()
	lost := &wire.LostRequest{
		Fingerprint: fp[:], Target: c.dest.ID, BornMillis: c.dest.startedAt.UnixMilli(),
		Parts: fingerprintBytes(parts.shared), CustomerParts: fingerprintBytes(parts.ofCustomer),
	}
	c.gateway.suspects.lost = append(c.gateway.suspects.lost, lost)
	c.gateway.triggerReport()
}

// fingerprintBytes returns the fingerprints as a message holds them.
func fingerprintBytes(list []poison.Fingerprint) (out [][]byte) {
	for _, fp := range list {
		out = append(out, fp[:])
	}
	return out
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
	c.gateway.suspects.complete(fp)
}
