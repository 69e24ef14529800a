// Package conf is the component for configuration. It determines which version
// of each configuration object is active on this node.
package conf

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

type objectID struct {
	kind model.Kind
	name string
}

// entry is the last known write of an object together with its active value, which
// is the last valid one.
type entry struct {
	lastVersion model.Version
	generation  uint64
	// contiguous is set if no write was missed before this one.
	contiguous bool
	deleted    bool
	value      any
	// fault is the reason why the last write is not active, or nil. It is a
	// pointer to keep entries small, because there are many.
	fault *string
}

// hasUnreportedGap reports whether a write was missed before one that is not
// active. Invalid writes raise no event, so the next valid write has to report the
// gap to the other components.
func (e entry) hasUnreportedGap() bool { return e.fault != nil && !e.contiguous }

// keyOwner is a model.Key without its hash, which is the key of the map.
type keyOwner struct {
	account model.AccountName
	state   model.KeyState
}

// HashedUpstream is an upstream with the hash of its name, which placement uses.
type HashedUpstream struct {
	model.Upstream
	NameHash uint64
}

// State is the active configuration. The zero value is not usable.
type State struct {
	version model.Version
	// clean is the version up to which this node has seen every deletion.
	clean model.Version
	// floor is the version up to which tombstones may have been discarded.
	floor   model.Version
	objects *immutable.Map[objectID, entry]
	// byVersion holds the last write of every object. tombstones holds those of
	// them that are deletions.
	byVersion  *immutable.SortedMap[writeID, struct{}]
	tombstones *immutable.SortedMap[writeID, struct{}]
	keys       *immutable.Map[model.KeyHash, keyOwner]
	// byModel lists the upstreams of each model, sorted by name. The lists contain
	// the upstreams instead of names, because placement reads hundreds of them per
	// request.
	byModel *immutable.Map[model.ModelName, []HashedUpstream]
	models  *immutable.Map[model.ModelName, model.Model]
	// routes is sorted by descending length of the prefix.
	routes  []model.Route
	rosters *immutable.Map[model.RegionName, model.Roster]
}

// New returns a state without configuration.
func New() State {
	return State{
		objects:    immutable.NewMap[objectID, entry](objectIDHasher{}),
		byVersion:  immutable.NewSortedMap[writeID, struct{}](writeIDComparer{}),
		tombstones: immutable.NewSortedMap[writeID, struct{}](writeIDComparer{}),
		keys:       immutable.NewMap[model.KeyHash, keyOwner](keyHashHasher{}),
		byModel:    immutable.NewMap[model.ModelName, []HashedUpstream](modelNameHasher{}),
		models:     immutable.NewMap[model.ModelName, model.Model](modelNameHasher{}),
		rosters:    immutable.NewMap[model.RegionName, model.Roster](nil),
	}
}

// Apply processes configuration changes from the store and from peers, raises an
// event for each changed object, and serves peers that request changes.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.ConfigChanged:
		s = s.applyChanges(e.Changes, &out)
		s = s.advanceVersion(e.Upto, e.Upto, 0, &out)
	case event.FetchAnswered:
		// A response of the store may have raised the version since the fetch was
		// sent. A page from an older version may then lack tombstones.
		if !e.Refused && e.After == s.version {
			s = s.applyChanges(e.Changes, &out)
			s = s.advanceVersion(e.Upto, e.Clean, e.Floor, &out)
		}
	case event.FetchAsked:
		s.handleFetchAsked(e, &out)
	case event.FetchWanted:
		s.requestChanges(e.Peer, &out)
	}
	return s, out
}

// Faults returns the objects whose last write is not active, with the reason.
func (s State) Faults() map[string]string {
	faults := map[string]string{}
	for itr := s.objects.Iterator(); !itr.Done(); {
		id, current, _ := itr.Next()
		if current.fault != nil {
			faults[id.kind.Name()+"/"+id.name] = *current.fault
		}
	}
	return faults
}

// Key returns the key with the given hash.
func (s State) Key(hash model.KeyHash) (model.Key, bool) {
	owner, ok := s.keys.Get(hash)
	if !ok {
		return model.Key{}, false
	}
	return model.Key{Account: owner.account, Hash: hash, State: owner.state}, true
}

// Model returns the model of the given name.
func (s State) Model(name model.ModelName) (model.Model, bool) {
	return s.models.Get(name)
}

