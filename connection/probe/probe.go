// Package probe checks the state of a connection or a listener without reading from it.
package probe

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Closed reports whether the other side has closed the connection, as far as this host's
// kernel has received it. A connection whose other side shut down only its sending half
// also counts as closed.
func Closed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		closed = isClosed(int(fd))
	})
	return err != nil || closed
}

// Idle reports whether a connection is open and has no bytes to read. Unexpected bytes
// make a pooled connection unusable: they would be taken for the next response.
func Idle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		_, err := peek(int(fd))
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && idle
}

// Acceptable reports whether a connection waits to be accepted by a listener.
func Acceptable(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	acceptable := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		acceptable = err == nil && n > 0
	})
	return err == nil && acceptable
}

// isClosed reports whether a read would return the end of the connection or an error.
func isClosed(fd int) bool {
	n, err := peek(fd)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return false
	}
	return err != nil || n == 0
}

// peek reads one byte without consuming it and without waiting.
func peek(fd int) (int, error) {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
