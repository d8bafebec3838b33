package gate

import (
	"iter"
	"slices"
	"time"

	"bulrushpath.example/lib/poison"
)

// maxParts bounds the parts of a prompt that are considered.
const maxParts = 32

// promptParts holds the fingerprints of the parts of a prompt that may crash targets.
type promptParts struct {
	// shared are those of the parts, and ofCustomer those of the parts as the customer uses them, in the same
	// order; ofCustomer is empty if there are no customers.
	shared, ofCustomer []poison.Fingerprint
}

// all returns the fingerprints of both kinds.
func (p *promptParts) all() iter.Seq[poison.Fingerprint] {
	return func(yield func(poison.Fingerprint) bool) {
		for _, list := range [][]poison.Fingerprint{p.shared, p.ofCustomer} {
			for _, fp := range list {
				if !yield(fp) {
					return
				}
			}
		}
	}
}

// findParts returns the parts of the prompt that may crash targets: the last part belongs to the
// request or its session alone.
func (c *call) findParts() (p promptParts) {
	for _, x := range c.prompt.Parts[:min(max(len(c.prompt.Parts)-1, 0), maxParts)] {
		p.shared = append(p.shared, poison.PartFingerprint(c.service.Name, x.ID))
		if !c.index.Config.KeysRequired {
			continue
		}
		name := "" // Requests that need no key count as those of one more customer.
		if c.customer != nil {
			name = c.customer.Name
		}
		p.ofCustomer = append(p.ofCustomer, poison.CustomerPartFingerprint(c.service.Name, name, x.ID))
	}
	return p
}

// partsVerdict returns the verdict of control on the parts of the prompt; ok is false if
// no part is a suspect.
func (c *call) partsVerdict() (v verdict, ok bool) {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	s := &c.gateway.suspects
	if len(s.parts) == 0 {
		return verdict{}, false
	}
	var blocked poison.BlockedParts
	for fp := range c.parts.all() {
		part, found := s.parts[fp]
		if !found || time.Now().After(part.until) {
			continue
		}
		ok, v.until = true, part.until
		if part.blocked && blocked.Add(part.group, part.groupSize) {
			v.blocked = true
		}
	}
	return v, ok
}

// clearParts records that a target has begun to answer, so that no part of the prompt
// crashes targets. The caller holds mu.
func (c *call) clearParts() {
	s := &c.gateway.suspects
	for fp := range c.parts.all() {
		s.cleared.Add(fp)
		if _, ok := s.parts[fp]; ok {
			s.complete(fp)
		}
	}
}

// unclearedParts returns the parts of the prompt that no answer has cleared, if the last
// attempt had no output. The caller holds mu.
func (c *call) unclearedParts() (out promptParts) {
	if c.hasOutput {
		return out
	}
	cleared := c.gateway.suspects.cleared.Has
	return promptParts{
		shared:     slices.DeleteFunc(slices.Clone(c.parts.shared), cleared),
		ofCustomer: slices.DeleteFunc(slices.Clone(c.parts.ofCustomer), cleared),
	}
}

// hasUnclearedParts reports whether unclearedParts returns any. The caller holds mu.
func (c *call) hasUnclearedParts() bool {
	if c.hasOutput {
		return false
	}
	for fp := range c.parts.all() {
		if !c.gateway.suspects.cleared.Has(fp) {
			return true
		}
	}
	return false
}
