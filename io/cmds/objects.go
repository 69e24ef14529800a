package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"caroblane/core/conf"
	"caroblane/core/model"
	"caroblane/io/codec"
)

// ref names an object.
type ref struct {
	kind model.Kind
	name string
}

// String returns Kind/Name.
func (r ref) String() string { return r.kind.Name() + "/" + r.name }

// object is an object of the platform or of a file.
type object struct {
	ref
	version    model.Version
	generation uint64
	nonce      string
	deleted    bool
	raw        json.RawMessage
	// value is nil if the object is deleted or has a fault.
	value any
	fault error
	// conditional tells that a file names the version that it was made from.
	conditional bool
}

// objects is an immutable set of objects as they were read.
type objects struct {
	revision model.Version
	byRef    map[ref]object
}

// newObjects keeps the latest write of each object.
func newObjects(revision model.Version, writes []object) objects {
	set := objects{revision: revision, byRef: make(map[ref]object, len(writes))}
	for _, o := range writes {
		if held, ok := set.byRef[o.ref]; !ok || o.version > held.version {
			set.byRef[o.ref] = o
		}
	}
	return set
}

// get returns an object that exists.
func (s objects) get(r ref) (object, bool) {
	o, ok := s.byRef[r]
	return o, ok && !o.deleted
}

// newest returns the version of the last write to any of the objects.
func (s objects) newest() model.Version {
	var newest model.Version
	for _, o := range s.byRef {
		newest = max(newest, o.version)
	}
	return newest
}

// of returns the existing objects of a kind in order of their names.
func (s objects) of(kind model.Kind) []object {
	var found []object
	for _, r := range slices.SortedFunc(maps.Keys(s.byRef), compareRefs) {
		if o := s.byRef[r]; r.kind == kind && !o.deleted {
			found = append(found, o)
		}
	}
	return found
}

func compareRefs(a, b ref) int { return strings.Compare(a.String(), b.String()) }

// configKinds are the kinds of configuration objects.
func configKinds() []model.Kind {
	var kinds []model.Kind
	for kind := model.Kind(0); kind <= model.KindRoster; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// kindOf returns the kind of the given name.
func kindOf(name string, last model.Kind) (model.Kind, bool) {
	for kind := model.Kind(0); kind <= last; kind++ {
		if kind.Name() == name {
			return kind, true
		}
	}
	return 0, false
}

// document is an object in a file. It has the form that show --json prints.
type document struct {
	Kind       string
	Name       string
	Version    *model.Version `json:",omitempty"`
	Generation uint64         `json:",omitempty"`
	Value      json.RawMessage
}

// documentOf returns the printed form of an object.
func documentOf(o object) document {
	version := o.version
	return document{Kind: o.kind.Name(), Name: o.name, Version: &version, Generation: o.generation, Value: o.raw}
}

// parseFile reads one object, several objects one after the other, or an array
// of objects. The error is Usage and names every fault.
func parseFile(name string, data []byte) ([]object, error) {
	documents, err := parseDocuments(data)
	if err != nil {
		return nil, Usage.New("%s: %s", name, text(err))
	}
	if len(documents) == 0 {
		return nil, Usage.New("%s: holds no object", name)
	}
	var found []object
	var faults []string
	seen := map[ref]bool{}
	for i, d := range documents {
		o, err := d.object()
		if err == nil && seen[o.ref] {
			err = errors.New("occurs twice")
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s: object %d (%s/%s): %s", name, i+1, d.Kind, d.Name, text(err)))
			continue
		}
		seen[o.ref] = true
		found = append(found, o)
	}
	if len(faults) > 0 {
		return nil, Usage.New("%s", strings.Join(faults, "\n"))
	}
	return found, nil
}

func parseDocuments(data []byte) ([]document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		var all []document
		if err := decoder.Decode(&all); err != nil {
			return nil, err
		}
		if decoder.More() {
			return nil, errors.New("text follows the array of objects")
		}
		return all, nil
	}
	var all []document
	for {
		var next document
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		all = append(all, next)
	}
}

// object decodes and validates a document.
func (d document) object() (object, error) {
	kind, ok := kindOf(d.Kind, model.KindRoster)
	if !ok {
		return object{}, fmt.Errorf("field Kind has value %q; accepted: Template, Key, Route, Upstream, Model, Roster", d.Kind)
	}
	if len(d.Value) == 0 {
		return object{}, errors.New("field Value is missing; accepted: the object's fields")
	}
	value, err := decode(ref{kind, d.Name}, d.Value)
	if err != nil {
		return object{}, err
	}
	o := object{ref: ref{kind, d.Name}, value: value, raw: d.Value}
	if d.Version != nil {
		o.version, o.conditional = *d.Version, true
	}
	return o, nil
}

// decode returns the valid value of an object.
func decode(r ref, data []byte) (any, error) {
	value, err := codec.DecodeConfig(r.kind, data)
	if err != nil {
		return nil, err
	}
	if upstream, ok := value.(model.Upstream); ok {
		if upstream.Name != "" && string(upstream.Name) != r.name {
			return nil, fmt.Errorf("field Value.Name has value %q; accepted: the object's name %q", upstream.Name, r.name)
		}
		upstream.Name = model.UpstreamName(r.name)
		value = upstream
	}
	if err := conf.Validate(r.name, value); err != nil {
		return nil, err
	}
	return value, nil
}

// references returns the objects that a value names.
func references(value any) []ref {
	var refs []ref
	switch v := value.(type) {
	case model.Key:
		refs = append(refs, ref{model.KindTemplate, string(v.Account)})
	case model.Route:
		for _, name := range v.Upstreams {
			refs = append(refs, ref{model.KindUpstream, string(name)})
		}
	case model.Template:
		refs = modelRefs(v.Models)
	case model.Upstream:
		refs = modelRefs(v.Models)
	}
	return refs
}

func modelRefs(names []model.ModelName) []ref {
	var refs []ref
	for _, name := range names {
		refs = append(refs, ref{model.KindModel, string(name)})
	}
	return refs
}

// missing returns an error if a value names an object that does not exist.
func missing(o ref, value any, held objects) error {
	for _, r := range references(value) {
		if _, ok := held.get(r); !ok {
			return NotFound.New("%s names %s, which does not exist", o, r)
		}
	}
	return nil
}

// sameValue compares two decoded values.
func sameValue(a, b any) bool { return reflect.DeepEqual(a, b) }
