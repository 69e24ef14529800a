package claim

import "time"

// shardCount is the number of Claim objects. It must be the same on all nodes.
const shardCount = 256

// Settings are the timeouts and limits of this component.
type Settings struct {
	// ClaimTimeout is the maximum time that a request waits for its claim.
	ClaimTimeout time.Duration
	// RecordTimeout is the maximum time that a caller's response is delayed until
	// its outcome is recorded.
	RecordTimeout time.Duration
	// BackgroundTimeout is the maximum time for which a write is retried that no
	// request waits for.
	BackgroundTimeout time.Duration
	// Retention is how long an entry is kept after its last change.
	Retention time.Duration
	// MinBackoff and MaxBackoff limit the backoff after a failed call.
	MinBackoff, MaxBackoff time.Duration
	// MaxPendingClaims is the maximum number of requests that wait for a claim.
	// Further requests are refused with ClaimUnavailable.
	MaxPendingClaims int
	// MaxPendingOutcomes is the maximum number of outcomes that wait to be
	// recorded. Further outcomes are not recorded, and their claims stay open.
	MaxPendingOutcomes int
	// MaxBody is the maximum size in bytes of a recorded response body. Longer
	// bodies are omitted.
	MaxBody int
	// ClaimSizeLimit is the size of an object in bytes above which new claims are
	// refused with ClaimTableFull.
	ClaimSizeLimit int
	// BodySizeLimit is the size of an object in bytes above which responses are
	// recorded without their bodies.
	BodySizeLimit int
	// CacheSizeLimit is the maximum size in bytes of the cached copies of idle
	// shards.
	CacheSizeLimit int
}

// DefaultSettings returns the settings of an entry node.
func DefaultSettings() Settings {
	return Settings{
		ClaimTimeout:      2 * time.Second,
		RecordTimeout:     2 * time.Second,
		BackgroundTimeout: 10 * time.Minute,
		// Entries are kept for 24 h. The additional hour allows for a difference
		// between the wall clocks of the node that wrote an entry and the node that
		// removes it.
		Retention:          25 * time.Hour,
		MinBackoff:         50 * time.Millisecond,
		MaxBackoff:         time.Second,
		MaxPendingClaims:   4096,
		MaxPendingOutcomes: 4096,
		MaxBody:            2048,
		// The store accepts objects up to 1 MB. The space above ClaimSizeLimit is
		// reserved for the outcomes of requests that are already claimed.
		ClaimSizeLimit: 640_000,
		BodySizeLimit:  760_000,
		CacheSizeLimit: 8 << 20,
	}
}
