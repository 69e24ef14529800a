// Package link implements the RPCs between nodes: a Twirp server that converts
// calls into events for the control loop, and a client that executes the effects
// that call peers.
package link

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/link/wire"
	"caroblane/io/ticket"
)

const (
	// replyTimeout is how long the server waits for the reply of the control
	// loop. It is longer than every call timeout of the client.
	replyTimeout = 5 * time.Second
	// maxMessageBytes is the maximum size of a request or response body. A page
	// of 512 objects stays below 1 MB unless individual objects are very large.
	maxMessageBytes = 16 << 20
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("link")

// Malformed is the error type for messages that cannot be encoded or decoded.
var Malformed = Errors.NewType("malformed")

// Poster queues events for the control loop. Loop in io/loop implements it.
type Poster interface {
	Post(ctx context.Context, e event.Event) error
}

// server implements wire.Link for calls from peers.
type server struct {
	self    model.Member
	poster  Poster
	tickets *ticket.Registry
}

// NewHandler returns the HTTP handler of the peer listener. Self identifies this
// process. The replies of the control loop are delivered through tickets.
func NewHandler(self model.Member, poster Poster, tickets *ticket.Registry) http.Handler {
	service := wire.NewLinkServer(&server{self: self, poster: poster, tickets: tickets})
	return http.MaxBytesHandler(service, maxMessageBytes)
}

// Borrow requests a loan of an account's rate and burst from the limit reducer.
// It rejects calls meant for another process that used this address earlier.
func (s *server) Borrow(ctx context.Context, request *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	if model.NodeName(request.GetTo()) != s.self.Name ||
		model.Incarnation(request.GetToIncarnation()) != s.self.Incarnation {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "field To has value %s %d; accepted: %s %d",
			request.GetTo(), request.GetToIncarnation(), s.self.Name, s.self.Incarnation)
	}
	reply, err := awaitReply[effect.Lend](ctx, s, func(ticket model.Ticket) event.Event {
		return event.BorrowAsked{
			Ticket:          ticket,
			From:            model.NodeName(request.GetFrom()),
			FromIncarnation: model.Incarnation(request.GetFromIncarnation()),
			Account:         model.AccountName(request.GetAccount()),
			Seq:             request.GetSeq(),
			Want:            decodeAllowance(request.GetWant()),
			GivenBack:       request.GetGivenBack(),
		}
	})
	if err != nil {
		return nil, err
	}
	return &wire.BorrowResponse{Amount: encodeAllowance(reply.Amount)}, nil
}

// Exchange passes a heartbeat to the peers reducer and returns the status of
// this node.
func (s *server) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	reply, err := awaitReply[effect.ExchangeReply](ctx, s, func(ticket model.Ticket) event.Event {
		return event.ExchangeAsked{
			Ticket:  ticket,
			Status:  decodeStatus(request.GetStatus()),
			Crashes: decodeCrashRecords(request.GetCrashes()),
		}
	})
	if err != nil {
		return nil, err
	}
	return &wire.ExchangeResponse{Status: encodeStatus(reply.Status), Crashes: encodeCrashRecords(reply.Crashes)}, nil
}

// Fetch returns the configuration objects changed after the requested version.
func (s *server) Fetch(ctx context.Context, request *wire.FetchRequest) (*wire.FetchResponse, error) {
	reply, err := awaitReply[effect.FetchReply](ctx, s, func(ticket model.Ticket) event.Event {
		return event.FetchAsked{
			Ticket: ticket,
			After:  model.Version(request.GetAfter()),
			Clean:  model.Version(request.GetClean()),
		}
	})
	if err != nil {
		return nil, err
	}
	encoded, err := encodeChanges(reply.Changes)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &wire.FetchResponse{
		Changes: encoded,
		Upto:    uint64(reply.Upto),
		Clean:   uint64(reply.Clean),
		Floor:   uint64(reply.Floor),
		Refused: reply.Refused,
	}, nil
}

// Push passes configuration objects to the peers reducer.
func (s *server) Push(ctx context.Context, request *wire.PushRequest) (*wire.PushResponse, error) {
	decoded, err := decodeChanges(request.GetChanges())
	if err != nil {
		return nil, twirp.InvalidArgumentError("changes", err.Error())
	}
	reply, err := awaitReply[effect.PushReply](ctx, s, func(ticket model.Ticket) event.Event {
		return event.PushArrived{
			Ticket:  ticket,
			Changes: decoded,
			After:   model.Version(request.GetAfter()),
			Upto:    model.Version(request.GetUpto()),
		}
	})
	if err != nil {
		return nil, err
	}
	return &wire.PushResponse{Version: uint64(reply.Version)}, nil
}

// Sync passes the report of a peer to the control loop and returns the report of
// this node.
func (s *server) Sync(ctx context.Context, request *wire.Report) (*wire.Report, error) {
	reply, err := awaitReply[effect.SyncReply](ctx, s, func(ticket model.Ticket) event.Event {
		return event.SyncArrived{Ticket: ticket, Report: decodeReport(request)}
	})
	if err != nil {
		return nil, err
	}
	return encodeReport(reply.Report), nil
}

// awaitReply posts the event of a call and waits for a reply of type R. Replies
// of other types are ignored.
func awaitReply[R effect.Reply](
	ctx context.Context, s *server, newEvent func(model.Ticket) event.Event,
) (R, error) {
	var zero R
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	ticket, replies := s.tickets.Open()
	defer s.tickets.Close(ticket)
	if err := s.poster.Post(ctx, newEvent(ticket)); err != nil {
		return zero, twirp.NewError(twirp.Unavailable, err.Error())
	}
	for {
		select {
		case reply := <-replies:
			if r, ok := reply.(R); ok {
				return r, nil
			}
		case <-ctx.Done():
			return zero, twirp.NewError(twirp.DeadlineExceeded, "the control loop did not reply")
		}
	}
}
