package effect

import "caroblane/core/model"

// ReadObject reads an object from the store. The response is event.ObjectRead or
// event.ObjectReadFailed.
type ReadObject struct {
	Op   model.Op
	Kind model.Kind
	Name string
}

// WriteObject writes an object to the store if its current version is IfVersion;
// zero means that it must not exist. The response is one of event.ObjectWritten,
// ObjectConflict, ObjectUnsent and ObjectAmbiguous.
type WriteObject struct {
	Op        model.Op
	Kind      model.Kind
	Name      string
	IfVersion model.Version
	// Delete removes the object; Value is nil then.
	Delete bool
	Value  any
	// Nonce is stored in the object. After a lost response it shows whether this
	// write took effect.
	Nonce string
}

func (ReadObject) isEffect()  {}
func (WriteObject) isEffect() {}
