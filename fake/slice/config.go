// Package slice is a discrete-event simulator that compares placement and role
// policies on a small part of an installation: engines in availability zones, one
// dispatcher and a generated load. There are no nodes and no network. The clock
// advances from event to event, so the result of a run depends only on its Config
// and its policy.
package slice

import (
	"fmt"
	"time"
)

// maxRate is the highest request rate of a phase, in requests per second. It
// bounds the memory for the requests of a run, which are all generated up front.
const maxRate = 1e5

// Config describes the engines, the load and the faults of a run.
type Config struct {
	Seed uint64
	// Zones is the number of engines in each availability zone. Engine IDs
	// start at 0 and are consecutive across zones.
	Zones []int
	// CheapEvery makes every n-th engine of each zone a cheap (preemptible) one.
	CheapEvery int
	Engine     EngineConfig
	Load       Load
	Faults     []Fault
	// ReportEvery is the interval between load reports of an engine, and
	// ReportLag the delay until the dispatcher receives one.
	ReportEvery, ReportLag time.Duration
	// ServeEvery is the interval at which queued requests are retried.
	ServeEvery time.Duration
	// AdmitTerm is how long a request may be queued before it is refused.
	AdmitTerm time.Duration
	// FirstTarget is the target for the time to the first token, and NextTarget
	// the target for the time between two tokens.
	FirstTarget, NextTarget time.Duration
}

// EngineConfig holds the performance model and the limits of the engines.
type EngineConfig struct {
	// PromptToken is the prefill time per prompt token.
	PromptToken time.Duration
	// An iteration that decodes a batch takes StepBase plus StepRequest for each
	// request in it. An iteration without a batch takes PromptBase. Prefill time
	// is added in both cases.
	StepBase, StepRequest, PromptBase time.Duration
	// PromptPiece and MixedPiece are the prefill chunk sizes, in tokens, of an
	// iteration without and with a batch.
	PromptPiece, MixedPiece int
	// Slots is the maximum number of concurrent requests of an engine.
	Slots int
	// CachePrefixes is the capacity of the prefix cache, in prefixes.
	CachePrefixes int
	// A KV cache transfer takes TransferBase plus TransferToken for each prompt
	// token.
	TransferBase, TransferToken time.Duration
	// ChangeTerm is how long a drained engine is unavailable while it changes
	// its role.
	ChangeTerm time.Duration
	// CheapPrice is the price of a cheap engine relative to a regular one.
	CheapPrice float64
	// PrefillRate and DecodeRate are the throughputs per engine, in tokens per
	// second, that the policies assume.
	PrefillRate, DecodeRate float64
}

// Load describes the generated requests.
type Load struct {
	// Phases are in order of time. The last one applies until End.
	Phases []Phase
	// Requests that arrive from SwingFrom until SwingTo, while the load
	// alternates between prompt-heavy and output-heavy phases, count for the
	// swing figures. Later ones count for the evening figures.
	SwingFrom, SwingTo time.Duration
	// Weights is the fraction of the regular load that each client account
	// sends. This part is within the account's rate limit.
	Weights []float64
	// CheapShare is the fraction of each account's work that may run on cheap
	// engines.
	CheapShare []float64
	// Noisy is the account that exceeds its rate limit from NoisyFrom to
	// NoisyTo: it sends NoisyExtra times its regular load in addition.
	Noisy              int
	NoisyExtra         float64
	NoisyFrom, NoisyTo time.Duration
	// End is when arrivals stop, and Drain how long the run continues after
	// that so that open requests can complete.
	End, Drain time.Duration
}

// Phase is a period of constant load: Rate in requests per second, and the mean
// lengths of Prompt and Output in tokens.
type Phase struct {
	Until                time.Duration
	Rate, Prompt, Output float64
}

// Fault crashes engines, or restarts them if Up is set.
type Fault struct {
	At      time.Duration
	Engines []int
	Up      bool
}

// WithSeed returns a copy of the configuration with the given seed.
func (c Config) WithSeed(seed uint64) Config {
	c.Seed = seed
	return c
}

// Validate returns an error for the first invalid value.
func (c Config) Validate() error {
	engines := 0
	for _, n := range c.Zones {
		engines += n
	}
	l := c.Load
	switch {
	case engines == 0:
		return fmt.Errorf("config: Zones %v: must contain at least one engine", c.Zones)
	case c.CheapEvery < 1:
		return fmt.Errorf("config: CheapEvery %d: must be at least 1", c.CheapEvery)
	case len(l.Phases) == 0:
		return fmt.Errorf("config: Load.Phases: must contain at least one phase")
	case l.Noisy < 0 || l.Noisy >= len(l.Weights):
		return fmt.Errorf("config: Load.Noisy %d: must be an index into the %d weights", l.Noisy, len(l.Weights))
	case l.End <= 0:
		return fmt.Errorf("config: Load.End %v: must be greater than 0", l.End)
	case c.Engine.Slots < 1:
		return fmt.Errorf("config: Engine.Slots %d: must be at least 1", c.Engine.Slots)
	case len(l.CheapShare) != len(l.Weights):
		return fmt.Errorf("config: Load.CheapShare: got %d values for %d weights", len(l.CheapShare), len(l.Weights))
	case c.ReportEvery <= 0 || c.ServeEvery <= 0:
		return fmt.Errorf("config: ReportEvery %v, ServeEvery %v: must be greater than 0", c.ReportEvery, c.ServeEvery)
	}
	for _, p := range l.Phases {
		if !(p.Rate > 0 && p.Rate <= maxRate) {
			return fmt.Errorf("config: Load.Phases: rate %v must be greater than 0 and at most %v", p.Rate, maxRate)
		}
	}
	for a, weight := range l.Weights {
		if !(weight > 0) {
			return fmt.Errorf("config: Load.Weights: weight %v of account %d must be greater than 0", weight, a)
		}
	}
	for _, f := range c.Faults {
		for _, id := range f.Engines {
			if id < 0 || id >= engines {
				return fmt.Errorf("config: Faults: engine %d: must be between 0 and %d", id, engines-1)
			}
		}
	}
	return nil
}
