package conf

import (
	"cmp"
	"math"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// maxPage bounds the objects of one answer to a peer. At a few hundred
	// bytes each, an answer stays under 200 KB.
	maxPage = 512
	// maxTombstones bounds the deleted objects that are remembered. At 1,100
	// changes a day it holds the deletions of several days.
	maxTombstones = 4096
)

// write identifies the last write of an object in the order of versions.
type write struct {
	version model.Version
	id      objectID
}

type writeComparer struct{}

func (writeComparer) Compare(a, b write) int {
	return cmp.Or(
		cmp.Compare(a.version, b.version),
		cmp.Compare(a.id.kind, b.id.kind),
		cmp.Compare(a.id.name, b.id.name),
	)
}

// Page is a part of the configuration for relay to a peer.
type Page struct {
	// Changes are in order of their versions.
	Changes []model.Change
	// Upto is the version up to which the page is complete.
	Upto model.Version
	// Clean is the version up to which the page holds no deleted object.
	Clean model.Version
	// Floor is the version up to which tombstones may be missing.
	Floor model.Version
}

// Since returns the last write of each object changed after a version,
// deletions included, in pages of at most limit objects. Objects that were
// pushed ahead of the version in force come with every page, because their
// earlier writes are no longer known. Clean is the version up to which the
// asking node knows every deletion.
//
// Past maxTombstones the oldest tombstone is dropped. A node that may still
// hold the deleted object gets no page any more (false) and must ask the store;
// a node without configuration gets one, because it has nothing to delete.
func (s State) Since(after, clean model.Version, limit int) (Page, bool) {
	if after > 0 && clean < s.floor {
		return Page{}, false
	}
	page := Page{Upto: max(after, s.version), Clean: s.version, Floor: s.floor}
	itr := s.order.Iterator()
	itr.Seek(write{version: after + 1})
	full := false
	for !itr.Done() {
		w, _, _ := itr.Next()
		if w.version <= s.version {
			if full {
				continue
			}
			if len(page.Changes) == limit {
				page.Upto = page.Changes[limit-1].Version
				full = true
				// Continues with the objects ahead of the version in force.
				itr.Seek(write{version: s.version + 1})
				continue
			}
		}
		page.Changes = append(page.Changes, s.change(w.id))
	}
	return page, true
}

func (s State) change(id objectID) model.Change {
	held, _ := s.objects.Get(id)
	change := model.Change{
		Kind:       id.kind,
		Name:       id.name,
		Version:    held.seen,
		Generation: held.generation,
		Deleted:    held.deleted,
	}
	if held.fault != nil {
		change.Fault = *held.fault
	} else if !held.deleted {
		change.Value = held.value
	}
	return change
}

// answer serves a peer that asks for configuration.
func (s State) answer(asked event.FetchAsked, out *Out) {
	page, ok := s.Since(asked.After, asked.Clean, maxPage)
	out.Emit(effect.FetchReply{
		Ticket:  asked.Ticket,
		Changes: page.Changes,
		Upto:    page.Upto,
		Clean:   page.Clean,
		Floor:   page.Floor,
		Refused: !ok,
	})
}

// fetch asks a peer for the configuration after the version in force.
func (s State) fetch(peer model.Member, out *Out) {
	clean := s.clean
	if s.version == 0 {
		clean = math.MaxUint64
	}
	out.Emit(effect.Fetch{Peer: peer, After: s.version, Clean: clean})
}

// withEntry replaces the entry of an object and bounds the tombstones.
func (s State) withEntry(id objectID, old, next entry) State {
	if old.seen > 0 {
		s.order = s.order.Delete(write{old.seen, id})
	}
	if old.deleted {
		s.graves = s.graves.Delete(write{old.seen, id})
	}
	s.objects = s.objects.Set(id, next)
	s.order = s.order.Set(write{next.seen, id}, struct{}{})
	if !next.deleted {
		return s
	}
	s.graves = s.graves.Set(write{next.seen, id}, struct{}{})
	if s.graves.Len() > maxTombstones {
		itr := s.graves.Iterator()
		oldest, _, _ := itr.Next()
		s.graves = s.graves.Delete(oldest)
		s.order = s.order.Delete(oldest)
		s.objects = s.objects.Delete(oldest.id)
		s.floor = max(s.floor, oldest.version)
	}
	return s
}

// withUpto raises the version in force. Clean and floor are those of the
// source, which a node without configuration takes over.
func (s State) withUpto(upto, clean, floor model.Version, out *Out) State {
	if upto <= s.version {
		return s
	}
	if s.version == 0 {
		s.clean = clean
		s.floor = max(s.floor, floor)
	}
	s.clean = max(s.clean, upto)
	s.version = upto
	out.Raise(event.VersionChanged{Version: s.version})
	return s
}
