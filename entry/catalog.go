package entry

import (
	"strings"
	"time"

	"bulrushpath.example/lib/wire"
)

// catalog is one configuration, indexed. It is never changed once built.
type catalog struct {
	config   *wire.Config
	models   map[string]*wire.Model
	services map[string]*wire.Service
}

func newCatalog(c *wire.Config) *catalog {
	cat := &catalog{
		config:   c,
		models:   make(map[string]*wire.Model, len(c.GetModels())),
		services: make(map[string]*wire.Service, len(c.GetServices())),
	}
	for _, m := range c.GetModels() {
		cat.models[m.GetName()] = m
	}
	for _, s := range c.GetServices() {
		cat.services[s.GetName()] = s
	}
	return cat
}

// route returns the route of a call: the longest prefix of path, with the method
// or any method; nil if there is none. A prefix need not end at a path element:
// "/pay" also protects "/payments" from a second run.
func (c *catalog) route(s *wire.Service, method, path string) *wire.Route {
	var best *wire.Route
	for _, r := range s.GetRoutes() {
		if m := r.GetMethod(); m != "" && m != "*" && !strings.EqualFold(m, "ANY") && !strings.EqualFold(m, method) {
			continue
		}
		if !strings.HasPrefix(path, r.GetPathPrefix()) {
			continue
		}
		if best == nil || len(r.GetPathPrefix()) > len(best.GetPathPrefix()) ||
			len(r.GetPathPrefix()) == len(best.GetPathPrefix()) && r.GetNonIdempotent() {
			best = r
		}
	}
	return best
}

// hedgePercent is the share of requests that may be hedged.
func (c *catalog) hedgePercent() uint32 { return c.config.GetPolicy().GetHedgePercent() }

// deadline is the policy's default; zero if it sets none.
func (c *catalog) deadline() time.Duration {
	return time.Duration(c.config.GetPolicy().GetDefaultDeadlineMillis()) * time.Millisecond
}

func hasAdapter(m *wire.Model, name string) bool {
	for _, a := range m.GetAdapters() {
		if a.GetName() == name {
			return true
		}
	}
	return false
}
