package order

import "time"

// Settings are the bounds of this part.
type Settings struct {
	// SendTerm bounds the transmission of an order.
	SendTerm time.Duration
	// LeaseTerm is the term of the lease under which orders are given.
	LeaseTerm time.Duration
	// Drift bounds the difference of the rates of two clocks.
	Drift float64
	// OrderTerm bounds how long an order is tried.
	OrderTerm time.Duration
	// RetryMin and RetryMax bound the pause after a call that failed.
	RetryMin, RetryMax time.Duration
	// MaxOrders bounds the orders in progress, and MaxProvisions the orders for
	// upstreams in progress. Further ones are dropped.
	MaxOrders, MaxProvisions int
	// UsageGrace is how long after its end a window is frozen.
	UsageGrace time.Duration
	// KeptWindows is the number of frozen windows whose records are kept. An
	// older part that is not in any of them is never reported.
	KeptWindows int
	// MaxLines bounds the accounts in a usage record and in a part, whose
	// objects hold up to 1 MB.
	MaxLines int
	// MaxParts bounds the parts of this node that are not yet in the store.
	// When it is reached, later usage goes into the last of them.
	MaxParts int
}

// DefaultSettings returns the settings of an entry node.
func DefaultSettings() Settings {
	return Settings{
		SendTerm:      2 * time.Second,
		LeaseTerm:     10 * time.Second,
		Drift:         0.001,
		OrderTerm:     time.Minute,
		RetryMin:      100 * time.Millisecond,
		RetryMax:      2 * time.Second,
		MaxOrders:     4096,
		MaxProvisions: 256,
		UsageGrace:    15 * time.Second,
		KeptWindows:   60,
		MaxLines:      6000,
		MaxParts:      60,
	}
}

// takeoverWait is how long a new holder waits before its first order to an
// upstream that does not check epochs. The transmission of the last order of
// the earlier holder has ended by then, and the upstream stays in its role for
// a further term of the lease.
func (s Settings) takeoverWait() time.Duration {
	return time.Duration(float64(s.SendTerm+s.LeaseTerm) * (1 + s.Drift))
}

// arrivalTerm is how long after its last moment a transmission may still arrive
// at an upstream.
func (s Settings) arrivalTerm() time.Duration {
	return time.Duration(float64(s.SendTerm) * (1 + s.Drift))
}

// pause returns the time between half of the pause after a number of failures
// and the whole.
func (s Settings) pause(failures int, draw uint64) time.Duration {
	pause := min(s.RetryMax, s.RetryMin<<min(failures, 10))
	half := pause / 2
	return half + time.Duration(draw%uint64(half+1))
}
