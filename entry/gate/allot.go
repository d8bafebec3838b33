package gate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"bulrushpath.example/lib/allot"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

const (
	// quotaCheckInterval is the interval at which an instance checks whether its configuration
	// has quotas and whether a call is due, unless triggerCall makes it check earlier.
	quotaCheckInterval = time.Second
	// allotTimeout is the timeout of a call to one control instance, and allotCallTimeout that
	// of the call to all of them.
	allotTimeout     = 200 * time.Millisecond
	allotCallTimeout = 400 * time.Millisecond
	// minQuotaWait is the wait for the leader that each request allows for, as a refused client
	// comes back only later than that. Requests with a longer objective wait for quotaWaitShare of
	// it, and at most maxQuotaWait.
	minQuotaWait   = 250 * time.Millisecond
	maxQuotaWait   = time.Second
	quotaWaitShare = 0.5
	// quotaLogsPerSecond bounds the log lines for requests refused because of a quota. The
	// rest are counted in the line of the customer.
	quotaLogsPerSecond = 20
	// quotaReportInterval is the interval between two log lines of a customer, of the
	// reportedCustomers with the most refusals.
	quotaReportInterval = time.Second
	reportedCustomers   = 5
	// maxQuotaSeries is the number of customers that get metrics of their own, and
	// newQuotaSeries how many can get them in one interval. The others share one series.
	maxQuotaSeries = 16
	newQuotaSeries = 4
)

var errNoQuota = errors.New("over the quota of the customer")

// quotas is what an entry instance holds of the quotas of customers.
type quotas struct {
	clock func() time.Duration
	// wake is signaled when a call may be due earlier.
	wake chan struct{}

	mu      sync.Mutex
	share   *allot.Share
	counts  map[string]*quotaCounts
	metrics *quotaMetrics
	// nextCall is when exchangeQuotas checks for a call without being triggered.
	nextCall time.Duration
	// reportedAt is the time of the last log lines about refusals.
	reportedAt time.Time
	// logSecond is the current Unix second and logCount the log lines in it.
	logSecond int64
	logCount  int
}

// quotaCounts counts since the last log lines about refusals.
type quotaCounts struct {
	admitted, refused, unknown int64
}

// quotaMetrics holds the metrics of quotas, with series for a bounded number of customers.
type quotaMetrics struct {
	scope           tally.Scope
	customers       map[string]*quotaSeries
	others          *quotaSeries
	inUse, unspent  tally.Gauge
	calls, failures tally.Counter
	latency         tally.Histogram
}

// quotaSeries counts the requests of one customer, or of all without series of their own.
type quotaSeries struct {
	admitted, refused, unknown tally.Counter
}

// quotaCharge is the state of a request's charge to a quota.
type quotaCharge struct {
	charge allot.Charge
	// reserved is true while the charge is reserved for the next send, and committed once a
	// target may have received the request. It is not charged again then.
	reserved, committed bool
	// arrivals is call.arrivals before the send for which the charge was committed.
	arrivals int
	// decision is the refusal; refused is true if there is one.
	decision allot.Decision
	refused  bool
}

func newQuotas(scope tally.Scope) *quotas {
	return &quotas{
		clock: link.SinceBoot, wake: make(chan struct{}, 1), share: allot.NewShare(rand.Uint64() | 1),
		counts: make(map[string]*quotaCounts),
		metrics: &quotaMetrics{
			scope: scope, customers: make(map[string]*quotaSeries), others: newQuotaSeriesOf(scope, "others"),
			inUse: scope.Gauge("quotaCustomers"), unspent: scope.Gauge("quotaHeld"),
			calls: scope.Counter("quotaCalls"), failures: scope.Counter("quotaCallFailures"),
			latency: scope.Histogram("quotaCallLatency", latencyBuckets),
		},
	}
}

func newQuotaSeriesOf(scope tally.Scope, customer string) *quotaSeries {
	counter := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"customer": customer, "outcome": outcome}).Counter("quotaRequests")
	}
	return &quotaSeries{admitted: counter("admitted"), refused: counter("refused"), unknown: counter("unknown")}
}

// triggerCall makes exchangeQuotas check at once whether a call is due.
func (q *quotas) triggerCall() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// limited reports whether the request counts towards a quota and is yet to be charged.
func (c *call) limited() bool {
	return c.customer != nil && c.customer.Quota.Limited() && !c.quota.committed
}

