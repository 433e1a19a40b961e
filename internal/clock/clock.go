// Package clock tells elapsed time that goes on while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's boot as an instant without a monotonic reading.
// Two instants of one host can be compared and subtracted; the date means nothing.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it leases are unsafe.
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
