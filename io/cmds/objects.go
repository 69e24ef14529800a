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

// ref identifies an object.
type ref struct {
	kind model.Kind
	name string
}

// String returns Kind/Name.
func (r ref) String() string { return r.kind.Name() + "/" + r.name }

// object is an object read from the platform or from a file.
type object struct {
	ref
	version    model.Version
	generation uint64
	nonce      string
	deleted    bool
	raw        json.RawMessage
	// value is nil if the object is deleted or could not be decoded.
	value     any
	decodeErr error
	// hasVersion is set if the file states the version that it is based on.
	hasVersion bool
}

// objects is an immutable set of objects.
type objects struct {
	revision model.Version
	byRef    map[ref]object
}

// newObjects returns a set with the latest version of each object.
func newObjects(revision model.Version, writes []object) objects {
	set := objects{revision: revision, byRef: make(map[ref]object, len(writes))}
	for _, o := range writes {
		if stored, ok := set.byRef[o.ref]; !ok || o.version > stored.version {
			set.byRef[o.ref] = o
		}
	}
	return set
}

// get returns an object unless it is absent or deleted.
func (s objects) get(r ref) (object, bool) {
	o, ok := s.byRef[r]
	return o, ok && !o.deleted
}

// latestVersion returns the highest version in the set.
func (s objects) latestVersion() model.Version {
	var newest model.Version
	for _, o := range s.byRef {
		newest = max(newest, o.version)
	}
	return newest
}

// ofKind returns the objects of a kind that are not deleted, sorted by name.
func (s objects) ofKind(kind model.Kind) []object {
	var found []object
	for _, r := range slices.SortedFunc(maps.Keys(s.byRef), compareRefs) {
		if o := s.byRef[r]; r.kind == kind && !o.deleted {
			found = append(found, o)
		}
	}
	return found
}

func compareRefs(a, b ref) int { return strings.Compare(a.String(), b.String()) }

func configKinds() []model.Kind {
	var kinds []model.Kind
	for kind := model.Kind(0); kind <= model.KindRoster; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// parseKind returns the kind with the given name, up to and including last.
func parseKind(name string, last model.Kind) (model.Kind, bool) {
	for kind := model.Kind(0); kind <= last; kind++ {
		if kind.Name() == name {
			return kind, true
		}
	}
	return 0, false
}

// document is the JSON form of an object, as read from files and printed by
// show --json.
type document struct {
	Kind       string
	Name       string
	Version    *model.Version `json:",omitempty"`
	Generation uint64         `json:",omitempty"`
	Value      json.RawMessage
}

func newDocument(o object) document {
	version := o.version
	return document{Kind: o.kind.Name(), Name: o.name, Version: &version, Generation: o.generation, Value: o.raw}
}

// parseFile parses one object, several concatenated objects, or an array of
// objects. The error has type Usage and lists every invalid object.
func parseFile(name string, data []byte) ([]object, error) {
	documents, err := parseDocuments(data)
	if err != nil {
		return nil, Usage.New("%s: %s", name, errorText(err))
	}
	if len(documents) == 0 {
		return nil, Usage.New("%s: contains no objects", name)
	}
	var parsed []object
	var problems []string
	parsedRefs := map[ref]bool{}
	for i, d := range documents {
		o, err := d.object()
		if err == nil && parsedRefs[o.ref] {
			err = errors.New("occurs twice")
		}
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s: object %d (%s/%s): %s", name, i+1, d.Kind, d.Name, errorText(err)))
			continue
		}
		parsedRefs[o.ref] = true
		parsed = append(parsed, o)
	}
	if len(problems) > 0 {
		return nil, Usage.New("%s", strings.Join(problems, "\n"))
	}
	return parsed, nil
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
			return nil, errors.New("unexpected text follows the array of objects")
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

// object decodes and validates the document.
func (d document) object() (object, error) {
	kind, ok := parseKind(d.Kind, model.KindRoster)
	if !ok {
		return object{}, fmt.Errorf("field Kind has value %q; accepted: Template, Key, Route, Upstream, Model, Roster", d.Kind)
	}
	if len(d.Value) == 0 {
		return object{}, errors.New("field Value is missing; accepted: the object's fields")
	}
	value, err := decodeValue(ref{kind, d.Name}, d.Value)
	if err != nil {
		return object{}, err
	}
	o := object{ref: ref{kind, d.Name}, value: value, raw: d.Value}
	if d.Version != nil {
		o.version, o.hasVersion = *d.Version, true
	}
	return o, nil
}

// decodeValue decodes and validates the value of an object.
func decodeValue(r ref, data []byte) (any, error) {
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

// references returns the objects that a value refers to.
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

// checkReferences returns an error if a value refers to an object that does not
// exist.
func checkReferences(o ref, value any, stored objects) error {
	for _, r := range references(value) {
		if _, ok := stored.get(r); !ok {
			return NotFound.New("%s refers to %s, which does not exist", o, r)
		}
	}
	return nil
}

func equalValues(a, b any) bool { return reflect.DeepEqual(a, b) }
