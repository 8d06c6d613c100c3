// Package clock reads the host's boot clock. Unlike the wall clock, it is never set; unlike the
// monotonic clock of package time, it runs on while the host is suspended. It is for deadlines and
// ages that outlast a request. It is not for times that are shown or sent to other hosts.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host's boot as a time.Time. Only the difference between two such
// times is meaningful. With the monotonic clock, by which timers run, a deadline that expires while
// the host is suspended would be late by the duration of the suspension.
func Boot() time.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Now() // a kernel without this clock doesn't suspend either
	}
	return time.Unix(t.Unix())
}
