// Package clock reads the host's boot clock. Unlike the time of day, it is not set forward or back;
// unlike the monotonic clock of package time, it runs on while the host is suspended. It serves
// for deadlines and ages that outlast a request.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host's boot as a time.Time. Only the difference of two such
// times has a meaning. With the monotonic clock, by which timers run, a deadline that passes while
// the host is suspended would be late by the time of the suspension.
func Boot() time.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Now() // a kernel without this clock doesn't suspend either
	}
	return time.Unix(t.Unix())
}
