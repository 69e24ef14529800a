// Package store is a stand-in for the platform: its object API and the smaller
// interfaces beside it. The decisions are a step.Machine; the HTTP side only
// encodes.
package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/step"
)

// Object is one write of an object, as the log and the latest state keep it.
type Object struct {
	Kind string
	Name string
	// Version is the store-wide revision of the write.
	Version uint64
	// Generation counts the writes of the object, deletions included.
	Generation uint64
	Deleted    bool
	Nonce      string
	Value      json.RawMessage
}

// shelf holds the objects of one kind.
type shelf struct {
	objects *immutable.Map[string, Object]
	// latest orders the names by the version of their last write.
	latest   *immutable.SortedMap[uint64, string]
	log      *immutable.List[Object]
	logBytes int
	// since is the version after which the log holds every write.
	since uint64
}

func newShelf() shelf {
	return shelf{
		objects: immutable.NewMap[string, Object](nil),
		latest:  immutable.NewSortedMap[uint64, string](nil),
		log:     immutable.NewList[Object](),
	}
}

// State is the whole state of the stand-in.
type State struct {
	limits   Limits
	revision uint64
	kinds    *immutable.SortedMap[string, shelf]
	watches  *immutable.SortedMap[uint64, Watch]
	platform platform
}

// Limits bound what the stand-in keeps.
type Limits struct {
	// LogWrites and LogBytes bound the log of each kind.
	LogWrites int
	LogBytes  int
	// ValueBytes bounds a value.
	ValueBytes int
	// VMLag is the age of the VM list that readers see.
	VMLag time.Duration
	// WeightBytes is the size of a model's weights, and WeightsPerSecond how
	// often they may be fetched. Zero sets no limit.
	WeightBytes      int
	WeightsPerSecond float64
}

// DefaultLimits are those of the platform.
func DefaultLimits() Limits {
	return Limits{LogWrites: 10_000, LogBytes: 64 << 20, ValueBytes: 1 << 20, VMLag: 2 * time.Second, WeightBytes: 1 << 30, WeightsPerSecond: 2}
}

// NewState returns an empty store.
func NewState(limits Limits) State {
	return State{
		limits:   limits,
		kinds:    immutable.NewSortedMap[string, shelf](nil),
		watches:  immutable.NewSortedMap[uint64, Watch](nil),
		platform: newPlatform(),
	}
}

// Apply executes one call.
func (s State) Apply(in step.Input[Event]) (State, []Answer) {
	var out []Answer
	s.platform = s.platform.listed(in.At)
	switch e := in.Event.(type) {
	case Get:
		out = append(out, s.get(e))
	case Put:
		s, out = s.put(e, out)
	case GetVMs:
		out = append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: vmsBody{VMs: s.platform.vms}})
	case GetWeights:
		var a Answer
		s.platform, a = s.platform.weights(e, s.limits, in.At)
		out = append(out, a)
	case PostProvision:
		var a Answer
		s.platform, a = s.platform.provision(e)
		out = append(out, a)
	case PostUsage:
		var a Answer
		s.platform, a = s.platform.report(e)
		out = append(out, a)
	case SetVMs:
		s.platform.coming = s.platform.coming.Append(listing{due: in.At.Add(s.limits.VMLag), vms: e.VMs})
	case Watch:
		s, out = s.watch(e, in.At, out)
	case Gone:
		s.watches = s.watches.Delete(e.Ticket)
	case Tick:
		s, out = s.expire(in.At, out)
	}
	return s, out
}

// Next returns when the first watch ends.
func (s State) Next() time.Time {
	var next time.Time
	for itr := s.watches.Iterator(); !itr.Done(); {
		_, w, _ := itr.Next()
		next = step.Earliest(next, w.Until)
	}
	return next
}

// Revision returns the number of writes.
func (s State) Revision() uint64 { return s.revision }

func (s State) shelf(kind string) shelf {
	held, ok := s.kinds.Get(kind)
	if !ok {
		return newShelf()
	}
	return held
}

func (s State) get(e Get) Answer {
	object, ok := s.shelf(e.Kind).objects.Get(e.Name)
	if !ok || object.Deleted {
		return refuseCall(e.Ticket, http.StatusNotFound, "NotFound", "no such object")
	}
	return Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: object}
}

