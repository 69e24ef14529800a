// Package site is the component for the site configuration on a platform. It
// determines which configuration is active and how long it may be used without
// confirmation by the store.
package site

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// maxClockDrift is the maximum difference between the rates of two clocks.
	maxClockDrift = 0.001
	// readyFraction is the fraction of the revocation delay after which a node
	// without a new confirmation reports that it is not ready. Callers then
	// move to other nodes before this node has to refuse them.
	readyFraction = 0.5
	// renewFraction is the fraction of the revocation delay in which the node takes over a
	// change, and so renews its confirmation. It is below readyFraction.
	renewFraction = 0.4
	// contactTimeout is how long after a response of the store a node counts as being in
	// contact with it.
	contactTimeout = 2500 * time.Millisecond
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// State is the site configuration of a node.
type State struct {
	site *model.Site
	// hasLimits is set if the configuration limits a client account.
	hasLimits bool
	bounds    model.Bounds
	// confirmedAt is when the store last confirmed that no later version exists.
	// confirmed is set if it ever did.
	confirmedAt time.Time
	confirmed   bool
	// answeredAt is when the last read that the store itself answered was sent.
	answeredAt time.Time
}

// New returns a state without configuration.
func New(bounds model.Bounds) State {
	return State{site: &model.Site{}, bounds: bounds}
}

// Apply processes reads of the site configuration, what peers prove of it, and changes
// of the bounds. A peer that has the same version proves that it was current when this
// node sent its call, less the age that the peer states.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.SettingsChanged:
		s.bounds = e.Bounds
	case event.SiteRead:
		s = s.handleSiteRead(e)
	case event.SyncAnswered:
		if e.Report.Confirmed {
			s = s.handleSiteRead(event.SiteRead{
				SentAt: e.SentAt.Add(-e.Report.ConfirmationAge), Revision: e.Report.Site, ByPeer: true,
			})
		}
	}
	return s, out
}

// Fresh reports whether the node cannot have missed a key withdrawal for longer
// than the revocation delay.
func (s State) Fresh(at time.Time) bool {
	return s.confirmed && at.Sub(s.confirmedAt) < time.Duration(float64(s.bounds.RevocationDelay)*(1-2*maxClockDrift))
}

// InContact reports whether the store itself answered this node recently.
func (s State) InContact(at time.Time) bool { return at.Sub(s.answeredAt) < contactTimeout }

// AnswerAge returns the time since the last read was sent that the store itself answered,
// and whether it ever did.
func (s State) AnswerAge(at time.Time) (time.Duration, bool) {
	return at.Sub(s.answeredAt), !s.answeredAt.IsZero()
}

// HasConfig reports whether a configuration was read.
func (s State) HasConfig() bool { return s.site.Revision > 0 }

// HasLimits reports whether the active configuration limits a client account.
func (s State) HasLimits() bool { return s.hasLimits }

// Confirmation returns the active version, the time since the store last
// confirmed that it is the latest, and whether it ever did.
func (s State) Confirmation(at time.Time) (model.Version, time.Duration, bool) {
	return s.site.Revision, at.Sub(s.confirmedAt), s.confirmed
}

// Ready reports whether the node should receive requests.
func (s State) Ready(at time.Time) bool {
	return s.confirmed && at.Sub(s.confirmedAt) < time.Duration(float64(s.bounds.RevocationDelay)*readyFraction)
}

// ApplyWithin returns the time in which this node takes over a confirmed change: the bound
// for it, if there is one, but no more than renewFraction of the revocation delay, so that
// the proof of the configuration does not become too old in normal operation.
func (s State) ApplyWithin() time.Duration {
	limit := time.Duration(float64(s.bounds.RevocationDelay) * renewFraction)
	if s.bounds.ConfigApply <= 0 {
		return limit
	}
	return min(limit, s.bounds.ConfigApply)
}

// EvacuateWithin returns the time in which an evacuation has to be in force, or zero if
// the deployment has none.
func (s State) EvacuateWithin() time.Duration { return s.bounds.EvacuationDelay }

// Site returns the active configuration.
func (s State) Site() *model.Site { return s.site }

// handleSiteRead applies the response to a read. An older version never
// replaces a newer one, and does not count as a confirmation.
func (s State) handleSiteRead(e event.SiteRead) State {
	if !e.ByPeer && e.SentAt.After(s.answeredAt) {
		s.answeredAt = e.SentAt
	}
	if e.Site != nil && s.isLater(e.Site, e.Revision) {
		s.site, s.hasLimits = e.Site, e.Site.HasLimits()
	}
	if e.Revision != s.site.Revision {
		return s
	}
	if !s.confirmed || e.SentAt.After(s.confirmedAt) {
		s.confirmedAt, s.confirmed = e.SentAt, true
	}
	return s
}

// isLater reports whether a configuration that was read replaces the active one. When the
// store comes back from a copy, it holds an earlier configuration than before until the
// operator has written the later one again, which has the higher number.
func (s State) isLater(read *model.Site, revision model.Version) bool {
	if revision.Era() > s.site.Revision.Era() && read.Number < s.site.Number {
		return false
	}
	return revision > s.site.Revision
}
