// Package mixed generates a reproducible mix of requests from a seed.
package mixed

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

//go:generate stringer -type=Class

// Class is a kind of request.
type Class int

// Classes of requests.
const (
	// Short is a generation of 8 to 32 tokens with a single JSON response.
	Short Class = iota
	// ShortStream is a short generation that is streamed.
	ShortStream
	// Long is a generation of 128 to 320 tokens.
	Long
	// LongStream is a long generation that is streamed.
	LongStream
	// Adapted is a short generation with an adapter.
	Adapted
	// Payment is a non-idempotent call to a plain service.
	Payment
	// Doubled is a payment that is sent twice at about the same time, through two
	// entry instances.
	Doubled
	classes
)

// Classes returns all classes in report order.
func Classes() []Class {
	all := make([]Class, classes)
	for i := range all {
		all[i] = Class(i)
	}
	return all
}

// Model is a model that generations request.
type Model struct {
	Name     string
	Versions []string
	Adapters []string
}

// UnmarshalText parses NAME@VERSION[|VERSION...][+ADAPTER...].
func (m *Model) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), "+")
	name, versions, found := strings.Cut(parts[0], "@")
	if !found || name == "" || versions == "" {
		return fmt.Errorf("%q is not NAME@VERSION[|VERSION...][+ADAPTER...]", text)
	}
	*m = Model{Name: name, Versions: strings.Split(versions, "|"), Adapters: parts[1:]}
	return nil
}

// Route is a non-idempotent route of a plain service.
type Route struct {
	Service, Method, Path string
}

// UnmarshalText parses SERVICE:METHOD:/PATH.
func (r *Route) UnmarshalText(text []byte) error {
	parts := strings.SplitN(string(text), ":", 3)
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "/") {
		return fmt.Errorf("%q is not SERVICE:METHOD:/PATH", text)
	}
	*r = Route{Service: parts[0], Method: parts[1], Path: parts[2]}
	return nil
}

// Request describes one request of the mix.
type Request struct {
	Class Class
	// Interarrival is the time from the start of the previous request to this one.
	Interarrival time.Duration
	Deadline     time.Duration

	Model     Model
	Adapter   string
	Prompt    string
	MaxTokens int
	Priority  int

	Route Route
	Ref   string
	// ResendDelay is the delay between the two sends of a Doubled call.
	ResendDelay time.Duration
}

// Source generates the requests of a mix; equal seeds give equal requests.
type Source struct {
	rng    *rand.Rand
	models []Model
	routes []Route
	rate   float64
	// prefix makes refs unique across runs.
	prefix string
	n      int
	// documents are prompt prefixes shared by many requests, as in one vendor's traffic
	// over a day.
	documents []string
}

// New returns a source whose requests arrive at rate per second; refs start with prefix.
func New(seed uint64, rate float64, prefix string, models []Model, routes []Route) *Source {
	s := &Source{
		rng: rand.New(rand.NewPCG(seed, 0x6d69786564)), models: models, routes: routes,
		rate: rate, prefix: prefix,
	}
	for i := range 8 {
		s.documents = append(s.documents, s.randomText(fmt.Sprintf("document %d: ", i), 600+s.rng.IntN(600)))
	}
	return s
}

// randomText returns start followed by random words, at least n bytes in total.
func (s *Source) randomText(start string, n int) string {
	var b strings.Builder
	b.WriteString(start)
	for b.Len() < n {
		fmt.Fprintf(&b, "%x ", s.rng.Uint32())
	}
	return b.String()
}

// classShares holds the share of each class in percent.
var classShares = [classes]int{Short: 30, ShortStream: 20, Long: 5, LongStream: 5, Adapted: 15, Payment: 20, Doubled: 5}

// Next returns the next request.
func (s *Source) Next() Request {
	s.n++
	req := Request{
		Interarrival: time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second)),
		Priority:     s.rng.IntN(10),
		Class:        s.pickClass(),
		Deadline:     10 * time.Second,
	}
	if req.Class == Payment || req.Class == Doubled {
		req.Route = s.routes[s.rng.IntN(len(s.routes))]
		req.Ref = fmt.Sprintf("%s-%d", s.prefix, s.n)
		req.ResendDelay = time.Duration(s.rng.Int64N(int64(30 * time.Millisecond)))
		return req
	}
	req.Model = s.models[s.rng.IntN(len(s.models))]
	req.MaxTokens = 8 + s.rng.IntN(25)
	switch req.Class {
	case Long, LongStream:
		req.MaxTokens = 128 + s.rng.IntN(193)
		req.Deadline = 30 * time.Second
	case Adapted:
		if n := len(req.Model.Adapters); n > 0 {
			req.Adapter = req.Model.Adapters[s.rng.IntN(n)]
		}
	}
	req.Prompt = fmt.Sprintf("%squestion %s-%d", s.documents[s.rng.IntN(len(s.documents))], s.prefix, s.n)
	return req
}

func (s *Source) pickClass() Class {
	total := 0
	for c, share := range classShares {
		if s.available(Class(c)) {
			total += share
		}
	}
	offset := s.rng.IntN(total)
	for c, share := range classShares {
		if !s.available(Class(c)) {
			continue
		}
		if offset < share {
			return Class(c)
		}
		offset -= share
	}
	return Short
}

// available reports whether the source has the models, adapters or routes that c needs.
func (s *Source) available(c Class) bool {
	switch c {
	case Payment, Doubled:
		return len(s.routes) > 0
	case Adapted:
		for _, m := range s.models {
			if len(m.Adapters) > 0 {
				return true
			}
		}
		return false
	}
	return len(s.models) > 0
}
