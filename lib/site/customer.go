package site

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/keys"
)

//go:generate stringer -type=Unit -linecomment

// Unit is what a quota counts.
type Unit int

// The units of quotas.
const (
	// Requests counts each request once.
	Requests Unit = iota // requests
	// Tokens counts the tokens that a request declares: those of the prompt and the largest
	// number of output tokens.
	Tokens // tokens
)

// NoPriority is the Priority of a customer whose requests have the priority of their route.
const NoPriority = -1

// Customer is a group of clients that share API keys and a quota.
type Customer struct {
	// Name is passed on to targets.
	Name string
	Keys []keys.Digest
	// Priority takes precedence over the priority of routes; 0 is the highest, and NoPriority
	// leaves the priority to the route.
	Priority int
	Quota    Quota
}

// Quota limits what a customer sends over all entry instances together.
type Quota struct {
	// Rate is the limit per second, and Burst what may be sent at once beyond it. A Rate of 0
	// means no limit.
	Rate, Burst float64
	Unit        Unit
	// PlainTokens is the cost of a request that declares no tokens, if Unit is Tokens.
	PlainTokens int
}

// Limited reports whether the quota limits anything.
func (q *Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the cost of a request in Unit. tokens is the number that it declares; negative if
// it declares none.
func (q *Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case tokens < 0:
		return float64(q.PlainTokens)
	}
	return float64(tokens)
}

// validateCustomers adds a finding for each invalid customer.
func (c *Config) validateCustomers(out *check.List) {
	byName := make(map[string]bool, len(c.Customers))
	byKey := make(map[keys.Digest]string)
	empty := keys.DigestOf("")
	for i := range c.Customers {
		x := &c.Customers[i]
		field := "customers." + x.Name
		x.validate(i, out)
		if byName[x.Name] {
			out.Addf(field, "is defined twice")
		}
		byName[x.Name] = true
		for _, k := range x.Keys {
			other, used := byKey[k]
			switch {
			case k == empty:
				out.Addf(field, "has an empty key")
			case used && other != x.Name:
				out.Addf(field, "shares a key with %q", other)
			case used:
				out.Addf(field, "has a key twice")
			}
			byKey[k] = x.Name
		}
	}
}

// validate adds a finding for each invalid field of the customer at index i.
func (x *Customer) validate(i int, out *check.List) {
	field := "customers." + x.Name
	if x.Name == "" {
		out.Addf("customers", "customer %d has no name", i)
	}
	if strings.ContainsFunc(x.Name, func(r rune) bool { return r < ' ' || r > '~' }) || strings.TrimSpace(x.Name) != x.Name {
		out.Addf(field, "the name is not one that an HTTP header can hold")
	}
	for name, n := range map[string]float64{"rate": x.Quota.Rate, "burst": x.Quota.Burst, "number of plain tokens": float64(x.Quota.PlainTokens)} {
		if n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
			out.Addf(field, "the %s %v is not a number from 0", name, n)
		}
	}
}

// Customer returns the customer with the given key; nil if there is none.
func (x *Index) Customer(key keys.Digest) *Customer { return x.customers[key] }

// EnginePriority returns the priority that engines give to a request: that of the customer, and
// that of the route among the requests of customers with the same priority. customer is nil for
// a request without one.
func (x *Index) EnginePriority(r *Route, customer *Customer) int {
	level := r.EnginePriority()
	n := len(x.customerPriorities)
	if customer == nil || customer.Priority == NoPriority || n < 2 {
		return level
	}
	// Each priority of customers gets an equal part of the levels of engines.
	size := max((lowestEnginePriority+1)/n, 1)
	first, _ := slices.BinarySearch(x.customerPriorities, customer.Priority)
	within, _ := slices.BinarySearch(x.routeLevels, level)
	if len(x.routeLevels) > size {
		within = within * size / len(x.routeLevels)
	}
	return min(first*size+within, lowestEnginePriority)
}

// indexCustomers fills the fields of x that concern customers.
func (x *Index) indexCustomers() {
	c := x.Config
	x.customers = make(map[keys.Digest]*Customer, len(c.Customers))
	x.quotas = make(map[string]*Quota)
	for i := range c.Customers {
		customer := &c.Customers[i]
		for _, k := range customer.Keys {
			x.customers[k] = customer
		}
		if customer.Priority != NoPriority {
			x.customerPriorities = insertSorted(x.customerPriorities, customer.Priority)
		}
		if customer.Quota.Limited() {
			x.quotas[customer.Name] = &customer.Quota
		}
	}
	for i := range c.Routes {
		x.routeLevels = insertSorted(x.routeLevels, c.Routes[i].EnginePriority())
	}
}

// HasQuotas reports whether any customer has a quota.
func (x *Index) HasQuotas() bool { return len(x.quotas) > 0 }

// Quota returns the quota of the customer with the given name; nil if it has none.
func (x *Index) Quota(customer string) *Quota { return x.quotas[customer] }

// insertSorted inserts v into a sorted list without duplicates.
func insertSorted[T cmp.Ordered](list []T, v T) []T {
	i, found := slices.BinarySearch(list, v)
	if found {
		return list
	}
	return slices.Insert(list, i, v)
}
