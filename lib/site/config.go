// Package site holds the configuration of a deployment that routes foreign
// requests: which host and path belongs to which service, what may be repeated,
// and what the engines of a service can hold. It is pure and knows no encoding.
package site

import (
	"strings"
	"time"

	"bulrushpath.example/lib/check"
)

//go:generate stringer -type=Kind -linecomment

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota // safe
	// Once requests run at most once for each attempt of the client.
	Once // once
	// Stream requests answer with a series of events; see Route.Resumable.
	Stream // stream
)

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time until the header of a request is complete.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request of a client is kept.
	Timeout time.Duration
	// Objective is the time within which the answer, or the first event of a
	// stream, should reach the client.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that is on time.
	MaxGap time.Duration
	// Priority ranks the route; 0 goes first.
	Priority int
	// Splits share the requests between services; at least one weight is above zero.
	Splits []Split
	// MaxAttempts is the highest number of targets that may run one request.
	MaxAttempts int
	// Resumable says that a stream may go on at another target after its last event.
	Resumable bool
}

// Repeatable says whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Urgency is the rank that engines give the requests of the route, 0 first: that
// of the operator, and then work for which somebody waits before work that may
// take seconds.
func (r *Route) Urgency() int {
	n := 1 + 2*r.Priority
	if r.Objective > patientAfter {
		n += 2
	}
	return min(max(n, 0), maxUrgency)
}

const (
	// patientAfter is the objective above which nobody waits for the answer.
	patientAfter = time.Second
	// maxUrgency is the last rank that engines know.
	maxUrgency = 9
)

// Split is the share of one service in the requests of a route.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of targets that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVTokens is the memory of an engine for running requests and cached prompts.
	KVTokens int
	// TokenBytes is the size of one cached token, and LinkMbps the rate at which
	// engines copy caches from one another; 0 if they cannot.
	TokenBytes float64
	LinkMbps   float64
	// MemoryMB is the memory of an engine for weights and adapters.
	MemoryMB float64
	// AdapterPlaces is the number of adapters that an engine holds.
	AdapterPlaces int
	// LoadsPerSecond is the rate that the weight store allows over all engines.
	LoadsPerSecond float64
	// HostMB and DiskMB bound the copies of weights that an engine keeps outside
	// its accelerator.
	HostMB, DiskMB float64
	Models         []Model
}

// Model is one model that the engines of a service can hold.
type Model struct {
	Name string
	// MB is the size of its weights.
	MB float64
	// Load, Disk and Warm are the times of a load from the weight store, from the
	// disk of the engine and from the memory of its host.
	Load, Disk, Warm time.Duration
	// Adapters is the number of adapters of this model, each of AdapterMB.
	Adapters  int
	AdapterMB float64
}

// CutAdapter splits "model/adapter"; ok is false for a model without an adapter.
func CutAdapter(name string) (model, adapter string, ok bool) {
	return strings.Cut(name, "/")
}

// CopyRate is the number of cached tokens that engines copy in a millisecond.
func (e *Engine) CopyRate() float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	return e.LinkMbps * 1e6 / 8 / e.TokenBytes / 1000
}

// Model returns the model of that name; nil if the engines do not hold it.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Validate adds a finding for each part of the configuration that cannot be served.
func (c *Config) Validate(out *check.List) {
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			out.Addf("services", "service %d has no name", i)
		}
		if services[s.Name] {
			out.Addf("services", "%q stands twice", s.Name)
		}
		services[s.Name] = true
	}
	places := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		r.validate(services, out)
		place := [2]string{r.Host, r.Prefix}
		if other, ok := places[place]; ok {
			out.Addf("routes."+r.Name, "has the host and prefix of %q", other)
		}
		places[place] = r.Name
	}
}

func (r *Route) validate(services map[string]bool, out *check.List) {
	field := "routes." + r.Name
	if r.Host == "" {
		out.Addf(field, "has no host")
	}
	if n := len(r.Prefix); n == 0 || r.Prefix[0] != '/' || r.Prefix[n-1] != '/' {
		out.Addf(field, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		out.Addf(field, "timeout %s is not above zero", r.Timeout)
	}
	sum := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			out.Addf(field, "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			out.Addf(field, "weight %d of %q is negative", s.Weight, s.Service)
		}
		sum += max(s.Weight, 0)
	}
	if sum == 0 {
		out.Addf(field, "its weights add up to 0")
	}
}
