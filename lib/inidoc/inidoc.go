// Package inidoc parses INI files into structs. It records the line numbers of section
// headers and of keys written with "=", so that findings can refer to them.
package inidoc

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"

	"bulrushpath.example/lib/check"
)

// Doc is a parsed INI file.
type Doc struct {
	// Path is the path given to Load or Parse.
	Path string
	// Sections lists the sections in file order. The unnamed default section is
	// included only if it has keys.
	Sections []Section
}

// Section is a section of a file. Several sections may have the same name.
type Section struct {
	// Kind is the first word of the header, such as "model" in [model patterns].
	Kind string
	// Name is the rest of the header, such as "patterns"; it may be empty.
	Name string
	// Line is the line number of the header, counted from 1; 0 for the default section.
	Line int
	// Keys lists the keys in file order.
	Keys []Key
}

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	// Line is the line number, counted from 1; 0 for a key written with ":".
	Line int
}

// Load reads the file at path.
func Load(path string) (*Doc, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	return Parse(path, data)
}

// Parse parses data. The path is used in findings only. The error is a *check.Error.
func Parse(path string, data []byte) (*Doc, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:  true,
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: false,
	}, data)
	if err != nil {
		findings := findMalformedLines(path, data)
		if len(findings) == 0 {
			findings = []check.Finding{{File: path, Message: err.Error()}}
		}
		return nil, &check.Error{Findings: findings}
	}
	headers, keyLines := scanLines(data)
	doc := &Doc{Path: path}
	headerCount := 0
	for _, sec := range f.Sections() {
		s := Section{}
		if sec.Name() != ini.DefaultSection {
			s.Kind, s.Name, _ = strings.Cut(sec.Name(), " ")
			s.Name = strings.TrimSpace(s.Name)
			if headerCount < len(headers) {
				s.Line = headers[headerCount]
			}
			headerCount++
		}
		for _, k := range sec.Keys() {
			s.Keys = append(s.Keys, Key{
				Name:  k.Name(),
				Value: strings.TrimSpace(k.Value()),
				Line:  keyLines[lineKey{s.Line, k.Name()}],
			})
		}
		if s.Kind != "" || len(s.Keys) > 0 {
			doc.Sections = append(doc.Sections, s)
		}
	}
	return doc, nil
}

// findMalformedLines returns a finding for each line that is not a section header, a
// key-value pair, a comment or blank. The ini library reports only the first such line,
// and without its line number.
func findMalformedLines(path string, data []byte) (out []check.Finding) {
	sc := bufio.NewScanner(bytes.NewReader(data))
	sc.Buffer(nil, len(data)+1)
	for n := 1; sc.Scan(); n++ {
		text := strings.TrimSpace(sc.Text())
		message := ""
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			if !strings.Contains(text, "]") {
				message = "unclosed section"
			}
		case !strings.ContainsAny(text, "=:"):
			message = "want key = value"
		case strings.IndexAny(text, "=:") == 0:
			message = "key is missing before the separator"
		}
		if message != "" {
			out = append(out, check.Finding{File: path, Line: n, Message: fmt.Sprintf("%s: %q", message, text)})
		}
	}
	return out
}

type lineKey struct {
	headerLine int
	name       string
}

// scanLines returns the line numbers of headers and of keys written with "=", which
// ini.v1 does not report.
func scanLines(data []byte) (headers []int, keys map[lineKey]int) {
	keys = make(map[lineKey]int)
	sc := bufio.NewScanner(bytes.NewReader(data))
	sc.Buffer(nil, len(data)+1)
	headerLine := 0
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[':
			headerLine = n
			headers = append(headers, n)
		default:
			name, _, found := strings.Cut(line, "=")
			if found {
				keys[lineKey{headerLine, strings.TrimSpace(name)}] = n
			}
		}
	}
	return headers, keys
}

// Finding returns a finding at the line of the key, or at the header if the section
// does not have the key.
func (s Section) Finding(path, key, message string) check.Finding {
	line := s.Line
	for _, k := range s.Keys {
		if k.Name == key {
			line = k.Line
		}
	}
	field := strings.TrimSpace(s.Kind + " " + s.Name)
	if key != "" {
		if field != "" {
			field += "."
		}
		field += key
	}
	return check.Finding{File: path, Line: line, Field: field, Message: message}
}
