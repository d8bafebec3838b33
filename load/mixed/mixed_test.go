package mixed

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a mix that differs between runs with the same seed, and against
// requests of classes for which no model or route was given.
func TestSourceRepeats(t *testing.T) {
	var m Model
	assert.NilError(t, m.UnmarshalText([]byte("patterns@1|2+walnut+veneer")))
	assert.DeepEqual(t, m, Model{"patterns", []string{"1", "2"}, []string{"walnut", "veneer"}})
	var r Route
	assert.NilError(t, r.UnmarshalText([]byte("ledger:POST:/reserve")))
	a := New(7, 100, "x", []Model{m}, []Route{r})
	b := New(7, 100, "x", []Model{m}, []Route{r})
	refs := map[string]bool{}
	seen := map[Class]bool{}
	for range 500 {
		s := a.Next()
		assert.DeepEqual(t, s, b.Next())
		seen[s.Class] = true
		if s.Ref != "" {
			assert.Assert(t, !refs[s.Ref])
			refs[s.Ref] = true
		}
	}
	assert.Equal(t, len(seen), len(Classes()))
	only := New(7, 100, "x", nil, []Route{r})
	for range 50 {
		assert.Assert(t, only.Next().Ref != "")
	}
}
