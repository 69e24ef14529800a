package model

// Allowance is a portion of the rate and burst of a client account.
type Allowance struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the capacity of the token bucket in requests.
	Burst float64
	// Level is the number of tokens in the bucket, at most Burst.
	Level float64
}
