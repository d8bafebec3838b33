package main

import (
	"context"
	"fmt"
	"strings"

	"bulrushpath.example/lib/wire"
)

const explainUsage = `
Explains a model, service or target: its configuration, where it is resident,
what is being loaded, why a model has too few copies, and the latest placement
decisions that mention it.

Exit codes: 0 explained, 1 control group unreachable or name unknown.`

type explainCmd struct {
	controlFlags
	Name string `arg:"" help:"Name of a model, a service or a target."`
}

// Help returns the detailed help text of the command.
func (explainCmd) Help() string { return explainUsage }

// Run prints the explanation.
func (c *explainCmd) Run(ctx context.Context) error {
	st, err := c.status(ctx)
	if err != nil {
		return err
	}
	lines := explain(st, c.Name)
	if len(lines) == 0 {
		return fmt.Errorf("no model, service or target is named %q", c.Name)
	}
	fmt.Println(strings.Join(lines, "\n"))
	return nil
}

// explain returns lines that describe the entity with the given name; nil if the name is
// unknown.
func explain(st *wire.StatusReply, name string) []string {
	var lines []string
	for _, m := range st.GetConfig().GetModels() {
		if m.Name == name {
			lines = append(lines, explainModel(st, m)...)
		}
	}
	for _, s := range st.GetConfig().GetServices() {
		if s.Name == name {
			lines = append(lines, explainService(st, s)...)
		}
	}
	for _, a := range st.Targets {
		if a.Target == name {
			lines = append(lines, fmt.Sprintf("target %s of team %s in zone %s is %s, incarnation %d, memory %s",
				a.Target, a.Team, a.Zone, wire.Label(a.Phase), a.Incarnation, memoryUse(a)),
				"  resident: "+residentNames(a))
		}
	}
	if len(lines) == 0 {
		return nil
	}
	for _, d := range st.Decisions {
		if strings.Contains(d, name) {
			lines = append(lines, "  decided: "+d)
		}
	}
	return lines
}

func explainModel(st *wire.StatusReply, m *wire.Model) []string {
	lines := []string{fmt.Sprintf(
		"model %s, version %s, of team %s: %.1f GiB, %d adapters, wants %d to %d copies, priority %d",
		m.Name, m.Version, m.Team, gib(m.Bytes), len(m.Adapters), m.MinCopies, m.MaxCopies, m.Priority)}
	ready := 0
	for _, a := range st.Targets {
		for _, c := range a.Resident {
			if c.Model != m.Name || c.Adapter != "" {
				continue
			}
			state := "resident"
			if c.Version != m.Version {
				state = "resident in version " + c.Version
			} else if a.Phase == wire.Phase_PHASE_READY {
				ready++
			}
			lines = append(lines, fmt.Sprintf("  %s at %s in zone %s (%s), %d of %d adapters",
				state, a.Target, a.Zone, wire.Label(a.Phase), residentAdapters(a, m), len(m.Adapters)))
		}
		for _, c := range a.Loading {
			if c.Model == m.Name {
				lines = append(lines, fmt.Sprintf("  loading %s at %s", copyName(c), a.Target))
			}
		}
	}
	if ready < int(m.MinCopies) {
		lines = append(lines, fmt.Sprintf("  %d of %d wanted copies are ready; largest free memory of a ready target: %.1f GiB",
			ready, m.MinCopies, gib(largestFreeMemory(st))))
	}
	return lines
}

func explainService(st *wire.StatusReply, s *wire.Service) []string {
	lines := []string{fmt.Sprintf("service %s of team %s, priority %d", s.Name, s.Team, s.Priority)}
	for _, r := range s.Routes {
		rule := "may be repeated"
		if r.NonIdempotent {
			rule = "runs at most once"
		}
		lines = append(lines, fmt.Sprintf("  %s %s: %s", orNone(r.Method), r.PathPrefix, rule))
	}
	for _, a := range st.Targets {
		if a.Service == s.Name {
			lines = append(lines, fmt.Sprintf("  at %s in zone %s (%s)", a.Target, a.Zone, wire.Label(a.Phase)))
		}
	}
	return lines
}

// residentAdapters returns the number of adapters of m that are resident at a.
func residentAdapters(a *wire.Announcement, m *wire.Model) int {
	n := 0
	for _, c := range a.Resident {
		if c.Model == m.Name && c.Version == m.Version && c.Adapter != "" {
			n++
		}
	}
	return n
}

func largestFreeMemory(st *wire.StatusReply) uint64 {
	var largest uint64
	for _, a := range st.Targets {
		if a.Phase != wire.Phase_PHASE_READY {
			continue
		}
		var used uint64
		for _, list := range [][]*wire.Copy{a.Resident, a.Loading, a.Pinned} {
			for _, c := range list {
				used += c.Bytes
			}
		}
		if used < a.MemoryBytes {
			largest = max(largest, a.MemoryBytes-used)
		}
	}
	return largest
}
