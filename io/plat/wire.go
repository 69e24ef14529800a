package plat

import (
	"encoding/json"

	"caroblane/core/model"
	"caroblane/io/codec"
)

// wireObject is the JSON form of a stored object.
type wireObject struct {
	Kind       string
	Name       string
	Version    model.Version
	Generation uint64
	Deleted    bool
	Nonce      string
	Value      json.RawMessage
}

// wirePage is one page of a list or watch response.
type wirePage struct {
	Revision  model.Version
	Next      model.Version
	More      bool
	Coalesced bool
	Objects   []wireObject
}

// toChange decodes an object. If its value is invalid, the field Fault holds the
// error.
func (o wireObject) toChange(kind model.Kind) model.Change {
	c := model.Change{Kind: kind, Name: o.Name, Version: o.Version, Generation: o.Generation, Deleted: o.Deleted}
	if o.Deleted {
		return c
	}
	value, err := decode(kind, o.Value)
	if err != nil {
		c.Fault = err.Error()
		return c
	}
	c.Value = value
	return c
}

func decode(kind model.Kind, data []byte) (any, error) {
	if kind <= model.KindRoster {
		return codec.DecodeConfig(kind, data)
	}
	return codec.DecodeRecord(kind, data)
}

func encode(kind model.Kind, value any) ([]byte, error) {
	if kind <= model.KindRoster {
		return codec.EncodeConfig(kind, value)
	}
	return codec.EncodeRecord(kind, value)
}
