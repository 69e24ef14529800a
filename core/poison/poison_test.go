package poison

import (
	"fmt"
	"testing"
	"time"

	"caroblane/core/model"
)

var startTime = time.Unix(1_800_000_000, 0)

// parts returns prompt parts with the given IDs.
func parts(ids ...uint64) []model.PromptPart {
	var list []model.PromptPart
	for _, id := range ids {
		list = append(list, model.PromptPart{ID: id, Tokens: 100})
	}
	return list
}

// history is a state with the time that has passed.
type history struct {
	State
	now time.Duration
}

func newHistory() *history { return &history{State: New()} }

func (h *history) at() time.Time { return startTime.Add(h.now) }

// wait lets time pass.
func (h *history) wait(d time.Duration) {
	h.now += d
	h.State = h.WithTime(h.at())
}

func (h *history) crash(crash uint64, ids ...uint64) {
	h.State = h.WithCrash(crash, parts(ids...), h.at())
}

// sound lets an answer begin now and get past its start.
func (h *history) sound(ids ...uint64) {
	begunAt := h.at()
	h.wait(StartTime)
	h.State = h.WithSound(parts(ids...), begunAt, h.at())
}

func (h *history) trial(ids ...uint64) { h.State = h.WithTrial(parts(ids...), h.at()) }

// merge adds what another state knows.
func (h *history) merge(other *history) {
	h.State = h.WithReport(other.Report(other.at()), h.at(), false)
}

// held returns which of the parts 1 to 4 are held.
func (h *history) held() string {
	list := ""
	for id := range uint64(4) {
		if v := h.Verdict(parts(id+1), "n", h.at()); v.Part != 0 {
			list += fmt.Sprint(id + 1)
		}
	}
	return list
}

// TestHeldParts guards against a part that goes on crashing upstreams, and against
// refusing requests for a part that did not cause the crashes. The part 1 is the first
// one of many requests.
func TestHeldParts(t *testing.T) {
	for name, c := range map[string]struct {
		steps func(h *history)
		want  string
	}{
		"one crash":              {func(h *history) { h.crash(1, 1, 2) }, ""},
		"two crashes":            {func(h *history) { h.crash(1, 2); h.crash(2, 2) }, "2"},
		"one crash, two prompts": {func(h *history) { h.crash(1, 2); h.crash(1, 2) }, ""},
		"different positions":    {func(h *history) { h.crash(1, 2, 3); h.crash(2, 4, 2) }, "2"},
		"no own identifier":      {func(h *history) { h.crash(1, 0); h.crash(2, 0) }, ""},
		"beside a sound part": {func(h *history) {
			h.sound(1)
			h.crash(1, 1, 2)
			h.crash(2, 1, 2)
			h.wait(time.Minute)
		}, "2"},
		"sound a long time ago": {func(h *history) {
			h.sound(1)
			h.wait(2 * soundPeriod)
			h.crash(1, 1)
			h.crash(2, 1)
		}, "1"},
		"sound just before, at once": {func(h *history) { h.sound(1); h.crash(1, 1); h.crash(2, 1) }, ""},
		"sound just before, not since": {func(h *history) {
			h.sound(1)
			h.crash(1, 1)
			h.crash(2, 1)
			h.wait(countDelay)
		}, "1"},
		"sound before and since": {func(h *history) {
			h.sound(1)
			h.crash(1, 1)
			h.crash(2, 1)
			h.sound(1)
			h.wait(countDelay)
		}, ""},
		"turns crashing beside a part that stays sound": {func(h *history) {
			h.sound(1, 2)
			h.crash(1, 1, 2)
			h.crash(2, 1, 2)
			h.sound(1, 3)
			h.wait(countDelay)
		}, "2"},
		"answer begun before the crash": {func(h *history) {
			begunAt := h.at()
			h.wait(time.Millisecond)
			h.crash(1, 2)
			h.crash(2, 2)
			h.State = h.WithSound(parts(2), begunAt, h.at())
		}, "2"},
		"sound since": {func(h *history) { h.crash(1, 2); h.crash(2, 2); h.sound(2) }, ""},
		"sound between the crashes": {func(h *history) {
			h.crash(1, 2)
			h.sound(2)
			h.crash(2, 2)
			h.wait(countDelay)
		}, ""},
		"held part explains the crash": {func(h *history) {
			h.crash(1, 2)
			h.crash(2, 2)
			h.crash(3, 3, 2)
			h.crash(4, 3, 2)
		}, "2"},
		"bystander before the held part": {func(h *history) {
			h.sound(1)
			h.crash(1, 1)
			h.crash(2, 1)
			h.crash(1, 1, 2)
			h.crash(2, 1, 2)
			h.wait(time.Minute)
		}, "2"},
		"bystander after the held part": {func(h *history) {
			h.sound(1)
			h.crash(1, 2)
			h.crash(2, 2)
			h.crash(1, 1)
			h.crash(2, 1)
			h.wait(time.Minute)
		}, "2"},
		"two parts at once": {func(h *history) {
			h.sound(1)
			h.crash(1, 1, 2)
			h.crash(2, 1, 3)
			h.crash(3, 1, 2)
			h.crash(4, 1, 3)
		}, "23"},
		"expired": {func(h *history) { h.crash(1, 2); h.crash(2, 2); h.wait(Retention) }, ""},
		"seen by another node": {func(h *history) {
			other := newHistory()
			other.crash(1, 2)
			other.crash(2, 2)
			h.merge(other)
		}, "2"},
		"seen by two nodes": {func(h *history) {
			for range 2 {
				other := newHistory()
				other.crash(1, 2)
				h.merge(other)
				h.merge(other)
			}
		}, ""},
		"each node saw one": {func(h *history) {
			other := newHistory()
			other.crash(1, 2)
			h.crash(2, 2)
			h.merge(other)
		}, "2"},
		"cleared at another node": {func(h *history) {
			other := newHistory()
			h.crash(1, 2)
			h.crash(2, 2)
			other.merge(h)
			other.sound(2)
			h.merge(other)
		}, ""},
		"an old report after the clearing": {func(h *history) {
			other := newHistory()
			other.crash(1, 2)
			other.crash(2, 2)
			h.merge(other)
			h.sound(2)
			h.merge(other)
		}, ""},
		"sound here, seen crashing elsewhere": {func(h *history) {
			other := newHistory()
			other.crash(1, 1)
			other.crash(2, 1)
			h.sound(1)
			h.merge(other)
			h.sound(1)
			h.wait(countDelay)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			c.steps(h)
			if got := h.held(); got != c.want {
				t.Errorf("held parts %q, want %q", got, c.want)
			}
		})
	}
}

