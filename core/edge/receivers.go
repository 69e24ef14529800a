package edge

import "caroblane/core/event"

// receivers is a set of reducers of the node.
type receivers uint8

const (
	toSite receivers = 1 << iota
	toFleet
	toMember
	toQuota
	toUsage
	toLease
	toSteer
	toServe

	toAll = toSite | toFleet | toMember | toQuota | toUsage | toLease | toSteer | toServe
)

func (r receivers) has(reducer receivers) bool { return r&reducer != 0 }

// receiversOf returns the reducers that receive an event. It lists the events
// of requests and announcements, which are the vast majority. All other events
// go to all reducers, which ignore those that do not concern them.
func receiversOf(e event.Event) receivers {
	switch e.(type) {
	case event.SiteArrived, event.ForwardBegan, event.ForwardEnded, event.CallerGone,
		event.QuotaGranted, event.QuotaRefused:
		return toServe
	case event.QuotaAsked, event.QuotaReturned:
		return toQuota
	case event.UseChanged, event.AttemptJudged:
		return toFleet
	case event.RunBegan:
		return toUsage
	case event.DemandArrived:
		return toSteer
	case event.AnnounceArrived:
		return toFleet | toQuota
	case event.AnnounceDue, event.SyncDue, event.SyncAnswerDue:
		return 0
	default:
		return toAll
	}
}
