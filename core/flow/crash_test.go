package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/conf"
	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// rig is a node with chat engines of four slots, whose limit part grants all.
type rig struct {
	t     *testing.T
	state State
	conf  conf.State
	at    time.Time
}

func newRig(t *testing.T, engines ...string) *rig {
	r := &rig{t: t, state: New(1024), conf: conf.New(), at: begin}
	changes := []model.Change{
		{Kind: model.KindModel, Name: "m", Version: 1, Value: model.Model{MaxTokens: 10}},
		{Kind: model.KindTemplate, Name: "a", Version: 1, Value: model.Template{Rate: 1, Burst: 1}},
		{Kind: model.KindKey, Name: "k", Version: 1, Value: model.Key{Account: "a", Hash: keyHash}},
	}
	for _, name := range engines {
		upstream := model.Upstream{Address: "127.0.0.1:1", Slots: 4, Models: []model.ModelName{"m"}}
		changes = append(changes, model.Change{Kind: model.KindUpstream, Name: name, Version: 1, Value: upstream})
	}
	r.conf, _ = r.conf.Apply(step.Input[event.Event]{At: r.at, Event: event.ConfigChanged{Changes: changes, Upto: 1}})
	return r
}

// apply returns the last reply for a ticket.
func (r *rig) apply(ticket model.Ticket, e event.Event) effect.Effect {
	var last effect.Effect
	for pending := []event.Event{e}; len(pending) > 0; pending = pending[1:] {
		var out Out
		in := step.Input[event.Event]{At: r.at, Event: pending[0]}
		r.state, out = r.state.Apply(in, Facts{Conf: r.conf, Fresh: true, At: r.at})
		for _, raised := range out.Raised {
			if asked, ok := raised.(event.AdmissionAsked); ok {
				pending = append(pending, event.AdmissionGranted{Ticket: asked.Ticket})
			}
		}
		for _, f := range out.Effects {
			if reply, ok := f.(effect.Reply); ok && reply.To() == ticket {
				last = f
			}
		}
	}
	return last
}

func (r *rig) arrive(ticket model.Ticket, fingerprint uint64) effect.Effect {
	return r.apply(ticket, event.RequestArrived{Ticket: ticket, Request: model.Request{
		Kind: model.RequestChat, HasKey: true, KeyHash: keyHash, Model: "m", Fingerprint: fingerprint,
		AdmitBy: r.at.Add(time.Minute),
	}})
}

func (r *rig) crash(d effect.Dispatch) effect.Effect {
	return r.apply(d.Ticket, event.AttemptEnded{Ticket: d.Ticket, Attempt: d.Attempt, Outcome: model.Broken, Crashed: true})
}

func (r *rig) dispatched(f effect.Effect) effect.Dispatch {
	r.t.Helper()
	d, ok := f.(effect.Dispatch)
	if !ok {
		r.t.Fatalf("got %+v, want a dispatch", f)
	}
	return d
}

func (r *rig) refused(f effect.Effect, reason model.Reason, execution model.Execution) {
	r.t.Helper()
	got, ok := f.(effect.Refuse)
	if !ok || got.Refusal.Reason != reason || got.Refusal.Execution != execution {
		r.t.Errorf("got %+v, want a refusal %s, %s", f, reason, execution)
	}
}

// TestCrashCountsOncePerBatch guards against a crash that is counted again with
// the end of each request of its batch.
func TestCrashCountsOncePerBatch(t *testing.T) {
	r := newRig(t, "e0")
	first := r.dispatched(r.arrive(1, 7))
	second := r.dispatched(r.arrive(2, 8))
	r.crash(first)
	r.crash(second)
	for _, fingerprint := range []uint64{7, 8} {
		if got := r.state.crashes.Verdict(fingerprint, r.at); got != crash.Normal {
			t.Errorf("fingerprint %d: verdict %d after one crash, want %d", fingerprint, got, crash.Normal)
		}
	}
	if own := r.state.crashes.Own(); len(own) != 2 || own[0].Count != 1 || own[1].Count != 1 {
		t.Errorf("counts %+v, want one crash for each", own)
	}
}

// TestSuspectRunsAlone guards against a suspect request that takes the requests
// of others with it.
func TestSuspectRunsAlone(t *testing.T) {
	r := newRig(t, "e0", "e1")
	other := r.dispatched(r.arrive(1, 1))
	r.apply(0, event.CrashCountsArrived{From: "peer", Counts: []model.CrashCount{{Fingerprint: 7, Count: 2}}})
	suspect := r.dispatched(r.arrive(2, 7))
	if suspect.Upstream.Name == other.Upstream.Name {
		t.Fatalf("the suspect request runs beside another on %s", suspect.Upstream.Name)
	}
	for ticket := model.Ticket(3); ticket < 6; ticket++ {
		if d := r.dispatched(r.arrive(ticket, 1)); d.Upstream.Name == suspect.Upstream.Name {
			t.Fatalf("ticket %d was placed beside the suspect request", ticket)
		}
	}
	if f := r.arrive(6, 7); f != nil {
		t.Errorf("got %+v, want the second suspect request to wait", f)
	}
	r.refused(r.crash(suspect), model.CrashSuspect, model.OutcomeUnknown)
	r.refused(r.arrive(8, 7), model.CrashSuspect, model.NotRun)
	if d := r.dispatched(r.arrive(9, 1)); d.Upstream.Name != suspect.Upstream.Name {
		t.Errorf("upstream %s, want %s to take work again", d.Upstream.Name, suspect.Upstream.Name)
	}
	r.at = r.at.Add(2 * crash.Term)
	r.apply(0, event.Tick{})
	r.dispatched(r.arrive(10, 7))
}

// TestRetryBudget guards against an outage in which every request is sent three
// times.
func TestRetryBudget(t *testing.T) {
	r := newRig(t, "e0", "e1", "e2", "e3")
	retries, refusals := 0, 0
	for ticket := model.Ticket(1); ticket <= 100; ticket++ {
		f := r.arrive(ticket, 0)
		for {
			d, ok := f.(effect.Dispatch)
			if !ok {
				break
			}
			if d.Attempt > 1 {
				retries++
			}
			f = r.apply(ticket, event.AttemptEnded{Ticket: ticket, Attempt: d.Attempt, Outcome: model.NotSent})
		}
		if refuse := f.(effect.Refuse); refuse.Refusal.Reason == model.RetryBudgetSpent {
			refusals++
			r.refused(f, model.RetryBudgetSpent, model.NotRun)
		}
	}
	if want := 100/10 + 30; retries != want || refusals == 0 {
		t.Errorf("%d retries and %d refusals, want %d retries", retries, refusals, want)
	}
}

// TestCallerGoneWhileClaiming guards against a claim that stays open though its
// request never ran.
func TestCallerGoneWhileClaiming(t *testing.T) {
	s := New(1024)
	s.open = s.open.Set(1, call{phase: claiming, mustClaim: true})
	s, out := s.Apply(step.Input[event.Event]{At: begin, Event: event.CallerGone{Ticket: 1}}, Facts{Conf: conf.New()})
	if diff := cmp.Diff([]event.Event{event.ClaimEnded{Ticket: 1, NotRun: true}}, out.Raised); diff != "" {
		t.Errorf("raised events: %s", diff)
	}
	if s.Open() != 0 {
		t.Errorf("%d open requests, want 0", s.Open())
	}
}
