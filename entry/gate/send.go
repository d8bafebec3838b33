package gate

import (
	"errors"
	"time"
)

var (
	errWithdrawn  = errors.New("the target is leaving or paused, or the table that lists it is too old")
	errUncharged  = errors.New("the reserved part of the customer's quota has expired")
	errOverBudget = errors.New("the retry budget allows no resend")
)

// beforeSend is called right before the request is written to a connection. It returns an
// error if the target must not get new requests any more, which may have changed during the
// fetch of an adapter or a dial, if its API key may not be used any more, or if the request would
// be a resend that the retry budget does not allow.
func (c *call) beforeSend() error {
	if err := c.checkKey(); err != nil {
		return err
	}
	g := c.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.fleet.targets[c.dest.ID]
	withdrawn := t == nil || !t.Ready || t.Paused(time.Now()) || !t.StartedAt.Equal(c.dest.startedAt) ||
		!g.acceptsWork(g.tableContact.Now(), t)
	if withdrawn || t.Limit > 0 && !c.permitted {
		return errWithdrawn
	}
	if !c.commitQuota() {
		return errUncharged
	}
	if c.arrivals > 0 && !g.budgets.TryRetry(time.Now(), c.service.Name) {
		return errOverBudget
	}
	c.arrivals++
	return nil
}
