package lease

import (
	"time"

	"caroblane/core/model"
)

// maxSlots is the number of leases that one process can take part in.
const maxSlots = 16

// Settings are the parameters of a lease. All processes that take part in it
// must use the same values.
type Settings struct {
	// Name is the name of the Lease object.
	Name string
	// Slot distinguishes the leases of one process. It must be below maxSlots.
	Slot uint64
	// LeaseDuration is how long the lease is held after each renewal.
	LeaseDuration time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// PollInterval is the time between reads by a candidate.
	PollInterval time.Duration
	// MinBackoff and MaxBackoff limit the delay after a failed call.
	MinBackoff, MaxBackoff time.Duration
	// MaxClockDrift is the maximum difference between the rates of two clocks.
	MaxClockDrift float64
}

// DefaultSettings returns the settings for the control lease of a region.
func DefaultSettings(region model.RegionName) Settings {
	return Settings{
		Name:          "control." + string(region),
		LeaseDuration: 10 * time.Second,
		RenewInterval: 3 * time.Second,
		PollInterval:  5 * time.Second,
		MinBackoff:    100 * time.Millisecond,
		MaxBackoff:    time.Second,
		MaxClockDrift: 0.001,
	}
}

// NewSettings returns settings under which a holder that was replaced cannot
// hold the lease again within the given duration.
func NewSettings(name string, duration time.Duration) Settings {
	s := DefaultSettings("")
	s.Name = name
	s.LeaseDuration = duration
	s.RenewInterval = duration / 3
	s.PollInterval = duration / 2
	return s
}

// HoldDuration returns how long a holder may act, counted from just before it
// sent the renewal.
func (s Settings) HoldDuration() time.Duration {
	return time.Duration(float64(s.LeaseDuration) * (1 - s.MaxClockDrift))
}

// TakeoverDelay returns how long a candidate waits, counted from when it first
// observed a version.
func (s Settings) TakeoverDelay() time.Duration {
	return time.Duration(float64(s.LeaseDuration) * (1 + s.MaxClockDrift))
}
