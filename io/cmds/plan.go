package cmds

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"caroblane/core/model"
)

// write is a change of one object, conditional on the version that the plan was
// computed from.
type write struct {
	ref
	ifVersion model.Version
	// value is the new value, or nil to delete the object.
	value any
	// unchanged marks an object that already has the value, so that nothing is
	// sent. generation is then the current generation of the object.
	unchanged  bool
	generation uint64
}

// action describes the effect of a write.
func (w write) action() string {
	switch {
	case w.unchanged:
		return "unchanged"
	case w.value == nil:
		return "deleted"
	case w.ifVersion == 0:
		return "created"
	default:
		return "updated"
	}
}

// plan lists the objects that a command reads. Its function decide, which is
// pure, computes the writes from them.
type plan struct {
	refs   []ref
	kinds  []model.Kind
	decide func(objects) ([]write, error)
}

// expectedVersion is the version that the operator expects an object to have,
// if one is given.
type expectedVersion struct {
	isSet   bool
	version model.Version
}

// check returns Conflict if the object has another version.
func (v expectedVersion) check(r ref, stored object) error {
	if !v.isSet || v.version == stored.version {
		return nil
	}
	return Conflict.New("%s has version %d, not %d: nothing was changed", r, stored.version, v.version)
}

// planApply creates or replaces an object from a file.
func planApply(o object) plan {
	return plan{
		refs: append(references(o.value), o.ref),
		decide: func(stored objects) ([]write, error) {
			current, exists := stored.get(o.ref)
			if !exists {
				current = object{}
			}
			if err := (expectedVersion{o.hasVersion, o.version}).check(o.ref, current); err != nil {
				return nil, err
			}
			if err := checkReferences(o.ref, o.value, stored); err != nil {
				return nil, err
			}
			return []write{{
				ref: o.ref, ifVersion: current.version, value: o.value,
				unchanged: exists && equalValues(current.value, o.value),
			}}, nil
		},
	}
}

// planUpdate replaces the value of an existing object.
func planUpdate(r ref, expected expectedVersion, update func(object) (any, error)) plan {
	return plan{
		refs: []ref{r},
		decide: func(stored objects) ([]write, error) {
			current, ok := stored.get(r)
			if !ok {
				return nil, NotFound.New("%s does not exist", r)
			}
			if err := expected.check(r, current); err != nil {
				return nil, err
			}
			value, err := update(current)
			if err != nil {
				return nil, err
			}
			return []write{{
				ref: r, ifVersion: current.version, value: value,
				unchanged: equalValues(current.value, value), generation: current.generation,
			}}, nil
		},
	}
}

// planEdit sets fields of a template given as Field=Value. The models on the
// platform are read only if the list of models changes.
func planEdit(r ref, expected expectedVersion, assignments []string) (plan, error) {
	fields, err := parseAssignments(assignments)
	if err != nil {
		return plan{}, err
	}
	p := planUpdate(r, expected, fields.applyTo)
	if _, ok := fields["Models"]; !ok {
		return p, nil
	}
	p.kinds = []model.Kind{model.KindModel}
	update := p.decide
	p.decide = func(stored objects) ([]write, error) {
		writes, err := update(stored)
		for _, w := range writes {
			if err := checkReferences(w.ref, w.value, stored); err != nil {
				return nil, err
			}
		}
		return writes, err
	}
	return p, nil
}

// planDeleteTemplate deletes a template. Active keys of the account would stop
// working, so the deletion fails if there are any and force is not set.
func planDeleteTemplate(name string, expected expectedVersion, force bool) plan {
	r := ref{model.KindTemplate, name}
	return plan{
		refs:  []ref{r},
		kinds: []model.Kind{model.KindKey},
		decide: func(stored objects) ([]write, error) {
			current, ok := stored.get(r)
			if !ok {
				return nil, NotFound.New("%s does not exist", r)
			}
			if err := expected.check(r, current); err != nil {
				return nil, err
			}
			var active []string
			for _, o := range stored.ofKind(model.KindKey) {
				if key, ok := o.value.(model.Key); ok && string(key.Account) == name && key.State == model.KeyActive {
					active = append(active, o.name)
				}
			}
			if len(active) > 0 && !force {
				return nil, Failed.New("%s has %d active keys (%s): withdraw them, or use --force",
					r, len(active), strings.Join(active[:min(len(active), 5)], ", "))
			}
			return []write{{ref: r, ifVersion: current.version}}, nil
		},
	}
}

