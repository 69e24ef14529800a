package conf

import (
	"cmp"
	"math"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// maxPage is the maximum number of objects in one response to a peer. With a
	// few hundred bytes per object, a response stays below 200 KB.
	maxPage = 512
	// maxTombstones is the maximum number of tombstones. At 1,100 changes per day,
	// it covers the deletions of several days.
	maxTombstones = 4096
)

// writeID identifies the last write of an object. It is ordered by version.
type writeID struct {
	version model.Version
	id      objectID
}

type writeIDComparer struct{}

func (writeIDComparer) Compare(a, b writeID) int {
	return cmp.Or(
		cmp.Compare(a.version, b.version),
		cmp.Compare(a.id.kind, b.id.kind),
		cmp.Compare(a.id.name, b.id.name),
	)
}

// Page is a chunk of the configuration that is relayed to a peer.
type Page struct {
	// Changes are sorted by version.
	Changes []model.Change
	// Upto is the version up to which the page is complete.
	Upto model.Version
	// Clean is the version up to which all deletions are reflected in the page.
	Clean model.Version
	// Floor is the version up to which tombstones may have been discarded.
	Floor model.Version
}

// ChangesSince returns the last write of each object changed after a version,
// including deletions, as one page of at most limit objects. Objects that were
// pushed with a version above s.version are added to every page, because their
// earlier writes are no longer known. clean is the version up to which the
// requesting node has seen every deletion.
//
// If there are more than maxTombstones tombstones, the oldest is discarded. A node
// that may still hold the deleted object then gets no page (false) and must read
// from the store. A node without configuration gets a page, because it has no
// objects to delete.
func (s State) ChangesSince(after, clean model.Version, limit int) (Page, bool) {
	if after > 0 && clean < s.floor {
		return Page{}, false
	}
	page := Page{Upto: max(after, s.version), Clean: s.version, Floor: s.floor}
	itr := s.byVersion.Iterator()
	itr.Seek(writeID{version: after + 1})
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
				// Continue with the objects pushed with a version above s.version.
				itr.Seek(writeID{version: s.version + 1})
				continue
			}
		}
		page.Changes = append(page.Changes, s.change(w.id))
	}
	return page, true
}

func (s State) change(id objectID) model.Change {
	current, _ := s.objects.Get(id)
	change := model.Change{
		Kind:       id.kind,
		Name:       id.name,
		Version:    current.lastVersion,
		Generation: current.generation,
		Deleted:    current.deleted,
	}
	if current.fault != nil {
		change.Fault = *current.fault
	} else if !current.deleted {
		change.Value = current.value
	}
	return change
}

// handleFetchAsked responds to a peer that requests configuration.
func (s State) handleFetchAsked(request event.FetchAsked, out *Out) {
	page, ok := s.ChangesSince(request.After, request.Clean, maxPage)
	out.Emit(effect.FetchReply{
		Ticket:  request.Ticket,
		Changes: page.Changes,
		Upto:    page.Upto,
		Clean:   page.Clean,
		Floor:   page.Floor,
		Refused: !ok,
	})
}

// requestChanges requests from a peer the changes after the current version.
func (s State) requestChanges(peer model.Member, out *Out) {
	clean := s.clean
	if s.version == 0 {
		clean = math.MaxUint64
	}
	out.Emit(effect.Fetch{Peer: peer, After: s.version, Clean: clean})
}

// withEntry replaces the entry of an object and limits the number of tombstones.
func (s State) withEntry(id objectID, old, next entry) State {
	if old.lastVersion > 0 {
		s.byVersion = s.byVersion.Delete(writeID{old.lastVersion, id})
	}
	if old.deleted {
		s.tombstones = s.tombstones.Delete(writeID{old.lastVersion, id})
	}
	s.objects = s.objects.Set(id, next)
	s.byVersion = s.byVersion.Set(writeID{next.lastVersion, id}, struct{}{})
	if !next.deleted {
		return s
	}
	s.tombstones = s.tombstones.Set(writeID{next.lastVersion, id}, struct{}{})
	if s.tombstones.Len() > maxTombstones {
		itr := s.tombstones.Iterator()
		oldest, _, _ := itr.Next()
		s.tombstones = s.tombstones.Delete(oldest)
		s.byVersion = s.byVersion.Delete(oldest)
		s.objects = s.objects.Delete(oldest.id)
		s.floor = max(s.floor, oldest.version)
	}
	return s
}

// advanceVersion raises the current version to upto. clean and floor are the
// values of the source, which a node without configuration adopts.
func (s State) advanceVersion(upto, clean, floor model.Version, out *Out) State {
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
