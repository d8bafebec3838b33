package link

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"storj.io/drpc/drpcerr"
)

//go:generate stringer -type=Code -trimprefix=Code

// Code classifies an error that is sent to another process.
type Code uint64

// Error codes; their values are part of the wire protocol.
const (
	CodeOther Code = iota
	// CodeNotLeader means that the control instance does not lead, is transferring the
	// leadership or is shutting down. A command that fails with this code has not been
	// executed.
	CodeNotLeader
	// CodeNoQuorum means that the outcome of a command is unknown. Resending it with
	// the same identity is safe.
	CodeNoQuorum
	// CodeProtocol means that the peer uses another protocol version.
	CodeProtocol
	// CodeInvalid means that the message is malformed, so that a resend fails too.
	CodeInvalid
	// CodeStorage means that the state could not be written, for example because the
	// disk is full.
	CodeStorage
	// CodeBusy means that the callee is overloaded and has not executed the call. The caller
	// waits for the time in the error before it calls again.
	CodeBusy
)

// Errorf returns an error whose code is sent to the peer.
func Errorf(code Code, format string, args ...any) error {
	return drpcerr.WithCode(fmt.Errorf(format, args...), uint64(code))
}

// CodeOf returns the code of err, also if a peer sent it, or CodeOther if it has none.
func CodeOf(err error) Code { return Code(drpcerr.Code(err)) }

// NotLeader returns an error that redirects the caller to the leader. The zero address
// means that the leader is unknown.
func NotLeader(leader netip.AddrPort) error {
	text := ""
	if leader.IsValid() {
		text = leader.String()
	}
	return drpcerr.WithCode(errors.New(text), uint64(CodeNotLeader))
}

// Busy returns an error that tells the caller to wait for d.
func Busy(d time.Duration) error {
	return drpcerr.WithCode(errors.New(d.String()), uint64(CodeBusy))
}

// BusyFor returns the time in a Busy error; ok is false if err is another error.
func BusyFor(err error) (d time.Duration, ok bool) {
	if CodeOf(err) != CodeBusy {
		return 0, false
	}
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	d, parseErr := time.ParseDuration(err.Error())
	return d, parseErr == nil && d > 0
}

// leaderOf returns the address in a NotLeader error, or the zero address.
func leaderOf(err error) netip.AddrPort {
	addr, parseErr := netip.ParseAddrPort(err.Error())
	if parseErr != nil {
		return netip.AddrPort{}
	}
	return addr
}

// LeaderOf returns the address in a NotLeader error; ok is false if err is another
// error or contains no address.
func LeaderOf(err error) (addr netip.AddrPort, ok bool) {
	if CodeOf(err) != CodeNotLeader {
		return netip.AddrPort{}, false
	}
	addr = leaderOf(err)
	return addr, addr.IsValid()
}

// DialError means that no connection was established, so that the peer has received
// nothing.
type DialError struct {
	Addr netip.AddrPort
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Addr, e.Err) }

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }
