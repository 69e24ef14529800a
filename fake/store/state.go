// Package store is a fake platform for tests: its object API and its
// smaller APIs for provisions, usage, VMs and weights. All decisions are made
// by State, a step.Machine; the HTTP server only encodes messages.
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

// Object is the state of an object after a write.
type Object struct {
	Kind string
	Name string
	// Version is the store-wide revision of the write.
	Version uint64
	// Generation counts the writes of the object, including deletions.
	Generation uint64
	Deleted    bool
	Nonce      string
	Value      json.RawMessage
}

// collection holds the objects of one kind.
type collection struct {
	objects *immutable.Map[string, Object]
	// byVersion maps the version of each object's last write to its name.
	byVersion *immutable.SortedMap[uint64, string]
	log       *immutable.List[Object]
	logBytes  int
	// truncatedAt is the version of the last write that was dropped from the
	// log. The log holds every write after it.
	truncatedAt uint64
}

func newCollection() collection {
	return collection{
		objects:   immutable.NewMap[string, Object](nil),
		byVersion: immutable.NewSortedMap[uint64, string](nil),
		log:       immutable.NewList[Object](),
	}
}

// State is the state of the fake platform.
type State struct {
	limits   Limits
	revision uint64
	kinds    *immutable.SortedMap[string, collection]
	watches  *immutable.SortedMap[uint64, Watch]
	platform platform
}

// Limits bound the memory of the store and set the properties of the smaller
// APIs.
type Limits struct {
	// LogWrites and LogBytes limit the log of each kind.
	LogWrites int
	LogBytes  int
	// ValueBytes limits the size of a value.
	ValueBytes int
	// VMLag is how long readers still see the old VM list after a change.
	VMLag time.Duration
	// WeightBytes is the size of a model's weights, and WeightsPerSecond the
	// rate limit of fetching them. A rate of zero sets no limit.
	WeightBytes      int
	WeightsPerSecond float64
}

// DefaultLimits returns the limits of the platform that the store is a fake of.
func DefaultLimits() Limits {
	return Limits{LogWrites: 10_000, LogBytes: 64 << 20, ValueBytes: 1 << 20, VMLag: 2 * time.Second, WeightBytes: 1 << 30, WeightsPerSecond: 2}
}

// NewState returns an empty store.
func NewState(limits Limits) State {
	return State{
		limits:   limits,
		kinds:    immutable.NewSortedMap[string, collection](nil),
		watches:  immutable.NewSortedMap[uint64, Watch](nil),
		platform: newPlatform(),
	}
}

// Apply executes one call.
func (s State) Apply(in step.Input[Event]) (State, []Response) {
	var out []Response
	s.platform = s.platform.withDueVMs(in.At)
	switch e := in.Event.(type) {
	case Get:
		out = append(out, s.get(e))
	case Put:
		s, out = s.put(e, out)
	case GetVMs:
		out = append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: vmsBody{VMs: s.platform.vms}})
	case GetWeights:
		var a Response
		s.platform, a = s.platform.fetchWeights(e, s.limits, in.At)
		out = append(out, a)
	case PostProvision:
		var a Response
		s.platform, a = s.platform.withProvision(e)
		out = append(out, a)
	case PostUsage:
		var a Response
		s.platform, a = s.platform.withReport(e)
		out = append(out, a)
	case SetVMs:
		s.platform.pendingVMs = s.platform.pendingVMs.Append(pendingList{visibleAt: in.At.Add(s.limits.VMLag), vms: e.VMs})
	case Watch:
		s, out = s.watch(e, in.At, out)
	case Disconnected:
		s.watches = s.watches.Delete(e.Ticket)
	case Tick:
		s, out = s.expireWatches(in.At, out)
	}
	return s, out
}

// Next returns when the first watch times out.
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

func (s State) collection(kind string) collection {
	c, ok := s.kinds.Get(kind)
	if !ok {
		return newCollection()
	}
	return c
}

func (s State) get(e Get) Response {
	object, ok := s.collection(e.Kind).objects.Get(e.Name)
	if !ok || object.Deleted {
		return refusal(e.Ticket, http.StatusNotFound, "NotFound", "no such object")
	}
	return Response{Ticket: e.Ticket, Status: http.StatusOK, Body: object}
}

