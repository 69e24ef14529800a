package effect

import "time"

// ReportSuspension records that the VM was suspended shortly before this event.
type ReportSuspension struct {
	// For is how long the VM was suspended, and Total how long it was since the process
	// started.
	For, Total time.Duration
}

func (ReportSuspension) isEffect() {}
