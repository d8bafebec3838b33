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

// Common holds the settings that all daemons share, from the section [process].
type Common struct {
	// Name identifies the process in logs, traces and the control state. It must be
	// unique in a deployment.
	Name string `ini:"name"`
	// Zone is the availability zone of the process.
	Zone string `ini:"zone"`
	// Metrics is the HTTP listen address for /metrics and /debug/pprof; the zero value
	// disables both.
	Metrics netip.AddrPort `ini:"metrics"`
	// MemoryMB is the memory budget of the process in MB. Garbage is collected more often
	// as its use approaches the budget. 0 means no limit.
	MemoryMB uint32 `ini:"memoryMB"`
	// Descriptors is the number of file descriptors that the process may open; 0 for the soft
	// limit of the operating system.
	Descriptors uint32 `ini:"descriptors"`
	// ConnectionMemory bounds what connections of clients and their incomplete requests take
	// together, and QueueMemory what the kernel holds for them and for targets, unread or unsent.
	// 0 derives them from MemoryMB; without that they are not bounded.
	ConnectionMemory inidoc.Bytes `ini:"connectionMemory"`
	QueueMemory      inidoc.Bytes `ini:"queueMemory"`
	// ReceiveBuffer and SendBuffer are the sizes of the kernel's buffers of each connection if
	// QueueMemory is bounded.
	ReceiveBuffer inidoc.Bytes `ini:"receiveBuffer"`
	SendBuffer    inidoc.Bytes `ini:"sendBuffer"`
	// MaxHeader is the limit of the header of a request to the ports for operators, targets,
	// metrics and readiness probes.
	MaxHeader inidoc.Bytes `ini:"maxHeader"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `ini:"logLevel"`
	// TraceExport is "stdout", "file:PATH" or the URL of an OTLP/HTTP collector; empty
	// disables the export.
	TraceExport string `ini:"traceExport"`
	// TraceSample is the fraction of traces that are sampled, 0 to 1.
	TraceSample float64 `ini:"traceSample"`
}

// Defaults sets the values of optional keys.
func (c *Common) Defaults() {
	c.LogLevel = "info"
	c.TraceSample = 0.01
	c.ReceiveBuffer, c.SendBuffer = defaultReceiveBuffer, defaultSendBuffer
	c.MaxHeader = defaultMaxHeader
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
	c.validateLimits(out)
	if kind, err := traceKind(c.TraceExport); err != nil {
		out.Addf("process.traceExport", "%v", err)
	} else if kind == traceOTLP {
		if u, err := url.Parse(c.TraceExport); err != nil || u.Host == "" {
			out.Addf("process.traceExport", "%q is not a URL", c.TraceExport)
		}
	}
}

// Settings is the interface of each daemon's settings.
type Settings interface {
	// Defaults sets the values of optional keys.
	Defaults()
	// Sections maps each section name to the struct that it is decoded into.
	Sections() map[string]any
	// Validate adds a finding for each invalid value.
	Validate(out *check.List)
}

// LoadSettings reads the INI file at path into s. The error is or wraps a *check.Error
// with all findings, unless the file cannot be read.
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
			findings.Add(sec.Finding(path, "", "duplicate section"))
		default:
			seen[sec.Kind] = true
			sec.Decode(path, dst, &findings)
		}
	}
	var invalid check.List
	s.Validate(&invalid)
	for _, f := range invalid.All() {
		findings.Add(locateFinding(doc, f))
	}
	return findings.Err()
}

// locateFinding sets the file, and the line if it is known, of a finding whose field is
// "section.key".
func locateFinding(doc *inidoc.Doc, f check.Finding) check.Finding {
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

// RequirePositive adds a finding if d is not positive.
func RequirePositive(out *check.List, field string, d time.Duration) {
	if d <= 0 {
		out.Addf(field, "%s is not above zero", d)
	}
}
