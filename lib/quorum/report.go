package quorum

import (
	"time"

	"bulrushpath.example/lib/wire"
)

// noMajorityTimeouts is the number of election timeouts without a leader after which a
// voter logs which voters answer it, and the time between two such log lines.
const noMajorityTimeouts = 10

// reportedState is the state of the last log lines, so that only changes are logged.
type reportedState struct {
	membersIndex uint64
	// leading and tolerance are those at the last check of the tolerance.
	leading   bool
	tolerance Tolerance
	// unmet is set while the group bears less than its tolerance states.
	unmet bool
	// noMajorityAt is the time of the last log line about a missing majority.
	noMajorityAt time.Time
}

// logState logs changes of the membership, a leader whose group bears less than its
// tolerance states, and a voter that knows no leader.
func (n *Node) logState() {
	c, r := n.core, &n.reported
	m := c.members.current()
	index := c.members.index()
	changed := index != r.membersIndex
	if changed {
		r.membersIndex = index
		voters, learners := memberIDs(m)
		n.log.Info().Str("event", "membership").Uint64("index", index).Strs("voters", voters).Strs("learners", learners).Msg("")
	}
	if leading := c.role == leader; changed || leading != r.leading || c.cfg.tolerance != r.tolerance {
		r.leading, r.tolerance = leading, c.cfg.tolerance
		n.logTolerance(m)
	}
	pause := noMajorityTimeouts * c.cfg.electionTimeout
	if c.leaderID == "" && c.voter() && c.now.Sub(c.lastContact) >= pause && c.now.Sub(r.noMajorityAt) >= pause {
		r.noMajorityAt = c.now
		n.logNoMajority(m)
	}
}

// logTolerance logs whether the group of this leader bears what it has to, if that has
// changed.
func (n *Node) logTolerance(m *wire.Membership) {
	c, r := n.core, &n.reported
	t := c.cfg.tolerance
	unmet := r.leading && !t.bears(m)
	if unmet == r.unmet {
		return
	}
	r.unmet = unmet
	voters, _ := countMembers(m)
	n.log.Warn().Str("event", "tolerance").Bool("met", !unmet).Int("voters", voters).Int("wanted", c.cfg.voters).
		Int("members", t.Members).Int("zones", t.Zones).Int("regions", t.Regions).Msg("")
}

// logNoMajority logs which voters have answered lately, and which of those have another
// disk than the membership states and therefore no vote.
func (n *Node) logNoMajority(m *wire.Membership) {
	c := n.core
	var answering, replaced, silent []string
	for _, x := range m.Members {
		if !x.Voter || x.Id == c.cfg.id {
			continue
		}
		report, ok := c.reports[x.Id]
		switch {
		case !ok || c.now.Sub(report.at) >= 4*c.cfg.electionTimeout:
			silent = append(silent, x.Id)
		case !sameID(report.diskID, x.DiskId):
			replaced = append(replaced, x.Id)
		default:
			answering = append(answering, x.Id)
		}
	}
	n.log.Warn().Str("event", "noMajority").Uint64("term", c.hard.term).Uint64("last", c.log.last()).Int("needed", c.quorumSize()).
		Strs("answering", answering).Strs("otherDisk", replaced).Strs("silent", silent).Msg("")
}

// memberIDs returns the ids of the voters and of the learners.
func memberIDs(m *wire.Membership) (voters, learners []string) {
	for _, x := range m.Members {
		if x.Voter {
			voters = append(voters, x.Id)
		} else {
			learners = append(learners, x.Id)
		}
	}
	return voters, learners
}
