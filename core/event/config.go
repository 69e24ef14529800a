package event

import (
	"time"

	"caroblane/core/model"
)

// ConfigChanged carries configuration objects from the store or a peer. Changes
// includes every write after the version from which the node requested them.
type ConfigChanged struct {
	Changes []model.Change
	// Upto is the version of the node's copy after applying the changes.
	Upto model.Version
	// SentAt is when the call that returned the changes was sent.
	SentAt time.Time
	// FromStore is set if the store itself responded.
	FromStore bool
}

// RosterChanged is raised when a changed roster becomes active.
type RosterChanged struct {
	Version model.Version
	// Contiguous is set if no write was missed since the previous one.
	Contiguous bool
	Roster     model.Roster
}

// StoreFailed reports that a call to the store got no response.
type StoreFailed struct{}

// TemplateChanged is raised when a changed template becomes active.
type TemplateChanged struct {
	Account model.AccountName
	Version model.Version
	// Contiguous is set if no write was missed since the previous one.
	Contiguous bool
	// Deleted is set if the template no longer exists. Template is empty then.
	Deleted  bool
	Template model.Template
}

// VersionChanged is raised when the active configuration version increases.
type VersionChanged struct{ Version model.Version }

func (ConfigChanged) isEvent()   {}
func (RosterChanged) isEvent()   {}
func (StoreFailed) isEvent()     {}
func (TemplateChanged) isEvent() {}
func (VersionChanged) isEvent()  {}

// KeyChanged is raised when a key is added, changed or removed.
type KeyChanged struct {
	Old model.Key
	New model.Key
}

// UpstreamChanged is raised when an upstream is added, changed or removed.
type UpstreamChanged struct {
	Name    model.UpstreamName
	Deleted bool
}

func (KeyChanged) isEvent()      {}
func (UpstreamChanged) isEvent() {}
