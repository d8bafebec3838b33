package daemon

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLogLine checks that a key=value parser can read the log lines: no key without a
// value, no trailing empty message, and no unescaped line break in a value.
func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	l := NewLogger(&out, "info", "e1")
	l.Info().Str("event", "sample").Bool("on", true).Int("n", 3).Err(errors.New("a\nb")).Msg("")
	l.Debug().Str("event", "hidden").Msg("")
	_, rest, _ := strings.Cut(out.String(), " ")
	assert.Equal(t, rest, "level=info process=\"e1\" event=\"sample\" on=true n=3 error=\"a\\nb\"\n")
}
