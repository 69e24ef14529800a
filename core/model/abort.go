package model

//go:generate go tool stringer -type=AbortReason -trimprefix=Abort -output=abort_string.go

// AbortReason is the cause for which a caller's connection ended without a
// complete response.
type AbortReason int

// The values of AbortReason.
const (
	// AbortBodyRead means that the body of the request could not be read.
	AbortBodyRead AbortReason = iota
	// AbortCallerLeft means that the caller closed its connection.
	AbortCallerLeft
	// AbortCallerWrite means that the response could not be written to the caller
	// in time.
	AbortCallerWrite
	// AbortDeadlineExceeded means that the deadline of the caller or the timeout of
	// the route passed after a part of the response had been sent.
	AbortDeadlineExceeded
	// AbortDrainDeadline means that the node stopped while the request was open.
	AbortDrainDeadline
	// AbortLoopStopped means that the control loop no longer took events.
	AbortLoopStopped
	// AbortNoUpstream means that no upstream could resume a stream.
	AbortNoUpstream
	// AbortPanic means that the handler of the request panicked.
	AbortPanic
	// AbortRetryBudgetSpent means that the retry budget did not allow resuming a
	// stream.
	AbortRetryBudgetSpent
	// AbortStreamTruncated means that the connection to the upstream broke and the
	// stream may not be resumed.
	AbortStreamTruncated
)

// AbortReasons returns every AbortReason, so that counters can be created at
// startup.
func AbortReasons() []AbortReason {
	var all []AbortReason
	for r := AbortReason(0); r <= AbortStreamTruncated; r++ {
		all = append(all, r)
	}
	return all
}