// TestRetentionDoesNotCreep guards against nodes that keep a part alive by telling each
// other of it.
func TestRetentionDoesNotCreep(t *testing.T) {
	nodes := []*history{newHistory(), newHistory(), newHistory()}
	nodes[0].crash(1, 2)
	nodes[0].crash(2, 2)
	for passed := time.Duration(0); passed < Retention+time.Second; passed += 300 * time.Millisecond {
		for i, n := range nodes {
			n.wait(300 * time.Millisecond)
			next := nodes[(i+1)%len(nodes)]
			next.merge(n)
		}
	}
	for i, n := range nodes {
		if n.held() != "" {
			t.Errorf("node %d holds the part %v after the crashes", i, n.now)
		}
	}
}

// TestReportsAreBrief guards against full reports that repeat for minutes what no node
// needs any longer, and against a peer that was cut off while a part was cleared and
// goes on refusing it.
func TestReportsAreBrief(t *testing.T) {
	h, cut := newHistory(), newHistory()
	h.crash(1, 2)
	h.crash(2, 2)
	h.crash(3, 3)
	cut.merge(h)
	h.sound(2)
	h.wait(reportTime)
	h.crash(4, 4)
	h.crash(5, 4)
	h.wait(reportTime)
	cut.wait(h.now)
	if report := h.Report(h.at()); len(report) != 1 || report[0].Part != 4 {
		t.Errorf("report %+v, want only the held part 4", report)
	}
	cut.merge(h)
	for h.Changed() {
		h.State, _ = h.TakeChanged(h.at())
	}
	h.merge(cut)
	var list []model.PartSuspicion
	h.State, list = h.TakeChanged(h.at())
	cut.State = cut.WithReport(list, cut.at(), false)
	if got := cut.held(); got != "4" {
		t.Errorf("the node that was cut off holds the parts %q, want 4", got)
	}
}

