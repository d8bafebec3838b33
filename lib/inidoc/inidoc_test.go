package inidoc

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/check"
)

// TestAllMalformedLinesAreFound checks that every malformed line is reported with its
// line number. The ini library reports only the first, without a line number.
func TestAllMalformedLinesAreFound(t *testing.T) {
	_, err := Parse("f.ini", []byte("# comment\n[process]\nname = a\nzone\n; comment\n[open\n= b\nlate \xff\n"))
	var failed *check.Error
	assert.Assert(t, errors.As(err, &failed))
	lines := map[int]string{}
	for _, f := range failed.Findings {
		assert.Equal(t, f.File, "f.ini")
		lines[f.Line] = f.Message
	}
	assert.DeepEqual(t, lines, map[int]string{
		4: `want key = value: "zone"`, 6: `unclosed section: "[open"`,
		7: `key is missing before the separator: "= b"`, 8: `want key = value: "late \xff"`,
	})
}

// TestValidFileHasNoFindings checks that the search for malformed lines accepts valid files.
func TestValidFileHasNoFindings(t *testing.T) {
	doc, err := Parse("f.ini", []byte("top = 1\n\n[process]\nname: a\n[model m]\nsize = 3 # kept\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(doc.Sections), 3)
	assert.Equal(t, doc.Sections[2].Keys[0].Line, 6)
}
