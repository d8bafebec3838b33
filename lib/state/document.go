package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// maxDocumentBytes leaves room for the rest of the log entry; see quorum's limit.
const maxDocumentBytes = 6 << 20

// documentTable holds the document with the highest version.
type documentTable struct {
	// current is nil until the first document; its version only grows, and the
	// content under a version never changes.
	current *wire.Document
}

// Document returns the document in force, nil before the first one; the caller
// does not change it.
func (m *Machine) Document() *wire.Document { return m.document.current }

// post stores a document if its version is above the one in force. A lower or
// equal version changes nothing, so a resend after a lost answer is harmless.
func (t *documentTable) post(doc *wire.Document) (*wire.PostReply, error) {
	if doc.GetVersion() == 0 {
		return nil, fmt.Errorf("document has no version")
	}
	if err := checkBytes("content", doc.GetContent(), maxDocumentBytes); err != nil {
		return nil, err
	}
	if doc.GetVersion() <= t.current.GetVersion() {
		return &wire.PostReply{Version: t.current.GetVersion()}, nil
	}
	t.current = proto.CloneOf(doc)
	return &wire.PostReply{Stored: true, Version: doc.GetVersion()}, nil
}
