package control

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/quorum"
)

// Settings is the settings file of a control instance.
type Settings struct {
	Process daemon.Common
	Control Control
}

// Control is the section [control] of the settings file.
type Control struct {
	// ID identifies this instance in the group. It must be the ID of one of Peers.
	ID string `ini:"id"`
	// Listen is the address of the DRPC server for callers and peers.
	Listen netip.AddrPort `ini:"listen"`
	// Peers lists all instances of the group, including this one, as id=address.
	Peers []Peer `ini:"peers"`
	// Join makes this instance join the existing group of the other peers instead of
	// forming a new one. Peers may then list only some of the group's members.
	Join bool `ini:"join"`
	// Observer makes this instance one without a disk: it is no member of the group and
	// refers callers to the leader.
	Observer bool `ini:"observer"`
	// Voters is the intended number of voters in the group. By default, these are as many as
	// the stated losses require, or all Peers if none are stated.
	Voters int `ini:"voters"`
	// TolerateInstances, TolerateZones and TolerateRegions state how many control
	// instances, availability zones or regions may be lost at the same time, with their
	// disks. The group has as many voters, in as many zones, as that requires; its leader
	// logs whether there are enough.
	TolerateInstances int `ini:"tolerateInstances"`
	TolerateZones     int `ini:"tolerateZones"`
	TolerateRegions   int `ini:"tolerateRegions"`
	// Region is the region of this instance; the zone is that of the section [process].
	Region string `ini:"region"`
	// DataDir is the directory of the log and the snapshots. It must contain nothing
	// else.
	DataDir string `ini:"dataDir"`
	// ElectionTimeout is the time without messages from the leader after which a new
	// leader is elected, and the time without messages from a majority after which a
	// leader steps down.
	ElectionTimeout time.Duration `ini:"electionTimeout"`
	// Heartbeat is the interval of the leader's messages to its peers.
	Heartbeat time.Duration `ini:"heartbeat"`
	// PlanPeriod is the interval between two runs of the planner.
	PlanPeriod time.Duration `ini:"planPeriod"`
	// SweepPeriod is the interval between two removals of expired state.
	SweepPeriod time.Duration `ini:"sweepPeriod"`
	// SnapshotEntries and SnapshotBytes limit the log; when it reaches either of them, a
	// snapshot replaces it.
	SnapshotEntries int   `ini:"snapshotEntries"`
	SnapshotBytes   int64 `ini:"snapshotBytes"`
	// LogLimitBytes bounds the log on disk; 0 for no bound.
	LogLimitBytes int64 `ini:"logLimitBytes"`
	// ShutdownTimeout bounds the shutdown: the wait for calls in progress and the
	// transfer of the leadership.
	ShutdownTimeout time.Duration `ini:"shutdownTimeout"`
}

// Peer is an instance of the group.
type Peer struct {
	ID   string
	Addr netip.AddrPort
}

// UnmarshalText parses a peer in the form id=address.
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

// Defaults sets the values of the keys that a settings file may omit.
func (s *Settings) Defaults() {
	s.Process.Defaults()
	s.Control = Control{
		ElectionTimeout: time.Second,
		Heartbeat:       100 * time.Millisecond,
		PlanPeriod:      250 * time.Millisecond,
		SweepPeriod:     time.Second,
		// A snapshot of many claims blocks the log briefly, so snapshots are rare. A
		// restart replays 100,000 entries in well under a second.
		SnapshotEntries: 100_000,
		SnapshotBytes:   64 << 20,
		ShutdownTimeout: 5 * time.Second,
	}
}

// Sections returns the sections of a settings file by name.
func (s *Settings) Sections() map[string]any {
	return map[string]any{"process": &s.Process, "control": &s.Control}
}

// Validate adds a finding for each invalid value.
func (s *Settings) Validate(out *check.List) {
	s.Process.Validate(out)
	c := &s.Control
	if c.ID == "" {
		out.Addf("control.id", "missing; want the id of this instance among the peers")
	}
	if !c.Listen.IsValid() {
		out.Addf("control.listen", "missing; want an address such as 10.0.0.1:7000")
	}
	if c.DataDir == "" && !c.Observer {
		out.Addf("control.dataDir", "missing; want a directory that only this instance uses")
	}
	c.validatePeers(out)
	daemon.RequirePositive(out, "control.electionTimeout", c.ElectionTimeout)
	daemon.RequirePositive(out, "control.heartbeat", c.Heartbeat)
	daemon.RequirePositive(out, "control.planPeriod", c.PlanPeriod)
	daemon.RequirePositive(out, "control.sweepPeriod", c.SweepPeriod)
	daemon.RequirePositive(out, "control.shutdownTimeout", c.ShutdownTimeout)
	if c.ElectionTimeout < 3*c.Heartbeat {
		out.Addf("control.electionTimeout", "%s is below 3 heartbeats; one lost message would depose the leader",
			c.ElectionTimeout)
	}
	if !c.Tolerance().Valid() {
		out.Addf("control.tolerateInstances", "a number of losses to bear is negative")
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
			out.Addf("control.peers", "%s is listed twice", p.ID)
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
	if n, want := len(c.Peers), c.Tolerance().Voters(); c.Tolerance() != (quorum.Tolerance{}) && n < want && !c.Join {
		out.Addf("control.peers", "%d instances do not bear the stated losses; want at least %d, or further ones that join", n, want)
	}
	if n := len(c.Peers); n > 0 && n%2 == 0 && !c.Join {
		out.Addf("control.peers", "%d instances tolerate no more failures than %d; want an odd number", n, n-1)
	}
}

// Tolerance returns the losses that the group must bear.
func (c *Control) Tolerance() quorum.Tolerance {
	return quorum.Tolerance{Members: c.TolerateInstances, Zones: c.TolerateZones, Regions: c.TolerateRegions}
}

func peerAddrs(peers []Peer) map[string]netip.AddrPort {
	m := make(map[string]netip.AddrPort, len(peers))
	for _, p := range peers {
		m[p.ID] = p.Addr
	}
	return m
}