func (s State) put(e Put, out []Answer) (State, []Answer) {
	if len(e.Value) > s.limits.ValueBytes {
		return s, append(out, refuseCall(e.Ticket, http.StatusRequestEntityTooLarge, "TooLarge", "value is over the limit"))
	}
	held := s.shelf(e.Kind)
	old, exists := held.objects.Get(e.Name)
	version := old.Version
	if !exists || old.Deleted {
		version = 0
	}
	if version != e.IfVersion || (e.Delete && version == 0) {
		return s, append(out, refuseCall(e.Ticket, http.StatusPreconditionFailed, "Conflict", "object has another version"))
	}
	s.revision++
	next := Object{
		Kind:       e.Kind,
		Name:       e.Name,
		Version:    s.revision,
		Generation: old.Generation + 1,
		Deleted:    e.Delete,
		Nonce:      e.Nonce,
		Value:      e.Value,
	}
	s.kinds = s.kinds.Set(e.Kind, held.with(old, next, s.limits))
	out = append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: next})
	return s.wake(e.Kind, out)
}

// with returns the shelf after a write.
func (h shelf) with(old, next Object, limits Limits) shelf {
	h.objects = h.objects.Set(next.Name, next)
	if old.Version != 0 {
		h.latest = h.latest.Delete(old.Version)
	}
	h.latest = h.latest.Set(next.Version, next.Name)
	h.log = h.log.Append(next)
	h.logBytes += len(next.Value)
	for h.log.Len() > limits.LogWrites || h.logBytes > limits.LogBytes {
		first := h.log.Get(0)
		h.logBytes -= len(first.Value)
		h.since = first.Version
		h.log = h.log.Slice(1, h.log.Len())
	}
	return h
}

// page collects the writes after a version.
func (s State) page(e Watch) Page {
	p := Page{Revision: s.revision, Next: e.After, Objects: []Object{}}
	for itr := s.kinds.Iterator(); !itr.Done(); {
		kind, held, _ := itr.Next()
		if len(e.Kinds) > 0 && !slices.Contains(e.Kinds, kind) {
			continue
		}
		if e.After >= held.since {
			p.Objects = append(p.Objects, held.writesAfter(e.After, e.Limit)...)
			continue
		}
		p.Coalesced = true
		p.Objects = append(p.Objects, held.latestAfter(e.After, e.Limit)...)
	}
	slices.SortFunc(p.Objects, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	if len(p.Objects) > e.Limit {
		p.Objects = p.Objects[:e.Limit]
		p.More = true
	}
	if len(p.Objects) > 0 {
		p.Next = p.Objects[len(p.Objects)-1].Version
	}
	return p
}

// writesAfter returns one write more than the limit, so that the caller sees
// whether writes are left over.
func (h shelf) writesAfter(after uint64, limit int) []Object {
	low, high := 0, h.log.Len()
	for low < high {
		mid := (low + high) / 2
		if h.log.Get(mid).Version > after {
			high = mid
		} else {
			low = mid + 1
		}
	}
	var writes []Object
	for ; low < h.log.Len() && len(writes) <= limit; low++ {
		writes = append(writes, h.log.Get(low))
	}
	return writes
}

func (h shelf) latestAfter(after uint64, limit int) []Object {
	var latest []Object
	itr := h.latest.Iterator()
	itr.Seek(after + 1)
	for !itr.Done() && len(latest) <= limit {
		_, name, _ := itr.Next()
		object, _ := h.objects.Get(name)
		latest = append(latest, object)
	}
	return latest
}

func (s State) watch(e Watch, at time.Time, out []Answer) (State, []Answer) {
	p := s.page(e)
	if len(p.Objects) > 0 || !e.Until.After(at) {
		return s, append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: p})
	}
	s.watches = s.watches.Set(e.Ticket, e)
	return s, out
}

// wake answers the watches that the last write concerns.
func (s State) wake(kind string, out []Answer) (State, []Answer) {
	for itr := s.watches.Iterator(); !itr.Done(); {
		ticket, w, _ := itr.Next()
		if len(w.Kinds) > 0 && !slices.Contains(w.Kinds, kind) {
			continue
		}
		if p := s.page(w); len(p.Objects) > 0 {
			s.watches = s.watches.Delete(ticket)
			out = append(out, Answer{Ticket: ticket, Status: http.StatusOK, Body: p})
		}
	}
	return s, out
}

func (s State) expire(at time.Time, out []Answer) (State, []Answer) {
	for itr := s.watches.Iterator(); !itr.Done(); {
		ticket, w, _ := itr.Next()
		if !w.Until.After(at) {
			p := s.page(w)
			s.watches = s.watches.Delete(ticket)
			out = append(out, Answer{Ticket: ticket, Status: http.StatusOK, Body: p})
		}
	}
	return s, out
}