func (s State) put(e Put, out []Response) (State, []Response) {
	if len(e.Value) > s.limits.ValueBytes {
		return s, append(out, refusal(e.Ticket, http.StatusRequestEntityTooLarge, "TooLarge", "value is over the limit"))
	}
	c := s.collection(e.Kind)
	old, exists := c.objects.Get(e.Name)
	version := old.Version
	if !exists || old.Deleted {
		version = 0
	}
	if version != e.IfVersion || (e.Delete && version == 0) {
		return s, append(out, refusal(e.Ticket, http.StatusPreconditionFailed, "Conflict", "object has another version"))
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
	s.kinds = s.kinds.Set(e.Kind, c.with(old, next, s.limits))
	out = append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: next})
	return s.notifyWatches(e.Kind, out)
}

// with returns the collection after a write, with its log limited.
func (c collection) with(old, next Object, limits Limits) collection {
	c.objects = c.objects.Set(next.Name, next)
	if old.Version != 0 {
		c.byVersion = c.byVersion.Delete(old.Version)
	}
	c.byVersion = c.byVersion.Set(next.Version, next.Name)
	c.log = c.log.Append(next)
	c.logBytes += len(next.Value)
	for c.log.Len() > limits.LogWrites || c.logBytes > limits.LogBytes {
		first := c.log.Get(0)
		c.logBytes -= len(first.Value)
		c.truncatedAt = first.Version
		c.log = c.log.Slice(1, c.log.Len())
	}
	return c
}

// page returns the writes after a version that match a watch.
func (s State) page(e Watch) Page {
	p := Page{Revision: s.revision, Next: e.After, Objects: []Object{}}
	for itr := s.kinds.Iterator(); !itr.Done(); {
		kind, c, _ := itr.Next()
		if len(e.Kinds) > 0 && !slices.Contains(e.Kinds, kind) {
			continue
		}
		if e.After >= c.truncatedAt {
			p.Objects = append(p.Objects, c.writesAfter(e.After, e.Limit)...)
			continue
		}
		p.Coalesced = true
		p.Objects = append(p.Objects, c.latestAfter(e.After, e.Limit)...)
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

// writesAfter returns at most limit+1 writes from the log. The extra write
// shows the caller that more are left.
func (c collection) writesAfter(after uint64, limit int) []Object {
	low, high := 0, c.log.Len()
	for low < high {
		mid := (low + high) / 2
		if c.log.Get(mid).Version > after {
			high = mid
		} else {
			low = mid + 1
		}
	}
	var writes []Object
	for ; low < c.log.Len() && len(writes) <= limit; low++ {
		writes = append(writes, c.log.Get(low))
	}
	return writes
}

// latestAfter returns the current state of the objects written after a version,
// in order of their last writes and at most limit+1 of them.
func (c collection) latestAfter(after uint64, limit int) []Object {
	var objects []Object
	itr := c.byVersion.Iterator()
	itr.Seek(after + 1)
	for !itr.Done() && len(objects) <= limit {
		_, name, _ := itr.Next()
		object, _ := c.objects.Get(name)
		objects = append(objects, object)
	}
	return objects
}

func (s State) watch(e Watch, at time.Time, out []Response) (State, []Response) {
	p := s.page(e)
	if len(p.Objects) > 0 || !e.Until.After(at) {
		return s, append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: p})
	}
	s.watches = s.watches.Set(e.Ticket, e)
	return s, out
}

// notifyWatches responds to the watches of a kind after a write.
func (s State) notifyWatches(kind string, out []Response) (State, []Response) {
	for itr := s.watches.Iterator(); !itr.Done(); {
		ticket, w, _ := itr.Next()
		if len(w.Kinds) > 0 && !slices.Contains(w.Kinds, kind) {
			continue
		}
		if p := s.page(w); len(p.Objects) > 0 {
			s.watches = s.watches.Delete(ticket)
			out = append(out, Response{Ticket: ticket, Status: http.StatusOK, Body: p})
		}
	}
	return s, out
}

func (s State) expireWatches(at time.Time, out []Response) (State, []Response) {
	for itr := s.watches.Iterator(); !itr.Done(); {
		ticket, w, _ := itr.Next()
		if !w.Until.After(at) {
			p := s.page(w)
			s.watches = s.watches.Delete(ticket)
			out = append(out, Response{Ticket: ticket, Status: http.StatusOK, Body: p})
		}
	}
	return s, out
}