// quotaWait is how long the request may wait for the leader.
func (c *call) quotaWait(now time.Time) time.Duration {
	d := min(max(time.Duration(float64(c.route.Objective)*quotaWaitShare), minQuotaWait), maxQuotaWait)
	return max(min(d, c.deadline.Sub(now)-responseMargin), 0)
}

// checkQuota refuses a request of a customer that is known to be over its quota, before more
// work is done for it.
func (c *call) checkQuota() *failure {
	if !c.limited() {
		return nil
	}
	q := c.gateway.quotas
	wait := c.quotaWait(c.arrivedAt)
	q.mu.Lock()
	d, refused := q.share.Check(q.clock(), c.customer.Name, &c.customer.Quota, c.prompt.DeclaredTokens, wait)
	if refused {
		q.count(c.customer, d.Verdict)
	}
	q.mu.Unlock()
	if !refused {
		return nil
	}
	c.quota.decision = d
	return c.quotaFailure()
}

// takeQuota reserves the request's cost, unless that has been done for an earlier send.
func (c *call) takeQuota(ctx context.Context) error {
	if !c.limited() || c.quota.reserved {
		return nil
	}
	q := c.gateway.quotas
	wait := c.quotaWait(time.Now())
	settled := make(chan struct{})
	q.mu.Lock()
	d := q.share.Take(q.clock(), c.customer.Name, &c.customer.Quota, c.prompt.DeclaredTokens, wait)
	if d.Verdict == allot.Waiting {
		d.Ticket.Notify = func() { close(settled) }
	} else {
		q.count(c.customer, d.Verdict)
	}
	// A request that is admitted may make a call due too.
	if at, ok := q.share.NextCall(); ok && at < q.nextCall {
		q.nextCall = at
		q.triggerCall()
	}
	q.mu.Unlock()
	if d.Verdict == allot.Waiting {
		d = c.awaitQuota(ctx, d.Ticket, wait, settled)
	}
	if d.Verdict == allot.Admitted {
		c.quota.charge, c.quota.reserved = d.Charge, true
		return nil
	}
	c.quota.decision = d
	return errNoQuota
}

// awaitQuota waits until the leader has decided, for at most the given time.
func (c *call) awaitQuota(ctx context.Context, ticket *allot.Ticket, wait time.Duration, settled <-chan struct{}) allot.Decision {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-settled:
	case <-ctx.Done():
	case <-timer.C:
	}
	q := c.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.share.Cancel(q.clock(), ticket)
	q.count(c.customer, d.Verdict)
	return d
}

// commitQuota counts the request's cost as spent, right before the first send. It returns false
// if the reservation has expired.
func (c *call) commitQuota() bool {
	if !c.quota.reserved {
		return !c.limited()
	}
	q := c.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	c.quota.reserved, c.quota.arrivals = false, c.arrivals
	c.quota.committed = q.share.Commit(q.clock(), &c.quota.charge)
	return c.quota.committed
}

// undoQuota makes the cost a reservation again after a send of which the target received nothing,
// if it was charged for that send.
func (c *call) undoQuota() {
	if !c.quota.committed || c.arrivals != c.quota.arrivals+1 {
		return
	}
	q := c.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.share.Undo(&c.quota.charge) {
		c.quota.committed, c.quota.reserved = false, true
	}
}

// returnQuota gives the reserved cost back if the request ends without a send.
func (c *call) returnQuota() {
	if !c.quota.reserved {
		return
	}
	q := c.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	c.quota.reserved = false
	q.share.Return(&c.quota.charge)
}

// quotaFailure refuses a request that got no part of its customer's quota.
func (c *call) quotaFailure() *failure {
	c.quota.refused = true
	d := c.quota.decision
	if d.Verdict == allot.Unknown {
		c.record.outcome = "quotaUnknown"
		return &failure{status: http.StatusServiceUnavailable, reason: "no answer from control about the customer's quota", retryAfter: d.RetryAfter}
	}
	c.record.outcome = "overQuota"
	return &failure{status: http.StatusTooManyRequests, reason: "the customer is over its quota", retryAfter: d.RetryAfter}
}

