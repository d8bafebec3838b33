// Package site defines the configuration of a deployment that relays requests: which
// host and path belong to which service, which requests may be repeated, and which models
// the engines of a service can hold. It performs no I/O and is independent of the encoding.
package site

import (
	"strings"
	"time"

	"bulrushpath.example/lib/check"
)

//go:generate stringer -type=Kind -linecomment

// Kind tells which requests of a route may be repeated.
type Kind int

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota // safe
	// Once requests run at most once per attempt of the client.
	Once // once
	// Stream requests get a stream of events as their response; see Route.Resumable.
	Stream // stream
)

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// KeysRequired reports whether requests need the API key of a customer, except on public
	// routes.
	KeysRequired bool
	Customers    []Customer
}

// Limits limits the size and duration of client requests.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout limits the time to receive the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout time.Duration
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time to serve a client request.
	Timeout time.Duration
	// Objective is the latency objective: the time within which the response, or the
	// first event of a stream, should reach the client.
	Objective time.Duration
	// MaxGap is the objective for the gap between two events of a stream.
	MaxGap time.Duration
	// Priority ranks the route; 0 is the highest priority.
	Priority int
	// Splits divides the requests between services. At least one weight is positive.
	Splits []Split
	// MaxAttempts limits the number of targets that may run one request.
	MaxAttempts int
	// Resumable reports whether an interrupted stream may continue at another target after
	// its last event.
	Resumable bool
	// Public reports whether requests need no API key.
	Public bool
}

// Repeatable reports whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// EnginePriority returns the priority that engines give to the requests of the route; the
// lowest value goes first. It follows Priority, but a route whose Objective is above
// maxInteractiveObjective ranks one step lower, so that interactive requests go before
// batch ones.
func (r *Route) EnginePriority() int {
	n := 1 + 2*r.Priority
	if r.Objective > maxInteractiveObjective {
		n += 2
	}
	return min(max(n, 0), lowestEnginePriority)
}

const (
	// maxInteractiveObjective is the objective above which a route is not considered
	// interactive.
	maxInteractiveObjective = time.Second
	// lowestEnginePriority is the lowest priority that engines support.
	lowestEnginePriority = 9
)

// Split is the weight of a service among the requests of a route.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts in total.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVTokens is the key-value memory of an engine for running requests and cached
	// prompts, in tokens.
	KVTokens int
	// TokenBytes is the size of a cached token, and LinkMbps the rate at which engines
	// copy cached prompts from one another. Both are 0 if they don't support it.
	TokenBytes float64
	LinkMbps   float64
	// MemoryMB is the accelerator memory of an engine for weights and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapter slots of an engine.
	AdapterSlots int
	// LoadsPerSecond is the load rate that the weight store allows, over all engines.
	LoadsPerSecond float64
	// HostMB and DiskMB limit the weights that an engine caches in host memory and on
	// disk.
	HostMB, DiskMB float64
	Models         []Model
}

// Model is a model that the engines of a service can hold.
type Model struct {
	Name string
	// MB is the size of its weights.
	MB float64
	// StoreLoadTime, DiskLoadTime and HostLoadTime are the durations of a load from the
	// weight store, from the engine's disk and from its host memory.
	StoreLoadTime, DiskLoadTime, HostLoadTime time.Duration
	// Adapters is the number of adapters of this model, AdapterMB the size of each.
	Adapters  int
	AdapterMB float64
}

// CutAdapter splits "model/adapter"; ok is false if the name has no adapter.
func CutAdapter(name string) (model, adapter string, ok bool) {
	return strings.Cut(name, "/")
}

// CopyRate returns the rate at which engines copy cached prompts, in tokens per
// millisecond; 0 if they don't support it.
func (e *Engine) CopyRate() float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	return e.LinkMbps * 1e6 / 8 / e.TokenBytes / 1000
}

// Model returns the model with the given name; nil if it is not configured.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Validate adds a finding to out for each invalid part of the configuration.
func (c *Config) Validate(out *check.List) {
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			out.Addf("services", "service %d has no name", i)
		}
		if services[s.Name] {
			out.Addf("services", "%q is defined twice", s.Name)
		}
		services[s.Name] = true
	}
	byPrefix := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		r.validate(services, out)
		prefix := [2]string{r.Host, r.Prefix}
		if other, ok := byPrefix[prefix]; ok {
			out.Addf("routes."+r.Name, "has the same host and prefix as %q", other)
		}
		byPrefix[prefix] = r.Name
	}
	c.validateCustomers(out)
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
		out.Addf(field, "the weights of its splits add up to 0")
	}
}
