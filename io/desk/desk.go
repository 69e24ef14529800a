// Package desk hands the replies of the control loop to the traffic goroutines
// that wait for them.
package desk

import (
	"sync"

	"caroblane/core/effect"
	"caroblane/core/model"
)

// depth is the number of replies that a ticket holds unread. A request gets at
// most three dispatches, a cut and an end; further replies can only be
// duplicates.
const depth = 8

// Desk is a registry of open tickets. Its methods may be called from any
// goroutine.
type Desk struct {
	mu   sync.Mutex
	last model.Ticket
	open map[model.Ticket]chan effect.Reply
}

// New returns a registry without tickets.
func New() *Desk {
	return &Desk{open: map[model.Ticket]chan effect.Reply{}}
}

// Close gives a ticket back. Replies that arrive later are dropped. The caller
// of Open must call it once.
func (d *Desk) Close(ticket model.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, ticket)
}

// Deliver passes a reply to the holder of its ticket. It never blocks: it
// returns false when the ticket is closed or its holder left too many replies
// unread.
func (d *Desk) Deliver(reply effect.Reply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	replies, ok := d.open[reply.To()]
	if !ok {
		return false
	}
	select {
	case replies <- reply:
		return true
	default:
		return false
	}
}

// Len returns the number of open tickets.
func (d *Desk) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// Open returns a ticket that no other caller holds, and the channel of its
// replies. The channel is never closed.
func (d *Desk) Open() (model.Ticket, <-chan effect.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	replies := make(chan effect.Reply, depth)
	d.open[d.last] = replies
	return d.last, replies
}
