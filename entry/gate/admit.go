package gate

import (
	"math/rand/v2"
	"net/http"
	"time"

	"bulrushpath.example/lib/fair"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
)

// admissions decides which requests are refused while the engines of a service are full, in
// deployments with customers. The gateway's mu guards it.
type admissions struct {
	services  map[string]*fair.Admission
	instances int
}

// of returns the Admission of a service, which it creates at the first request.
func (a *admissions) of(now time.Time, service string) *fair.Admission {
	x := a.services[service]
	if x == nil {
		x = fair.New(now)
		x.SetInstances(a.instances)
		if a.services == nil {
			a.services = make(map[string]*fair.Admission)
		}
		a.services[service] = x
	}
	return x
}

// setInstances sets the number of entry instances.
func (a *admissions) setInstances(n int) {
	a.instances = n
	for _, x := range a.services {
		x.SetInstances(n)
	}
}

// retain forgets the services and targets that are gone.
func (a *admissions) retain(service, target func(name string) bool) {
	for name, x := range a.services {
		if !service(name) {
			delete(a.services, name)
			continue
		}
		x.Retain(target)
	}
}

// hasFairShares reports whether lib/fair decides on the request.
func (c *call) hasFairShares() bool {
	cfg := c.index.Config
	return cfg.KeysRequired && len(cfg.Customers) > 0 && c.prompt.Model != ""
}

// admit decides whether the chosen target serves the request. A request that has been admitted
// stays so until a target refuses it, and one that has begun is not refused at all. The caller
// holds mu.
func (c *call) admit(now time.Time, choice steer.Choice) *failure {
	if !c.hasFairShares() || c.admitted != nil || c.headerSent || c.incompleteAttempts > 0 {
		return nil
	}
	g := c.gateway
	t := choice.Target
	r := &fair.Request{
		Target: t.ID, Urgency: fair.Urgency{Level: c.enginePriority(), Objective: c.route.Objective},
		Left: c.deadline.Sub(now), Wait: choice.Wait, Backlog: t.Backlog(now), Load: t.PromptLoad(now),
		Work: steer.WorkTime(&c.prompt, choice.PrefillTokens), Dither: rand.Float64(),
	}
	if c.customer != nil {
		r.Customer = c.customer.Name
	}
	v := g.admissions.of(now, c.service.Name).Decide(now, r)
	g.metrics.recordAdmission(v.Reason)
	if v.Serve {
		c.admitted = r
		return nil
	}
	t.AddRefused(now, choice.PrefillTokens)
	c.record.target, c.record.expectedWait = t.ID, choice.Wait
	return &failure{status: http.StatusServiceUnavailable, reason: refusalText(v.Reason), retryAfter: v.RetryAfter}
}

// refusalText returns the reason of a refusal for clients and logs.
func refusalText(r fair.Reason) string {
	switch r {
	case fair.Late:
		return "no target of the model would begin before the deadline"
	case fair.Share:
		return "all targets of the model are full, and the customer asks for more than its share"
	case fair.Urgent, fair.Room, fair.Floor:
	}
	return "all targets of the model are full"
}

// endAdmission records the end of the request's admission, if it has one. target is the one that
// refused the request; empty if none did.
func (c *call) endAdmission(target string) {
	if c.admitted == nil {
		return
	}
	g := c.gateway
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.admissions.of(now, c.service.Name)
	a.End(now, c.admitted)
	c.admitted = nil
	if target != "" {
		a.AddRefusal(now, target)
	}
}

// enginePriority returns the priority that engines give to the request.
func (c *call) enginePriority() int { return c.index.EnginePriority(c.route, c.customer) }

// retainAdmissions forgets what is not in the configuration or the table any more. The caller holds
// mu.
func (g *Gateway) retainAdmissions(index *site.Index) {
	g.admissions.retain(
		func(service string) bool { return index == nil || index.Service(service) != nil },
		func(target string) bool { return g.fleet.targets[target] != nil },
	)
}
