package quorum

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// memberTable holds the current membership and those it reverts to if log entries are
// truncated.
type memberTable struct {
	// versions are ordered by index; the first one is never reverted.
	versions []memberVersion
}

type memberVersion struct {
	// index is that of the log entry; a membership takes effect when it is appended.
	index      uint64
	membership *wire.Membership
}

// current returns the newest membership; an empty one if there is none.
func (t *memberTable) current() *wire.Membership {
	if len(t.versions) == 0 {
		return &wire.Membership{}
	}
	return t.versions[len(t.versions)-1].membership
}

// index returns the log index of the newest membership; 0 if there is none.
func (t *memberTable) index() uint64 {
	if len(t.versions) == 0 {
		return 0
	}
	return t.versions[len(t.versions)-1].index
}

// asOf returns the membership after the entry at index.
func (t *memberTable) asOf(index uint64) *wire.Membership {
	for i := len(t.versions) - 1; i >= 0; i-- {
		if t.versions[i].index <= index {
			return t.versions[i].membership
		}
	}
	return &wire.Membership{}
}

func (t *memberTable) add(index uint64, m *wire.Membership) {
	t.versions = append(t.versions, memberVersion{index: index, membership: m})
}

// truncate reverts the memberships at index from and later.
func (t *memberTable) truncate(from uint64) {
	for n := len(t.versions); n > 0 && t.versions[n-1].index >= from; n-- {
		t.versions = t.versions[:n-1]
	}
}

// compact discards the memberships that were replaced at or before index.
func (t *memberTable) compact(index uint64) {
	for len(t.versions) > 1 && t.versions[1].index <= index {
		t.versions = t.versions[1:]
	}
}

func findMember(m *wire.Membership, id string) *wire.Member {
	for _, x := range m.Members {
		if x.Id == id {
			return x
		}
	}
	return nil
}

// hasMember reports whether the membership contains this member with this disk identity.
func hasMember(m *wire.Membership, id string, disk []byte) bool {
	x := findMember(m, id)
	return x != nil && bytes.Equal(x.DiskId, disk)
}

// withMember returns a copy of m with x added, or replaced if a member has the same id.
func withMember(m *wire.Membership, x *wire.Member) *wire.Membership {
	out := withoutMember(m, x.Id)
	out.Members = append(out.Members, x)
	slices.SortFunc(out.Members, func(a, b *wire.Member) int { return strings.Compare(a.Id, b.Id) })
	return out
}

// withoutMember returns a copy of m without the member id.
func withoutMember(m *wire.Membership, id string) *wire.Membership {
	out := &wire.Membership{Group: m.Group}
	for _, x := range m.Members {
		if x.Id != id {
			out.Members = append(out.Members, proto.CloneOf(x))
		}
	}
	return out
}

// sameID reports whether two disk identities, or two group ids, are equal.
func sameID(a, b []byte) bool { return bytes.Equal(a, b) }

// groupID derives the id of a group from its initial members.
func groupID(members []*wire.Member) []byte {
	h := sha256.New()
	for _, m := range members {
		h.Write([]byte(m.Id))
		h.Write([]byte{0})
		h.Write(m.DiskId)
	}
	return h.Sum(nil)[:16]
}

// majority returns the size of a majority of n voters.
func majority(n int) int { return n/2 + 1 }
