package model

import "time"

//go:generate go tool stringer -type=MarkState -output=suspicion_string.go

const (
	// MaxPartMarks is the maximum number of marks of one part of a prompt.
	MaxPartMarks = 32
	// MaxPartSuspicions is the maximum number of parts in a full report.
	MaxPartSuspicions = 64
	// MaxAnnouncedSuspicions and MaxAnnouncedMarks limit what one announcement holds,
	// so that it fits a datagram.
	MaxAnnouncedSuspicions = 12
	MaxAnnouncedMarks      = 100
)

// MarkState is what a crash says about a part of a prompt. Nodes merge their marks by
// taking the highest state.
type MarkState int

// The values of MarkState.
const (
	// MarkWeak means that the part, like all others of the request, had been answered
	// soundly shortly before.
	MarkWeak MarkState = iota
	// MarkStrong means that no recent sound answer to the part was known.
	MarkStrong
	// MarkCleared means that the part was answered soundly after the crash, or that
	// another part explains the crash.
	MarkCleared
)

// PartMark states that an upstream crashed before it had answered a request with a
// part of a prompt. Crash identifies the process that crashed, and thereby the crash.
type PartMark struct {
	Crash uint64
	State MarkState
}

// PartSuspicion is what a node knows of the crashes during requests with a part of a
// prompt.
type PartSuspicion struct {
	// Part is the ID of the part.
	Part uint64
	// Trials is the number of requests that were let through although the part was
	// held.
	Trials int
	// Void is the number of these that ended without a result.
	Void int
	// Remaining is how long the sender keeps the suspicion.
	Remaining time.Duration
	Marks     []PartMark
}

// PartBelief is a change in a node's view of a part of a prompt.
type PartBelief struct {
	Belief Belief
	Part   uint64
	// Crashes is the number of crashes that count against the part.
	Crashes int
}