// planCreateKey creates a key object, which holds only the hash of the key.
func planCreateKey(name string, key model.Key) plan {
	r := ref{model.KindKey, name}
	account := ref{model.KindTemplate, string(key.Account)}
	return plan{
		refs: []ref{r, account},
		decide: func(stored objects) ([]write, error) {
			if _, ok := stored.get(account); !ok {
				return nil, NotFound.New("%s does not exist: create the account's template first", account)
			}
			if current, ok := stored.get(r); ok {
				return nil, Conflict.New("%s exists with version %d: nothing was changed", r, current.version)
			}
			return []write{{ref: r, value: key}}, nil
		},
	}
}

// withdrawKey returns the key with its state set to withdrawn.
func withdrawKey(o object) (any, error) {
	key, ok := o.value.(model.Key)
	if !ok {
		return nil, Failed.New("%s cannot be decoded: %s", o.ref, errorText(o.decodeErr))
	}
	key.State = model.KeyWithdrawn
	return key, nil
}

// drainUpstream returns the upstream with its state set to draining.
func drainUpstream(o object) (any, error) {
	upstream, ok := o.value.(model.Upstream)
	if !ok {
		return nil, Failed.New("%s cannot be decoded: %s", o.ref, errorText(o.decodeErr))
	}
	if upstream.State == model.UpstreamWithdrawn {
		return nil, Failed.New("%s is withdrawn and cannot be drained", o.ref)
	}
	upstream.State = model.UpstreamDraining
	return upstream, nil
}

// fieldValues maps field names to encoded values.
type fieldValues map[string]json.RawMessage

// parseAssignments parses assignments of the form Field=Value.
func parseAssignments(assignments []string) (fieldValues, error) {
	all := fieldValues{}
	for _, assignment := range assignments {
		field, value, ok := strings.Cut(assignment, "=")
		if !ok || field == "" {
			return nil, Usage.New("flag --set has value %q; accepted: Field=Value", assignment)
		}
		if _, duplicate := all[field]; duplicate {
			return nil, Usage.New("flag --set names field %s twice", field)
		}
		all[field] = encodeFieldValue(field, value)
	}
	return all, nil
}

// applyTo returns the value of an object after setting the fields.
func (f fieldValues) applyTo(o object) (any, error) {
	merged := fieldValues{}
	if err := json.Unmarshal(o.raw, &merged); err != nil {
		return nil, Failed.New("%s cannot be decoded: %v", o.ref, err)
	}
	maps.Copy(merged, f)
	data, err := json.Marshal(merged)
	if err != nil {
		return nil, Failed.New("%s cannot be encoded: %v", o.ref, err)
	}
	value, err := decodeValue(o.ref, data)
	if err != nil {
		return nil, Usage.New("%s: %s", o.ref, errorText(err))
	}
	return value, nil
}

// listFields are the fields that take comma-separated names on the command line.
var listFields = []string{"Models", "Upstreams"}

// encodeFieldValue encodes a command-line value as JSON: a list for list
// fields, the value itself if it is valid JSON, such as a number or a boolean,
// or else a string.
func encodeFieldValue(field, value string) json.RawMessage {
	var encoded any = value
	switch {
	case slices.Contains(listFields, field):
		names := []string{}
		if value != "" {
			names = strings.Split(value, ",")
		}
		encoded = names
	case json.Valid([]byte(value)):
		return json.RawMessage(value)
	}
	data, err := json.Marshal(encoded)
	if err != nil {
		panic(fmt.Sprintf("string %q cannot be encoded as JSON: %v", value, err)) // Strings always can.
	}
	return data
}
