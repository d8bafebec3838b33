package config

import (
	"time"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/wire"
)

// Policy holds the parameters of admission, hedging and claims.
type Policy struct {
	// ShortMaxTokens is the largest expected output, in tokens, of a request that counts as short.
	ShortMaxTokens uint32 `ini:"shortMaxTokens"`
	// LongSlotPercent is the percentage of a target's slots that long requests may use, 1 to 100.
	LongSlotPercent uint32 `ini:"longSlotPercent"`
	// HedgePercent is the percentage of requests that may be hedged, 0 to 20.
	HedgePercent uint32 `ini:"hedgePercent"`
	// ClaimRetention is how long the claim of a non-idempotent request is kept.
	ClaimRetention time.Duration `ini:"claimRetention"`
	// DefaultDeadline applies to requests that specify no deadline.
	DefaultDeadline time.Duration `ini:"defaultDeadline"`

	// declared holds the locations of all declarations; more than one is invalid.
	declared []Location
}

const maxHedgePercent = 20

// Defaults sets the values of optional keys.
func (p *Policy) Defaults() {
	p.ShortMaxTokens = 128
	p.LongSlotPercent = 50
	p.HedgePercent = 5
	p.ClaimRetention = time.Hour
	p.DefaultDeadline = 30 * time.Second
}

func (p *Policy) parse(loc Location, out *check.List) {
	loc.sec.Decode(loc.path, p, out)
	p.declared = append(p.declared, loc)
}

func (p *Policy) validate(out *check.List) {
	if len(p.declared) == 0 {
		return
	}
	for _, loc := range p.declared[1:] {
		out.Add(loc.finding("", "already declared at %s", p.declared[0]))
	}
	loc := p.declared[0]
	if p.ShortMaxTokens == 0 {
		out.Add(loc.finding("shortMaxTokens", "want at least 1"))
	}
	if p.LongSlotPercent == 0 || p.LongSlotPercent > 100 {
		out.Add(loc.finding("longSlotPercent", "%d is not between 1 and 100", p.LongSlotPercent))
	}
	if p.HedgePercent > maxHedgePercent {
		out.Add(loc.finding("hedgePercent", "%d is not between 0 and %d", p.HedgePercent, maxHedgePercent))
	}
	if p.ClaimRetention < time.Minute || p.ClaimRetention > 24*time.Hour {
		out.Add(loc.finding("claimRetention", "%s is not between 1m and 24h", p.ClaimRetention))
	}
	if p.DefaultDeadline < 100*time.Millisecond || p.DefaultDeadline > 24*time.Hour {
		out.Add(loc.finding("defaultDeadline", "%s is not between 100ms and 24h", p.DefaultDeadline))
	}
}

func (p *Policy) compile() *wire.Policy {
	return &wire.Policy{
		ShortMaxTokens:        p.ShortMaxTokens,
		LongSlotPercent:       p.LongSlotPercent,
		HedgePercent:          p.HedgePercent,
		ClaimRetentionMillis:  uint64(p.ClaimRetention.Milliseconds()),
		DefaultDeadlineMillis: uint64(p.DefaultDeadline.Milliseconds()),
	}
}
