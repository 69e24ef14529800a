package model

import "time"

const (
	// MaxCrashRecords is the maximum number of crash records in one exchange. A sender that
	// has more sends the latest ones.
	MaxCrashRecords = 64
	// MaxCrashes is the number of crashes that a crash record names. More make no
	// difference.
	MaxCrashes = 3
)

// CrashRecord names the upstream crashes that were observed while requests with the content
// of Fingerprint ran. It is true whichever node made it, and outlives that node.
type CrashRecord struct {
	Fingerprint uint64
	// Crashes are the IDs of the crashes, at most MaxCrashes of them.
	Crashes []uint64
	// Age is the time since the latest of them.
	Age time.Duration
}
