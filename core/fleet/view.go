package fleet

import (
	"cmp"
	"slices"
	"time"

	"caroblane/core/model"
)

// View returns the numbers of upstreams by standing, and what operators are shown of at
// most limit of them: those that get no requests, and then those with the longest wait.
func (s State) View(at time.Time, limit int) (model.UpstreamCounts, []model.UpstreamView) {
	var counts model.UpstreamCounts
	all := make([]model.UpstreamView, 0, s.upstreams.Len())
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		_, u, _ := itr.Next()
		view := s.viewOf(u, at)
		counts = counts.With(view.Standing)
		all = append(all, view)
	}
	slices.SortFunc(all, func(a, b model.UpstreamView) int {
		return cmp.Or(
			cmp.Compare(a.Standing, b.Standing), cmp.Compare(b.Wait(), a.Wait()), cmp.Compare(b.Runs, a.Runs), cmp.Compare(a.Name, b.Name),
		)
	})
	// The others are not kept in memory.
	return counts, slices.Clone(all[:min(len(all), limit)])
}

func (s State) viewOf(u Upstream, at time.Time) model.UpstreamView {
	view := model.UpstreamView{
		Name: u.Name, Service: u.Service, Zone: u.Zone, Kind: u.Kind, Role: u.Role, Slots: u.Slots,
		Runs: u.RunningRequests(), Backlog: u.PromptBacklog(), Standing: model.StandingUsable,
	}
	if u.Kind == model.UpstreamEngine {
		view.TokenTime = s.TokenTime(u)
	}
	switch {
	case u.Leaving():
		view.Standing = model.StandingLeaving
	case u.Evacuated():
		view.Standing = model.StandingEvacuated
	case u.State != model.UpstreamActive:
		view.Standing = model.StandingInactive
	case u.Paused(at):
		view.Standing = model.StandingPaused
		if u.Pausing(at) {
			view.Until = u.notice().pause.until
		}
	case at.Before(u.roleChangeUntil):
		view.Standing, view.Until = model.StandingChangingRole, u.roleChangeUntil
	case u.Avoided(at):
		view.Standing, view.Until = model.StandingAvoided, u.avoidUntil
	case u.Cold(at):
		view.Standing, view.Until = model.StandingCold, u.cold.until
	}
	return view
}
