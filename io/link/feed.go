package link

import (
	"context"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/link/wire"
)

// Feed returns the configuration and the upstreams of this node.
func (s *server) Feed(ctx context.Context, request *wire.FeedRequest) (*wire.FeedResponse, error) {
	reply, err := awaitReply[effect.FeedReply](ctx, s, func(ticket model.Ticket) event.Event {
		return event.FeedAsked{
			Ticket:   ticket,
			Site:     model.Version(request.GetSite()),
			Process:  model.Incarnation(request.GetProcess()),
			Registry: request.GetRegistry(),
		}
	})
	if err != nil {
		return nil, err
	}
	return encodeFeed(reply.Feed), nil
}

func (c *Client) feed(ctx context.Context, e effect.FetchFeed) event.Event {
	sentAt := c.options.Now()
	response, err := c.service(e.Peer).Feed(ctx, &wire.FeedRequest{
		Site: uint64(e.Site), Process: uint64(e.Process), Registry: e.Registry,
	})
	if err != nil {
		return event.FeedFailed{}
	}
	answer := decodeFeed(response)
	if source := response.GetSource(); len(source) > 0 {
		if answer.Site, err = c.options.DecodeSite(answer.Revision, source); err != nil {
			return event.FeedFailed{}
		}
	}
	return event.FeedAnswered{SentAt: sentAt, Feed: answer}
}

func encodeFeed(f model.Feed) *wire.FeedResponse {
	w := &wire.FeedResponse{
		Revision:              uint64(f.Revision),
		Confirmed:             f.Confirmed,
		ConfirmationAgeMicros: f.ConfirmationAge.Microseconds(),
		Process:               uint64(f.Process),
		Registry:              f.Registry,
		RegistryRevision:      uint64(f.RegistryRevision),
		HasUpstreams:          f.HasUpstreams,
		Evacuations:           encodeEvacuations(f.Evacuations),
	}
	if f.Site != nil {
		w.Source = f.Site.Source
	}
	for _, u := range f.Upstreams {
		encoded := &wire.Upstream{
			Name: string(u.Name), Kind: uint32(u.Kind), Address: u.Address, Zone: string(u.Zone), Role: uint32(u.Role),
			State: uint32(u.State), Cheap: u.Cheap, ChecksEpoch: u.ChecksEpoch, Slots: saturate(u.Slots),
			Service: string(u.Service), Incarnation: uint64(u.Incarnation),
			EntryVersion: uint64(u.EntryVersion), ColdLeftMicros: u.ColdLeft.Microseconds(),
		}
		if !u.StartedAt.IsZero() {
			encoded.StartedAtMicros = u.StartedAt.UnixMicro()
		}
		w.Upstreams = append(w.Upstreams, encoded)
	}
	return w
}

// decodeFeed decodes a feed. It leaves out upstreams that cannot get requests.
func decodeFeed(w *wire.FeedResponse) model.Feed {
	f := model.Feed{
		Revision:         model.Version(w.GetRevision()),
		Confirmed:        w.GetConfirmed(),
		ConfirmationAge:  time.Duration(w.GetConfirmationAgeMicros()) * time.Microsecond,
		Process:          model.Incarnation(w.GetProcess()),
		Registry:         w.GetRegistry(),
		RegistryRevision: model.Version(w.GetRegistryRevision()),
		HasUpstreams:     w.GetHasUpstreams(),
		Evacuations:      decodeEvacuations(w.GetEvacuations()),
	}
	for _, u := range w.GetUpstreams() {
		upstream := model.Upstream{
			Name: model.UpstreamName(u.GetName()), Kind: model.UpstreamKind(u.GetKind()), Address: u.GetAddress(),
			Zone: model.ZoneName(u.GetZone()), Role: model.Role(u.GetRole()), State: model.UpstreamState(u.GetState()),
			Cheap: u.GetCheap(), ChecksEpoch: u.GetChecksEpoch(), Slots: int(u.GetSlots()),
			Service: model.ServiceName(u.GetService()), Incarnation: model.Incarnation(u.GetIncarnation()),
			EntryVersion: model.Version(u.GetEntryVersion()), ColdLeft: time.Duration(u.GetColdLeftMicros()) * time.Microsecond,
		}
		if micros := u.GetStartedAtMicros(); micros != 0 {
			upstream.StartedAt = time.UnixMicro(micros)
		}
		if upstream.Valid() {
			f.Upstreams = append(f.Upstreams, upstream)
		}
	}
	return f
}
