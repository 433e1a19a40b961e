// Package clock measures elapsed time, including the time for which the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's boot as a time.Time without a monotonic reading. Two
// instants of the same host can be compared and subtracted; the date has no meaning.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it, leases would be unsafe.
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
