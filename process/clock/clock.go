// Package clock tells a time that no step of the time of day moves and that goes on while the
// host is suspended. Deadlines and ages that outlast a request are kept by it. It lives for the
// process.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host was booted, as a moment: only differences of such
// moments say something. The clock by which timers run stands while a host is suspended, so
// that what should have lapsed meanwhile would stand for as long again.
func Boot() time.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Now() // a kernel without the clock suspends no host either
	}
	return time.Unix(t.Unix())
}
