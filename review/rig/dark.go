package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"time"
)

// dark is an address that answers nothing: connection attempts get no reply, as from a machine
// without power.
type dark struct {
	fd    int
	fill  []net.Conn
	other []net.Conn
}

// maxFill is the number of connections with which the queue of a listener is filled.
const maxFill = 8

// goDark takes the address over. Its listener must have been closed.
func goDark(addr string) (*dark, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	d := &dark{fd: fd}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		d.close()
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		d.close()
		return nil, os.NewSyscallError("bind "+strconv.Itoa(int(at.Port())), err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		d.close()
		return nil, os.NewSyscallError("listen", err)
	}
	// Once the queue is full, the kernel drops further attempts without a reply.
	for range maxFill {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return d, nil
		}
		d.fill = append(d.fill, c)
	}
	d.close()
	return nil, fmt.Errorf("%s still accepts connections", addr)
}

func (d *dark) close() {
	_ = syscall.Close(d.fd)
	for _, c := range append(d.fill, d.other...) {
		_ = c.Close()
	}
}
