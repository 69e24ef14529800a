package model

// MaxCrashCounts bounds the crash counts that one exchange carries. A sender
// with more sends the highest.
const MaxCrashCounts = 64

// CrashCount is the number of upstream crashes seen with a request content.
type CrashCount struct {
	Fingerprint uint64
	Count       int
}
