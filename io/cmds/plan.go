package cmds

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"caroblane/core/model"
)

// write is a request to change one object, on the condition that it still has
// the version that the plan was made from.
type write struct {
	ref
	ifVersion model.Version
	// value is nil to delete the object.
	value any
	// unchanged marks an object that needs no request, and generation is that of
	// the object then.
	unchanged  bool
	generation uint64
}

// action names what a write does.
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

// plan says which objects a command reads and decides from them which writes
// to make. Decide is a pure function.
type plan struct {
	refs   []ref
	kinds  []model.Kind
	decide func(objects) ([]write, error)
}

// seenVersion is the version that an operator saw, if he names one.
type seenVersion struct {
	given   bool
	version model.Version
}

// check returns Conflict if the object has another version by now.
func (v seenVersion) check(r ref, held object) error {
	if !v.given || v.version == held.version {
		return nil
	}
	return Conflict.New("%s has version %d, not %d: nothing was changed", r, held.version, v.version)
}

// planApply writes the object of a file.
func planApply(o object) plan {
	return plan{
		refs: append(references(o.value), o.ref),
		decide: func(held objects) ([]write, error) {
			old, exists := held.get(o.ref)
			if !exists {
				old = object{}
			}
			if err := (seenVersion{o.conditional, o.version}).check(o.ref, old); err != nil {
				return nil, err
			}
			if err := missing(o.ref, o.value, held); err != nil {
				return nil, err
			}
			return []write{{
				ref: o.ref, ifVersion: old.version, value: o.value,
				unchanged: exists && sameValue(old.value, o.value),
			}}, nil
		},
	}
}

// planChange replaces the value of an object that exists.
func planChange(r ref, seen seenVersion, change func(object) (any, error)) plan {
	return plan{
		refs: []ref{r},
		decide: func(held objects) ([]write, error) {
			old, ok := held.get(r)
			if !ok {
				return nil, NotFound.New("%s does not exist", r)
			}
			if err := seen.check(r, old); err != nil {
				return nil, err
			}
			value, err := change(old)
			if err != nil {
				return nil, err
			}
			return []write{{
				ref: r, ifVersion: old.version, value: value,
				unchanged: sameValue(old.value, value), generation: old.generation,
			}}, nil
		},
	}
}

// planEdit sets fields of a template given as Field=Value. Models are read only
// if the list of models changes.
func planEdit(r ref, seen seenVersion, settings []string) (plan, error) {
	fields, err := parseSettings(settings)
	if err != nil {
		return plan{}, err
	}
	p := planChange(r, seen, fields.edited)
	if _, ok := fields["Models"]; !ok {
		return p, nil
	}
	p.kinds = []model.Kind{model.KindModel}
	change := p.decide
	p.decide = func(held objects) ([]write, error) {
		writes, err := change(held)
		for _, w := range writes {
			if err := missing(w.ref, w.value, held); err != nil {
				return nil, err
			}
		}
		return writes, err
	}
	return p, nil
}

// planDeleteTemplate deletes a template. Active keys of the account would stop
// working, so they are withdrawn first unless force is set.
func planDeleteTemplate(name string, seen seenVersion, force bool) plan {
	r := ref{model.KindTemplate, name}
	return plan{
		refs:  []ref{r},
		kinds: []model.Kind{model.KindKey},
		decide: func(held objects) ([]write, error) {
			old, ok := held.get(r)
			if !ok {
				return nil, NotFound.New("%s does not exist", r)
			}
			if err := seen.check(r, old); err != nil {
				return nil, err
			}
			var active []string
			for _, o := range held.of(model.KindKey) {
				if key, ok := o.value.(model.Key); ok && string(key.Account) == name && key.State == model.KeyActive {
					active = append(active, o.name)
				}
			}
			if len(active) > 0 && !force {
				return nil, Failed.New("%s has %d active keys (%s): withdraw them, or give --force",
					r, len(active), strings.Join(active[:min(len(active), 5)], ", "))
			}
			return []write{{ref: r, ifVersion: old.version}}, nil
		},
	}
}

// planCreateKey stores the hash of a new key.
func planCreateKey(name string, key model.Key) plan {
	r := ref{model.KindKey, name}
	account := ref{model.KindTemplate, string(key.Account)}
	return plan{
		refs: []ref{r, account},
		decide: func(held objects) ([]write, error) {
			if _, ok := held.get(account); !ok {
				return nil, NotFound.New("%s does not exist: create the account's template first", account)
			}
			if old, ok := held.get(r); ok {
				return nil, Conflict.New("%s exists with version %d: nothing was changed", r, old.version)
			}
			return []write{{ref: r, value: key}}, nil
		},
	}
}

// withdrawn returns a key in the state withdrawn.
func withdrawn(o object) (any, error) {
	key, ok := o.value.(model.Key)
	if !ok {
		return nil, Failed.New("%s cannot be read: %s", o.ref, text(o.fault))
	}
	key.State = model.KeyWithdrawn
	return key, nil
}

// draining returns an upstream in the state draining.
func draining(o object) (any, error) {
	upstream, ok := o.value.(model.Upstream)
	if !ok {
		return nil, Failed.New("%s cannot be read: %s", o.ref, text(o.fault))
	}
	if upstream.State == model.UpstreamWithdrawn {
		return nil, Failed.New("%s is withdrawn and takes no work", o.ref)
	}
	upstream.State = model.UpstreamDraining
	return upstream, nil
}

// fields are values by the names of their fields.
type fields map[string]json.RawMessage

// parseSettings reads fields given as Field=Value.
func parseSettings(settings []string) (fields, error) {
	all := fields{}
	for _, setting := range settings {
		field, value, ok := strings.Cut(setting, "=")
		if !ok || field == "" {
			return nil, Usage.New("flag --set has value %q; accepted: Field=Value", setting)
		}
		if _, twice := all[field]; twice {
			return nil, Usage.New("flag --set names field %s twice", field)
		}
		all[field] = jsonOf(field, value)
	}
	return all, nil
}

// edited returns the value of an object with the fields set.
func (f fields) edited(o object) (any, error) {
	merged := fields{}
	if err := json.Unmarshal(o.raw, &merged); err != nil {
		return nil, Failed.New("%s cannot be read: %v", o.ref, err)
	}
	maps.Copy(merged, f)
	data, err := json.Marshal(merged)
	if err != nil {
		return nil, Failed.New("%s cannot be encoded: %v", o.ref, err)
	}
	value, err := decode(o.ref, data)
	if err != nil {
		return nil, Usage.New("%s: %s", o.ref, text(err))
	}
	return value, nil
}

// listFields take names separated by commas on the command line.
var listFields = []string{"Models", "Upstreams"}

// jsonOf returns the JSON of a value on the command line: a list for list
// fields, a number or truth value where it reads as one, else a string.
func jsonOf(field, value string) json.RawMessage {
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
		panic(fmt.Sprintf("string %q has no JSON: %v", value, err)) // Strings always have one.
	}
	return data
}
