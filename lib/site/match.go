package site

import (
	"net"
	"slices"
	"strings"

	"bulrushpath.example/lib/keys"
)

// Index looks up the routes and services of one configuration. It is immutable.
type Index struct {
	Config *Config
	// hosts holds the routes of each lowercase host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	// customers holds the customer of each key.
	customers map[keys.Digest]*Customer
	// quotas holds the quotas of the customers that have one, by name.
	quotas map[string]*Quota
	// customerPriorities and routeLevels hold the priorities of the customers, and the engine
	// priorities of the routes, in ascending order and without duplicates.
	customerPriorities, routeLevels []int
}

// NewIndex indexes a configuration, which must not be modified afterwards.
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
	x.indexCustomers()
	return x
}

// Route returns the route of the host with the longest prefix of path; nil if there is
// none. host may include a port.
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

// Service returns the service with the given name; nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pick returns the service for a request, in proportion to the weights; at is a random
// number in [0, 1). Services for which avoid is true are used only if all other weights
// are zero.
func (r *Route) Pick(at float64, avoid func(service string) bool) string {
	sum := 0
	for _, s := range r.Splits {
		if !avoid(s.Service) {
			sum += s.Weight
		}
	}
	useAll := sum == 0
	if useAll {
		for _, s := range r.Splits {
			sum += s.Weight
		}
	}
	n := int(at * float64(sum))
	for _, s := range r.Splits {
		if !useAll && avoid(s.Service) {
			continue
		}
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return ""
}
