package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// An answer without a length ends with its connection. If the target resets the connection right after
// its end, the kernel reports an end and no error, so that a part of the answer would pass for the whole.
// So the end counts only after a moment in which no reset has come, and once the target has taken the whole
// request: a reset follows if it does not want the rest.

const (
	// endPause is the time for which a reset is awaited after the end.
	endPause = 20 * time.Millisecond
	// endTimeout is how long a target may take to receive the rest of a request after the end of its
	// answer.
	endTimeout = 400 * time.Millisecond
)

var (
	// ErrReset means that a target has reset the connection after the end of its answer.
	ErrReset = errors.New("connection reset after its end")
	// ErrUnread means that a target has ended its answer and does not take the rest of the request.
	ErrUnread = errors.New("the target has ended its answer and does not take the rest of the request")
)

// endReader reads from a connection.
type endReader struct {
	nc net.Conn
	// marksEnd is set while the end of the connection is that of an answer, which counts only after
	// CheckEnd.
	marksEnd bool
}

// Read implements io.Reader.
func (r *endReader) Read(b []byte) (int, error) {
	n, err := r.nc.Read(b)
	if n == 0 && errors.Is(err, io.EOF) && r.marksEnd {
		if endErr := CheckEnd(r.nc); endErr != nil {
			return 0, endErr
		}
	}
	return n, err
}

// CheckEnd waits until the end of an answer that the peer has marked by the end of the connection counts.
// It returns ErrReset, ErrUnread, or the error of a deadline of the connection that has passed.
func CheckEnd(nc net.Conn) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil //nolint:nilerr // It is no socket, as in tests.
	}
	if _, err := unreadBytes(raw); err != nil {
		return err
	}
	for end := time.Now().Add(endTimeout); ; {
		time.Sleep(endPause)
		n, err := unreadBytes(raw)
		switch {
		case err != nil || n == 0:
			return err
		case !time.Now().Before(end):
			return ErrUnread
		}
	}
}

// unreadBytes returns how many bytes the peer has not acknowledged, 0 if that is not known. It returns an
// error if the connection was reset or its deadline has passed.
func unreadBytes(raw syscall.RawConn) (n int, err error) {
	reset := 0
	err = raw.Read(func(fd uintptr) bool {
		reset, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		return true
	})
	switch {
	case err != nil:
		return 0, fmt.Errorf("check the end of an answer: %w", err)
	case reset != 0:
		return 0, fmt.Errorf("%w: %w", ErrReset, syscall.Errno(reset))
	}
	return n, nil
}
