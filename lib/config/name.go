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

func checkName(at Place, key, name string, out *check.List) {
	if !namePattern.MatchString(name) {
		out.Add(at.finding(key, "%q: %s", name, nameHint))
	}
}

func checkPriority(at Place, priority uint32, out *check.List) {
	if priority > maxPriority {
		out.Add(at.finding("priority", "%d is not between 0 and %d", priority, maxPriority))
	}
}

// checkUnique adds a finding for each declaration that repeats an earlier name.
func checkUnique[T any](list []T, name func(T) string, at func(T) Place, out *check.List) {
	first := make(map[string]Place)
	for _, item := range list {
		if p, ok := first[name(item)]; ok {
			out.Add(at(item).finding("", "already declared at %s", p))
			continue
		}
		first[name(item)] = at(item)
	}
}