// exchangeQuotas reports to the leader what was spent of quotas and fetches grants, as long as the
// configuration has quotas. If it has none, it returns after the next change of the configuration,
// or after quotaCheckInterval.
func (g *Gateway) exchangeQuotas(ctx context.Context) error {
	q := g.quotas
	for ctx.Err() == nil {
		x := g.index.Load()
		q.mu.Lock()
		// Requests may wait for a quota that has just been removed.
		if x == nil || !x.HasQuotas() && !q.share.HasWaiting() {
			q.mu.Unlock()
			q.await(ctx, quotaCheckInterval)
			return nil
		}
		now := q.clock()
		at, ok := q.share.NextCall()
		req := q.share.Request(now)
		g.reportQuotas(time.Now())
		wait := quotaCheckInterval
		if ok {
			wait = min(max(at-now, 0), wait)
		}
		q.nextCall = now + wait
		q.mu.Unlock()
		if req != nil {
			g.callAllot(ctx, req)
			continue
		}
		q.await(ctx, wait)
	}
	return nil
}

// await waits until the time is over or triggerCall is called.
func (q *quotas) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-q.wake:
	}
}

// callAllot makes one call to the leader and applies its reply.
func (g *Gateway) callAllot(ctx context.Context, req *allot.Request) {
	q := g.quotas
	ctx, cancel := context.WithTimeout(ctx, allotCallTimeout)
	defer cancel()
	m := req.ToWire(link.Protocol)
	begun := time.Now()
	var reply *wire.AllotReply
	err := g.callControl(ctx, allotTimeout, func(ctx context.Context, client wire.DRPCFleetClient) (err error) {
		reply, err = client.Allot(ctx, m)
		return err
	})
	q.metrics.calls.Inc(1)
	q.metrics.latency.RecordDuration(time.Since(begun))
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil {
		q.share.Apply(q.clock(), allot.ReplyFromWire(reply))
		return
	}
	q.metrics.failures.Inc(1)
	if first := q.share.Failed(q.clock()); first {
		g.log.Warn().Str("event", "quotaCallFailed").Int("customers", len(req.Uses)).Err(fmt.Errorf("call allot: %w", err)).Msg("")
	}
}

// count counts a decision. The caller holds mu.
func (q *quotas) count(customer *site.Customer, v allot.Verdict) {
	n := q.counts[customer.Name]
	if n == nil {
		n = &quotaCounts{}
		q.counts[customer.Name] = n
	}
	switch v {
	case allot.Admitted:
		n.admitted++
	case allot.Refused:
		n.refused++
	case allot.Unknown:
		n.unknown++
	case allot.Waiting:
	}
}

// reportQuotas writes one log line for each of the customers with the most refusals since the
// last time, and updates the metrics. The caller holds quotas.mu.
func (g *Gateway) reportQuotas(now time.Time) {
	q := g.quotas
	if now.Sub(q.reportedAt) < quotaReportInterval {
		return
	}
	q.reportedAt = now
	names := make([]string, 0, len(q.counts))
	for name := range q.counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := q.counts[a], q.counts[b]
		return cmp.Or(cmp.Compare(y.refused+y.unknown, x.refused+x.unknown), cmp.Compare(y.admitted, x.admitted), cmp.Compare(a, b))
	})
	for i, name := range names {
		n := q.counts[name]
		if i < reportedCustomers && n.refused+n.unknown > 0 {
			g.log.Info().Str("event", "quotaRefused").Str("customer", name).Int64("refused", n.refused).
				Int64("unknown", n.unknown).Int64("admitted", n.admitted).Msg("")
		}
		q.metrics.record(name, i < newQuotaSeries, n)
	}
	clear(q.counts)
	customers, held := q.share.Held()
	q.metrics.inUse.Update(float64(customers))
	q.metrics.unspent.Update(float64(held))
}

// record adds to the series of a customer. Only a customer that is among the largest now gets a
// new one.
func (m *quotaMetrics) record(customer string, large bool, n *quotaCounts) {
	s := m.customers[customer]
	if s == nil && large && len(m.customers) < maxQuotaSeries {
		s = newQuotaSeriesOf(m.scope, customer)
		m.customers[customer] = s
	}
	if s == nil {
		s = m.others
	}
	s.admitted.Inc(n.admitted)
	s.refused.Inc(n.refused)
	s.unknown.Inc(n.unknown)
}

// allowLog reports whether another line about a request refused because of a quota may be logged
// in this second.
func (q *quotas) allowLog(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := now.Unix(); s != q.logSecond {
		q.logSecond, q.logCount = s, 0
	}
	q.logCount++
	return q.logCount <= quotaLogsPerSecond
}
