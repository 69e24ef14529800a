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

// decodePage decodes a page. The values of the objects are not decoded: other writers
// may store anything, and one odd value must not hide the other objects. What the
// platform itself adds to an object must be valid.
func decodePage(text []byte) (wirePage, error) {
	var p wirePage
	err := decodeFields(text, map[string]any{
		"Revision": &p.Revision, "Next": &p.Next, "More": &p.More, "Coalesced": &p.Coalesced,
	}, "Objects", func(value json.RawMessage) error {
		elements, err := codec.SplitArray(value)
		if err != nil || elements == nil && string(value) == "null" {
			return err
		}
		p.Objects = make([]wireObject, 0, len(elements))
		for _, element := range elements {
			object, err := decodeObject(element)
			if err != nil {
				return err
			}
			p.Objects = append(p.Objects, object)
		}
		return nil
	})
	return p, err
}

// decodeObject decodes an object except for its value.
func decodeObject(text []byte) (wireObject, error) {
	var o wireObject
	err := decodeFields(text, map[string]any{
		"Kind": &o.Kind, "Name": &o.Name, "Version": &o.Version, "Generation": &o.Generation,
		"Deleted": &o.Deleted, "Nonce": &o.Nonce,
	}, "Value", func(value json.RawMessage) error {
		o.Value = value
		return nil
	})
	return o, err
}

// decodeFields decodes the fields of a JSON object into variables, by name, and passes
// one of them to a function. It ignores others.
func decodeFields(text []byte, variables map[string]any, name string, decode func(json.RawMessage) error) error {
	fields, err := codec.SplitObject(text)
	if err != nil {
		return err
	}
	for _, field := range fields {
		switch variable, known := variables[field.Name]; {
		case known:
			err = json.Unmarshal(field.Value, variable)
		case field.Name == name:
			err = decode(field.Value)
		}
		if err != nil {
			return Lost.Wrap(err, "decode field %s", field.Name)
		}
	}
	return nil
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
