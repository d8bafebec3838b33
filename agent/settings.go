package agent

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/daemon"
)

// Values of the setting agent.kind.
const (
	kindEngine = "engine"
	kindPlain  = "plain"
)

// Settings is the settings file of an agent.
type Settings struct {
	Process daemon.Common
	Agent   Section
}

// Section holds the settings of the section [agent].
type Section struct {
	// Target is the name of the target, unique in the deployment.
	Target string `ini:"target"`
	// Listen is the address of the DRPC service.
	Listen netip.AddrPort `ini:"listen"`
	// Advertise is the address that entry instances dial; the default is Listen.
	Advertise netip.AddrPort `ini:"advertise"`
	// URL is the address of the engine or service.
	URL string `ini:"url"`
	// Kind is engine or plain.
	Kind string `ini:"kind"`
	// Team is the team that owns the target.
	Team string `ini:"team"`
	// Service is the name of a plain service.
	Service string `ini:"service"`
	// Control lists the addresses of the control instances.
	Control []netip.AddrPort `ini:"control"`
	// Slots limits the number of running requests. The number that the engine
	// reports limits them too.
	Slots int `ini:"slots"`
	// QueueLimit limits the number of queued requests.
	QueueLimit int `ini:"queueLimit"`
	// AgeBound is the queueing time after which a long request may take slots reserved
	// for short ones.
	AgeBound time.Duration `ini:"ageBound"`
	// AgeStep is the queueing time that raises the priority of a request by one.
	AgeStep time.Duration `ini:"ageStep"`
	// PollPeriod is the delay between reads of the target's state.
	PollPeriod time.Duration `ini:"pollPeriod"`
	// Linger is the minimum time for which the agent refuses new requests before it
	// exits, so that entry instances learn of the drain before the connections close.
	Linger time.Duration `ini:"linger"`
}

// plainSlots is the default number of slots of a plain service, which does not
// report one.
const plainSlots = 64

// Defaults implements daemon.Settings.
func (s *Settings) Defaults() {
	s.Process.Defaults()
	s.Agent.Kind = kindEngine
	s.Agent.QueueLimit = 256
	s.Agent.AgeBound = 2 * time.Second
	s.Agent.AgeStep = time.Second
	s.Agent.PollPeriod = 500 * time.Millisecond
	s.Agent.Linger = time.Second
}

// Sections implements daemon.Settings.
func (s *Settings) Sections() map[string]any {
	return map[string]any{"process": &s.Process, "agent": &s.Agent}
}

// Validate implements daemon.Settings.
func (s *Settings) Validate(out *check.List) {
	s.Process.Validate(out)
	g := &s.Agent
	if g.Target == "" {
		out.Addf("agent.target", "missing; want a name that is unique in the deployment")
	}
	if !g.Listen.IsValid() {
		out.Addf("agent.listen", "missing; want address:port")
	} else if g.Listen.Addr().IsUnspecified() && !g.Advertise.IsValid() {
		out.Addf("agent.advertise", "missing; entry instances cannot dial %s", g.Listen)
	}
	if u, err := url.Parse(g.URL); err != nil || u.Scheme != "http" || u.Host == "" ||
		strings.Trim(u.Path, "/") != "" {
		out.Addf("agent.url", "%q is not an http URL without a path", g.URL)
	}
	switch {
	case g.Kind != kindEngine && g.Kind != kindPlain:
		out.Addf("agent.kind", "%q is not engine or plain", g.Kind)
	case g.Kind == kindPlain && g.Service == "":
		out.Addf("agent.service", "missing; a plain target serves a named service")
	}
	if len(g.Control) == 0 {
		out.Addf("agent.control", "missing; want the addresses of the control instances")
	}
	if g.Slots < 0 {
		out.Addf("agent.slots", "%d is negative", g.Slots)
	}
	if g.QueueLimit < 1 {
		out.Addf("agent.queueLimit", "%d is not above zero", g.QueueLimit)
	}
	daemon.RequirePositive(out, "agent.ageBound", g.AgeBound)
	daemon.RequirePositive(out, "agent.ageStep", g.AgeStep)
	daemon.RequirePositive(out, "agent.pollPeriod", g.PollPeriod)
	if g.Linger < 0 {
		out.Addf("agent.linger", "%s is negative", g.Linger)
	}
}
