package accept

// Bits of the first byte of a drpc frame, and kinds of messages.
const (
	doneBit  = 1
	kindMask = 0x7e
	// invokeKind and metadataKind begin a call, and messageKind holds its arguments or results.
	invokeKind   = 1
	messageKind  = 2
	metadataKind = 7
)

// Parts of a frame, in their order.
const (
	controlField = iota
	streamField
	messageField
	lengthField
	dataField
)

// frameParser follows the frames of a drpc connection: a control byte, three varints (stream,
// message, length) and the data. It decides nothing about malformed frames, which the server does.
type frameParser struct {
	// size is the number of bytes of the message that is not complete.
	size    int64
	control byte
	// field is the part of the frame that comes next.
	field int
	// shift is the number of bits of the current varint that were read.
	shift uint
	// stream is the number of the call that the frame belongs to, and known the one of the latest
	// call that was begun.
	stream, known uint64
	// invalid is true once a call did not begin with its name. The server would wait for the name
	// and read no more.
	invalid bool
	// left is the rest of the data in bytes.
	left uint64
}

// parse follows the bytes of p. It reports whether a message with arguments or results was
// completed, and whether something else was: the beginning or the end of a call.
func (f *frameParser) parse(p []byte) (message, other bool) {
	for len(p) > 0 {
		if f.field < dataField {
			f.parseHeader(p[0])
			p = p[1:]
			f.size++
		} else {
			n := int(min(f.left, uint64(len(p))))
			p = p[n:]
			f.left -= uint64(n)
			f.size += int64(n)
		}
		if f.field < dataField || f.left > 0 {
			continue
		}
		if f.control&doneBit != 0 {
			if f.control&kindMask>>1 == messageKind {
				message = true
			} else {
				other = true
			}
			f.size = 0
		}
		f.field = controlField
	}
	return message, other
}

// parseHeader follows one byte before the data of a frame.
func (f *frameParser) parseHeader(b byte) {
	if f.field == controlField {
		f.control, f.field = b, streamField
		f.stream, f.left, f.shift = 0, 0, 0
		return
	}
	switch bits := uint64(b&0x7f) << f.shift; f.field {
	case streamField:
		f.stream |= bits
	case lengthField:
		f.left |= bits
	}
	f.shift += 7
	if b >= 0x80 {
		return
	}
	if kind := f.control & kindMask >> 1; f.field == streamField && f.stream != f.known {
		f.invalid = f.invalid || kind != invokeKind && kind != metadataKind
		f.known = f.stream
	}
	f.field++
	f.shift = 0
}
