package order

import "time"

// Settings are the time limits and capacity limits of this package.
type Settings struct {
	// SendTimeout is the time limit for one transmission of an order.
	SendTimeout time.Duration
	// LeaseDuration is the duration of the lease under which orders are sent.
	LeaseDuration time.Duration
	// MaxClockDrift is the largest relative difference between the rates of two
	// clocks.
	MaxClockDrift float64
	// OrderTimeout is how long an order is retried.
	OrderTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay before a failed call is retried.
	MinBackoff, MaxBackoff time.Duration
	// MaxOrders bounds the engine orders in progress, and MaxProvisions the
	// provisioning orders in progress. Further orders are dropped.
	MaxOrders, MaxProvisions int
	// FreezeDelay is the time between the end of a window and its freezing.
	FreezeDelay time.Duration
	// RetainedWindows is the number of reported windows whose records are
	// retained. A part that is older and not included in any of them is never
	// reported.
	RetainedWindows int
	// MaxLines bounds the accounts in a usage record and in a usage part,
	// because a stored object holds at most 1 MB.
	MaxLines int
	// MaxUnwrittenParts bounds the parts of this node that are not in the
	// store yet. When it is reached, further usage is added to the part of a
	// later window.
	MaxUnwrittenParts int
}

// DefaultSettings returns the settings of an entry node.
func DefaultSettings() Settings {
	return Settings{
		SendTimeout:       2 * time.Second,
		LeaseDuration:     10 * time.Second,
		MaxClockDrift:     0.001,
		OrderTimeout:      time.Minute,
		MinBackoff:        100 * time.Millisecond,
		MaxBackoff:        2 * time.Second,
		MaxOrders:         4096,
		MaxProvisions:     256,
		FreezeDelay:       15 * time.Second,
		RetainedWindows:   60,
		MaxLines:          6000,
		MaxUnwrittenParts: 60,
	}
}

// takeoverDelay is how long a new lease holder waits before its first order to
// an engine that does not check epochs. By then the last transmission of the
// earlier holder has ended, and the engine has kept its role for a further
// lease duration.
func (s Settings) takeoverDelay() time.Duration {
	return time.Duration(float64(s.SendTimeout+s.LeaseDuration) * (1 + s.MaxClockDrift))
}

// maxTransmissionTime is how long after its deadline a transmission may still
// arrive at an upstream.
func (s Settings) maxTransmissionTime() time.Duration {
	return time.Duration(float64(s.SendTimeout) * (1 + s.MaxClockDrift))
}

// backoff returns a random delay between half and all of the exponential
// backoff for a number of failures.
func (s Settings) backoff(failures int, random uint64) time.Duration {
	backoff := min(s.MaxBackoff, s.MinBackoff<<min(failures, 10))
	half := backoff / 2
	return half + time.Duration(random%uint64(half+1))
}
