package store

import (
	"encoding/json"

	"caroblane/core/step"
)

// Seed returns the store after creating the given objects in order. Objects
// that already exist are skipped.
func (s State) Seed(objects ...Object) State {
	for _, o := range objects {
		s, _ = s.Apply(step.Input[Event]{Event: Put{Kind: o.Kind, Name: o.Name, Nonce: o.Nonce, Value: o.Value}})
	}
	return s
}

// NewObject returns an object for Seed with value encoded as JSON.
func NewObject(kind, name string, value any) (Object, error) {
	encoded, err := json.Marshal(value)
	return Object{Kind: kind, Name: name, Value: encoded}, err
}
