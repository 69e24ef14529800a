package event

import (
	"time"

	"caroblane/core/model"
)

// LastOrderRead reports the last order that an upstream accepted.
type LastOrderRead struct {
	Op    model.Op
	Found bool
	Seq   uint64
}

// ObjectsListed reports all objects of a kind.
type ObjectsListed struct {
	Op      model.Op
	SentAt  time.Time
	Objects []model.Change
}

// OrderAsked is raised to request an order to an engine. It replaces an earlier
// order to the same engine that is not recorded yet.
type OrderAsked struct {
	Upstream    model.UpstreamName
	ChecksEpoch bool
	Intent      model.OrderIntent
}

// OrderEnded is raised when an order has ended.
type OrderEnded struct {
	Upstream model.UpstreamName
	Intent   model.OrderIntent
	// Dropped is set if this node abandoned the order. If it was recorded, the
	// lease holder sends it later. State is not set then.
	Dropped bool
	State   model.OrderState
}

// ProvisionAsked is raised to request a provisioning order to the platform. The
// same ID always denotes the same order.
type ProvisionAsked struct {
	ID     string
	Intent model.ProvisionIntent
}

// ProvisionEnded is raised when a provisioning order has ended.
type ProvisionEnded struct {
	ID string
	// Dropped is set if this node abandoned the order. State is not set then.
	Dropped bool
	State   model.ProvisionState
}

// SendAnswered reports the response to effect.SendOrder, SendProvision or
// ReportUsage.
type SendAnswered struct {
	Op     model.Op
	Result model.SendResult
}

// SendFailed reports that effect.SendOrder, ReadOrder, SendProvision or
// ReportUsage got no response. The receiver may still have processed it.
type SendFailed struct{ Op model.Op }

// UsageCloseAsked ends the current usage window of this node early, before its
// process exits.
type UsageCloseAsked struct{}

// UsageCounted reports the usage of completed requests.
type UsageCounted struct{ Line model.UsageLine }

// UsageReported is raised when the platform accepted the usage report of a
// window.
type UsageReported struct{ Window model.Window }

func (LastOrderRead) isEvent()   {}
func (ObjectsListed) isEvent()   {}
func (OrderAsked) isEvent()      {}
func (OrderEnded) isEvent()      {}
func (ProvisionAsked) isEvent()  {}
func (ProvisionEnded) isEvent()  {}
func (SendAnswered) isEvent()    {}
func (SendFailed) isEvent()      {}
func (UsageCloseAsked) isEvent() {}
func (UsageCounted) isEvent()    {}
func (UsageReported) isEvent()   {}
