package wire

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Label returns the name of an enum value for logs, metrics and operators: in camel
// case and without the prefix of the type, such as "notRun" for RUN_OUTCOME_NOT_RUN.
// For a value unknown to this version it returns the number.
func Label(e protoreflect.Enum) string {
	v := e.Descriptor().Values().ByNumber(e.Number())
	if v == nil {
		return strconv.Itoa(int(e.Number()))
	}
	prefix := typePrefix(string(e.Descriptor().Name()))
	words := strings.Split(strings.ToLower(strings.TrimPrefix(string(v.Name()), prefix)), "_")
	for i, w := range words[1:] {
		words[i+1] = strings.ToUpper(w[:1]) + w[1:]
	}
	return strings.Join(words, "")
}

// typePrefix returns the common prefix of the values of an enum type, such as
// "RUN_OUTCOME_" for RunOutcome.
func typePrefix(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToUpper(b.String()) + "_"
}
