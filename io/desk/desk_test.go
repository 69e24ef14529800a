package desk

import (
	"testing"

	"caroblane/core/effect"
)

// TestDeliver guards against replies that reach another request, and against a
// control loop that blocks on a request that nobody reads any more.
func TestDeliver(t *testing.T) {
	d := New()
	a, fromA := d.Open()
	b, fromB := d.Open()
	if a == b || d.Len() != 2 {
		t.Fatalf("tickets %d and %d, %d open", a, b, d.Len())
	}
	if !d.Deliver(effect.Finish{Ticket: b}) {
		t.Fatal("reply to an open ticket was dropped")
	}
	if got := (<-fromB).To(); got != b || len(fromA) != 0 {
		t.Fatalf("got ticket %d, want %d", got, b)
	}
	for range depth {
		d.Deliver(effect.Finish{Ticket: a})
	}
	if d.Deliver(effect.Finish{Ticket: a}) {
		t.Fatal("reply over the depth was accepted")
	}
	d.Close(a)
	if d.Deliver(effect.Finish{Ticket: a}) || d.Len() != 1 {
		t.Fatal("closed ticket took a reply")
	}
}
