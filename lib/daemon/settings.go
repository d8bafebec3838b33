package daemon

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/inidoc"
)

// Common holds the settings that every daemon has, from the section [process].
type Common struct {
	// Name identifies the process in logs, traces and the control state; unique in a deployment.
	Name string `ini:"name"`
	// Zone is the availability zone.
	Zone string `ini:"zone"`
	// Metrics is the HTTP address of /metrics and /debug/pprof; the zero value turns it off.
	Metrics netip.AddrPort `ini:"metrics"`
	// MemoryMB is the memory that the process may use, in MB; garbage is collected more
	// often as it is approached. 0 sets no limit.
	MemoryMB uint32 `ini:"memoryMB"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `ini:"logLevel"`
	// TraceExport is "", "stdout", "file:PATH" or the URL of an OTLP/HTTP collector.
	TraceExport string `ini:"traceExport"`
	// TraceSample is the sampled share of requests, 0 to 1.
	TraceSample float64 `ini:"traceSample"`
}

// Defaults sets the values of keys that a file may leave out.
func (c *Common) Defaults() {
	c.LogLevel = "info"
	c.TraceSample = 0.01
}

// Validate adds a finding for each invalid value.
func (c *Common) Validate(out *check.List) {
	if c.Name == "" {
		out.Addf("process.name", "missing; want a name that is unique in the deployment")
	}
	if c.Zone == "" {
		out.Addf("process.zone", "missing; want the availability zone")
	}
	if _, ok := logLevels[c.LogLevel]; !ok {
		out.Addf("process.logLevel", "%q is not one of debug, info, warn, error", c.LogLevel)
	}
	if c.TraceSample < 0 || c.TraceSample > 1 {
		out.Addf("process.traceSample", "%v is not between 0 and 1", c.TraceSample)
	}
	if kind, err := traceKind(c.TraceExport); err != nil {
		out.Addf("process.traceExport", "%v", err)
	} else if kind == traceOTLP {
		if u, err := url.Parse(c.TraceExport); err != nil || u.Host == "" {
			out.Addf("process.traceExport", "%q is not a URL", c.TraceExport)
		}
	}
}

// Settings is implemented by the settings type of each daemon.
type Settings interface {
	// Defaults sets the values of keys that a file may leave out.
	Defaults()
	// Sections returns the struct for each section that a file may have.
	Sections() map[string]any
	// Validate adds a finding for each invalid value.
	Validate(out *check.List)
}

// LoadSettings reads the INI file at path into s. All findings are reported
// together in one *check.Error.
func LoadSettings(path string, s Settings) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	doc, err := inidoc.Parse(path, data)
	if err != nil {
		return fmt.Errorf("parse settings: %w", err)
	}
	s.Defaults()
	var findings check.List
	known := s.Sections()
	seen := make(map[string]bool)
	for _, sec := range doc.Sections {
		dst, ok := known[sec.Kind]
		switch {
		case !ok || sec.Name != "":
			findings.Add(sec.Finding(path, "", "unknown section"))
		case seen[sec.Kind]:
			findings.Add(sec.Finding(path, "", "section stands twice"))
		default:
			seen[sec.Kind] = true
			sec.Decode(path, dst, &findings)
		}
	}
	var invalid check.List
	s.Validate(&invalid)
	for _, f := range invalid.All() {
		findings.Add(placeFinding(doc, f))
	}
	return findings.Err()
}

// placeFinding adds file and line to a finding whose field is "section.key".
func placeFinding(doc *inidoc.Doc, f check.Finding) check.Finding {
	f.File = doc.Path
	for _, sec := range doc.Sections {
		for _, k := range sec.Keys {
			if sec.Kind+"."+k.Name == f.Field {
				f.Line = k.Line
			}
		}
	}
	return f
}

// Positive adds a finding if d is not above zero.
func Positive(out *check.List, field string, d time.Duration) {
	if d <= 0 {
		out.Addf(field, "%s is not above zero", d)
	}
}
