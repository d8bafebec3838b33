package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/check"
)

type commonOnly struct{ Process Common }

func (c *commonOnly) Defaults()                { c.Process.Defaults() }
func (c *commonOnly) Sections() map[string]any { return map[string]any{"process": &c.Process} }
func (c *commonOnly) Validate(out *check.List) { c.Process.Validate(out) }

// TestLoadSettingsReportsAllFindings checks that all faults of a settings file are
// reported, each with its line number. A missing key has none.
func TestLoadSettingsReportsAllFindings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	text := "[process]\nname = e1\nlogLevel = loud\nmetrics = nowhere\ncolour = red\n[spare]\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	err := LoadSettings(path, &commonOnly{})
	var findings *check.Error
	assert.Assert(t, errors.As(err, &findings))
	lines := map[string]int{}
	for _, f := range findings.Findings {
		lines[f.Field] = f.Line
	}
	assert.DeepEqual(t, lines, map[string]int{
		"process.zone":     0,
		"process.logLevel": 3,
		"process.metrics":  4,
		"process.colour":   5,
		"spare":            6,
	})
}
