package entry

import (
	"strings"
	"time"

	"bulrushpath.example/lib/wire"
)

// configIndex indexes one version of the configuration by name. It is immutable.
type configIndex struct {
	config   *wire.Config
	models   map[string]*wire.Model
	services map[string]*wire.Service
}

func newConfigIndex(c *wire.Config) *configIndex {
	cat := &configIndex{
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

// matchRoute returns the route for a call: the one with the longest matching path
// prefix whose method matches, and among equals a non-idempotent one. It returns nil if
// no route matches. A prefix need not end at a path separator: "/pay" also protects
// "/payments" from running twice.
func (c *configIndex) matchRoute(s *wire.Service, method, path string) *wire.Route {
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

// hedgePercent returns the percentage of requests that may be hedged.
func (c *configIndex) hedgePercent() uint32 { return c.config.GetPolicy().GetHedgePercent() }

// deadline returns the default deadline of the policy, or zero if it has none.
func (c *configIndex) deadline() time.Duration {
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
