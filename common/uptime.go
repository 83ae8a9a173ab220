package common

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine booted, suspended time included.
// Promises that must lapse while a machine stands still, such as leases and
// the age of keys, are measured on it; it is not comparable across machines.
func Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every Linux since 2.6.39.
		panic("common: no boot-time clock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
