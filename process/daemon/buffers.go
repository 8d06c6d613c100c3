package daemon

import "vetchtrail/connection/buffer"

// bufferBound returns the bound in bytes on what this host buffers for all connections; 0:
// unbounded.
func (d *Daemon) bufferBound() int {
	return d.cfg.BufferBound(d.hosted != nil && d.hosted.Buffers)
}

// socketBytes returns the bound of the kernel's buffers of a connection to an endpoint; 0: none.
func (d *Daemon) socketBytes() int {
	if d.buffers == nil {
		return 0
	}
	return buffer.SocketBytes
}
