package usage_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
	"caroblane/core/usage"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	bounds = model.Bounds{UsageWindow: 5 * time.Second, UsageReportDelay: 10 * time.Second}
)

// maxReports is the number of reports after which the platform answers none. It ends a
// test in which a node reports one window after the other without an end.
const maxReports = 5000

// platform is the store and the receiver of usage reports.
type platform struct {
	objects  map[string]model.Usage
	snapshot *model.UsageSnapshot
	reports  []model.Usage
	// loseAnswers drops the responses to reports.
	loseAnswers bool
}

// node runs a state against a platform.
type node struct {
	state    usage.State
	platform *platform
	// cell stands for the node's cell if there are several.
	cell model.Incarnation
}

func (n *node) apply(at time.Duration, e event.Event) {
	now := start.Add(at)
	pending := []event.Event{e}
	for len(pending) > 0 {
		var out usage.Out
		n.state, out = n.state.Apply(step.Input[event.Event]{At: now, Event: pending[0]}, usage.View{WallTime: now, OldestHeardAt: now, Flat: n.cell == 0, Cell: n.cell})
		pending = pending[1:]
		for _, f := range out.Effects {
			pending = append(pending, n.platform.execute(now, f)...)
		}
	}
}

// execute executes an effect and returns its response.
func (p *platform) execute(now time.Time, f effect.Effect) []event.Event {
	switch f := f.(type) {
	case effect.ReadObject:
		if f.Kind == model.KindUsageSnapshot {
			read := event.ObjectRead{Op: f.Op, SentAt: now}
			if p.snapshot != nil {
				read.Found, read.Object = true, model.Change{Version: 1, Value: *p.snapshot}
			}
			return []event.Event{read}
		}
		stored, found := p.objects[f.Name]
		return []event.Event{event.ObjectRead{Op: f.Op, SentAt: now, Found: found, Object: model.Change{Version: 1, Value: stored}}}
	case effect.WriteObject:
		if snapshot, ok := f.Value.(model.UsageSnapshot); ok {
			p.snapshot = &snapshot
			return []event.Event{event.ObjectWritten{Op: f.Op, SentAt: now, Version: 1}}
		}
		if _, found := p.objects[f.Name]; found && !f.Delete && f.IfVersion == 0 {
			return []event.Event{event.ObjectConflict{Op: f.Op, SentAt: now}}
		}
		if f.Delete {
			delete(p.objects, f.Name)
		} else {
			p.objects[f.Name], _ = f.Value.(model.Usage)
		}
		return []event.Event{event.ObjectWritten{Op: f.Op, SentAt: now, Version: 1}}
	case effect.ReportUsage:
		p.reports = append(p.reports, f.Usage)
		if len(p.reports) >= maxReports {
			return nil
		}
		if p.loseAnswers {
			return []event.Event{event.SendFailed{Op: f.Op}}
		}
		return []event.Event{event.SendAnswered{Op: f.Op, Result: model.SendAccepted}}
	}
	return nil
}

func newNode(p *platform, incarnation model.Incarnation, at time.Duration) *node {
	n := &node{state: usage.New(model.Member{Incarnation: incarnation}, bounds), platform: p}
	n.apply(at, event.Tick{})
	return n
}

func leaseHeld(epoch model.Epoch) event.Event {
	return event.AuthorityChanged{Held: true, Epoch: epoch, Until: start.Add(time.Hour)}
}

