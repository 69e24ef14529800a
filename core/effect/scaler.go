package effect

import (
	"time"

	"caroblane/core/model"
)

// OrderRole orders an engine to change its role, unless another order to it is in
// progress. The response is event.RoleAnswered or event.SendFailed.
type OrderRole struct {
	Op       model.Op
	Upstream model.Upstream
	Role     model.Role
	Epoch    model.Epoch
	// NotAfter is when the lease of the epoch expires.
	NotAfter time.Time
}

// OrderScale sets the number of upstreams of a service in a zone. The response is
// event.ScaleAnswered or event.SendFailed.
type OrderScale struct {
	Op      model.Op
	Service model.ServiceName
	Zone    model.ZoneName
	// Cheap selects preemptible upstreams. They are counted separately from
	// on-demand ones.
	Cheap    bool
	Count    int
	Epoch    model.Epoch
	NotAfter time.Time
}

func (OrderRole) isEffect()  {}
func (OrderScale) isEffect() {}
