package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// maxDocumentBytes leaves room for the rest of the log entry within the size limit
// that package quorum sets.
const maxDocumentBytes = 6 << 20

// documentTable holds the document with the highest version.
type documentTable struct {
	// current is nil until the first document. Its version never decreases, and
	// the content of a version never changes.
	current *wire.Document
}

// Document returns the current document, nil before the first one. The caller
// must not modify it.
func (m *Machine) Document() *wire.Document { return m.document.current }

// post stores a document if its version is higher than the current one. A lower or
// equal version changes nothing, so a resend after a lost reply is harmless.
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
