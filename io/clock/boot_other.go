//go:build !linux

package clock

import "time"

var processStart = time.Now()

// bootTime returns the time since the start of the process. Whether it includes
// suspensions depends on the operating system.
func bootTime() time.Duration { return time.Since(processStart) }
