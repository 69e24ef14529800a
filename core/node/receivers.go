package node

import "caroblane/core/event"

// receivers is a set of components of the node.
type receivers uint8

const (
	toConf receivers = 1 << iota
	toPeers
	toLimit
	toClaim
	toLease
	toOrder
	toFlow

	toAll = toConf | toPeers | toLimit | toClaim | toLease | toOrder | toFlow
)

func (r receivers) has(component receivers) bool { return r&component != 0 }

// receiversOf returns the components that receive an event. Request events, which
// are the most frequent, go only to the components that handle them. All other
// events go to every component, which ignores those that it does not handle.
// Peers and lease do not rely on request events to notice the passage of time:
// they schedule a Tick for the end of the freshness or of the lease.
func receiversOf(e event.Event) receivers {
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
