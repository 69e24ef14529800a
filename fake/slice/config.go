// Package slice measures placement and role policies on a small emulated slice
// of an installation: engines in zones, one dispatcher and a generated load.
// It has no nodes and no network. Its clock steps from event to event, so that
// a run depends on its Config and policy only.
package slice

import (
	"fmt"
	"time"
)

// maxRate bounds the memory that the requests of a run take.
const maxRate = 1e5

// Config describes the engines, the load and the faults of a run.
type Config struct {
	Seed uint64
	// Zones holds the number of engines of each zone. Engines are numbered
	// from 0 through all zones.
	Zones []int
	// CheapEvery makes each engine of that position in its zone cheap.
	CheapEvery int
	Engine     EngineConfig
	Load       Load
	Faults     []Fault
	// ReportEvery and ReportLag are the period and the age of load reports.
	ReportEvery, ReportLag time.Duration
	// ServeEvery is the period in which waiting requests are tried again.
	ServeEvery time.Duration
	// AdmitTerm is the longest wait before a request is refused.
	AdmitTerm time.Duration
	// FirstTarget and NextTarget are the limits for the first token and for
	// the gap before each other token.
	FirstTarget, NextTarget time.Duration
}

// EngineConfig holds the speeds and limits of the engines.
type EngineConfig struct {
	// PromptToken is the time to compute a token of a prompt.
	PromptToken time.Duration
	// StepBase and StepRequest are the time of an iteration with a batch, and
	// PromptBase that of an iteration without.
	StepBase, StepRequest, PromptBase time.Duration
	// PromptPiece and MixedPiece are the prompt tokens of an iteration without
	// and with a batch.
	PromptPiece, MixedPiece int
	// Slots is the number of requests that an engine holds.
	Slots int
	// CachePrefixes is the number of prefixes in the cache.
	CachePrefixes int
	// TransferBase and TransferToken are the time of a KV cache transfer.
	TransferBase, TransferToken time.Duration
	// ChangeTerm is the time of a role change after the drain.
	ChangeTerm time.Duration
	// CheapPrice is the price of a cheap engine; that of the others is 1.
	CheapPrice float64
	// PrefillRate and DecodeRate are the tokens a second that policies expect.
	PrefillRate, DecodeRate float64
}

// Load describes the requests.
type Load struct {
	// Phases follow each other; the last one lasts until End.
	Phases []Phase
	// SwingFrom and SwingTo bound the requests of the swing figures. Later
	// requests count for the evening.
	SwingFrom, SwingTo time.Duration
	// Weights holds the part of the load within each account's rate.
	Weights []float64
	// CheapShare holds the part of each account's work that may be cheap.
	CheapShare []float64
	// Noisy is the account that sends NoisyExtra times its rate in addition
	// from NoisyFrom to NoisyTo.
	Noisy              int
	NoisyExtra         float64
	NoisyFrom, NoisyTo time.Duration
	// End is the time of the last arrival, and Drain the time after it in
	// which requests can end.
	End, Drain time.Duration
}

// Phase is a kind of load: requests a second, mean prompt and mean output.
type Phase struct {
	Until                time.Duration
	Rate, Prompt, Output float64
}

// Fault stops engines, or starts them again.
type Fault struct {
	At      time.Duration
	Engines []int
	Up      bool
}

// WithSeed returns the configuration with another seed.
func (c Config) WithSeed(seed uint64) Config {
	c.Seed = seed
	return c
}

// Validate reports the first value that a run cannot use.
func (c Config) Validate() error {
	engines := 0
	for _, n := range c.Zones {
		engines += n
	}
	l := c.Load
	switch {
	case engines == 0:
		return fmt.Errorf("config: Zones %v: need at least one engine", c.Zones)
	case c.CheapEvery < 1:
		return fmt.Errorf("config: CheapEvery %d: must be at least 1", c.CheapEvery)
	case len(l.Phases) == 0:
		return fmt.Errorf("config: Load.Phases: need at least one phase")
	case l.Noisy < 0 || l.Noisy >= len(l.Weights):
		return fmt.Errorf("config: Load.Noisy %d: must be an index of the %d weights", l.Noisy, len(l.Weights))
	case l.End <= 0:
		return fmt.Errorf("config: Load.End %v: must be above 0", l.End)
	case c.Engine.Slots < 1:
		return fmt.Errorf("config: Engine.Slots %d: must be at least 1", c.Engine.Slots)
	case len(l.CheapShare) != len(l.Weights):
		return fmt.Errorf("config: Load.CheapShare: %d values for %d weights", len(l.CheapShare), len(l.Weights))
	case c.ReportEvery <= 0 || c.ServeEvery <= 0:
		return fmt.Errorf("config: ReportEvery %v, ServeEvery %v: must be above 0", c.ReportEvery, c.ServeEvery)
	}
	for _, p := range l.Phases {
		if !(p.Rate > 0 && p.Rate <= maxRate) {
			return fmt.Errorf("config: Load.Phases: rate %v must be above 0 and at most %v", p.Rate, maxRate)
		}
	}
	for a, weight := range l.Weights {
		if !(weight > 0) {
			return fmt.Errorf("config: Load.Weights: weight %v of account %d must be above 0", weight, a)
		}
	}
	for _, f := range c.Faults {
		for _, id := range f.Engines {
			if id < 0 || id >= engines {
				return fmt.Errorf("config: Faults: engine %d: must be from 0 to %d", id, engines-1)
			}
		}
	}
	return nil
}
