package event

import (
	"time"

	"caroblane/core/model"
)

// ConfigChanged carries configuration objects from the store or a peer. The
// changes include every write after the version that the node had asked from.
type ConfigChanged struct {
	Changes []model.Change
	// Upto is the version that the node holds once the changes are applied.
	Upto model.Version
	// SentAt is when the call that brought the changes was sent.
	SentAt time.Time
	// FromStore tells that the store itself answered.
	FromStore bool
}

// RosterChanged is raised when another roster comes into force.
type RosterChanged struct {
	Version model.Version
	// Contiguous tells that no write was missed since the last one seen.
	Contiguous bool
	Roster     model.Roster
}

// StoreFailed reports that a call to the store got no answer.
type StoreFailed struct{}

// TemplateChanged is raised when another template comes into force.
type TemplateChanged struct {
	Account model.AccountName
	Version model.Version
	// Contiguous tells that no write was missed since the last one seen.
	Contiguous bool
	Deleted    bool
	Template   model.Template
}

// VersionChanged is raised when the version in force rises.
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
