// Package boottime reads a monotonic clock that also counts the time while the
// machine is suspended. The monotonic clock of package time does not count it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including the time suspended. If
// the clock cannot be read, it returns the time since the process started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
