package state

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// Guards against a document that is replaced by an older version or by different
// content of the same version, for any order of posts and resends, with snapshots
// restored in between.
func TestHighestDocumentWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		highest, content := uint64(0), ""
		for i := range rapid.IntRange(1, 40).Draw(t, "posts") {
			doc := &wire.Document{
				Version: rapid.Uint64Range(0, 9).Draw(t, "version"),
				Content: []byte(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "content")),
			}
			data, err := proto.Marshal(&wire.Command{Body: &wire.Command_Post{Post: doc}})
			if err != nil {
				t.Fatal(err)
			}
			var reply wire.CommandReply
			if err := proto.Unmarshal(m.Apply(uint64(i+1), time.UnixMilli(int64(i)), data), &reply); err != nil {
				t.Fatal(err)
			}
			valid := doc.GetVersion() > 0 && len(doc.GetContent()) > 0
			if valid != (reply.GetError() == "") {
				t.Fatalf("version %d with %d bytes: %q", doc.GetVersion(), len(doc.GetContent()), reply.GetError())
			}
			stored := valid && doc.GetVersion() > highest
			if reply.GetPost().GetStored() != stored {
				t.Fatalf("version %d after %d: %v", doc.GetVersion(), highest, &reply)
			}
			if stored {
				highest, content = doc.GetVersion(), string(doc.GetContent())
			}
			if rapid.Bool().Draw(t, "restart") {
				data, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				m = New()
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			if m.Document().GetVersion() != highest || string(m.Document().GetContent()) != content {
				t.Fatalf("in force is %v, want %d %q", m.Document(), highest, content)
			}
		}
	})
	assert.Assert(t, New().Document() == nil)
}
