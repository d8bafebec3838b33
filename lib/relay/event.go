package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventSize is the maximum size of an event in bytes.
const maxEventSize = 64 << 10

// ErrTruncated means that a stream ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

var errEventSize = fmt.Errorf("event has more than %d bytes", maxEventSize)

// Event is a complete event of a text/event-stream.
type Event struct {
	// Raw holds the bytes of the event, including the empty line that ends it.
	Raw []byte
	// ID is the number in the id field; HasID is false if there is none.
	ID    uint64
	HasID bool
}

// EventReader splits a stream into complete events.
type EventReader struct {
	r *bufio.Reader
}

// NewEventReader returns a reader for the events of r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// Next returns the next complete event. It returns io.EOF at the end of the stream and
// ErrTruncated if the stream ends within an event.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	hasField := false
	for {
		line, err := e.r.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.Raw) > maxEventSize {
				return Event{}, errEventSize
			}
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.Raw)) > 0:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, err
		}
		start := bytes.LastIndexByte(ev.Raw[:len(ev.Raw)-1], '\n') + 1
		field := bytes.TrimRight(ev.Raw[start:], "\r\n")
		if len(field) == 0 {
			if !hasField {
				// An empty line before the first field becomes part of the next event.
				if len(ev.Raw) > maxEventSize {
					return Event{}, errEventSize
				}
				continue
			}
			return ev, nil
		}
		hasField = true
		if v, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			if n, err := strconv.ParseUint(string(bytes.TrimSpace(v)), 10, 64); err == nil {
				ev.ID, ev.HasID = n, true
			}
		}
		if len(ev.Raw) > maxEventSize {
			return Event{}, errEventSize
		}
	}
}
