package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the start of the VM. It includes suspensions.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All kernels that Go supports have this clock.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
