package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// startEcho starts a TCP echo server.
func startEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a proxy that forwards bytes during Cut or Blackhole: partition tests would
// then pass without a partition.
func TestModes(t *testing.T) {
	l, err := New(anyPort, startEcho(t))
	assert.NilError(t, err)
	defer l.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	roundTrip := func(c net.Conn, wait time.Duration) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		c.SetReadDeadline(time.Now().Add(wait))
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	c := dial()
	assert.NilError(t, roundTrip(c, 10*time.Second))
	l.Blackhole()
	assert.Assert(t, errors.Is(roundTrip(c, 200*time.Millisecond), os.ErrDeadlineExceeded))
	assert.Assert(t, errors.Is(roundTrip(dial(), 200*time.Millisecond), os.ErrDeadlineExceeded))
	l.Heal()
	assert.Assert(t, roundTrip(c, 10*time.Second) != nil)
	assert.NilError(t, roundTrip(dial(), 10*time.Second))
	l.Cut()
	assert.Assert(t, roundTrip(dial(), 10*time.Second) != nil)
	l.Delay(50 * time.Millisecond)
	start := time.Now()
	assert.NilError(t, roundTrip(dial(), 10*time.Second))
	assert.Assert(t, time.Since(start) >= 100*time.Millisecond)
}
