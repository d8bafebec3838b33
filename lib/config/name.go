package config

import (
	"regexp"

	"bulrushpath.example/lib/check"
)

// namePattern limits names to characters that are safe in HTTP headers, metric tags,
// file names and URLs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

const nameHint = "want 1 to 64 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit"

const maxPriority = 9

func checkName(loc Location, key, name string, out *check.List) {
	if !namePattern.MatchString(name) {
		out.Add(loc.finding(key, "%q: %s", name, nameHint))
	}
}

func checkPriority(loc Location, priority uint32, out *check.List) {
	if priority > maxPriority {
		out.Add(loc.finding("priority", "%d is not between 0 and %d", priority, maxPriority))
	}
}

// checkUnique adds a finding for each declaration that repeats an earlier name.
func checkUnique[T any](list []T, name func(T) string, at func(T) Location, out *check.List) {
	first := make(map[string]Location)
	for _, item := range list {
		if l, ok := first[name(item)]; ok {
			out.Add(at(item).finding("", "already declared at %s", l))
			continue
		}
		first[name(item)] = at(item)
	}
}
