package ticket

import (
	"testing"

	"caroblane/core/effect"
)

// TestDeliver guards against replies delivered to the wrong request, and against
// blocking the control loop if the replies to a request are no longer read.
func TestDeliver(t *testing.T) {
	r := New()
	a, fromA := r.Open()
	b, fromB := r.Open()
	if a == b || r.Len() != 2 {
		t.Fatalf("got tickets %d and %d with %d open, want two different open tickets", a, b, r.Len())
	}
	if !r.Deliver(effect.Finish{Ticket: b}) {
		t.Fatal("Deliver dropped the reply to an open ticket")
	}
	if got := (<-fromB).To(); got != b || len(fromA) != 0 {
		t.Fatalf("got a reply to ticket %d, want ticket %d only", got, b)
	}
	for range maxUnread {
		r.Deliver(effect.Finish{Ticket: a})
	}
	if r.Deliver(effect.Finish{Ticket: a}) {
		t.Fatal("Deliver accepted more than maxUnread unread replies")
	}
	r.Close(a)
	if r.Deliver(effect.Finish{Ticket: a}) || r.Len() != 1 {
		t.Fatal("Deliver accepted a reply to a closed ticket, or the ticket is still open")
	}
}
