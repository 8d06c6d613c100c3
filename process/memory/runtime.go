package memory

import "runtime/debug"

// softLimitShare is the share of the configured memory that becomes the Go runtime's
// soft memory limit. The rest is for memory that the runtime doesn't count.
const softLimitShare = 0.6

// gcPercent is the heap growth, in percent of the live heap, at which the garbage
// collector runs. It is lower than Go's default of 100: the hosts of a large fleet have
// little memory, and they allocate so little that more frequent collections are cheap.
const gcPercent = 50

// LimitRuntime sets the garbage collector's target and the soft memory limit for a
// process that may use mb megabytes. With 0 it changes nothing.
func LimitRuntime(mb int) {
	if mb > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(softLimitShare * float64(mb) * (1 << 20)))
	}
}
