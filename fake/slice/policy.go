package slice

import (
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
)

// Rules are the fixed parts of a policy.
type Rules struct {
	// Role returns the first role of an engine by its position in its zone.
	Role func(position int) model.Role
	// Fair is false for one queue over all accounts.
	Fair bool
	// LateLast serves requests that missed their target after the others.
	LateLast bool
}

// RoleChange gives an engine another role.
type RoleChange struct {
	Engine int
	To     model.Role
}

// Request is a request as a policy sees it.
type Request struct {
	Account int
	// Key is the hash of the prompt's prefix.
	Key                    uint64
	Prompt, Shared, Output int
	// Restartable requests can be started again on another engine.
	Restartable bool
	// Waits is set once the request waited, since Queued after the begin of
	// the run. It is no time.Time, whose pointer makes copies of requests
	// slower.
	Waits  bool
	Queued time.Duration
}

// Work returns the request's work in tokens of output.
func (r Request) Work() float64 { return float64(r.Output) + float64(r.Prompt)/10 }

// Policy is one way to decide. Values of it do not change.
type Policy[P any] interface {
	Rules() Rules
	// Pick returns the engines for a request, and the policy after the request
	// is placed there. A draw of 0 asks whether there is an engine at all.
	Pick(f *Fleet, r Request, draw uint64) (P, place.Plan, bool)
	// WithArrival returns the policy after the arrival of a request.
	WithArrival(at time.Time, r Request) P
	// Adjust returns new roles, once a second, and the policy after them.
	Adjust(f *Fleet) (P, []RoleChange)
}
