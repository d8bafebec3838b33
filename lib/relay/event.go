package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// maxEventSize is the maximum size of an event in bytes.
const maxEventSize = 64 << 10

// ErrTruncated means that a stream ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

// ErrNotEvent means that a stream has text that is no event: a line without the name of a field.
var ErrNotEvent = errors.New("text in a stream that is no event")

var errEventSize = fmt.Errorf("event has more than %d bytes", maxEventSize)

// Event is a complete event of a text/event-stream.
type Event struct {
	// Raw holds the bytes of the event, including the empty line that ends it.
	Raw []byte
	// ID is the number in the id field; HasID is false if there is none.
	ID    uint64
	HasID bool
	// Blank reports whether the event holds only comments and the reconnection time.
	Blank bool
}

// EventReader splits a stream into complete events.
type EventReader struct {
	r      *bufio.Reader
	fields []string
}

// NewEventReader returns a reader for the events of r. fields lists the names of fields that
// events may have beside those of text/event-stream.
func NewEventReader(r io.Reader, fields ...string) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4<<10), fields: fields}
}

// Next returns the next complete event. It returns io.EOF at the end of the stream,
// ErrTruncated if the stream ends within an event, and ErrNotEvent for other text. A target
// that has failed may send the text of an error, or a whole answer, in place of an event.
func (e *EventReader) Next() (Event, error) {
	ev := Event{Blank: true}
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
		if !e.addField(&ev, field) {
			return Event{}, ErrNotEvent
		}
		if len(ev.Raw) > maxEventSize {
			return Event{}, errEventSize
		}
	}
}

// addField records what a line of the event says, and returns false if it is no field.
func (e *EventReader) addField(ev *Event, line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "retry":
		return true
	case "id":
		if n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			ev.ID, ev.HasID = n, true
		}
	case "data", "event":
	default:
		if !slices.Contains(e.fields, string(name)) {
			return false
		}
	}
	ev.Blank = false
	return true
}
