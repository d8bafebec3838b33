package link

import (
	"errors"
	"fmt"
	"net/netip"

	"storj.io/drpc/drpcerr"
)

//go:generate stringer -type=Code -trimprefix=Code

// Code classifies an error that crosses a process boundary.
type Code uint64

// Codes of errors between processes; their values are part of the protocol.
const (
	CodeOther Code = iota
	// CodeNotLeader means that another control instance leads; nothing was done.
	CodeNotLeader
	// CodeNoQuorum means that the outcome of a command is not known; a resend
	// with the same identity is safe.
	CodeNoQuorum
	// CodeProtocol means that the peer speaks another protocol version.
	CodeProtocol
	// CodeInvalid means that the message is malformed; a resend is useless.
	CodeInvalid
	// CodeStorage means that the state could not be written, as on a full disk.
	CodeStorage
)

// Errorf returns an error that carries code to the peer.
func Errorf(code Code, format string, args ...any) error {
	return drpcerr.WithCode(fmt.Errorf(format, args...), uint64(code))
}

// CodeOf returns the code of an error that came from a peer.
func CodeOf(err error) Code { return Code(drpcerr.Code(err)) }

// NotLeader returns the redirect to the leader; the zero address means unknown.
func NotLeader(leader netip.AddrPort) error {
	text := ""
	if leader.IsValid() {
		text = leader.String()
	}
	return drpcerr.WithCode(errors.New(text), uint64(CodeNotLeader))
}

// leaderOf extracts the address of a NotLeader error.
func leaderOf(err error) netip.AddrPort {
	addr, parseErr := netip.ParseAddrPort(err.Error())
	if parseErr != nil {
		return netip.AddrPort{}
	}
	return addr
}

// LeaderOf returns the leader that a NotLeader error names; ok is false if the
// error is another one or names none.
func LeaderOf(err error) (addr netip.AddrPort, ok bool) {
	if CodeOf(err) != CodeNotLeader {
		return netip.AddrPort{}, false
	}
	addr = leaderOf(err)
	return addr, addr.IsValid()
}

// DialError means that no connection was made, so that the peer got nothing.
type DialError struct {
	Addr netip.AddrPort
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }
