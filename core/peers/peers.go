// Package peers is the component that decides on the membership of the region,
// the freshness of this node and the settled configuration version.
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
	// FreshnessTTL limits how long a node admits requests without hearing from
	// the store, directly or through a peer.
	FreshnessTTL = 6 * time.Second

	// contactTimeout is how long a node counts as in contact with the store
	// after a response. It is shorter than FreshnessTTL so that nodes learn that
	// their peers have lost the store too before their own freshness ends.
	contactTimeout = FreshnessTTL / 2

	// inverseMaxClockDrift is the inverse of the maximum difference between the
	// clock rates of two VMs.
	inverseMaxClockDrift = 1000
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// State holds the members known to this node and the node's freshness. Its zero
// value is not usable.
type State struct {
	self   model.Member
	region model.RegionName

	// version is the active configuration version. configLoaded is set once
	// there is one, or once the store is known to be empty.
	version      model.Version
	configLoaded bool
	// freshUntil is the end of the freshness derived from the store, directly
	// or through peers.
	freshUntil time.Time
	// outageModeUntil is until when all other members are accounted for.
	outageModeUntil time.Time
	// expiredAt is when the freshness ended. expired is set if it has ended.
	expiredAt time.Time
	expired   bool
	// storeFailures counts the failed store calls since expired last changed,
	// up to minStoreFailures.
	storeFailures int
	// storeContactUntil is until when this node counts as in contact with the
	// store.
	storeContactUntil time.Time
	// reportedFresh is the freshness in the last event raised.
	reportedFresh bool

	// peers holds all other processes that may be fresh: current members of the
	// active roster and former ones.
	peers   *immutable.SortedMap[model.Incarnation, peer]
	roster  roster
	settled settled
	// crashes are the crash records of this node, with their ages at crashesAt.
	crashes   []model.CrashRecord
	crashesAt time.Time
	// nextFetchAt is the earliest time of the next fetch.
	nextFetchAt time.Time
	// holdsLease is set while this node holds the region's control lease.
	holdsLease bool
	// leaving is set once this process has permanently stopped admitting
	// requests, departed once the roster no longer lists it.
	leaving  bool
	departed bool
	// nextTimerAt is when the component needs a Tick.
	nextTimerAt time.Time
}

// New returns the state of a newly started process, which is neither fresh nor
// a member.
func New(self model.Member, region model.RegionName) State {
	return State{
		self:    self,
		region:  region,
		expired: true,
		peers:   immutable.NewSortedMap[model.Incarnation, peer](incarnationComparer{}),
	}
}

// Apply processes responses from the store, messages from peers and roster
// changes.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	now := in.At
	switch e := in.Event.(type) {
	case event.Tick:
		s = s.requestFetch(now, &out)
	case event.ConfigChanged:
		s = s.handleConfigChanged(e, now, &out)
	case event.StoreFailed:
		s.storeFailures = min(s.storeFailures+1, minStoreFailures)
	case event.VersionChanged:
		s = s.handleVersionChanged(e.Version, now)
		s = s.requestFetch(now, &out)
	case event.RosterChanged:
		s = s.handleRosterChanged(e, in)
	case event.ExchangeAsked:
		s = s.handleExchangeAsked(e, now, &out)
	case event.ExchangeAnswered:
		s = s.handleExchangeAnswered(e, now, &out)
	case event.ExchangeFailed:
		s = s.handleExchangeFailed(e.Peer.Incarnation, e.SentAt, e.Refused, now)
	case event.FetchAnswered:
		s = s.handleFetchEnd(e.Refused, now)
	case event.FetchFailed:
		s = s.handleFetchEnd(true, now)
	case event.PushArrived:
		s = s.handlePushArrived(e, &out)
	case event.CrashRecordsChanged:
		s = s.handleCrashRecordsChanged(e, now)
	case event.VMsListed:
		s = s.handleVMsListed(e)
	case event.ForgetAsked:
		s = s.handleForgetAsked(e.Name)
	case event.AuthorityChanged:
		s.holdsLease = e.Held
	case event.LeaveAsked:
		s = s.handleLeaveAsked(now)
	case event.ObjectWritten:
		s = s.handleObjectWritten(e)
	case event.ObjectConflict:
		s = s.handleWriteFailed(e.Op, now, &out)
	case event.ObjectAmbiguous:
		s = s.handleWriteFailed(e.Op, now, &out)
	case event.ObjectUnsent:
		s = s.handleCallFailed(e.Op, in)
	case event.ObjectRead:
		s = s.handleObjectRead(e, in)
	case event.ObjectReadFailed:
		s = s.handleCallFailed(e.Op, in)
	default:
		// Traffic events only indicate that time has passed.
		return s.raiseFreshness(now, &out), out
	}
	s = s.withOutageMode(now)
	s = s.advanceSettled(now, &out)
	s = s.sendExchanges(now, &out)
	s = s.writeRoster(in, &out)
	s = s.emitDeparture(&out)
	s = s.raiseFreshness(now, &out)
	s.nextTimerAt = s.nextTimer(now)
	return s, out
}

// Fresh reports whether this node may admit requests.
func (s State) Fresh(at time.Time) bool {
	return !s.leaving && (at.Before(s.freshUntil) || at.Before(s.outageModeUntil))
}

// Leaving reports whether this process has permanently stopped admitting
// requests.
func (s State) Leaving() bool { return s.leaving }

// SettledVersion returns the settled version. No fresh member uses a lower one.
func (s State) SettledVersion() model.Version { return s.settled.current }

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time { return s.nextTimerAt }

// InOutageMode reports whether this node is fresh only because every other
// member is accounted for.
func (s State) InOutageMode(at time.Time) bool { return s.Fresh(at) && !at.Before(s.freshUntil) }

func (s State) Region() model.RegionName { return s.region }

// nextTimer returns the time of the next exchange, roster write, checkpoint or
// expiry.
func (s State) nextTimer(now time.Time) time.Time {
	next := step.Earliest(s.roster.callDeadline, s.settled.nextCheckpoint(s.version))
	if s.roster.nextWriteAt.After(now) {
		next = step.Earliest(next, s.roster.nextWriteAt)
	}
	if s.reportedFresh {
		next = step.Earliest(next, laterTime(s.freshUntil, s.outageModeUntil))
	}
	if s.hasStoreContact(now) {
		next = step.Earliest(next, s.storeContactUntil)
	}
	if renewal := s.outageModeUntil.Add(-FreshnessTTL / 2); renewal.After(now) {
		next = step.Earliest(next, renewal)
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		next = step.Earliest(next, s.nextExchange(p, now))
	}
	return next
}

// shortenForDrift returns a duration that has elapsed on every clock once d has
// elapsed on this one. extendForDrift returns a duration after which d has
// elapsed on every clock.
func shortenForDrift(d time.Duration) time.Duration { return d - d/inverseMaxClockDrift }

func extendForDrift(d time.Duration) time.Duration { return d + d/inverseMaxClockDrift + 1 }

func laterTime(a, b time.Time) time.Time {
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
