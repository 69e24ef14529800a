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

// maxQuotedValue is the number of bytes of a value that error messages quote.
const maxQuotedValue = 80

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("codec")

// Malformed is the error type for values that cannot be encoded or decoded.
var Malformed = Errors.NewType("malformed")

func invalidField(field, value, accepted string) error {
	if len(value) > maxQuotedValue {
		value = value[:maxQuotedValue] + "..."
	}
	return Malformed.New("field %s has value %q; accepted: %s", field, value, accepted)
}

// enumName returns the JSON name of an enum value, which is the name of the
// constant without the prefix of its type.
func enumName[E model.Enum](prefix string, value E) *string {
	name := strings.TrimPrefix(value.String(), prefix)
	return &name
}

// parseEnum returns the enum value with the given JSON name. The enum has the
// values 0 to last. A nil name stands for a missing field and returns value 0.
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
	return 0, invalidField(field, *name, strings.Join(names, ", "))
}

// decodeStrict decodes a JSON object into the struct type T. Unlike encoding/json,
// it matches field names case-sensitively.
func decodeStrict[T any](data []byte) (T, error) {
	var decoded T
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return decoded, Malformed.Wrap(err, "not a JSON object")
	}
	known := fieldNames(reflect.TypeFor[T]())
	for name, raw := range fields {
		if !slices.Contains(known, name) {
			return decoded, invalidField(name, string(raw), "the fields "+strings.Join(known, ", "))
		}
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			field, _, _ := strings.Cut(mismatch.Field, ".")
			return decoded, invalidField(mismatch.Field, string(fields[field]), fmt.Sprintf("a %s", mismatch.Type.Kind()))
		}
		return decoded, Malformed.Wrap(err, "%T", decoded)
	}
	return decoded, nil
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return names
}
