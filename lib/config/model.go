package config

import (
	"sort"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/inidoc"
	"bulrushpath.example/lib/wire"
)

// Defaults for keys that a file omits. Services use defaultPriority too.
const (
	defaultMinCopies = 2
	defaultMaxCopies = 8
	defaultPriority  = 5
)

// Model is a model for which a minimum number of copies must stay resident.
type Model struct {
	Name    string
	Version string       `ini:"version"`
	Team    string       `ini:"team"`
	Bytes   inidoc.Bytes `ini:"bytes"`
	// MinCopies is the minimum number of resident copies. With 1, the loss of a target
	// makes the model unavailable until it is loaded elsewhere.
	MinCopies uint32 `ini:"minCopies"`
	MaxCopies uint32 `ini:"maxCopies"`
	// Priority ranges from 0 to 9, where 9 is the highest.
	Priority uint32 `ini:"priority"`

	loc Location
}

// Models lists models in file order.
type Models []Model

// Defaults sets the values of optional keys.
func (m *Model) Defaults() {
	m.MinCopies = defaultMinCopies
	m.MaxCopies = defaultMaxCopies
	m.Priority = defaultPriority
}

func (ms *Models) parse(loc Location, out *check.List) {
	m := Model{Name: loc.sec.Name, loc: loc}
	m.Defaults()
	loc.sec.Decode(loc.path, &m, out)
	*ms = append(*ms, m)
}

func (ms Models) has(name string) bool {
	for _, m := range ms {
		if m.Name == name {
			return true
		}
	}
	return false
}

func (ms Models) validate(ts Teams, out *check.List) {
	checkUnique(ms, func(m Model) string { return m.Name }, func(m Model) Location { return m.loc }, out)
	for _, m := range ms {
		checkName(m.loc, "", m.Name, out)
		checkName(m.loc, "version", m.Version, out)
		checkTeam(m.loc, m.Team, ts, out)
		checkPriority(m.loc, m.Priority, out)
		if m.Bytes == 0 {
			out.Add(m.loc.finding("bytes", "missing; want the size in accelerator memory, such as 14GiB"))
		}
		if m.MinCopies == 0 {
			out.Add(m.loc.finding("minCopies", "want at least 1: every declared model stays reachable"))
		}
		if m.MaxCopies < m.MinCopies {
			out.Add(m.loc.finding("maxCopies", "%d is less than minCopies, %d", m.MaxCopies, m.MinCopies))
		}
	}
}

func (ms Models) compile(as Adapters) []*wire.Model {
	out := make([]*wire.Model, len(ms))
	for i, m := range ms {
		out[i] = &wire.Model{
			Name: m.Name, Version: m.Version, Team: m.Team, Bytes: uint64(m.Bytes),
			MinCopies: m.MinCopies, MaxCopies: m.MaxCopies, Priority: m.Priority,
			Adapters: as.compile(m.Name),
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
