package control

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/daemon"
)

// Settings is the settings file of a control instance.
type Settings struct {
	Process daemon.Common
	Control Control
}

// Control is the section [control].
type Control struct {
	// ID names this instance in the group; it is one of Peers.
	ID string `ini:"id"`
	// Listen is the drpc address for callers and peers.
	Listen netip.AddrPort `ini:"listen"`
	// Peers lists all instances of the group, this one included, as id=address.
	Peers []Peer `ini:"peers"`
	// Join says that this instance joins the group that the others belong to, and
	// never forms one; Peers may then name only some of its members.
	Join bool `ini:"join"`
	// Voters is the number of voters that the group is to have; default all Peers.
	Voters int `ini:"voters"`
	// DataDir holds the log and the snapshots of this instance, and nothing else.
	DataDir string `ini:"dataDir"`
	// ElectionTimeout is the silence after which a new leader is elected, and
	// after which a leader that hears no majority steps down.
	ElectionTimeout time.Duration `ini:"electionTimeout"`
	// Heartbeat is the period of the leader's messages to its peers.
	Heartbeat time.Duration `ini:"heartbeat"`
	// PlanPeriod is the time between two runs of the planner.
	PlanPeriod time.Duration `ini:"planPeriod"`
	// SweepPeriod is the time between two removals of expired state.
	SweepPeriod time.Duration `ini:"sweepPeriod"`
	// SnapshotEntries and SnapshotBytes bound the log before a snapshot replaces it.
	SnapshotEntries int   `ini:"snapshotEntries"`
	SnapshotBytes   int64 `ini:"snapshotBytes"`
	// ShutdownTimeout bounds the wait for calls in progress at SIGTERM.
	ShutdownTimeout time.Duration `ini:"shutdownTimeout"`
}

// Peer is one instance of the group.
type Peer struct {
	ID   string
	Addr netip.AddrPort
}

// UnmarshalText parses id=address.
func (p *Peer) UnmarshalText(text []byte) error {
	id, addr, ok := strings.Cut(string(text), "=")
	if !ok || strings.TrimSpace(id) == "" {
		return fmt.Errorf("want id=address, such as c1=10.0.0.1:7000")
	}
	parsed, err := netip.ParseAddrPort(strings.TrimSpace(addr))
	if err != nil {
		return fmt.Errorf("want id=address: %w", err)
	}
	p.ID, p.Addr = strings.TrimSpace(id), parsed
	return nil
}

// Defaults sets the values of keys that a file may leave out.
func (s *Settings) Defaults() {
	s.Process.Defaults()
	s.Control = Control{
		ElectionTimeout: time.Second,
		Heartbeat:       100 * time.Millisecond,
		PlanPeriod:      250 * time.Millisecond,
		SweepPeriod:     time.Second,
		// A snapshot of many claims stops the log for a moment, so it is taken rarely; a restart replays 100,000 entries in well under a second.
		SnapshotEntries: 100_000,
		SnapshotBytes:   64 << 20,
		ShutdownTimeout: 5 * time.Second,
	}
}

// Sections returns the struct for each section that a file may have.
func (s *Settings) Sections() map[string]any {
	return map[string]any{"process": &s.Process, "control": &s.Control}
}

// Validate adds a finding for each invalid value.
func (s *Settings) Validate(out *check.List) {
	s.Process.Validate(out)
	c := &s.Control
	if c.ID == "" {
		out.Addf("control.id", "missing; want this instance's name among the peers")
	}
	if !c.Listen.IsValid() {
		out.Addf("control.listen", "missing; want an address such as 10.0.0.1:7000")
	}
	if c.DataDir == "" {
		out.Addf("control.dataDir", "missing; want a directory of this instance alone")
	}
	c.validatePeers(out)
	daemon.Positive(out, "control.electionTimeout", c.ElectionTimeout)
	daemon.Positive(out, "control.heartbeat", c.Heartbeat)
	daemon.Positive(out, "control.planPeriod", c.PlanPeriod)
	daemon.Positive(out, "control.sweepPeriod", c.SweepPeriod)
	daemon.Positive(out, "control.shutdownTimeout", c.ShutdownTimeout)
	if c.ElectionTimeout < 3*c.Heartbeat {
		out.Addf("control.electionTimeout", "%s is below 3 heartbeats; one lost message would depose the leader",
			c.ElectionTimeout)
	}
	if c.SnapshotEntries < 1 {
		out.Addf("control.snapshotEntries", "%d is not above zero", c.SnapshotEntries)
	}
	if c.SnapshotBytes < 1 {
		out.Addf("control.snapshotBytes", "%d is not above zero", c.SnapshotBytes)
	}
}

func (c *Control) validatePeers(out *check.List) {
	seen := make(map[string]bool)
	addrs := make(map[netip.AddrPort]string)
	for _, p := range c.Peers {
		if seen[p.ID] {
			out.Addf("control.peers", "%s stands twice", p.ID)
		}
		if other, ok := addrs[p.Addr]; ok {
			out.Addf("control.peers", "%s and %s have the same address %s", other, p.ID, p.Addr)
		}
		seen[p.ID], addrs[p.Addr] = true, p.ID
		if p.ID == c.ID && c.Listen.IsValid() && p.Addr != c.Listen {
			out.Addf("control.peers", "%s is listed at %s, but listens on %s", p.ID, p.Addr, c.Listen)
		}
	}
	if !seen[c.ID] {
		out.Addf("control.peers", "this instance, %q, is not listed", c.ID)
	}
	if n := len(c.Peers); n > 0 && n%2 == 0 && !c.Join {
		out.Addf("control.peers", "%d instances survive no more losses than %d; want an odd number", n, n-1)
	}
}

func (c *Control) peers() map[string]netip.AddrPort {
	m := make(map[string]netip.AddrPort, len(c.Peers))
	for _, p := range c.Peers {
		m[p.ID] = p.Addr
	}
	return m
}
