package effect

import "caroblane/core/model"

// ReadObject reads an object of the store. The answer is event.ObjectRead or
// event.ObjectReadFailed.
type ReadObject struct {
	Op   model.Op
	Kind model.Kind
	Name string
}

// WriteObject writes an object of the store on the condition that it has the
// given version; zero means that it must not exist. The answer is one of
// event.ObjectWritten, ObjectConflict, ObjectUnsent and ObjectAmbiguous.
type WriteObject struct {
	Op        model.Op
	Kind      model.Kind
	Name      string
	IfVersion model.Version
	// Delete removes the object; Value is nil then.
	Delete bool
	Value  any
	// Nonce is kept in the object and tells after a lost answer whether this
	// write took effect.
	Nonce string
}

func (ReadObject) isEffect()  {}
func (WriteObject) isEffect() {}
