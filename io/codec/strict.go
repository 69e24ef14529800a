package codec

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"caroblane/core/model"
)

// maxShown bounds the part of a value that an error message repeats.
const maxShown = 80

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("codec")

// Malformed is the type of errors about data that cannot be decoded.
var Malformed = Errors.NewType("malformed")

func badField(field, value, accepted string) error {
	if len(value) > maxShown {
		value = value[:maxShown] + "..."
	}
	return Malformed.New("field %s has value %q; accepted: %s", field, value, accepted)
}

// enumName returns the name of an enum value on the wire: the constant's name
// without the prefix of its type.
func enumName[E model.Enum](prefix string, value E) *string {
	name := strings.TrimPrefix(value.String(), prefix)
	return &name
}

// parseEnum returns the enum value up to last that has the given name on the
// wire, or the first value for a missing field.
func parseEnum[E model.Enum](field, prefix string, name *string, last E) (E, error) {
	if name == nil {
		return 0, nil
	}
	var names []string
	for v := E(0); v <= last; v++ {
		known := *enumName(prefix, v)
		if known == *name {
			return v, nil
		}
		names = append(names, known)
	}
	return 0, badField(field, *name, strings.Join(names, ", "))
}

// strict decodes a JSON object into the wire type W. Field names must match in
// case too, which encoding/json alone does not ask for.
func strict[W any](data []byte) (W, error) {
	var wire W
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return wire, Malformed.Wrap(err, "no JSON object")
	}
	known := fieldNames(reflect.TypeFor[W]())
	for name, raw := range fields {
		if !slices.Contains(known, name) {
			return wire, badField(name, string(raw), "the fields "+strings.Join(known, ", "))
		}
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			field, _, _ := strings.Cut(mismatch.Field, ".")
			return wire, badField(mismatch.Field, string(fields[field]), fmt.Sprintf("a %s", mismatch.Type.Kind()))
		}
		return wire, Malformed.Wrap(err, "%T", wire)
	}
	return wire, nil
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return names
}
