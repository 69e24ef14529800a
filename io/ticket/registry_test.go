package ticket

import (
	"testing"

	"caroblane/core/effect"
)

// TestDeliver guards against replies delivered to the wrong request, and against
// blocking the control loop if the replies to a request are no longer read.
func TestDeliver(t *testing.T) {
	d := New()
	a, fromA := d.Open()
	b, fromB := d.Open()
	if a == b || d.Len() != 2 {
		t.Fatalf("got tickets %d and %d with %d open, want two different open tickets", a, b, d.Len())
	}
	if !d.Deliver(effect.Finish{Ticket: b}) {
		t.Fatal("Deliver dropped the reply to an open ticket")
	}
	if got := (<-fromB).To(); got != b || len(fromA) != 0 {
		t.Fatalf("got a reply to ticket %d, want ticket %d only", got, b)
	}
	for range maxUnread {
		d.Deliver(effect.Finish{Ticket: a})
	}
	if d.Deliver(effect.Finish{Ticket: a}) {
		t.Fatal("Deliver accepted more than maxUnread unread replies")
	}
	d.Close(a)
	if d.Deliver(effect.Finish{Ticket: a}) || d.Len() != 1 {
		t.Fatal("Deliver accepted a reply to a closed ticket, or the ticket is still open")
	}
}
