package state

import (
	"fmt"
	"regexp"
	"strings"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/wire"
)

// maxConfigBytes keeps a configuration well below the maximum size of a message.
const maxConfigBytes = 4 << 20

const namePattern = `[A-Za-z0-9][A-Za-z0-9._-]{0,63}`

var nameRegexp = regexp.MustCompile(`^` + namePattern + `$`)

// Validate checks the names, sizes, references and duplicates of a configuration
// before it is published. The error lists all findings.
func Validate(cfg *wire.Config) error {
	var out check.List
	if n := proto.Size(cfg); n > maxConfigBytes {
		out.Addf("config", "has %d bytes, want at most %d", n, maxConfigBytes)
	}
	teams := nameSet{kind: "team", out: &out}
	for _, t := range cfg.GetTeams() {
		teams.add(t.GetName())
		checkPercent(&out, "team "+t.GetName()+".lendPercent", t.GetLendPercent())
	}
	models := nameSet{kind: "model", out: &out}
	for _, m := range cfg.GetModels() {
		models.add(m.GetName())
		validateModel(&out, m, &teams)
	}
	services := nameSet{kind: "service", out: &out}
	for _, s := range cfg.GetServices() {
		services.add(s.GetName())
		validateService(&out, s, &teams)
	}
	if ws := cfg.GetWeightStore(); ws != nil && (ws.GetLoadsPerKilosecond() == 0 || ws.GetLoadsAtOnce() == 0) {
		out.Addf("weightStore", "loads per kilosecond and loads at once must be above 0")
	}
	p := cfg.GetPolicy()
	checkPercent(&out, "policy.longSlotPercent", p.GetLongSlotPercent())
	checkPercent(&out, "policy.hedgePercent", p.GetHedgePercent())
	if p.GetClaimRetentionMillis() > uint64(maxRetention.Milliseconds()) {
		out.Addf("policy.claimRetention", "is longer than %s", maxRetention)
	}
	return out.Err()
}

func validateModel(out *check.List, m *wire.Model, teams *nameSet) {
	field := "model " + m.GetName()
	if !nameRegexp.MatchString(m.GetVersion()) {
		out.Addf(field+".version", "%q does not match %s", m.GetVersion(), namePattern)
	}
	teams.checkReference(field+".team", m.GetTeam())
	if m.GetBytes() == 0 {
		out.Addf(field+".bytes", "is 0")
	}
	if m.GetMinCopies() == 0 {
		out.Addf(field+".minCopies", "is 0, want at least 1 so that the model stays reachable")
	}
	if m.GetMaxCopies() != 0 && m.GetMaxCopies() < m.GetMinCopies() {
		out.Addf(field+".maxCopies", "%d is below minCopies %d", m.GetMaxCopies(), m.GetMinCopies())
	}
	adapters := nameSet{kind: "adapter of " + field, out: out}
	for _, a := range m.GetAdapters() {
		adapters.add(a.GetName())
		if a.GetBytes() == 0 {
			out.Addf(field+".adapter "+a.GetName(), "has 0 bytes")
		}
	}
}

func validateService(out *check.List, s *wire.Service, teams *nameSet) {
	field := "service " + s.GetName()
	teams.checkReference(field+".team", s.GetTeam())
	seen := make(map[string]bool)
	for _, r := range s.GetRoutes() {
		route := strings.TrimSpace(r.GetMethod() + " " + r.GetPathPrefix())
		if !strings.HasPrefix(r.GetPathPrefix(), "/") {
			out.Addf(field+".route", "path of %q does not start with /", route)
		}
		if seen[route] {
			out.Addf(field+".route", "%q is declared more than once", route)
		}
		seen[route] = true
	}
}

func checkPercent(out *check.List, field string, v uint32) {
	if v > 100 {
		out.Addf(field, "%d is above 100 percent", v)
	}
}

// nameSet collects the names of one kind and reports invalid and duplicate ones.
type nameSet struct {
	kind string
	out  *check.List
	seen map[string]bool
}

func (n *nameSet) add(name string) {
	switch {
	case !nameRegexp.MatchString(name):
		n.out.Addf(n.kind, "name %q does not match %s", name, namePattern)
	case n.seen[name]:
		n.out.Addf(fmt.Sprintf("%s %s", n.kind, name), "is declared more than once")
	}
	if n.seen == nil {
		n.seen = make(map[string]bool)
	}
	n.seen[name] = true
}

// checkReference reports a reference to an undeclared name; an empty name is allowed.
func (n *nameSet) checkReference(field, name string) {
	if name != "" && !n.seen[name] {
		n.out.Addf(field, "%q is not declared", name)
	}
}
