package config

import (
	"sort"
	"strings"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/wire"
)

// Route matches requests to a plain service by method and path prefix.
type Route struct {
	// Service and Name come from the section name, "service/name".
	Service, Name string
	// Method is an HTTP method; empty matches any.
	Method string `ini:"method"`
	// Path is a path prefix; the longest matching prefix of a service applies.
	Path string `ini:"path"`
	// NonIdempotent marks requests that run at most once and need an idempotency key.
	NonIdempotent bool `ini:"nonIdempotent"`

	loc Location
}

// Routes lists routes in file order.
type Routes []Route

var methods = map[string]bool{
	"": true, "GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true,
}

func (rs *Routes) parse(loc Location, out *check.List) {
	service, name, _ := strings.Cut(loc.sec.Name, "/")
	r := Route{Service: service, Name: name, loc: loc}
	loc.sec.Decode(loc.path, &r, out)
	*rs = append(*rs, r)
}

func (rs Routes) validate(ss Services, out *check.List) {
	checkUnique(rs, func(r Route) string { return r.Service + " " + r.Method + " " + r.Path },
		func(r Route) Location { return r.loc }, out)
	for _, r := range rs {
		if r.Name == "" {
			out.Add(r.loc.finding("", "want [route SERVICE/NAME]"))
		}
		if !ss.has(r.Service) {
			out.Add(r.loc.finding("", "no file declares service %q", r.Service))
		}
		if !methods[r.Method] {
			out.Add(r.loc.finding("method", "%q is not an HTTP method in upper case", r.Method))
		}
		if !strings.HasPrefix(r.Path, "/") {
			out.Add(r.loc.finding("path", "%q does not start with /", r.Path))
		}
	}
}

func (rs Routes) compile(service string) []*wire.Route {
	var out []*wire.Route
	for _, r := range rs {
		if r.Service == service {
			out = append(out, &wire.Route{
				Method: r.Method, PathPrefix: r.Path, NonIdempotent: r.NonIdempotent,
			})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if len(out[i].PathPrefix) != len(out[j].PathPrefix) {
			return len(out[i].PathPrefix) > len(out[j].PathPrefix)
		}
		if out[i].PathPrefix != out[j].PathPrefix {
			return out[i].PathPrefix < out[j].PathPrefix
		}
		// A route for a specific method precedes the route for any method.
		return out[i].Method > out[j].Method
	})
	return out
}
