package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/check"
)

const valid = `
[team oak]
lendPercent = 25
[model patterns]
version = 3
team = oak
bytes = 14GiB
[adapter patterns/veneer]
bytes = 120MiB
[service ledger]
team = oak
[route ledger/reserve]
method = POST
path = /reserve
nonIdempotent = true
[weightStore]
loadsPerSecond = 1.4
loadsAtOnce = 5
`

func load(t *testing.T, files map[string]string) error {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	found, err := Find([]string{dir})
	assert.NilError(t, err)
	_, err = Load(found)
	return err
}

// TestLoadFindings checks that Load rejects invalid files, reports all findings
// rather than only the first, and gives each the right line number.
func TestLoadFindings(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"valid", valid, nil},
		{"syntax", "[team", []string{"a.bulrush.ini:1: unclosed section", "weightStore: no file declares it"}},
		{"unknown section", valid + "[engine x]\n", []string{":19: engine x: unknown section"}},
		{"unknown key", valid + "[team elm]\nlend = 3\n", []string{":20: team elm.lend: unknown key"}},
		{"two findings in one section", valid + "[model z]\nversion = 1\nteam = ash\n", []string{
			`:21: model z.team: no file declares team "ash"`,
			":19: model z.bytes: missing",
		}},
		{"repeated name", valid + "[team oak]\n", []string{":19: team oak: already declared at"}},
		{"no copies", valid + "[model z]\nversion=1\nteam=oak\nbytes=1B\nminCopies=0\n", []string{
			":23: model z.minCopies: want at least 1",
		}},
		{"max below min", valid + "[model z]\nversion=1\nteam=oak\nbytes=1B\nminCopies=3\nmaxCopies=2\n", []string{
			":24: model z.maxCopies: 2 is less than minCopies, 3",
		}},
		{"adapter without model", valid + "[adapter q/z]\nbytes = 1MiB\n", []string{`no file declares model "q"`}},
		{"lend too much", valid + "[team elm]\nlendPercent = 101\n", []string{"101 is not between 0 and 100"}},
		{"second store", valid + "[weightStore]\nloadsAtOnce = 2\n", []string{"weightStore: already declared"}},
		{"size overflow", valid + "[model z]\nversion=1\nteam=oak\nbytes=99999999999TiB\n", []string{"too large", "model z.bytes: missing"}},
		{"no store", "[team oak]\n", []string{"weightStore: no file declares it"}},
		{"NaN rate", "[weightStore]\nloadsPerSecond=NaN\nloadsAtOnce=1\n", []string{"NaN is not between"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := load(t, map[string]string{"a.bulrush.ini": c.text})
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			var findings *check.Error
			assert.Assert(t, errors.As(err, &findings), "%v", err)
			for _, w := range c.want {
				assert.Assert(t, strings.Contains(err.Error(), w), "%q is not in:\n%v", w, err)
			}
			assert.Equal(t, len(findings.Findings), len(c.want), "%v", err)
		})
	}
}

// TestDigestIgnoresOrder checks that the digest does not depend on the order of
// files or sections. If it did, publishing unchanged files could create a new version.
func TestDigestIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sections []string
		for i := range rapid.IntRange(1, 6).Draw(t, "models") {
			sections = append(sections,
				fmt.Sprintf("[model m%d]\nversion=1\nteam=oak\nbytes=%dMiB\n", i, i+1),
				fmt.Sprintf("[adapter m%d/a]\nbytes=1MiB\n", i),
				fmt.Sprintf("[adapter m%d/b]\nbytes=2MiB\n", i))
		}
		digest := func(order []string) []byte {
			s := &Set{}
			s.Policy.Defaults()
			var findings check.List
			s.Parse("base", []byte(valid), &findings)
			for i, sec := range order {
				s.Parse(fmt.Sprintf("f%d", i), []byte(sec), &findings)
			}
			s.Validate(&findings)
			assert.NilError(t, findings.Err())
			return s.Compile().Digest
		}
		shuffled := rapid.Permutation(sections).Draw(t, "order")
		assert.Assert(t, bytes.Equal(digest(sections), digest(shuffled)))
	})
}

// FuzzParse checks that arbitrary input does not cause a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[a]\nb=c\n[a]\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := &Set{}
		s.Policy.Defaults()
		var findings check.List
		s.Parse("f", data, &findings)
		s.Validate(&findings)
		if findings.Len() == 0 {
			s.Compile()
		}
	})
}
