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
	index := &configIndex{
		config:   c,
		models:   make(map[string]*wire.Model, len(c.GetModels())),
		services: make(map[string]*wire.Service, len(c.GetServices())),
	}
	for _, m := range c.GetModels() {
		index.models[m.GetName()] = m
	}
	for _, s := range c.GetServices() {
		index.services[s.GetName()] = s
	}
	return index
}

// matchRoute returns the route for a call: the one with the longest matching path
// prefix and a matching method; among equals, a non-idempotent one. It returns nil if
// no route matches. A prefix need not end at a path separator: "/pay" also protects
// "/payments" from running twice.
func (index *configIndex) matchRoute(s *wire.Service, method, path string) *wire.Route {
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
func (index *configIndex) hedgePercent() uint32 { return index.config.GetPolicy().GetHedgePercent() }

// deadline returns the default deadline of the policy, or zero if it has none.
func (index *configIndex) deadline() time.Duration {
	return time.Duration(index.config.GetPolicy().GetDefaultDeadlineMillis()) * time.Millisecond
}

func hasAdapter(m *wire.Model, name string) bool {
	for _, a := range m.GetAdapters() {
		if a.GetName() == name {
			return true
		}
	}
	return false
}
