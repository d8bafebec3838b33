package config

import (
	"sort"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/wire"
)

// Service is a plain HTTP service, which runs alongside the model engines.
type Service struct {
	Name string
	Team string `ini:"team"`
	// Priority ranges from 0 to 9, where 9 is the highest.
	Priority uint32 `ini:"priority"`

	loc Location
}

// Services lists plain services in file order.
type Services []Service

func (ss *Services) parse(loc Location, out *check.List) {
	s := Service{Name: loc.sec.Name, Priority: defaultPriority, loc: loc}
	loc.sec.Decode(loc.path, &s, out)
	*ss = append(*ss, s)
}

func (ss Services) has(name string) bool {
	for _, s := range ss {
		if s.Name == name {
			return true
		}
	}
	return false
}

func (ss Services) validate(ts Teams, out *check.List) {
	checkUnique(ss, func(s Service) string { return s.Name }, func(s Service) Location { return s.loc }, out)
	for _, s := range ss {
		checkName(s.loc, "", s.Name, out)
		checkTeam(s.loc, s.Team, ts, out)
		checkPriority(s.loc, s.Priority, out)
	}
}

func (ss Services) compile(rs Routes) []*wire.Service {
	out := make([]*wire.Service, len(ss))
	for i, s := range ss {
		out[i] = &wire.Service{
			Name: s.Name, Team: s.Team, Priority: s.Priority, Routes: rs.compile(s.Name),
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
