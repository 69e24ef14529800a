package serve_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// mostUnread is the number of replies to a request that may wait for the goroutine that
// serves it: the reply to a report of silence, and the next dispatch or the end of the
// request. package ticket has room for more.
const mostUnread = 2

// handler plays the goroutine that serves a request. It reads its replies late, and its
// events reach the reducer late.
type handler struct {
	*harness
	events  []event.Event
	replies []effect.Reply
	// attempt is the number of the running attempt, or zero. reports, ignored and
	// firstPending are those of its watch of the upstream.
	attempt                        int
	reports, ignored, firstPending int
	answers                        int
}

func (h *handler) end(e event.ForwardEnded) {
	e.Ticket, e.Attempt = 1, h.attempt
	h.events, h.attempt = append(h.events, e), 0
}

// read executes the next reply.
func (h *handler) read() {
	reply := h.replies[0]
	h.replies = h.replies[1:]
	switch e := reply.(type) {
	case effect.Forward:
		h.attempt, h.reports, h.ignored, h.firstPending = e.Attempt, 0, 0, 0
	case effect.AbandonAttempt:
		switch {
		case h.attempt != e.Attempt:
		case h.firstPending > 0 && e.Report >= h.firstPending:
			h.end(event.ForwardEnded{Outcome: model.Broken, Stalled: true})
		default:
			h.ignored++
			h.events = append(h.events, event.AbandonIgnored{Ticket: 1, Attempt: h.attempt, Ignored: h.ignored})
		}
	default:
		h.answers++
	}
}

// TestUnreadReplies guards, over random orders of events and replies, against more unread
// replies than there is room for, which would lose one, and against a request that gets
// no end or two.
func TestUnreadReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &handler{harness: newSilenceHarness("/silent/thrice/1", 40, 4)}
		apply := func(e event.Event) {
			h.now += time.Millisecond
			h.apply(e)
			for _, f := range h.effects {
				if reply, ok := f.(effect.Reply); ok {
					h.replies = append(h.replies, reply)
				}
			}
			if len(h.replies) > mostUnread {
				t.Fatalf("%d unread replies: %+v", len(h.replies), h.replies)
			}
		}
		// tick lets a request that waits look for an upstream.
		tick := func() {
			h.now = max(h.now, h.serve.Next().Sub(startTime))
			apply(event.Tick{})
		}
		h.replies = append(h.replies, *h.forward)
		for range 60 {
			switch action := rapid.IntRange(0, 10).Draw(t, "action"); {
			case action < 4 && h.attempt > 0:
				h.reports++
				if h.firstPending == 0 {
					h.firstPending = h.reports
				}
				h.events = append(h.events, event.ForwardSilent{
					Ticket: 1, Attempt: h.attempt, Report: h.reports, Reachable: true, Ignored: h.ignored,
				})
			case action == 4:
				h.firstPending = 0
			case action == 5 && h.attempt > 0:
				outcome := rapid.SampledFrom([]model.Outcome{model.Broken, model.Rejected, model.NotSent, model.Completed, model.Unconfirmed}).Draw(t, "outcome")
				h.end(event.ForwardEnded{Outcome: outcome})
			case action == 10 && !h.serve.Next().IsZero():
				tick()
			case action < 8 && len(h.events) > 0:
				e := h.events[0]
				h.events = h.events[1:]
				apply(e)
			case len(h.replies) > 0:
				h.read()
			}
		}
		for len(h.events) > 0 || len(h.replies) > 0 || h.attempt > 0 || !h.serve.Next().IsZero() {
			switch {
			case len(h.events) > 0:
				e := h.events[0]
				h.events = h.events[1:]
				apply(e)
			case len(h.replies) > 0:
				h.read()
			case h.attempt == 0:
				tick()
			default:
				h.end(event.ForwardEnded{Outcome: model.Completed})
			}
		}
		if h.answers != 1 || h.serve.Open() != 0 {
			t.Fatalf("the request has ended %d times, %d are open", h.answers, h.serve.Open())
		}
	})
}