// Models returns the names of all models in order.
func (s State) Models() []model.ModelName {
	names := make([]model.ModelName, 0, s.models.Len())
	for itr := s.models.Iterator(); !itr.Done(); {
		name, _, _ := itr.Next()
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Next returns the zero time, because this component needs no timer.
func (s State) Next() time.Time { return time.Time{} }

// Roster returns the active roster of a region.
func (s State) Roster(region model.RegionName) model.Roster {
	roster, _ := s.rosters.Get(region)
	return roster
}

// Route returns the route with the longest prefix that matches path.
func (s State) Route(path string) (model.Route, bool) {
	for _, route := range s.routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return model.Route{}, false
}

// Template returns the template of an account.
func (s State) Template(account model.AccountName) (model.Template, bool) {
	return valueOf[model.Template](s, model.KindTemplate, string(account))
}

// Upstream returns the upstream of the given name.
func (s State) Upstream(name model.UpstreamName) (model.Upstream, bool) {
	upstream, ok := valueOf[model.Upstream](s, model.KindUpstream, string(name))
	upstream.Name = name
	return upstream, ok
}

// UpstreamsOf returns the upstreams that serve a model. The caller must not
// change the list.
func (s State) UpstreamsOf(name model.ModelName) []HashedUpstream {
	list, _ := s.byModel.Get(name)
	return list
}

// Version returns the version up to which the configuration is complete.
func (s State) Version() model.Version { return s.version }

func (s State) applyChanges(changes []model.Change, out *Out) State {
	for _, change := range changes {
		s = s.applyChange(change, out)
	}
	return s
}

// applyChange applies one write unless a newer one of the object is already
// known. The configuration is complete up to s.version, so an unknown object
// with a lower version has been deleted and its tombstone discarded. After an
// invalid write, the last valid value stays active.
func (s State) applyChange(change model.Change, out *Out) State {
	id := objectID{change.Kind, change.Name}
	current, known := s.objects.Get(id)
	if change.Version <= current.lastVersion || !known && change.Version <= s.version {
		return s
	}
	next := entry{
		lastVersion: change.Version,
		generation:  change.Generation,
		contiguous:  change.Generation == current.generation+1 && !current.hasUnreportedGap(),
		deleted:     change.Deleted,
		value:       change.Value,
	}
	if !change.Deleted {
		fault := change.Fault
		if fault == "" {
			if err := Validate(change.Name, change.Value); err != nil {
				fault = err.Error()
			}
		}
		if fault != "" {
			next.fault = &fault
		}
	}
	if next.fault != nil {
		next.value = current.value
		return s.withEntry(id, current, next)
	}
	s = s.withEntry(id, current, next)
	return s.activate(id, current.value, next, out)
}

// activate updates the indexes from the old value of an object to the new one.
func (s State) activate(id objectID, old any, next entry, out *Out) State {
	switch id.kind {
	case model.KindKey:
		if key, ok := old.(model.Key); ok {
			s.keys = s.keys.Delete(key.Hash)
		}
		if key, ok := next.value.(model.Key); ok {
			s.keys = s.keys.Set(key.Hash, keyOwner{key.Account, key.State})
		}
		out.Raise(event.KeyChanged{Old: keyOf(old), New: keyOf(next.value)})
	case model.KindTemplate:
		account := model.AccountName(id.name)
		template, ok := next.value.(model.Template)
		out.Raise(event.TemplateChanged{
			Account:    account,
			Version:    next.lastVersion,
			Contiguous: next.contiguous,
			Deleted:    !ok,
			Template:   template,
		})
	case model.KindModel:
		name := model.ModelName(id.name)
		if value, ok := next.value.(model.Model); ok {
			s.models = s.models.Set(name, value)
		} else {
			s.models = s.models.Delete(name)
		}
	case model.KindUpstream:
		s = s.withUpstream(model.UpstreamName(id.name), old, next.value)
		out.Raise(event.UpstreamChanged{Name: model.UpstreamName(id.name), Deleted: next.value == nil})
	case model.KindRoute:
		s = s.withRoute(old, next.value)
	case model.KindRoster:
		if roster, ok := next.value.(model.Roster); ok {
			roster.Region = model.RegionName(id.name)
			s.rosters = s.rosters.Set(roster.Region, roster)
			out.Raise(event.RosterChanged{Version: next.lastVersion, Contiguous: next.contiguous, Roster: roster})
		}
	default:
		// The other kinds are not configuration.
	}
	return s
}

func keyOf(value any) model.Key {
	key, _ := value.(model.Key)
	return key
}

func (s State) withRoute(old, value any) State {
	routes := slices.Clone(s.routes)
	if route, ok := old.(model.Route); ok {
		routes = slices.DeleteFunc(routes, func(r model.Route) bool { return r.Prefix == route.Prefix })
	}
	if route, ok := value.(model.Route); ok {
		routes = append(routes, route)
	}
	slices.SortStableFunc(routes, func(a, b model.Route) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
	})
	s.routes = routes
	return s
}

func (s State) withUpstream(name model.UpstreamName, old, value any) State {
	if upstream, ok := old.(model.Upstream); ok {
		for _, m := range upstream.Models {
			list, _ := s.byModel.Get(m)
			list = slices.DeleteFunc(slices.Clone(list), func(p HashedUpstream) bool { return p.Name == name })
			s.byModel = s.byModel.Set(m, list)
		}
	}
	upstream, ok := value.(model.Upstream)
	if !ok {
		return s
	}
	upstream.Name = name
	hashed := HashedUpstream{Upstream: upstream, NameHash: xxhash.Sum64String(string(name))}
	for _, m := range upstream.Models {
		list, _ := s.byModel.Get(m)
		list = append(slices.Clone(list), hashed)
		slices.SortFunc(list, func(a, b HashedUpstream) int { return cmp.Compare(a.Name, b.Name) })
		s.byModel = s.byModel.Set(m, list)
	}
	return s
}

// valueOf returns the active value of an object.
func valueOf[V any](s State, kind model.Kind, name string) (V, bool) {
	current, _ := s.objects.Get(objectID{kind, name})
	value, ok := current.value.(V)
	return value, ok
}
