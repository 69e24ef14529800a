package step

import "time"

// minSuspension is the shortest suspension that is reported. Shorter differences come
// from the clocks, which are not read at the same moment.
const minSuspension = 50 * time.Millisecond

// Suspensions notices in the inputs of a reducer that the VM was suspended. The zero
// value is that of a process that has just started.
type Suspensions struct{ reported time.Duration }

// With returns the state after an input for which Input.Suspended is total, and how long
// the VM was suspended since the last report. That is zero if there is nothing to report.
func (s Suspensions) With(total time.Duration) (Suspensions, time.Duration) {
	suspended := total - s.reported
	if suspended < minSuspension {
		return s, 0
	}
	return Suspensions{reported: total}, suspended
}
