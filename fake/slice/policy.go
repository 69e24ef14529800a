package slice

import (
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
)

// Rules are the properties of a policy that do not change during a run.
type Rules struct {
	// Role returns the initial role of an engine by its position in its zone.
	Role func(position int) model.Role
	// Fair selects weighted fair queueing between accounts. Otherwise all
	// accounts share one queue.
	Fair bool
	// LateLast serves requests that already missed the target for the first
	// token after all others.
	LateLast bool
}

// RoleChange requests a new role for an engine.
type RoleChange struct {
	Engine int
	To     model.Role
}

// Request is a request as a policy sees it.
type Request struct {
	Account int
	// Key is the hash of the prompt prefix.
	Key uint64
	// Prompt, Shared and Output are the tokens of the prompt, of its shared
	// prefix and of the response.
	Prompt, Shared, Output int
	// Restartable requests can be restarted on another engine.
	Restartable bool
	// Waits is set if the request has been queued, and Queued is when, relative
	// to the start of the run. Queued is not a time.Time because the pointer in
	// it would make copies of requests slower.
	Waits  bool
	Queued time.Duration
}

// Work returns the cost of the request in output tokens. Ten prompt tokens count as
// one.
func (r Request) Work() float64 { return float64(r.Output) + float64(r.Prompt)/10 }

// Policy decides on placement and roles. Implementations are immutable.
type Policy[P any] interface {
	Rules() Rules
	// Pick returns the engines for a request, and the policy after the placement.
	// It returns false if no engine can take the request. The draw is a random
	// number; 0 only tests whether there is an engine, without placing anything.
	Pick(f *Fleet, r Request, draw uint64) (P, place.Plan, bool)
	// WithArrival returns the policy after the arrival of a request.
	WithArrival(at time.Time, r Request) P
	// Adjust is called once per second. It returns the role changes to make, and
	// the policy after them.
	Adjust(f *Fleet) (P, []RoleChange)
}
