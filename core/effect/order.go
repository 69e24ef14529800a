package effect

import (
	"time"

	"caroblane/core/model"
)

// ListObjects lists all objects of a kind. The answer is event.ObjectsListed or
// event.ObjectReadFailed.
type ListObjects struct {
	Op   model.Op
	Kind model.Kind
}

// ReadOrder reads the last order that an upstream accepted. The answer is
// event.LastOrderRead or event.SendFailed.
type ReadOrder struct {
	Op       model.Op
	Upstream model.UpstreamName
}

// ReportUsage reports a usage window to the platform, exactly as recorded. The
// answer is event.SendAnswered or event.SendFailed.
type ReportUsage struct {
	Op model.Op
	// Epoch is that of the sender.
	Epoch model.Epoch
	Usage model.Usage
	// NotAfter is checked immediately before the first byte is written, and is
	// the write deadline of the connection.
	NotAfter time.Time
}

// SendOrder sends a recorded order to an engine, on a connection of its own.
// The answer is event.SendAnswered or event.SendFailed.
type SendOrder struct {
	Op       model.Op
	Upstream model.UpstreamName
	Seq      uint64
	Epoch    model.Epoch
	Intent   model.OrderIntent
	// NotAfter is checked immediately before the first byte is written, and is
	// the write deadline of the connection.
	NotAfter time.Time
}

// SendProvision sends a recorded order for upstreams to the platform. The
// answer is event.SendAnswered or event.SendFailed.
type SendProvision struct {
	Op model.Op
	ID string
	// Epoch is that of the sender.
	Epoch  model.Epoch
	Intent model.ProvisionIntent
	// NotAfter is checked immediately before the first byte is written, and is
	// the write deadline of the connection.
	NotAfter time.Time
}

func (ListObjects) isEffect()   {}
func (ReadOrder) isEffect()     {}
func (ReportUsage) isEffect()   {}
func (SendOrder) isEffect()     {}
func (SendProvision) isEffect() {}
