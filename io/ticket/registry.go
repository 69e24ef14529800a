// Package ticket delivers the replies of the control loop to the goroutines that
// wait for them, identified by tickets.
package ticket

import (
	"sync"

	"caroblane/core/effect"
	"caroblane/core/model"
)

// maxUnread is the number of replies buffered for a ticket. Of the dispatches, cuts,
// abandoned attempts and final replies of a request, the reducers send one only after
// the event that follows the one before, except for the reply to a report that crosses
// the end of its attempt. So any further replies are duplicates.
const maxUnread = 8

// Registry is a registry of open tickets. Its methods are safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	last model.Ticket
	open map[model.Ticket]chan effect.Reply
}

// New returns a registry without open tickets.
func New() *Registry {
	return &Registry{open: map[model.Ticket]chan effect.Reply{}}
}

// Close closes a ticket. Later replies to it are dropped. The caller of Open must
// call Close once.
func (r *Registry) Close(ticket model.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, ticket)
}

// Deliver sends a reply to the channel of its ticket. It never blocks. It returns
// false if the ticket is not open or the buffer of its channel is full.
func (r *Registry) Deliver(reply effect.Reply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	replies, ok := r.open[reply.To()]
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
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// Open returns a new ticket and the channel that receives its replies. The channel
// is never closed.
func (r *Registry) Open() (model.Ticket, <-chan effect.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	replies := make(chan effect.Reply, maxUnread)
	r.open[r.last] = replies
	return r.last, replies
}
