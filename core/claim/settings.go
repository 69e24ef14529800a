package claim

import "time"

// shardCount is the number of Claim objects. It must be the same on all nodes.
const shardCount = 256

// Settings are the bounds of this part.
type Settings struct {
	// ClaimTerm bounds how long a request waits for its claim.
	ClaimTerm time.Duration
	// RecordTerm bounds how long a caller's response waits until its outcome
	// is recorded.
	RecordTerm time.Duration
	// SettleTerm bounds how long a write that nobody waits for is retried.
	SettleTerm time.Duration
	// Retention is how long an entry is kept after its last change.
	Retention time.Duration
	// RetryMin and RetryMax bound the pause after a call that failed.
	RetryMin, RetryMax time.Duration
	// MaxWaiting bounds the requests that wait for a claim. Further ones are
	// refused with ClaimUnavailable.
	MaxWaiting int
	// MaxBacklog bounds the ends of requests that wait to be recorded. Further
	// ones are not recorded: their claims stay open.
	MaxBacklog int
	// MaxBody is the size in bytes up to which the body of an answer is
	// recorded.
	MaxBody int
	// ClaimBytes is the size of an object in bytes above which new claims are
	// refused with ClaimTableFull.
	ClaimBytes int
	// BodyBytes is the size of an object in bytes above which answers are
	// recorded without their bodies.
	BodyBytes int
	// CacheBytes bounds the copies of idle shards that are kept.
	CacheBytes int
}

// DefaultSettings returns the settings of an entry node.
func DefaultSettings() Settings {
	return Settings{
		ClaimTerm:  2 * time.Second,
		RecordTerm: 2 * time.Second,
		SettleTerm: 10 * time.Minute,
		// Entries are kept for 24 h. The hour on top allows for the difference
		// between the wall clocks of the node that wrote an entry and the node
		// that removes it.
		Retention:  25 * time.Hour,
		RetryMin:   50 * time.Millisecond,
		RetryMax:   time.Second,
		MaxWaiting: 4096,
		MaxBacklog: 4096,
		MaxBody:    2048,
		// The store holds objects up to 1 MB. The space above ClaimBytes is for
		// the ends of requests that are already claimed.
		ClaimBytes: 640_000,
		BodyBytes:  760_000,
		CacheBytes: 8 << 20,
	}
}
