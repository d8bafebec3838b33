// Package place decides which models and adapters are resident at which target. It
// does no I/O: the control leader calls Planner.Tick with its view of the targets
// and sends the returned plans to the agents.
package place

import (
	"time"

	"bulrushpath.example/lib/wire"
)

// View is the input of one tick.
type View struct {
	// Term is the leader's term; it must equal the planner's.
	Term uint64
	// Config is the configuration in effect; nil if none has been published.
	Config *wire.Config
	// Targets holds the latest announcement of each target with a valid lease.
	Targets []*wire.Announcement
	// Demand holds the demand that the entry instances report, by model.
	Demand map[string]Demand
	// Warm is false while a new leader may not have received an announcement from
	// every target.
	Warm bool
}

// Demand is the demand for one model, summed over all entry instances.
type Demand struct {
	// RequestsPerSecond counts all requests.
	RequestsPerSecond float64
	// UnservedPerSecond counts those rejected because no target could run them.
	UnservedPerSecond float64
}

// Key identifies an artifact: a version of a model, or one of its adapters.
type Key struct {
	Model, Version, Adapter string
}

func keyOf(c *wire.Copy) Key { return Key{c.Model, c.Version, c.Adapter} }

func (k Key) base() Key { return Key{k.Model, k.Version, ""} }

// String returns "model@version" or "model@version/adapter".
func (k Key) String() string {
	s := k.Model + "@" + k.Version
	if k.Adapter != "" {
		s += "/" + k.Adapter
	}
	return s
}

// Reason is why the planner made a decision.
type Reason int

//go:generate stringer -type=Reason -linecomment

// Reasons for decisions. Those for loads come first, in order of urgency.
const (
	// Unreachable: no copy of the model is resident or about to be loaded.
	Unreachable Reason = iota // unreachable
	// Repair: fewer copies than the declared minimum are resident or about to be loaded.
	Repair // repair
	// Spread: all copies are in one availability zone.
	Spread // spread
	// Growth: demand exceeds the capacity of the copies.
	Growth // growth
	// Relocation: a copy moves to make room for a model that fits nowhere.
	Relocation // relocation
	// Adapter: the model is resident without one of its adapters.
	Adapter // adapter
	// Replaced: the declared version has its minimum of copies.
	Replaced // replaced by a newer version
	// Undeclared: the configuration no longer declares the artifact.
	Undeclared // no longer declared
	// Evicted: a more urgent model needs the memory.
	Evicted // evicted for a more urgent model
	// Expired: a load did not finish before its permit expired.
	Expired // load did not finish in time
)

// Decision is one change to the plan of a target.
type Decision struct {
	At     time.Time
	Target string
	Key    Key
	// Load is false for an unload.
	Load   bool
	Reason Reason
}

// String returns the decision as one line of text for operators.
func (d Decision) String() string {
	verb := "unload"
	if d.Load {
		verb = "load"
	}
	return d.At.UTC().Format(time.RFC3339) + " " + verb + " " + d.Key.String() + " at " + d.Target +
		": " + d.Reason.String()
}
