// Package record maintains a cached copy of one object in the platform's store,
// and updates it from the store's responses.
package record

import (
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// Result is the effect of an event on a copy.
type Result int

// The values of Result.
const (
	// Unrelated means that the event is not the response to the call in flight.
	Unrelated Result = iota
	// Read means that the copy is the state of the object at some time after the
	// read was sent.
	Read
	// Written means that the write took effect, and the copy is the written value.
	Written
	// Conflict means that a write failed because the object has a different version
	// than the copy.
	Conflict
	// Ambiguous means that the response to a write was lost. The write may have taken
	// effect.
	Ambiguous
	// Failed means that the call failed without effect.
	Failed
)

// Copy is a cached copy of an object, with at most one call in flight.
type Copy[V any] struct {
	kind  model.Kind
	name  string
	valid bool
	found bool
	// version is kept when the copy becomes invalid.
	version      model.Version
	value        V
	inFlight     bool
	op           model.Op
	pendingValue V
	deleting     bool
}

// New returns a copy whose object has not been read yet.
func New[V any](kind model.Kind, name string) Copy[V] {
	return Copy[V]{kind: kind, name: name}
}

// InFlight reports whether a call is in flight.
func (c Copy[V]) InFlight() bool { return c.inFlight }

// Delete returns the copy with a delete call in flight, and the effect that deletes
// the object if it has the version of the copy.
func (c Copy[V]) Delete(op model.Op) (Copy[V], effect.Effect) {
	var zero V
	next, _ := c.Write(op, zero, "")
	next.deleting = true
	return next, effect.WriteObject{Op: op, Kind: c.kind, Name: c.name, IfVersion: c.version, Delete: true}
}

// Valid reports whether the copy is valid. It is invalid before the first read,
// and after a version conflict or a lost response to a write.
func (c Copy[V]) Valid() bool { return c.valid }

// Name returns the name of the object.
func (c Copy[V]) Name() string { return c.name }

// Read returns the copy with a read call in flight, and the effect that reads the
// object.
func (c Copy[V]) Read(op model.Op) (Copy[V], effect.Effect) {
	c.inFlight, c.op = true, op
	return c, effect.ReadObject{Op: op, Kind: c.kind, Name: c.name}
}

// ApplyResponse applies the store's response to the call in flight. Responses to
// earlier calls are ignored.
func (c Copy[V]) ApplyResponse(e event.Event) (Copy[V], Result) {
	op, ok := opOf(e)
	if !ok || !c.inFlight || op != c.op {
		return c, Unrelated
	}
	c.inFlight = false
	switch e := e.(type) {
	case event.ObjectRead:
		return c.handleObjectRead(e)
	case event.ObjectWritten:
		c.valid, c.found, c.version, c.value = true, !c.deleting, e.Version, c.pendingValue
		if c.deleting {
			c.version = model.NewVersion(e.Version.Era(), 0)
		}
		return c, Written
	case event.ObjectConflict:
		c.valid = false
		return c, Conflict
	case event.ObjectAmbiguous:
		c.valid = false
		return c, Ambiguous
	default:
		return c, Failed
	}
}

// Value returns the object and whether it exists.
func (c Copy[V]) Value() (V, bool) { return c.value, c.found }

// Version returns the last known version. Revision zero means that the object did not
// exist in that era. An object with a version that has no value cannot be decoded.
func (c Copy[V]) Version() model.Version { return c.version }

// WithValue returns a valid copy with a value obtained from another source.
func (c Copy[V]) WithValue(version model.Version, value V) Copy[V] {
	c.valid, c.found, c.version, c.value = true, true, version, value
	return c
}

// Write returns the copy with a write call in flight, and the effect that writes
// the object if it has the version of the copy.
func (c Copy[V]) Write(op model.Op, value V, nonce string) (Copy[V], effect.Effect) {
	c.inFlight, c.op, c.pendingValue, c.deleting = true, op, value, false
	return c, effect.WriteObject{
		Op: op, Kind: c.kind, Name: c.name, IfVersion: c.version, Value: value, Nonce: nonce,
	}
}

// handleObjectRead applies the response to a read, unless it is older than the
// copy. An object that cannot be decoded has a version, but no value. One that does not
// exist has the version that tells the era.
func (c Copy[V]) handleObjectRead(e event.ObjectRead) (Copy[V], Result) {
	var zero V
	if !e.Found && e.Object.Version.Era() >= c.version.Era() {
		c.valid, c.found, c.version, c.value = true, false, e.Object.Version, zero
		return c, Read
	}
	if e.Unreadable && e.Object.Version >= c.version {
		c.valid, c.found, c.version, c.value = true, false, e.Object.Version, zero
		return c, Read
	}
	value, ok := e.Object.Value.(V)
	if !ok || e.Object.Version < c.version {
		return c, Failed
	}
	return c.WithValue(e.Object.Version, value), Read
}

func opOf(e event.Event) (model.Op, bool) {
	switch e := e.(type) {
	case event.ObjectRead:
		return e.Op, true
	case event.ObjectReadFailed:
		return e.Op, true
	case event.ObjectWritten:
		return e.Op, true
	case event.ObjectConflict:
		return e.Op, true
	case event.ObjectUnsent:
		return e.Op, true
	case event.ObjectAmbiguous:
		return e.Op, true
	default:
		return model.Op{}, false
	}
}
