package event

import (
	"time"

	"caroblane/core/model"
)

// FeedAnswered reports a peer's response to effect.FetchFeed, which was sent at
// SentAt.
type FeedAnswered struct {
	SentAt time.Time
	Feed   model.Feed
}

// FeedAsked reports the call of a peer for the configuration and the upstreams.
type FeedAsked struct {
	Ticket model.Ticket
	// Site, Process and Registry tell what the peer has.
	Site     model.Version
	Process  model.Incarnation
	Registry uint64
}

// FeedFailed reports that a peer did not respond to effect.FetchFeed.
type FeedFailed struct{}

func (FeedAnswered) isEvent() {}
func (FeedAsked) isEvent()    {}
func (FeedFailed) isEvent()   {}
