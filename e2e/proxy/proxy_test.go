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

// echo starts a TCP echo server.
func echo(t *testing.T) netip.AddrPort {
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

// Guards against a proxy that forwards bytes during Cut or Hole: partition tests would
// then pass without a partition.
func TestModes(t *testing.T) {
	l, err := New(anyPort, echo(t))
	assert.NilError(t, err)
	defer l.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	round := func(c net.Conn, wait time.Duration) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		c.SetReadDeadline(time.Now().Add(wait))
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	c := dial()
	assert.NilError(t, round(c, 10*time.Second))
	l.Hole()
	assert.Assert(t, errors.Is(round(c, 200*time.Millisecond), os.ErrDeadlineExceeded))
	assert.Assert(t, errors.Is(round(dial(), 200*time.Millisecond), os.ErrDeadlineExceeded))
	l.Heal()
	assert.Assert(t, round(c, 10*time.Second) != nil)
	assert.NilError(t, round(dial(), 10*time.Second))
	l.Cut()
	assert.Assert(t, round(dial(), 10*time.Second) != nil)
	l.Delay(50 * time.Millisecond)
	begin := time.Now()
	assert.NilError(t, round(dial(), 10*time.Second))
	assert.Assert(t, time.Since(begin) >= 100*time.Millisecond)
}
