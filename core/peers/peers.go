// Package peers is the decision part for members of the region, the freshness
// of this node and the settled version.
package peers

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// FreshnessTerm bounds how long a node admits requests without news of the
	// store.
	FreshnessTerm = 6 * time.Second

	// contactTerm is how long a node counts as in contact after an answer of the
	// store. It is below FreshnessTerm, so that nodes learn that their peers lost
	// the store too before their own freshness ends.
	contactTerm = FreshnessTerm / 2

	// driftShare bounds the difference of clock rates between two VMs.
	driftShare = 1000
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// State is what this node knows of its members and of its freshness. It has no
// usable zero value.
type State struct {
	self   model.Member
	region model.RegionName

	// version is the configuration version in force. Loaded tells that there is
	// one, or that the store holds nothing.
	version model.Version
	loaded  bool
	// freshUntil is the end of the freshness by news of the store.
	freshUntil time.Time
	// outageUntil is the end of the time in which all members are accounted for.
	outageUntil time.Time
	// lapsedAt is when the freshness ended; lapsed tells that it has.
	lapsedAt time.Time
	lapsed   bool
	// failures counts failed calls to the store since then, up to minFailures.
	failures int
	// contactUntil is until when this node counts as in contact with the store.
	contactUntil time.Time
	// fresh is the freshness last raised.
	fresh bool

	// peers holds all other processes that may be fresh: members of the roster
	// in force and former ones.
	peers  *immutable.SortedMap[model.Incarnation, peer]
	roster roster
	settle settle
	counts []model.CrashCount
	// fetchAt is when the next fetch may be sent.
	fetchAt time.Time
	// authority tells that this node holds the region's control lease.
	authority bool
	// leaving tells that this process admits nothing any more, departed that
	// the roster no longer lists it.
	leaving  bool
	departed bool
	// due is when the part needs a timer event.
	due time.Time
}

// New returns the state of a started process, which is neither fresh nor a
// member.
func New(self model.Member, region model.RegionName) State {
	return State{
		self:   self,
		region: region,
		lapsed: true,
		peers:  immutable.NewSortedMap[model.Incarnation, peer](incarnationComparer{}),
	}
}

// Apply takes news of the store, of peers and of the roster.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	now := in.At
	switch e := in.Event.(type) {
	case event.Tick:
		s = s.fetchDue(now, &out)
	case event.ConfigChanged:
		s = s.withStoreAnswer(e, now, &out)
	case event.StoreFailed:
		s.failures = min(s.failures+1, minFailures)
	case event.VersionChanged:
		s = s.withVersion(e.Version, now)
		s = s.fetchDue(now, &out)
	case event.RosterChanged:
		s = s.withRoster(e, in)
	case event.ExchangeAsked:
		s = s.exchangeAsked(e, now, &out)
	case event.ExchangeAnswered:
		s = s.exchangeAnswered(e, now, &out)
	case event.ExchangeFailed:
		s = s.exchangeFailed(e.Peer.Incarnation, e.SentAt, e.Refused, now)
	case event.FetchAnswered:
		s = s.fetched(e.Refused, now)
	case event.FetchFailed:
		s = s.fetched(true, now)
	case event.PushArrived:
		s = s.pushArrived(e, &out)
	case event.CrashCountsChanged:
		s = s.countsChanged(e, now)
	case event.VMsListed:
		s = s.vmsListed(e)
	case event.ForgetAsked:
		s = s.forgetAsked(e.Name)
	case event.AuthorityChanged:
		s.authority = e.Held
	case event.LeaveAsked:
		s = s.leaveAsked(now)
	case event.ObjectWritten:
		s = s.written(e)
	case event.ObjectConflict:
		s = s.conflicted(e.Op, now, &out)
	case event.ObjectAmbiguous:
		s = s.conflicted(e.Op, now, &out)
	case event.ObjectUnsent:
		s = s.unsent(e.Op, in)
	case event.ObjectRead:
		s = s.read(e, in)
	case event.ObjectReadFailed:
		s = s.unsent(e.Op, in)
	default:
		// Traffic events only show that time has passed.
		return s.withFreshness(now, &out), out
	}
	s = s.withOutage(now)
	s = s.withSettled(now, &out)
	s = s.exchangeDue(now, &out)
	s = s.writeDue(in, &out)
	s = s.withDeparture(&out)
	s = s.withFreshness(now, &out)
	s.due = s.nextDue(now)
	return s, out
}

// Fresh tells whether this node may admit requests.
func (s State) Fresh(at time.Time) bool {
	return !s.leaving && (at.Before(s.freshUntil) || at.Before(s.outageUntil))
}

// Leaving tells that this process has stopped admitting for good.
func (s State) Leaving() bool { return s.leaving }

// Low returns the settled version: no fresh member uses a lower one.
func (s State) Low() model.Version { return s.settle.low }

// Next returns when the part needs a timer event.
func (s State) Next() time.Time { return s.due }

// Outage tells whether this node is fresh only because every other member is
// accounted for.
func (s State) Outage(at time.Time) bool { return s.Fresh(at) && !at.Before(s.freshUntil) }

// Region returns the region of this node.
func (s State) Region() model.RegionName { return s.region }

// nextDue returns the time of the next exchange, roster write, ripe mark or end
// of freshness.
func (s State) nextDue(now time.Time) time.Time {
	due := step.Earliest(s.roster.giveUpAt, s.settle.next(s.version))
	if s.roster.retryAt.After(now) {
		due = step.Earliest(due, s.roster.retryAt)
	}
	if s.fresh {
		due = step.Earliest(due, later(s.freshUntil, s.outageUntil))
	}
	if s.inContact(now) {
		due = step.Earliest(due, s.contactUntil)
	}
	if renewal := s.outageUntil.Add(-FreshnessTerm / 2); renewal.After(now) {
		due = step.Earliest(due, renewal)
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		due = step.Earliest(due, s.dueAt(p, now))
	}
	return due
}

// shorter returns a duration that has passed on every clock when d has passed
// on this one; longer returns one after which d has passed on every clock.
func shorter(d time.Duration) time.Duration { return d - d/driftShare }

func longer(d time.Duration) time.Duration { return d + d/driftShare + 1 }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

type incarnationComparer struct{}

func (incarnationComparer) Compare(a, b model.Incarnation) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
