package common

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine booted, suspended time included.
// It measures what must expire even while the machine is suspended, such as
// leases and the age of keys. Values of different machines can't be compared.
func Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// CLOCK_BOOTTIME exists on Linux since 2.6.39.
		panic("common: no boot-time clock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
