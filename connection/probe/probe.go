// Package probe looks at a connection without reading from it.
package probe

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// Closed reports whether the other side has closed a connection, as far as
// this side was told. It consumes nothing. A side that only shut down its
// sending half counts as closed.
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
		closed = ended(int(fd))
	})
	return err != nil || closed
}

// Idle reports whether a connection is open with nothing waiting to be read:
// bytes that nobody asked for make a pooled connection unusable.
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

func ended(fd int) bool {
	n, err := peek(fd)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return false
	}
	return err != nil || n == 0
}

func peek(fd int) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