// TestReport guards against windows that are missed, reported too early, or
// reported without the counts of a peer.
func TestReport(t *testing.T) {
	p := &platform{objects: map[string]model.Usage{}}
	n := newNode(p, 1, 0)
	n.apply(0, leaseHeld(1))
	for i := range 10 {
		n.apply(time.Duration(i)*100*time.Millisecond, event.RunBegan{Account: "x"})
	}
	window := model.Window(start.Unix() / 5)
	n.apply(2*time.Second, event.SyncAnswered{Report: model.Report{
		Member: model.Member{Incarnation: 9}, Usage: []model.UsageCount{{Window: window, Account: "x", Count: 4}, {Window: window, Account: "y", Count: 1}},
	}})
	n.apply(6*time.Second, event.Tick{})
	if len(p.reports) != 0 {
		t.Fatalf("window reported %v after its end, before the counts of all nodes arrived", time.Second)
	}
	for at := 7 * time.Second; at < 21*time.Second; at += 500 * time.Millisecond {
		n.apply(at, event.Tick{})
	}
	got := map[model.Window][]model.UsageLine{}
	for _, r := range p.reports {
		got[r.Window] = r.Lines
	}
	want := map[model.Window][]model.UsageLine{
		window: {{Account: "x", Requests: 14}, {Account: "y", Requests: 1}}, window + 1: nil, window + 2: nil,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// TestTakeover guards against reporting different counts for the same window.
// A later holder with other counts sends what was recorded.
func TestTakeover(t *testing.T) {
	p := &platform{objects: map[string]model.Usage{}, loseAnswers: true}
	a, b := newNode(p, 1, 0), newNode(p, 2, 0)
	a.apply(0, event.RunBegan{Account: "x"})
	a.apply(0, leaseHeld(1))
	a.apply(8*time.Second, event.Tick{})
	if len(p.reports) == 0 {
		t.Fatal("the first holder sent nothing")
	}
	b.apply(9*time.Second, event.RunBegan{Account: "x"})
	b.apply(9*time.Second, leaseHeld(2))
	for at := 9 * time.Second; at < 12*time.Second; at += 100 * time.Millisecond {
		b.apply(at, event.Tick{})
	}
	for _, r := range p.reports {
		if r.Window == p.reports[0].Window && fmt.Sprint(r.Lines) != fmt.Sprint(p.reports[0].Lines) {
			t.Errorf("window %v reported as %v and as %v", r.Window, p.reports[0].Lines, r.Lines)
		}
	}
	if last := p.reports[len(p.reports)-1]; last.Window != p.reports[0].Window {
		t.Errorf("window %v reported although the answer for %v is missing", last.Window, p.reports[0].Window)
	}
}

// TestNoAuthority guards against reports of a node that does not hold the
// lease.
func TestNoAuthority(t *testing.T) {
	p := &platform{objects: map[string]model.Usage{}}
	n := newNode(p, 1, 0)
	n.apply(0, leaseHeld(1))
	n.apply(time.Second, event.AuthorityChanged{Epoch: 1})
	n.apply(30*time.Second, event.Tick{})
	if len(p.reports) != 0 || len(p.objects) != 0 {
		t.Errorf("%d reports and %d records without holding the lease", len(p.reports), len(p.objects))
	}
}

// TestAllNodesLost guards against windows that are missed or incomplete
// because all nodes were killed before they were reported.
func TestAllNodesLost(t *testing.T) {
	p := &platform{objects: map[string]model.Usage{}}
	a := newNode(p, 1, 0)
	a.apply(0, leaseHeld(1))
	window := model.Window(start.Unix() / 5)
	a.apply(time.Second, event.SyncAnswered{Report: model.Report{
		Member: model.Member{Incarnation: 9}, Usage: []model.UsageCount{{Window: window, Account: "x", Count: 4}},
	}})
	for range 10 {
		a.apply(2*time.Second, event.RunBegan{Account: "x"})
	}
	for at := 2 * time.Second; at < 4*time.Second; at += 500 * time.Millisecond {
		a.apply(at, event.Tick{})
	}
	b := newNode(p, 2, 6*time.Second)
	b.apply(6*time.Second, event.RunBegan{Account: "x"})
	b.apply(9*time.Second, leaseHeld(2))
	for at := 9 * time.Second; at < 14*time.Second; at += 500 * time.Millisecond {
		b.apply(at, event.Tick{})
	}
	got := map[model.Window]int64{}
	for _, r := range p.reports {
		for _, line := range r.Lines {
			got[r.Window] += line.Requests
		}
	}
	if got[window] != 14 || got[window+1] != 1 {
		t.Errorf("reported %v, want 14 in the window before the loss and 1 in the next", got)
	}
}

// TestReportAfterGap guards against a window that a later holder of the lease reports again
// with other counts, because its record was deleted and the snapshot still has its counts.
func TestReportAfterGap(t *testing.T) {
	p := &platform{objects: map[string]model.Usage{}}
	a, b := newNode(p, 1, 0), newNode(p, 2, 0)
	a.apply(0, event.RunBegan{Account: "x"})
	b.apply(0, event.RunBegan{Account: "x"})
	a.apply(0, leaseHeld(1))
	const gap = 2 * time.Minute
	for at := time.Duration(0); at < gap; at += 500 * time.Millisecond {
		a.apply(at, event.Tick{})
	}
	b.apply(gap, leaseHeld(2))
	for at := gap; at < gap+20*time.Second; at += 500 * time.Millisecond {
		b.apply(at, event.Tick{})
	}
	lines := map[model.Window]string{}
	for _, r := range p.reports {
		got := fmt.Sprint(r.Lines)
		if before, found := lines[r.Window]; found && before != got {
			t.Errorf("window %v reported as %s and as %s", r.Window, before, got)
		}
		lines[r.Window] = got
	}
	if last, want := p.reports[len(p.reports)-1].Window, model.Window(start.Add(gap).Unix()/5); last < want {
		t.Errorf("the last window reported is %v, want %v or later", last, want)
	}
	if len(p.objects) > 10 {
		t.Errorf("%d records are kept", len(p.objects))
	}
}

// TestOddSnapshot guards against a stored snapshot with an impossible window, from which
// on a new holder of the lease reports one window after the other and never comes to
// the present ones.
func TestOddSnapshot(t *testing.T) {
	for _, odd := range []model.Window{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		t.Run(odd.String(), func(t *testing.T) {
			window := model.Window(start.Unix() / 5)
			part := func(incarnation model.Incarnation, window model.Window, requests int64) model.UsagePart {
				return model.UsagePart{Window: window, Incarnation: incarnation, Lines: []model.UsageLine{{Account: "x", Requests: requests}}}
			}
			p := &platform{objects: map[string]model.Usage{}, snapshot: &model.UsageSnapshot{Parts: []model.UsagePart{
				part(7, odd, math.MaxInt64), part(8, window, 4),
			}, Next: odd}}
			n := newNode(p, 2, 6*time.Second)
			n.apply(6*time.Second, leaseHeld(1))
			for at := 7 * time.Second; at < 12*time.Second; at += 500 * time.Millisecond {
				n.apply(at, event.Tick{})
			}
			reported := false
			for _, r := range p.reports {
				reported = reported || r.Window == window && len(r.Lines) == 1 && r.Lines[0].Requests == 4
			}
			if !reported {
				t.Errorf("%d reports, none of the window before the loss with 4 requests", len(p.reports))
			}
		})
	}
}
