package event

import (
	"time"

	"caroblane/core/model"
)

// AuthorityChanged is raised when this node gains, extends or loses the lease
// of its region. A part that acts under it checks the time against Until at
// each decision.
type AuthorityChanged struct {
	Held  bool
	Epoch model.Epoch
	Until time.Time
}

func (AuthorityChanged) isEvent() {}
