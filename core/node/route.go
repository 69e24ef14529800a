package node

import "caroblane/core/event"

// parts is a set of parts of the node.
type parts uint8

const (
	toConf parts = 1 << iota
	toPeers
	toLimit
	toClaim
	toLease
	toOrder
	toFlow

	toAll = toConf | toPeers | toLimit | toClaim | toLease | toOrder | toFlow
)

func (p parts) has(part parts) bool { return p&part != 0 }

// takersOf returns the parts that get an event. It names the events of a
// request, which are most of all events; any other goes to all parts, which
// ignore what is not theirs. Peers and lease need none of these events to see
// that time has passed: they ask for a Tick when the freshness or the lease ends.
func takersOf(e event.Event) parts {
	switch e.(type) {
	case event.RequestArrived, event.AttemptEnded, event.CallerGone:
		return toFlow
	case event.AdmissionAsked, event.AdmissionDropped:
		return toLimit
	case event.AdmissionGranted, event.AdmissionRefused:
		return toFlow
	case event.ClaimAsked, event.ClaimEnded:
		return toClaim
	case event.ClaimWon, event.ClaimRefused, event.ClaimRecorded:
		return toFlow
	case event.UsageCounted:
		return toOrder
	default:
		return toAll
	}
}
