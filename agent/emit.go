package agent

import (
	"github.com/cespare/xxhash/v2"

	"bulrushpath.example/lib/wire"
)

// maxChunkBytes is the maximum amount of data in one chunk, in bytes.
const maxChunkBytes = 256 << 10

// eventSender sends the events of one request.
type eventSender struct {
	send func(*wire.RunEvent) error
	id   []byte

	chunks    uint32
	bytes     uint64
	hash      xxhash.Digest
	hashReady bool
	// pending is an event that is held back to be merged with the next one: the start
	// with the first chunk, the last chunk with the end record. A short response then
	// takes a single message.
	pending *wire.RunEvent
	// sendErr is the first error of send; nothing is sent after that.
	sendErr error
}

// event returns the pending event and clears it, or returns a new event.
func (e *eventSender) event() *wire.RunEvent {
	ev := e.pending
	if ev == nil {
		ev = &wire.RunEvent{RequestId: e.id}
	}
	e.pending = nil
	return ev
}

func (e *eventSender) sendEvent(ev *wire.RunEvent) error {
	if e.sendErr == nil {
		e.sendErr = e.send(ev)
	}
	return e.sendErr
}

// started records s, to be sent together with the next event.
func (e *eventSender) started(s *wire.Started) {
	e.pending = e.event()
	e.pending.Started = s
}

// chunk sends data in one or more numbered chunks. If last is set, the last of them
// is held back and sent together with the end record.
func (e *eventSender) chunk(token uint32, data []byte, last bool) error {
	if !e.hashReady {
		e.hash.Reset()
		e.hashReady = true
	}
	for len(data) > 0 {
		part := data[:min(len(data), maxChunkBytes)]
		data = data[len(part):]
		_, _ = e.hash.Write(part)
		e.bytes += uint64(len(part))
		ev := e.event()
		ev.Chunk = &wire.Chunk{Index: e.chunks, Token: token, Data: part}
		e.chunks++
		if last && len(data) == 0 {
			e.pending = ev
			break
		}
		if err := e.sendEvent(ev); err != nil {
			return err
		}
	}
	return e.sendErr
}

// end sends the end record with the count, size and checksum of all chunks.
func (e *eventSender) end(end *wire.End) error {
	if !e.hashReady {
		e.hash.Reset()
	}
	end.Chunks, end.Bytes, end.Xxhash = e.chunks, e.bytes, e.hash.Sum64()
	ev := e.event()
	ev.End = end
	return e.sendEvent(ev)
}
