// Package record keeps a copy of one object of the platform's store and turns
// the store's answers into it.
package record

import (
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// Result tells what an event meant for a copy.
type Result int

// The values of Result.
const (
	// Other means that the event is not the answer to the copy's call.
	Other Result = iota
	// Read means that the copy is what the store held after the call was sent.
	Read
	// Written means that the copy is what was written.
	Written
	// Stale means that the object has another version than the copy.
	Stale
	// Lost means that a write may have taken effect.
	Lost
	// Failed means that the call had no effect.
	Failed
)

// Copy is a copy of an object with at most one call in flight.
type Copy[V any] struct {
	kind  model.Kind
	name  string
	known bool
	found bool
	// version stays after the copy became stale.
	version model.Version
	value   V
	busy    bool
	op      model.Op
	draft   V
	deletes bool
}

// New returns a copy that is not known yet.
func New[V any](kind model.Kind, name string) Copy[V] {
	return Copy[V]{kind: kind, name: name}
}

// Busy tells whether a call is in flight.
func (c Copy[V]) Busy() bool { return c.busy }

// Delete returns the copy and the effect that removes the object.
func (c Copy[V]) Delete(op model.Op) (Copy[V], effect.Effect) {
	var none V
	next, _ := c.Write(op, none, "")
	next.deletes = true
	return next, effect.WriteObject{Op: op, Kind: c.kind, Name: c.name, IfVersion: c.version, Delete: true}
}

// Known tells whether the copy may be used.
func (c Copy[V]) Known() bool { return c.known }

// Name returns the name of the object.
func (c Copy[V]) Name() string { return c.name }

// Read returns the copy and the effect that reads the object.
func (c Copy[V]) Read(op model.Op) (Copy[V], effect.Effect) {
	c.busy, c.op = true, op
	return c, effect.ReadObject{Op: op, Kind: c.kind, Name: c.name}
}

// Take applies the store's answer. Answers to earlier calls have no effect.
func (c Copy[V]) Take(e event.Event) (Copy[V], Result) {
	op, ok := opOf(e)
	if !ok || !c.busy || op != c.op {
		return c, Other
	}
	c.busy = false
	switch e := e.(type) {
	case event.ObjectRead:
		return c.taken(e)
	case event.ObjectWritten:
		c.known, c.found, c.version, c.value = true, !c.deletes, e.Version, c.draft
		if c.deletes {
			c.version = 0
		}
		return c, Written
	case event.ObjectConflict:
		c.known = false
		return c, Stale
	case event.ObjectAmbiguous:
		c.known = false
		return c, Lost
	default:
		return c, Failed
	}
}

// Value returns the object and whether it exists.
func (c Copy[V]) Value() (V, bool) { return c.value, c.found }

// Version returns the last version seen; zero means that the object did not
// exist.
func (c Copy[V]) Version() model.Version { return c.version }

// WithValue returns a copy that is known from elsewhere.
func (c Copy[V]) WithValue(version model.Version, value V) Copy[V] {
	c.known, c.found, c.version, c.value = true, true, version, value
	return c
}

// Write returns the copy and the effect that writes the object on the condition
// that it has the version of the copy.
func (c Copy[V]) Write(op model.Op, value V, nonce string) (Copy[V], effect.Effect) {
	c.busy, c.op, c.draft, c.deletes = true, op, value, false
	return c, effect.WriteObject{
		Op: op, Kind: c.kind, Name: c.name, IfVersion: c.version, Value: value, Nonce: nonce,
	}
}

// taken applies a read, unless it is older than the copy or not decodable.
func (c Copy[V]) taken(e event.ObjectRead) (Copy[V], Result) {
	var none V
	if !e.Found {
		c.known, c.found, c.version, c.value = true, false, 0, none
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
