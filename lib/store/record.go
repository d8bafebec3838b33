package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const (
	// segmentMagic starts every segment file; the digit is the format version.
	segmentMagic = "BRPLOG1\n"
	// recordHeaderSize is the size of length and checksum in bytes.
	recordHeaderSize = 8
	// entryHeaderSize is the size of index, term and data length in bytes.
	entryHeaderSize = 20

	kindEntries  = 1
	kindTruncate = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// DamageError reports a missing file, or a file that is corrupt other than by a torn
// last record.
type DamageError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the position of the first invalid data in bytes.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// record is one unit of the log: the entries of one group commit, or the removal of a
// suffix. Each record is written and synced before the next one, so a crash can tear
// only the last record of the last segment.
type record struct {
	entries []Entry
	// truncateFrom is the first index that the record removes; 0 for entries.
	truncateFrom uint64
}

// begins returns the index from which on the record determines the log.
func (r record) begins() uint64 {
	if r.truncateFrom != 0 {
		return r.truncateFrom
	}
	return r.entries[0].Index
}

// encodeRecord returns the encoded record: length of the body and CRC-32C over length
// and body (4 bytes each, little endian), then the body. The CRC starts from seed,
// which is derived from the disk identity. Otherwise a command that contains an
// encoded record would look like a valid record after a torn one.
func encodeRecord(seed uint32, r record) []byte {
	size := recordHeaderSize + 1 + 8
	for _, e := range r.entries {
		size += entryHeaderSize + len(e.Data)
	}
	b := make([]byte, recordHeaderSize, size)
	if r.truncateFrom != 0 {
		b = append(b, kindTruncate)
		b = binary.LittleEndian.AppendUint64(b, r.truncateFrom)
	} else {
		b = append(b, kindEntries)
		for _, e := range r.entries {
			b = binary.LittleEndian.AppendUint64(b, e.Index)
			b = binary.LittleEndian.AppendUint64(b, e.Term)
			b = binary.LittleEndian.AppendUint32(b, uint32(len(e.Data)))
			b = append(b, e.Data...)
		}
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-recordHeaderSize))
	binary.LittleEndian.PutUint32(b[4:], checksum(seed, b))
	return b
}

// checksum covers the length and the body of the encoded record b.
func checksum(seed uint32, b []byte) uint32 {
	return crc32.Update(crc32.Update(seed, castagnoli, b[:4]), castagnoli, b[recordHeaderSize:])
}

// decodeRecord reads the record at the start of b and returns its encoded size.
func decodeRecord(seed uint32, b []byte) (record, int, error) {
	if len(b) < recordHeaderSize {
		return record{}, 0, fmt.Errorf("%d bytes are too short for a record header", len(b))
	}
	length := int64(binary.LittleEndian.Uint32(b))
	if length > int64(len(b)-recordHeaderSize) {
		return record{}, 0, fmt.Errorf("record of %d bytes is longer than the file", length)
	}
	b = b[:recordHeaderSize+int(length)]
	r, err := decodeBody(b[recordHeaderSize:])
	if err != nil {
		return record{}, 0, err
	}
	// The checksum is verified last: the structure check is cheaper and rejects most
	// positions when findRecord searches for valid records after a damaged one.
	if got, want := checksum(seed, b), binary.LittleEndian.Uint32(b[4:]); got != want {
		return record{}, 0, fmt.Errorf("checksum is %08x, expected %08x", got, want)
	}
	return r, len(b), nil
}

func decodeBody(b []byte) (record, error) {
	if len(b) == 0 {
		return record{}, fmt.Errorf("empty record")
	}
	kind, b := b[0], b[1:]
	switch kind {
	case kindTruncate:
		if len(b) != 8 || binary.LittleEndian.Uint64(b) == 0 {
			return record{}, fmt.Errorf("malformed truncation record")
		}
		return record{truncateFrom: binary.LittleEndian.Uint64(b)}, nil
	case kindEntries:
		return decodeEntries(b)
	default:
		return record{}, fmt.Errorf("unknown record kind %d", kind)
	}
}

func decodeEntries(b []byte) (record, error) {
	var r record
	for len(b) > 0 {
		if len(b) < entryHeaderSize {
			return record{}, fmt.Errorf("malformed entry header")
		}
		e := Entry{Index: binary.LittleEndian.Uint64(b), Term: binary.LittleEndian.Uint64(b[8:])}
		size := int64(binary.LittleEndian.Uint32(b[16:]))
		if size > int64(len(b)-entryHeaderSize) {
			return record{}, fmt.Errorf("entry is longer than its record")
		}
		if e.Index == 0 || len(r.entries) > 0 && e.Index != r.entries[len(r.entries)-1].Index+1 {
			return record{}, fmt.Errorf("entry index %d out of order", e.Index)
		}
		e.Data = b[entryHeaderSize : entryHeaderSize+size : entryHeaderSize+size]
		r.entries = append(r.entries, e)
		b = b[entryHeaderSize+size:]
	}
	if len(r.entries) == 0 {
		return record{}, fmt.Errorf("record without entries")
	}
	return r, nil
}

// decodeSegment decodes all records of one segment file. A torn record at the end of
// the last segment is omitted; valid is the length of the data before it. Any other
// damage is returned as a *DamageError for the given file name.
func decodeSegment(file string, seed uint32, data []byte, last bool) (
	records []record, valid int64, err error,
) {
	if len(data) < len(segmentMagic) {
		if last && string(data) == segmentMagic[:len(data)] {
			return nil, 0, nil
		}
		return nil, 0, &DamageError{File: file, Reason: "segment header is incomplete"}
	}
	if string(data[:len(segmentMagic)]) != segmentMagic {
		return nil, 0, &DamageError{File: file, Reason: "not a segment of this format version"}
	}
	off := len(segmentMagic)
	for off < len(data) {
		r, size, decodeErr := decodeRecord(seed, data[off:])
		if decodeErr == nil {
			records = append(records, r)
			off += size
			continue
		}
		if !last {
			return nil, 0, &DamageError{File: file, Offset: int64(off), Reason: decodeErr.Error()}
		}
		if at, found := findRecord(seed, data, off+1); found {
			return nil, 0, &DamageError{
				File: file, Offset: int64(off),
				Reason: fmt.Sprintf("%v, but a valid record follows at offset %d", decodeErr, at),
			}
		}
		break
	}
	return records, int64(off), nil
}

// findRecord returns the offset of the first valid record at or after from.
func findRecord(seed uint32, data []byte, from int) (at int, found bool) {
	for at = from; at+recordHeaderSize < len(data); at++ {
		if _, _, err := decodeRecord(seed, data[at:]); err == nil {
			return at, true
		}
	}
	return 0, false
}
