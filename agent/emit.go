package agent

import (
	"github.com/cespare/xxhash/v2"

	"bulrushpath.example/lib/wire"
)

// maxChunk bounds the data of one chunk, in bytes.
const maxChunk = 256 << 10

// emitter sends the events of one request.
type emitter struct {
	send func(*wire.RunEvent) error
	id   []byte

	chunks uint32
	bytes  uint64
	hash   xxhash.Digest
	begun  bool
	// pending is an event that waits for more content: the start for the first
	// chunk, the last chunk for the end record. A short answer is then one message.
	pending *wire.RunEvent
	// broken is the first error of send; nothing is sent after it.
	broken error
}

// event returns the pending event, or a new one, and leaves nothing pending.
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

// started sends s together with the next event.
func (e *emitter) started(s *wire.Started) {
	e.pending = e.event()
	e.pending.Started = s
}

// chunk sends data in one or more numbered chunks. The last chunk of an answer
// is sent together with the end record.
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

// end sends the end record with the totals over all chunks.
func (e *emitter) end(end *wire.End) error {
	if !e.begun {
		e.hash.Reset()
	}
	end.Chunks, end.Bytes, end.Xxhash = e.chunks, e.bytes, e.hash.Sum64()
	ev := e.event()
	ev.End = end
	return e.flush(ev)
}
