package quota_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/event"
	"caroblane/core/model"
)

// relay is a node that may be the relay of its cell.
type relay struct {
	*node
	seq uint64
}

// summary returns what the relay tells other cells: what changed, or everything.
func (r *relay) summary(at time.Duration, full bool) model.Report {
	r.seq++
	report := model.Report{Member: model.Member{Name: r.name, Zone: "far", Incarnation: r.incarnation}, Seq: r.seq, Nodes: 2}
	if full {
		report.Admitted = r.state.CellTotals(start.Add(at))
		return report
	}
	r.state, report.Admitted = r.state.TakeCellTotals(start.Add(at))
	return report
}

// tell sends the report of a node to another node of its cell.
func (r *relay) tell(other *relay, at time.Duration) {
	r.seq++
	other.apply(at, event.SyncAnswered{Report: model.Report{
		Member: model.Member{Name: r.name, Zone: "far", Incarnation: r.incarnation}, Seq: r.seq, Admitted: r.state.Totals(start.Add(at)),
	}})
}

// admittedAt returns what a node believes all nodes have admitted in the window.
func admittedAt(n *node, at time.Duration) float64 {
	for _, e := range n.apply(at, event.QuotaAsked{Ticket: 1, Account: account, Units: 1e9}) {
		if refused, ok := e.(event.QuotaRefused); ok {
			return refused.Check.Admitted
		}
	}
	return -1
}

// TestCellTotals guards, over random admissions in another cell, lost summaries and
// relays that replace each other, against units that count twice, which refuses
// requests within the limit, and against units that are never counted.
func TestCellTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The window is long enough to hold the whole history.
		relays := []*relay{{node: newNode("p", 1, 0)}, {node: newNode("q", 2, 0)}}
		here := newNode("n", 3, 0)
		here.apply(0, event.Tick{})
		now, admitted := time.Duration(0), 0.0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += 100 * time.Millisecond
			from := rapid.IntRange(0, 1).Draw(t, "node")
			units := float64(rapid.IntRange(1, 100).Draw(t, "units"))
			if relays[from].request(now, units) {
				admitted += units
			}
			relays[from].tell(relays[1-from], now)
			sender := relays[rapid.IntRange(0, 1).Draw(t, "relay")]
			report := sender.summary(now, rapid.Bool().Draw(t, "full"))
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			here.apply(now, event.AnnounceArrived{Report: report})
			// A report's rate is continued until the next one.
			if got := admittedAt(here, now); got > admitted+1 {
				t.Fatalf("%.0f units counted after %.0f were admitted", got, admitted)
			}
		}
		here.apply(now, event.SyncAnswered{Report: relays[0].summary(now, true)})
		if got := admittedAt(here, now); got < admitted-1 || got > admitted+1 {
			t.Fatalf("%.0f units counted after a full summary, %.0f were admitted", got, admitted)
		}
	})
}

// TestSilentCell guards against a cell that is not heard and counts as a single node: its
// nodes may admit as many units as they are.
func TestSilentCell(t *testing.T) {
	heard := func(nodes int) float64 {
		n := newNode("n", 1, 0)
		n.apply(0, event.Tick{})
		report := model.Report{Member: model.Member{Name: "p", Zone: "far", Incarnation: 2}, Seq: 1, Nodes: nodes}
		n.apply(0, event.SyncAnswered{Report: report})
		for _, e := range n.apply(9*time.Second, event.QuotaAsked{Ticket: 1, Account: account, Units: 1e9}) {
			if refused, ok := e.(event.QuotaRefused); ok {
				return refused.Check.Hidden
			}
		}
		return -1
	}
	if one, many := heard(1), heard(3); one != limit/2 || many != limit*3/4 {
		t.Errorf("hidden units %.0f with one silent node of 2, %.0f with three of 4; want %d and %d", one, many, limit/2, limit*3/4)
	}
}

// TestCellsBecomeOne guards against requests within the limit that are refused when so many nodes
// are gone that the others form one cell: units that were heard in sums and then from each node
// count twice, and nodes of other cells are taken for silent.
func TestCellsBecomeOne(t *testing.T) {
	n := newNode("n", 1, 0)
	n.cells = true
	n.apply(0, event.Tick{})
	var others []model.Member
	for i := range 2 {
		others = append(others, model.Member{Name: model.NodeName(fmt.Sprint("b", i)), Zone: "b", Incarnation: model.Incarnation(i + 2)})
	}
	n.apply(0, event.MembersRead{Members: others})
	admitted := func(units float64) []model.AccountTotal {
		return []model.AccountTotal{{Account: "x", Units: units, Recent: units}}
	}
	const at = 10 * time.Second
	n.apply(at, event.SyncArrived{Report: model.Report{Member: others[0], Seq: 1, Nodes: 2, Admitted: admitted(6000)}})
	n.cells = false
	for i, step := range []func(){
		func() {},
		func() {
			n.apply(at+5*time.Millisecond, event.SyncArrived{Report: model.Report{Member: others[0], Seq: 2, Admitted: admitted(3000)}})
		},
		func() {
			n.apply(at+5*time.Millisecond, event.SyncArrived{Report: model.Report{Member: others[1], Seq: 1, Admitted: admitted(3000)}})
		},
	} {
		step()
		if !n.request(at+10*time.Millisecond, []float64{1000, 300, 300}[i]) {
			t.Error("a request within the limit is refused after the cells became one")
		}
	}
	if n.request(at+10*time.Millisecond, 5000) {
		t.Error("units that were heard in sums do not count any more")
	}
}
