package edge

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/usage"
)

// membersInterval is the number of reports of which one includes the other
// members of the cell.
const membersInterval = 16

// receivers returns the components that receive an event. The content of a report
// that does not count for this node only tells that its sender is alive.
func (s State) receivers(e event.Event) receivers {
	report, isReport := reportOf(e)
	if isReport && !s.member.Accepts(report) {
		return toFeed | toSite | toMember
	}
	return receiversOf(e)
}

// reportOf returns the report that an event brings.
func reportOf(e event.Event) (model.Report, bool) {
	switch e := e.(type) {
	case event.SyncAnswered:
		return e.Report, true
	case event.SyncArrived:
		return e.Report, true
	case event.AnnounceArrived:
		return e.Report, true
	default:
		return model.Report{}, false
	}
}

// passOn sends a summary of another cell to the members of this one, if this node is
// their relay.
func (s State) passOn(r model.Report, out *Out) {
	if !s.member.IsRelay() || !s.member.Accepts(r) || !s.member.IsNewSummary(r) {
		return
	}
	if peers := s.member.Reachable(); len(peers) > 0 {
		out.Emit(effect.Announce{Peers: peers, Report: r})
	}
}

// handleAnnounceDue sends the changes of this node to the other nodes of its cell,
// and role changes also to the relays of the other cells.
func (s State) handleAnnounceDue(e event.AnnounceDue) (State, Out) {
	var out Out
	s, seq := s.withAnnouncement()
	self := s.member.Self()
	report := model.Report{
		Member: model.Member{Name: self.Name, Incarnation: self.Incarnation}, Seq: seq,
		Uses: e.Uses, Changes: e.Changes, Prompts: e.Prompts, Unreachable: e.Unreachable,
		LeavingUpstreams: e.Leaving, Pauses: e.Pauses,
	}
	s.quota, report.Admitted = s.quota.TakeUnreported()
	if peers := s.member.Reachable(); len(peers) > 0 {
		out.Emit(effect.Announce{Peers: peers, Report: report})
	}
	if len(e.Changes) > 0 && s.member.IsRelay() {
		s = s.announceSummary(model.Report{Changes: e.Changes}, &out)
	}
	return s, out
}

// handleSuspicionsDue tells the other nodes of the cell of suspected parts of prompts
// and, as their relay, also the relays of the other cells.
func (s State) handleSuspicionsDue(e event.SuspicionsDue) (State, Out) {
	var out Out
	self := s.member.Self()
	if peers := s.member.Reachable(); len(peers) > 0 {
		out.Emit(effect.Announce{Peers: peers, Report: model.Report{
			Member: model.Member{Name: self.Name, Incarnation: self.Incarnation}, Seq: s.reportSeq, Suspicions: e.Suspicions,
		}})
	}
	if s.member.IsRelay() {
		s = s.announceSummary(model.Report{Suspicions: e.Suspicions}, &out)
	}
	return s, out
}

// handleSummaryDue sends what changed in the cell to the relays of the other cells.
func (s State) handleSummaryDue(at time.Time) (State, Out) {
	var out Out
	var summary model.Report
	s.fleet, summary.Uses = s.fleet.TakeCellUses()
	s.fleet, summary.Prompts = s.fleet.TakeCellPrompts()
	s.quota, summary.Admitted = s.quota.TakeCellTotals(at)
	summary.Crashes = s.serve.Crashes(at)
	return s.announceSummary(summary, &out), out
}

// announceSummary sends a summary of the cell to the relays of the other cells.
func (s State) announceSummary(summary model.Report, out *Out) State {
	s, seq := s.withAnnouncement()
	self := s.member.Self()
	summary.Member = model.Member{Name: self.Name, Zone: self.Zone, Incarnation: self.Incarnation}
	summary.Seq, summary.Nodes = seq, s.member.CellNodes()
	if contacts := s.member.Contacts(); len(contacts) > 0 {
		out.Emit(effect.Announce{Peers: contacts, Report: summary})
	}
	return s
}

// withAnnouncement returns the state after an announcement, and its first sequence
// number.
func (s State) withAnnouncement() (State, uint64) {
	seq := s.reportSeq + 1
	s.reportSeq += model.MaxReportParts
	return s, seq
}

// report returns the full report of this node to a peer. A peer of another cell gets
// the summary of the cell from its relay.
func (s State) report(to model.Member, in Input) model.Report {
	at := in.At
	revision, age, confirmed := s.site.Confirmation(at)
	registryAge, answered := s.site.AnswerAge(at)
	report := model.Report{
		Member:            s.member.Self(),
		Seq:               s.reportSeq,
		Registry:          s.fleet.RegistrySeq(),
		Wall:              in.TimeOfDay(),
		Site:              revision,
		Confirmed:         confirmed,
		ConfirmationAge:   age,
		InContact:         s.site.InContact(at),
		RegistryConfirmed: answered && s.feed.Reading() && s.fleet.ReadsRegistry(),
		RegistryAge:       registryAge,
		Evacuations:       s.fleet.Evacuations(),
		Leaving:           s.draining,
	}
	if s.reportSeq%membersInterval == 0 {
		report.Others = s.member.HeardMembers(at)
	}
	if s.member.InCell(to) {
		report.Uses = s.fleet.Uses()
		report.Admitted = s.quota.Totals(at)
		report.Former = s.quota.EndedProcesses(to.Name, at)
		report.Crashes = s.serve.Crashes(at)
		report.Suspicions = s.serve.Suspicions(at)
		report.Usage = s.usage.Counts()
		report.Demand = s.scaler.Demand()
		return report
	}
	if s.member.IsRelay() {
		report.Nodes = s.member.CellNodes()
		report.Uses = s.fleet.CellUses()
		report.Admitted = s.quota.CellTotals(at)
		report.Crashes = s.serve.Crashes(at)
		report.Suspicions = s.serve.Suspicions(at)
		report.Usage = s.usage.CellCounts(s.cellKey())
		report.Demand = s.scaler.CellDemand()
	}
	return report
}

// cellKey returns the number under which sums of this node's cell are kept.
func (s State) cellKey() model.Incarnation { return model.CellIncarnation(s.member.Self().Zone) }

// usageView returns the state of other components that the usage reports read.
func (s State) usageView(at time.Time) usage.View {
	return usage.View{
		WallTime:      s.member.WallTime(at),
		OldestHeardAt: s.member.WallTime(s.member.OldestHeardAt(at)),
		Flat:          s.member.Flat(),
		Cell:          s.cellKey(),
	}
}
