package event

import (
	"time"

	"caroblane/core/model"
)

// ObjectAmbiguous reports a write whose response was lost. The write may have
// taken effect.
type ObjectAmbiguous struct {
	Op     model.Op
	SentAt time.Time
}

// ObjectConflict reports a conditional write that did not take effect because the
// object had a different version.
type ObjectConflict struct {
	Op     model.Op
	SentAt time.Time
}

// ObjectRead reports the response to a read.
type ObjectRead struct {
	Op     model.Op
	SentAt time.Time
	Found  bool
	// Unreadable is set if the object exists, but its value cannot be decoded.
	Unreadable bool
	Object     model.Change
}

// ObjectReadFailed reports a read or list call that got no response.
type ObjectReadFailed struct{ Op model.Op }

// ObjectUnsent reports a write that cannot have taken effect, because no byte of
// it was sent or because the store rejected it.
type ObjectUnsent struct{ Op model.Op }

// ObjectWritten reports a write that took effect.
type ObjectWritten struct {
	Op     model.Op
	SentAt time.Time
	// Version is the version of the object after the write, and Generation the
	// number of its writes.
	Version    model.Version
	Generation uint64
}

func (ObjectAmbiguous) isEvent()  {}
func (ObjectConflict) isEvent()   {}
func (ObjectRead) isEvent()       {}
func (ObjectReadFailed) isEvent() {}
func (ObjectUnsent) isEvent()     {}
func (ObjectWritten) isEvent()    {}
