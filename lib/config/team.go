package config

import (
	"sort"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/wire"
)

// Team owns targets and lends part of their capacity to other teams.
type Team struct {
	Name string
	// LendPercent is the percentage of each target's slots that other teams may use, 0 to 100.
	LendPercent uint32 `ini:"lendPercent"`

	loc Location
}

// Teams lists teams in file order.
type Teams []Team

func (ts *Teams) parse(loc Location, out *check.List) {
	t := Team{Name: loc.sec.Name, loc: loc}
	loc.sec.Decode(loc.path, &t, out)
	*ts = append(*ts, t)
}

func (ts Teams) has(name string) bool {
	for _, t := range ts {
		if t.Name == name {
			return true
		}
	}
	return false
}

func (ts Teams) validate(out *check.List) {
	checkUnique(ts, func(t Team) string { return t.Name }, func(t Team) Location { return t.loc }, out)
	for _, t := range ts {
		checkName(t.loc, "", t.Name, out)
		if t.LendPercent > 100 {
			out.Add(t.loc.finding("lendPercent", "%d is not between 0 and 100", t.LendPercent))
		}
	}
}

func (ts Teams) compile() []*wire.Team {
	out := make([]*wire.Team, len(ts))
	for i, t := range ts {
		out[i] = &wire.Team{Name: t.Name, LendPercent: t.LendPercent}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// checkTeam adds a finding if the owning team is missing or undeclared.
func checkTeam(loc Location, team string, ts Teams, out *check.List) {
	switch {
	case team == "":
		out.Add(loc.finding("team", "missing; want the team that owns it"))
	case !ts.has(team):
		out.Add(loc.finding("team", "no file declares team %q", team))
	}
}
