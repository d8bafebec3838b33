package entry

import (
	"net/netip"
	"time"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/inidoc"
)

// maxBodyLimit is the upper bound of maxBody. It is below the limit of 16 MiB for a
// message between processes, with room for headers and the text of a resumed request.
const maxBodyLimit = 12 << 20

// Settings holds the settings of an entry instance.
type Settings struct {
	Process daemon.Common
	Entry   Section
}

// Section holds the settings of section [entry].
type Section struct {
	// Listen is the address on which callers are served.
	Listen netip.AddrPort `ini:"listen"`
	// Control lists the addresses of all control instances.
	Control []netip.AddrPort `ini:"control"`
	// MaxBody and MaxHeader bound the size of a request.
	MaxBody   inidoc.Bytes `ini:"maxBody"`
	MaxHeader inidoc.Bytes `ini:"maxHeader"`
	// HeaderTimeout and BodyTimeout bound the time a caller may take to send a request.
	HeaderTimeout time.Duration `ini:"headerTimeout"`
	BodyTimeout   time.Duration `ini:"bodyTimeout"`
	// WriteTimeout bounds a write to a caller that does not read.
	WriteTimeout time.Duration `ini:"writeTimeout"`
	// IdleTimeout is the time after which idle connections of callers are closed.
	IdleTimeout time.Duration `ini:"idleTimeout"`
	// Deadline applies when neither the caller nor the policy sets one.
	Deadline time.Duration `ini:"deadline"`
	// MaxDeadline bounds Bulrush-Deadline.
	MaxDeadline time.Duration `ini:"maxDeadline"`
	// StallTimeout bounds the time between two events of a response that has begun.
	StallTimeout time.Duration `ini:"stallTimeout"`
	// TargetWait is how long a request waits for a usable target.
	TargetWait time.Duration `ini:"targetWait"`
	// ControlTimeout bounds a call to control that a request waits for.
	ControlTimeout time.Duration `ini:"controlTimeout"`
	// ReadyWithout is how long the instance stays ready without contact to control.
	ReadyWithout time.Duration `ini:"readyWithout"`
	// DrainQuiet is the time without new requests after which a draining instance shuts
	// down.
	DrainQuiet time.Duration `ini:"drainQuiet"`
}

// Defaults sets the values of keys that a file may leave out.
func (s *Settings) Defaults() {
	s.Process.Defaults()
	s.Entry = Section{
		MaxBody:        8 << 20,
		MaxHeader:      32 << 10,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    10 * time.Second,
		WriteTimeout:   30 * time.Second,
		IdleTimeout:    2 * time.Minute,
		Deadline:       30 * time.Second,
		MaxDeadline:    time.Hour,
		StallTimeout:   time.Minute,
		TargetWait:     3 * time.Second,
		ControlTimeout: 3 * time.Second,
		ReadyWithout:   10 * time.Second,
		DrainQuiet:     2 * time.Second,
	}
}

// Sections returns the struct for each section that a file may have.
func (s *Settings) Sections() map[string]any {
	return map[string]any{"process": &s.Process, "entry": &s.Entry}
}

// Validate adds an error for each invalid value.
func (s *Settings) Validate(out *check.List) {
	s.Process.Validate(out)
	e := &s.Entry
	if !e.Listen.IsValid() {
		out.Addf("entry.listen", "missing; want the IP address and port for callers")
	}
	if len(e.Control) == 0 {
		out.Addf("entry.control", "missing; want the addresses of all control instances")
	}
	if e.MaxBody == 0 || e.MaxBody > maxBodyLimit {
		out.Addf("entry.maxBody", "%d is not between 1 and %d bytes", e.MaxBody, maxBodyLimit)
	}
	if e.MaxHeader < 1<<10 || e.MaxHeader > 1<<20 {
		out.Addf("entry.maxHeader", "%d is not between 1 KiB and 1 MiB", e.MaxHeader)
	}
	for _, d := range []struct {
		key string
		d   time.Duration
	}{
		{"headerTimeout", e.HeaderTimeout},
		{"bodyTimeout", e.BodyTimeout},
		{"writeTimeout", e.WriteTimeout},
		{"idleTimeout", e.IdleTimeout},
		{"deadline", e.Deadline},
		{"maxDeadline", e.MaxDeadline},
		{"stallTimeout", e.StallTimeout},
		{"targetWait", e.TargetWait},
		{"controlTimeout", e.ControlTimeout},
		{"readyWithout", e.ReadyWithout},
		{"drainQuiet", e.DrainQuiet},
	} {
		daemon.RequirePositive(out, "entry."+d.key, d.d)
	}
}
