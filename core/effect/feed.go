package effect

import (
	"time"

	"caroblane/core/model"
)

// FetchFeed asks a peer for the configuration, if it has a later version than Site,
// and for the list of upstreams, if it has another one than the one that Process and
// Registry identify. The response is event.FeedAnswered or event.FeedFailed.
type FetchFeed struct {
	Peer     model.Member
	Site     model.Version
	Process  model.Incarnation
	Registry uint64
}

// FeedReply is the response to event.FeedAsked.
type FeedReply struct {
	Ticket model.Ticket
	Feed   model.Feed
}

// FollowStore starts or stops the reads of the configuration and of the registry of
// upstreams from the store.
type FollowStore struct {
	On bool
	// Interval is the time between two reads of the configuration.
	Interval time.Duration
	// Patience is how long a read may wait for its answer before it is made again, while
	// the first call goes on. Zero means that it is not.
	Patience time.Duration
	// EvacuationInterval is the time between two reads of the evacuations. Zero means that
	// they are not read.
	EvacuationInterval time.Duration
}

func (e FeedReply) To() model.Ticket { return e.Ticket }

func (FeedReply) isEffect()   {}
func (FetchFeed) isEffect()   {}
func (FollowStore) isEffect() {}
