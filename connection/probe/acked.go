package probe

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// BytesAcked returns how many of the sent bytes the other side's kernel has acknowledged; 0 if that
// is not known. It stands still when the other side's receive buffer is full and nothing is read
// from it.
func BytesAcked(c net.Conn) uint64 {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var acked uint64
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = info.Bytes_acked
		}
	})
	return acked
}
