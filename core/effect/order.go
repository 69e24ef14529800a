package effect

import (
	"time"

	"caroblane/core/model"
)

// ListObjects lists all objects of a kind. The response is event.ObjectsListed or
// event.ObjectReadFailed.
type ListObjects struct {
	Op   model.Op
	Kind model.Kind
	// MayBeStale allows a list that is seconds old, which costs less.
	MayBeStale bool
}

// ReadOrder reads the last order that an upstream accepted. The response is
// event.LastOrderRead or event.SendFailed.
type ReadOrder struct {
	Op       model.Op
	Upstream model.UpstreamName
}

// ReportUsage reports a usage window to the platform, exactly as recorded. The
// response is event.SendAnswered or event.SendFailed.
type ReportUsage struct {
	Op model.Op
	// Epoch is the epoch of the sender's lease.
	Epoch model.Epoch
	Usage model.Usage
	// NotAfter is the write deadline of the connection. It is also checked
	// immediately before the first byte is written.
	NotAfter time.Time
}

// SendOrder sends a recorded order to an engine on a dedicated connection. The
// response is event.SendAnswered or event.SendFailed.
type SendOrder struct {
	Op       model.Op
	Upstream model.UpstreamName
	Seq      uint64
	Epoch    model.Epoch
	Intent   model.OrderIntent
	// NotAfter is the write deadline of the connection. It is also checked
	// immediately before the first byte is written.
	NotAfter time.Time
}

// SendProvision sends a recorded provisioning order to the platform. The response
// is event.SendAnswered or event.SendFailed.
type SendProvision struct {
	Op model.Op
	ID string
	// Epoch is the epoch of the sender's lease.
	Epoch  model.Epoch
	Intent model.ProvisionIntent
	// NotAfter is the write deadline of the connection. It is also checked
	// immediately before the first byte is written.
	NotAfter time.Time
}

func (ListObjects) isEffect()   {}
func (ReadOrder) isEffect()     {}
func (ReportUsage) isEffect()   {}
func (SendOrder) isEffect()     {}
func (SendProvision) isEffect() {}
