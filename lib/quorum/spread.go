package quorum

import "bulrushpath.example/lib/wire"

// crowding is the number of members of a group in the same region and in the same zone.
type crowding struct {
	region, zone int
}

// crowdingAt returns the crowding of the members of m, or only of its voters, where x is.
// Regions count only if the group must bear the loss of one, since a group in fewer
// regions commits sooner.
func crowdingAt(m *wire.Membership, x *wire.Member, votersOnly bool, t Tolerance) (out crowding) {
	for _, y := range m.Members {
		if y.Id == x.Id || votersOnly && !y.Voter {
			continue
		}
		if t.Regions > 0 && memberRegion(y) == memberRegion(x) {
			out.region++
		}
		if memberZone(y) == memberZone(x) {
			out.zone++
		}
	}
	return out
}

func (c crowding) less(other crowding) bool {
	if c.region != other.region {
		return c.region < other.region
	}
	return c.zone < other.zone
}

// leastCrowded returns the candidate with the fewest voters in its region and zone, and
// among those the one with the fewest members; nil if there are no candidates.
func leastCrowded(m *wire.Membership, candidates []*wire.Member, t Tolerance) (best *wire.Member) {
	var bestVoters, bestMembers crowding
	for _, x := range candidates {
		voters, members := crowdingAt(m, x, true, t), crowdingAt(m, x, false, t)
		if best == nil || voters.less(bestVoters) || voters == bestVoters && members.less(bestMembers) {
			best, bestVoters, bestMembers = x, voters, members
		}
	}
	return best
}

// mostCrowdedVoter returns the voter other than the one with the given id that has the most
// voters beside it; nil if there is none.
func mostCrowdedVoter(m *wire.Membership, except string, t Tolerance) (most *wire.Member) {
	var mostVoters crowding
	for _, x := range m.Members {
		if !x.Voter || x.Id == except {
			continue
		}
		if voters := crowdingAt(m, x, true, t); most == nil || mostVoters.less(voters) {
			most, mostVoters = x, voters
		}
	}
	return most
}

// spreadsBetter reports whether the learner x has fewer voters beside it than the voter that
// would be removed in exchange, so that the exchange brings the group closer to t.
func spreadsBetter(m *wire.Membership, x *wire.Member, leader string, t Tolerance) bool {
	most := mostCrowdedVoter(m, leader, t)
	return most != nil && crowdingAt(m, x, true, t).less(crowdingAt(m, most, true, t))
}
