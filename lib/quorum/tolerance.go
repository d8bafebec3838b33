package quorum

import (
	"slices"

	"bulrushpath.example/lib/wire"
)

// Tolerance states which losses a group must bear: the loss of Members members, of all
// members in Zones availability zones, or of all members in Regions regions. A loss may
// include the disks.
type Tolerance struct {
	Members, Zones, Regions int
}

// Valid reports whether no number is negative.
func (t Tolerance) Valid() bool { return min(t.Members, t.Zones, t.Regions) >= 0 }

// minVoters lets a group keep a majority while one of its members restarts.
const minVoters = 3

// Voters returns the number of voters that the tolerance requires, at least minVoters:
// the voters that are left after the loss must be a majority.
func (t Tolerance) Voters() int {
	return max(minVoters, 2*max(t.Members, t.Zones, t.Regions)+1)
}

// bears reports whether the voters of m remain a majority after any loss that t states.
// Members without a known zone or region count as one zone or region each.
func (t Tolerance) bears(m *wire.Membership) bool {
	voters, _ := countMembers(m)
	spare := voters - majority(voters)
	return t.Members <= spare &&
		largest(votersPer(m, memberZone), t.Zones) <= spare &&
		largest(votersPer(m, memberRegion), t.Regions) <= spare
}

// memberZone and memberRegion return the zone and the region of a member, or its id if
// they are unknown.
func memberZone(m *wire.Member) string {
	if m.Zone == "" {
		return m.Id
	}
	return m.Region + "/" + m.Zone
}

func memberRegion(m *wire.Member) string {
	if m.Region == "" {
		return m.Id
	}
	return m.Region
}

// votersPer returns the number of voters for each value of key.
func votersPer(m *wire.Membership, key func(m *wire.Member) string) map[string]int {
	counts := make(map[string]int)
	for _, x := range m.Members {
		if x.Voter {
			counts[key(x)]++
		}
	}
	return counts
}

// largest returns the sum of the n largest counts.
func largest(counts map[string]int, n int) (sum int) {
	list := make([]int, 0, len(counts))
	for _, c := range counts {
		list = append(list, c)
	}
	slices.Sort(list)
	slices.Reverse(list)
	for i := range min(n, len(list)) {
		sum += list[i]
	}
	return sum
}
