package plat

import (
	"encoding/json"

	"caroblane/core/model"
	"caroblane/io/codec"
)

// wireObject is an object in the answers of the platform.
type wireObject struct {
	Kind       string
	Name       string
	Version    model.Version
	Generation uint64
	Deleted    bool
	Nonce      string
	Value      json.RawMessage
}

// wirePage is the answer to a watch.
type wirePage struct {
	Revision  model.Version
	Next      model.Version
	More      bool
	Coalesced bool
	Objects   []wireObject
}

// change decodes an object. A value that cannot be decoded is reported in the
// field Fault.
func (o wireObject) change(kind model.Kind) model.Change {
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
