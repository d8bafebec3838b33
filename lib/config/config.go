// Package config reads the operators' files, validates them as a whole and
// compiles them into a single configuration.
package config

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/inidoc"
	"bulrushpath.example/lib/wire"
)

// fileSuffix is how Find recognizes the operators' files in a directory, which may
// hold the source code of a service as well.
const fileSuffix = ".bulrush.ini"

// Set holds the parsed content of all operators' files, grouped by entity.
type Set struct {
	Teams    Teams
	Models   Models
	Adapters Adapters
	Services Services
	Routes   Routes
	// Store is the weight store, which must be declared exactly once.
	Store WeightStore
	// Policy may be left undeclared, because every key has a default.
	Policy Policy
}

// Location is the source location of a declaration.
type Location struct {
	path string
	sec  inidoc.Section
}

func (l Location) finding(key, format string, args ...any) check.Finding {
	return l.sec.Finding(l.path, key, fmt.Sprintf(format, args...))
}

// String returns "file:line".
func (l Location) String() string { return fmt.Sprintf("%s:%d", l.path, l.sec.Line) }

// Find returns the operators' files at the given paths, sorted. Directories are
// searched recursively for files ending in ".bulrush.ini"; a path to a file is
// returned whatever its name.
func Find(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("find operators' files: %w", err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		err = filepath.WalkDir(path, func(p string, d os.DirEntry, err error) error {
			if err == nil && !d.IsDir() && strings.HasSuffix(p, fileSuffix) {
				files = append(files, p)
			}
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("find operators' files: %w", err)
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no files ending in %s in %s", fileSuffix, strings.Join(paths, ", "))
	}
	sort.Strings(files)
	return files, nil
}

// Load reads, validates and compiles the files. The error is a *check.Error with the
// findings of all files, or names the first file that could not be read.
func Load(files []string) (*wire.Config, error) {
	set := &Set{}
	set.Policy.Defaults()
	var findings check.List
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read operators' file: %w", err)
		}
		set.Parse(path, data, &findings)
	}
	set.Validate(&findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return set.Compile(), nil
}

// Parse adds the content of one file to the set.
func (s *Set) Parse(path string, data []byte, out *check.List) {
	doc, err := inidoc.Parse(path, data)
	var parseErr *check.Error
	if errors.As(err, &parseErr) {
		for _, f := range parseErr.Findings {
			out.Add(f)
		}
		return
	}
	for _, sec := range doc.Sections {
		loc := Location{path, sec}
		switch sec.Kind {
		case "team":
			s.Teams.parse(loc, out)
		case "model":
			s.Models.parse(loc, out)
		case "adapter":
			s.Adapters.parse(loc, out)
		case "service":
			s.Services.parse(loc, out)
		case "route":
			s.Routes.parse(loc, out)
		case "weightStore":
			s.Store.parse(loc, out)
		case "policy":
			s.Policy.parse(loc, out)
		default:
			out.Add(sec.Finding(path, "",
				"unknown section; want team, model, adapter, service, route, weightStore or policy"))
		}
	}
}

// Validate adds a finding for each invalid value and each invalid reference between
// declarations, which may be in different files.
func (s *Set) Validate(out *check.List) {
	s.Teams.validate(out)
	s.Models.validate(s.Teams, out)
	s.Adapters.validate(s.Models, out)
	s.Services.validate(s.Teams, out)
	s.Routes.validate(s.Services, out)
	s.Store.validate(out)
	s.Policy.validate(out)
}

// Compile returns the configuration in canonical order, with its digest. The version
// is not set. The set must be valid.
func (s *Set) Compile() *wire.Config {
	c := &wire.Config{
		Teams:       s.Teams.compile(),
		Models:      s.Models.compile(s.Adapters),
		Services:    s.Services.compile(s.Routes),
		WeightStore: s.Store.compile(),
		Policy:      s.Policy.compile(),
	}
	c.Digest = Digest(c)
	return c
}

// Digest returns the SHA-256 of the configuration, excluding its version and digest.
func Digest(c *wire.Config) []byte {
	bare := proto.CloneOf(c)
	bare.Version = 0
	bare.Digest = nil
	// The encoding is canonical: Compile sorts the lists, and the messages have no maps.
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	if err != nil {
		panic(fmt.Sprintf("marshal configuration: %v", err))
	}
	sum := sha256.Sum256(data)
	return sum[:]
}
