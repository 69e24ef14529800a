package edge

import "caroblane/core/event"

// receivers is a set of components of the node.
type receivers uint16

const (
	toFeed receivers = 1 << iota
	toSite
	toFleet
	toAlive
	toMember
	toQuota
	toUsage
	toLease
	toScaler
	toServe

	toAll = toFeed | toSite | toFleet | toAlive | toMember | toQuota | toUsage | toLease | toScaler | toServe
)

func (r receivers) has(component receivers) bool { return r&component != 0 }

// receiversOf returns the components that receive an event. It lists the events
// of requests and announcements, which are the vast majority. All other events
// go to every component, which ignores those that it does not handle.
func receiversOf(e event.Event) receivers {
	switch e.(type) {
	case event.SiteArrived, event.ForwardBegan, event.ForwardEnded, event.ForwardSilent, event.AbandonIgnored, event.CallerGone,
		event.QuotaGranted, event.QuotaRefused:
		return toServe
	case event.QuotaAsked, event.QuotaReturned:
		return toQuota
	case event.UseChanged, event.AttemptJudged, event.PauseMeasured, event.PromptMeasured, event.UpstreamCold, event.UpstreamLeaving,
		event.PauseAsked, event.AttemptSettled:
		return toFleet
	case event.RunBegan:
		return toUsage
	case event.DemandArrived:
		return toScaler
	case event.AnnounceArrived:
		return toFeed | toFleet | toQuota | toAlive | toMember | toServe
	case event.AnnounceDue, event.FeedAsked, event.SummaryDue, event.SyncDue, event.SyncAnswerDue, event.SuspicionsDue,
		event.ConnectionsSilent:
		return 0
	default:
		return toAll
	}
}
