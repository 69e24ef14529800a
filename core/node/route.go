package node

import "caroblane/core/event"

// partSet is a set of components of the node.
type partSet uint8

const (
	confPart partSet = 1 << iota
	peersPart
	limitPart
	claimPart
	leasePart
	orderPart
	flowPart

	allParts = confPart | peersPart | limitPart | claimPart | leasePart | orderPart | flowPart
)

func (p partSet) contains(part partSet) bool { return p&part != 0 }

// receiversOf returns the components that receive an event. Request events, which
// are the most frequent, go only to the components that handle them. All other
// events go to every component, which ignores those that it does not handle.
// Peers and lease do not rely on request events to notice the passage of time:
// they schedule a Tick for the end of the freshness or of the lease.
func receiversOf(e event.Event) partSet {
	switch e.(type) {
	case event.RequestArrived, event.AttemptEnded, event.CallerGone:
		return flowPart
	case event.AdmissionAsked, event.AdmissionDropped:
		return limitPart
	case event.AdmissionGranted, event.AdmissionRefused:
		return flowPart
	case event.ClaimAsked, event.ClaimEnded:
		return claimPart
	case event.ClaimWon, event.ClaimRefused, event.ClaimRecorded:
		return flowPart
	case event.UsageCounted:
		return orderPart
	default:
		return allParts
	}
}
