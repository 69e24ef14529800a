package fleet_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
)

// entryAt returns the entry of the engine x at a version of the store.
func entryAt(era model.Era, revision uint64, state model.UpstreamState) model.Upstream {
	u := engine("x")
	u.EntryVersion, u.State = model.NewVersion(era, revision), state
	return u
}

// TestUpstreamsAfterRestore guards against changes of the upstreams that are never seen
// after the store came back from a copy, because its revisions are lower than before; and
// against requests to an upstream that had reported that it leaves, or whose entry had been
// removed, which the copy shows as ready; and against live upstreams that get nothing,
// because they have yet to register again.
func TestUpstreamsAfterRestore(t *testing.T) {
	const back = 10 * time.Second
	listed := func(era model.Era, revision uint64, upstreams ...model.Upstream) event.Event {
		return event.UpstreamsRead{Revision: model.NewVersion(era, revision), Upstreams: upstreams}
	}
	for name, c := range map[string]struct {
		events []event.Event
		// usable and later tell whether the upstream is usable then, and long after.
		usable, later bool
	}{
		"leaves after the return": {[]event.Event{
			listed(2, 20, entryAt(2, 10, model.UpstreamActive)),
			event.UpstreamRegistered{Revision: model.NewVersion(2, 21), Upstream: entryAt(2, 21, model.UpstreamDraining)},
		}, false, false},
		"was missing in a list": {[]event.Event{
			listed(1, 41), listed(2, 21, entryAt(2, 21, model.UpstreamActive)),
		}, false, true},
		"had reported that it leaves": {[]event.Event{
			listed(1, 41, entryAt(1, 41, model.UpstreamDraining)),
			listed(2, 20, entryAt(2, 10, model.UpstreamActive)),
			listed(2, 25, entryAt(2, 10, model.UpstreamActive)),
		}, false, false},
		"was removed": {[]event.Event{
			event.UpstreamRemoved{Revision: model.NewVersion(1, 41), Name: "x"},
			listed(2, 20, entryAt(2, 10, model.UpstreamActive)),
		}, false, true},
		"has yet to register again": {[]event.Event{listed(2, 20)}, true, false},
		"registered again late": {[]event.Event{
			listed(2, 20),
			event.UpstreamRemoved{Revision: model.NewVersion(2, 21), Name: "x"},
			event.UpstreamRegistered{Revision: model.NewVersion(2, 22), Upstream: entryAt(2, 22, model.UpstreamActive)},
		}, true, true},
		"stays": {[]event.Event{listed(2, 20, entryAt(2, 10, model.UpstreamActive))}, true, true},
		"list of the earlier era": {[]event.Event{
			listed(2, 20, entryAt(2, 10, model.UpstreamActive)), listed(1, 41),
		}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(fleet.New(), 0, listed(1, 40, entryAt(1, 10, model.UpstreamActive)))
			s, _ = apply(s, back, c.events...)
			got := usable(s, "x", back)
			s, _ = apply(s, back+time.Minute, event.Tick{})
			if later := usable(s, "x", back+time.Minute); got != c.usable || later != c.later {
				t.Errorf("usable %v, long after %v; want %v, %v", got, later, c.usable, c.later)
			}
		})
	}
}
