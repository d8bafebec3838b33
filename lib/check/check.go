// Package check collects validation errors with their positions in the input, so that
// all of them are reported at once.
package check

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one validation error.
type Finding struct {
	// File is the path as given by the user; empty if the input is not a file.
	File string
	// Line is the line number, starting at 1; 0 refers to the whole file.
	Line int
	// Field is the section and key, such as "model patterns.bytes".
	Field string
	// Message states the error and the expected value.
	Message string
}

// String formats the finding as "file:line: field: message".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a list of findings. The zero value is an empty list.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) { l.findings = append(l.findings, f) }

// Addf appends a finding without file and line.
func (l *List) Addf(field, format string, args ...any) {
	l.Add(Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Merge appends all findings of other.
func (l *List) Merge(other List) { l.findings = append(l.findings, other.findings...) }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// All returns the findings sorted by file and line.
func (l *List) All() []Finding {
	out := append([]Finding(nil), l.findings...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].File != out[j].File {
			return out[i].File < out[j].File
		}
		return out[i].Line < out[j].Line
	})
	return out
}

// Err returns nil if the list is empty, otherwise an *Error with all findings.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error is an error with all findings about an input. Its text has one per line.
type Error struct {
	// Findings is never empty.
	Findings []Finding
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
