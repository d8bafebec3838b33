package agent

import (
	"github.com/cespare/xxhash/v2"

	"bulrushpath.example/lib/wire"
)

// maxChunk is the maximum amount of data in one chunk, in bytes.
const maxChunk = 256 << 10

// emitter sends the events of one request.
type emitter struct {
	send func(*wire.RunEvent) error
	id   []byte

	chunks uint32
	bytes  uint64
	hash   xxhash.Digest
	begun  bool
	// pending is an event that is held back to be merged with the next one: the start
	// with the first chunk, the last chunk with the end record. A short response then
	// takes a single message.
	pending *wire.RunEvent
	// broken is the first error of send; nothing is sent after that.
	broken error
}

// event returns the pending event and clears it, or returns a new event.
func (e *emitter) event() *wire.RunEvent {
	ev := e.pending
	if ev == nil {
		ev = &wire.RunEvent{RequestId: e.id}
	}
	e.pending = nil
	return ev
}

func (e *emitter) flush(ev *wire.RunEvent) error {
	if e.broken == nil {
		e.broken = e.send(ev)
	}
	return e.broken
}

// started records s, to be sent together with the next event.
func (e *emitter) started(s *wire.Started) {
	e.pending = e.event()
	e.pending.Started = s
}

// chunk sends data in one or more numbered chunks. If last is set, the last of them
// is held back and sent together with the end record.
func (e *emitter) chunk(token uint32, data []byte, last bool) error {
	if !e.begun {
		e.hash.Reset()
		e.begun = true
	}
	for len(data) > 0 {
		part := data[:min(len(data), maxChunk)]
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
		if err := e.flush(ev); err != nil {
			return err
		}
	}
	return e.broken
}

// end sends the end record with the count, size and checksum of all chunks.
func (e *emitter) end(end *wire.End) error {
	if !e.begun {
		e.hash.Reset()
	}
	end.Chunks, end.Bytes, end.Xxhash = e.chunks, e.bytes, e.hash.Sum64()
	ev := e.event()
	ev.End = end
	return e.flush(ev)
}
