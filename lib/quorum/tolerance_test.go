package quorum

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// votersIn returns a membership with one voter for each "region/zone".
func votersIn(zones ...[2]string) *wire.Membership {
	m := &wire.Membership{}
	for i, z := range zones {
		m.Members = append(m.Members, &wire.Member{Id: fmt.Sprint(i), Region: z[0], Zone: z[1], Voter: true})
	}
	return m
}

// Guards against a group that counts as tolerant although a stated loss leaves no
// majority, be it of members, zones or regions.
func TestToleranceBears(t *testing.T) {
	a, b, c, d := [2]string{"r", "a"}, [2]string{"r", "b"}, [2]string{"r", "c"}, [2]string{"s", "a"}
	for _, x := range []struct {
		name      string
		tolerance Tolerance
		voters    *wire.Membership
		bears     bool
	}{
		{"nothing to bear", Tolerance{}, votersIn(a), true},
		{"three bear one", Tolerance{Members: 1}, votersIn(a, b, c), true},
		{"three do not bear two", Tolerance{Members: 2}, votersIn(a, b, c), false},
		{"four do not bear two", Tolerance{Members: 2}, votersIn(a, b, c, a), false},
		{"five bear two", Tolerance{Members: 2}, votersIn(a, b, c, a, b), true},
		{"two of three in one zone", Tolerance{Zones: 1}, votersIn(a, a, b), false},
		{"five in three zones", Tolerance{Members: 2, Zones: 1}, votersIn(a, a, b, b, c), true},
		{"three of five in one zone", Tolerance{Members: 2, Zones: 1}, votersIn(a, a, a, b, c), false},
		{"zones of one name in two regions", Tolerance{Zones: 1}, votersIn(a, d, b), true},
		{"two regions do not bear one", Tolerance{Regions: 1}, votersIn(a, b, d), false},
	} {
		assert.Equal(t, x.tolerance.bears(x.voters), x.bears, x.name)
	}
	assert.Equal(t, Tolerance{Members: 1, Zones: 2, Regions: 0}.Voters(), 5)
	assert.Equal(t, Tolerance{Members: 2}.Voters(), 5)
	assert.Equal(t, Tolerance{}.Voters(), 3)
}
