package model

// Allowance is a token bucket that holds a share of the rate and burst of a
// client account.
type Allowance struct {
	// Rate is the refill rate in requests per second.
	Rate float64
	// Burst is the capacity of the token bucket in requests.
	Burst float64
	// Level is the current number of tokens, at most Burst.
	Level float64
}