// TestCaps guards against tables and messages without bounds, and against nodes that
// keep different crashes of a part of which there are too many.
func TestCaps(t *testing.T) {
	h := newHistory()
	h.crash(1, 2)
	h.crash(2, 2)
	for i := range uint64(maxSuspects + 10) {
		h.wait(time.Microsecond)
		h.crash(1000+i, 100+i)
	}
	if got := h.suspects.Len(); got != maxSuspects {
		t.Errorf("%d suspected parts, want %d", got, maxSuspects)
	}
	if h.held() != "2" {
		t.Error("the held part was evicted for parts with one crash")
	}
	report := h.Report(h.at())
	if len(report) != model.MaxPartSuspicions || report[0].Part != 2 {
		t.Errorf("report of %d parts begins with %+v, want %d and the held part", len(report), report[0], model.MaxPartSuspicions)
	}
	if h.open != maxSuspects || h.byExpiry.Len() != maxSuspects || h.State.held.Len() != 1 {
		t.Errorf("indexes hold %d, %d and %d parts", h.open, h.byExpiry.Len(), h.State.held.Len())
	}
	for sent := 0; h.Changed(); sent++ {
		var list []model.PartSuspicion
		h.State, list = h.TakeChanged(h.at())
		if len(list) == 0 || len(list) > model.MaxAnnouncedSuspicions || sent > model.MaxPartSuspicions {
			t.Fatalf("announcement %d has %d parts", sent, len(list))
		}
	}
	a, b := newHistory(), newHistory()
	for i := range uint64(2 * model.MaxPartMarks) {
		a.crash(i+1, 2)
		b.crash(2*model.MaxPartMarks-i, 2)
	}
	ea, _ := a.suspects.Get(2)
	eb, _ := b.suspects.Get(2)
	if len(ea.marks) != model.MaxPartMarks || len(eb.marks) != model.MaxPartMarks {
		t.Fatalf("%d and %d marks, want %d", len(ea.marks), len(eb.marks), model.MaxPartMarks)
	}
	for i := range ea.marks {
		if ea.marks[i].crash != eb.marks[i].crash {
			t.Fatalf("mark %d is of crash %d at one node and %d at the other", i, ea.marks[i].crash, eb.marks[i].crash)
		}
	}
	a.sound(2)
	a.crash(500, 2)
	a.crash(501, 2)
	a.wait(countDelay)
	if a.held() != "2" {
		t.Error("cleared marks keep out new ones")
	}
	p := newSoundParts()
	for i := range uint64(5 * maxSoundParts) {
		p = p.with(i+1, startTime)
	}
	if got := p.latest.Len() + p.earlier.Len(); got > 2*maxSoundParts {
		t.Errorf("%d sound parts, want at most %d", got, 2*maxSoundParts)
	}
}

// TestBeliefs guards against changes of belief without a log line, and against several
// lines for one change.
func TestBeliefs(t *testing.T) {
	h := newHistory()
	h.crash(1, 2)
	h.crash(1, 2)
	h.crash(2, 2)
	h.wait(2 * time.Second)
	h.trial(2)
	h.sound(2)
	want := []model.PartBelief{
		{Belief: model.PartSuspected, Part: 2, Crashes: 1},
		{Belief: model.PartHeld, Part: 2, Crashes: 2},
		{Belief: model.PartTried, Part: 2, Crashes: 2},
		{Belief: model.PartCleared, Part: 2},
	}
	var got []model.PartBelief
	h.State, got = h.TakeBeliefs()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("beliefs %v, want %v", got, want)
	}
}

// BenchmarkSound measures what one completed request with three shared parts costs, of
// which one is new, while another part is held.
func BenchmarkSound(b *testing.B) {
	h := newHistory()
	h.crash(1, 1<<40)
	h.crash(2, 1<<40)
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		at := startTime.Add(time.Duration(i) * 10 * time.Millisecond)
		request := [...]model.PromptPart{{ID: 1}, {ID: i%5000 + 10}, {ID: 2}}
		if v := h.Verdict(request[:], "n", at); v.Part != 0 {
			b.Fatal("held")
		}
		h.State = h.WithSound(request[:], at, at)
	}
}
