package event

import (
	"time"

	"caroblane/core/model"
)

// ObjectAmbiguous reports a write whose answer was lost: it may have taken
// effect.
type ObjectAmbiguous struct {
	Op     model.Op
	SentAt time.Time
}

// ObjectConflict reports a write that did not take effect, because the object
// had another version.
type ObjectConflict struct {
	Op     model.Op
	SentAt time.Time
}

// ObjectRead reports the answer to a read.
type ObjectRead struct {
	Op     model.Op
	SentAt time.Time
	Found  bool
	Object model.Change
}

// ObjectReadFailed reports a read without an answer.
type ObjectReadFailed struct{ Op model.Op }

// ObjectUnsent reports a write that cannot have taken effect, because no byte
// of it was sent or the store answered that it refused it.
type ObjectUnsent struct{ Op model.Op }

// ObjectWritten reports a write that took effect.
type ObjectWritten struct {
	Op         model.Op
	SentAt     time.Time
	Version    model.Version
	Generation uint64
}

func (ObjectAmbiguous) isEvent()  {}
func (ObjectConflict) isEvent()   {}
func (ObjectRead) isEvent()       {}
func (ObjectReadFailed) isEvent() {}
func (ObjectUnsent) isEvent()     {}
func (ObjectWritten) isEvent()    {}
