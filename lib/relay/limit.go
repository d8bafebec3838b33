package relay

import (
	"errors"
	"io"
)

var errTooLong = errors.New("the target sends more bytes than an answer may have")

// readLimit bounds the bytes that are read from a connection while it is set.
type readLimit struct {
	r io.Reader
	// active is set while left bounds the reads.
	active bool
	left   int
}

// set bounds the bytes that are read from now on.
func (l *readLimit) set(n int) { l.active, l.left = true, n }

// lift removes the bound.
func (l *readLimit) lift() { l.active = false }

// Read implements io.Reader.
func (l *readLimit) Read(dst []byte) (int, error) {
	if !l.active {
		return l.r.Read(dst)
	}
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(dst[:min(len(dst), l.left)])
	l.left -= n
	return n, err
}
