package site

import (
	"net"
	"slices"
	"strings"
)

// Index finds routes and services of one configuration; it is immutable.
type Index struct {
	Config *Config
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewIndex indexes a configuration, which must not change afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config: c, hosts: make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, list := range x.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Route returns the route with the longest prefix of path at host, which may
// carry a port; nil if there is none.
func (x *Index) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name; nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pick returns the service for a request; at is drawn from [0, 1). A service
// in avoid is chosen only if no other one has a share.
func (r *Route) Pick(at float64, avoid func(service string) bool) string {
	sum := 0
	for _, s := range r.Splits {
		if !avoid(s.Service) {
			sum += s.Weight
		}
	}
	all := sum == 0
	if all {
		for _, s := range r.Splits {
			sum += s.Weight
		}
	}
	n := int(at * float64(sum))
	for _, s := range r.Splits {
		if !all && avoid(s.Service) {
			continue
		}
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return ""
}
