package event

import "caroblane/core/model"

// RoleAnswered reports the response to effect.OrderRole.
type RoleAnswered struct {
	Op       model.Op
	Upstream model.UpstreamName
	Result   model.SendResult
	// Known is set if the engine reported its current role, which is Role.
	Known bool
	Role  model.Role
}

// ScaleAnswered reports the response to effect.OrderScale.
type ScaleAnswered struct {
	Op     model.Op
	Result model.SendResult
}

// RoleOrdered is raised before an engine is ordered to change its role.
type RoleOrdered struct{ Change model.RoleChange }

func (RoleAnswered) isEvent()  {}
func (RoleOrdered) isEvent()   {}
func (ScaleAnswered) isEvent() {}
