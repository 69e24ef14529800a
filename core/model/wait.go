package model

import "time"

//go:generate go tool stringer -type=WaitReason -trimprefix=Wait -output=wait_string.go

// WaitReason is the reason for which a request waits.
type WaitReason int

// The values of WaitReason.
const (
	// WaitQueue is the wait for quota and for an upstream that serves the request. It
	// includes attempts that failed.
	WaitQueue WaitReason = iota
	// WaitPrompt is the wait for an engine that computes the prompt.
	WaitPrompt
	// WaitTransfer is the wait for the first event of an engine that fetches the KV cache
	// of the prompt from another one.
	WaitTransfer
	// WaitFirstToken is the wait from the arrival of the request to the first event of the
	// response, or to the begin of a response that is not a stream.
	WaitFirstToken
	// WaitBetweenTokens is the wait between two events of a stream.
	WaitBetweenTokens
	waitReasonCount
)

// WaitReasons returns all reasons for which a request waits.
func WaitReasons() []WaitReason {
	reasons := make([]WaitReason, waitReasonCount)
	for i := range reasons {
		reasons[i] = WaitReason(i)
	}
	return reasons
}

// Waits holds how long a request waited, by reason. It is immutable.
type Waits struct {
	times [waitReasonCount]time.Duration
	known [waitReasonCount]bool
}

// With returns the waits with another one.
func (w Waits) With(reason WaitReason, wait time.Duration) Waits {
	w.times[reason], w.known[reason] = wait, true
	return w
}

// Get returns the wait for a reason, if the request waited for it.
func (w Waits) Get(reason WaitReason) (time.Duration, bool) { return w.times[reason], w.known[reason] }
