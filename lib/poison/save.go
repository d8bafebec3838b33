package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

// maxSavedLosses and maxSavedProcesses bound what Save returns. A request needs no more than
// blockThreshold processes to stay blocked; a few more tell groups of parts apart.
const (
	maxSavedLosses    = 256
	maxSavedProcesses = 2 * blockThreshold
)

// Unsaved reports whether the losses have changed since the last call of Save.
func (c *LossCounter) Unsaved() bool { return c.unsaved }

// SaveAgain makes Unsaved true even if the losses do not change any more.
func (c *LossCounter) SaveAgain() { c.unsaved = true }

// Save returns the losses, for Load at a later leader. If there are more than maxSavedLosses, it
// prefers those with the most processes, and then the latest ones.
func (c *LossCounter) Save() []*wire.PartLoss {
	c.unsaved = false
	return c.saveOnly(func(*losses) bool { return true })
}

// saveOnly returns the losses for which keep is true, as Save does.
func (c *LossCounter) saveOnly(keep func(x *losses) bool) (out []*wire.PartLoss) {
	for fp, x := range c.byFingerprint {
		if keep(x) {
			out = append(out, &wire.PartLoss{Fingerprint: fp[:], Processes: x.save()})
		}
	}
	slices.SortFunc(out, func(a, b *wire.PartLoss) int {
		return cmp.Or(cmp.Compare(len(b.GetProcesses()), len(a.GetProcesses())),
			cmp.Compare(b.GetProcesses()[0].GetLostUnixMillis(), a.GetProcesses()[0].GetLostUnixMillis()),
			bytes.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	return out[:min(len(out), maxSavedLosses)]
}

// save returns the latest losses of processes, the latest one first.
func (x *losses) save() (out []*wire.LostProcess) {
	for p, l := range x.processes {
		out = append(out, &wire.LostProcess{Target: p.Target, BornMillis: p.BornMillis, LostUnixMillis: l.at.UnixMilli()})
	}
	slices.SortFunc(out, func(a, b *wire.LostProcess) int {
		return cmp.Or(cmp.Compare(b.GetLostUnixMillis(), a.GetLostUnixMillis()), cmp.Compare(a.GetTarget(), b.GetTarget()))
	})
	return out[:min(len(out), maxSavedProcesses)]
}

// Load adds saved losses. The clock of the leader that saved them may have been ahead: none is
// taken to be later than now.
func (c *LossCounter) Load(now time.Time, saved []*wire.PartLoss) {
	for _, s := range saved {
		if len(s.GetFingerprint()) != FingerprintSize {
			continue
		}
		for _, p := range s.GetProcesses() {
			at := time.UnixMilli(min(p.GetLostUnixMillis(), now.UnixMilli()))
			c.record(Fingerprint(s.GetFingerprint()), Process{p.GetTarget(), p.GetBornMillis()}, loss{at: at, knownAt: now})
		}
	}
	c.unsaved = false
}
