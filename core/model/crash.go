package model

// MaxCrashCounts is the maximum number of crash counts in one exchange. A
// sender that has more sends the highest ones.
const MaxCrashCounts = 64

// CrashCount is the number of upstream crashes observed while requests with the
// content of Fingerprint ran.
type CrashCount struct {
	Fingerprint uint64
	Count       int
}
