package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// Weights describes the weights of a model in the platform's weight store.
type Weights struct {
	Model model.ModelName
	// Bytes is the size of the weights.
	Bytes int64
	// Digest identifies the content.
	Digest string
}

type wireProvision struct {
	Lease string
	Epoch model.Epoch
	Order wireProvisionOrder
}

type wireProvisionOrder struct {
	Zone   model.ZoneName
	Model  model.ModelName
	Cheap  bool
	Change int
}

type wireReport struct {
	Lease string
	Epoch model.Epoch
	Usage wireUsage
}

type wireUsage struct {
	Window model.Window
	Lines  []wireUsageLine
}

type wireUsageLine struct {
	Account      model.AccountName
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

type wireWeights struct {
	Model  model.ModelName
	Bytes  int64
	Digest string
}

// Provision orders upstreams from the platform under the epoch of a lease. It is
// idempotent: it may be repeated with the same id and intent. The error has type
// Conflict if the epoch is old or the id was used with another intent, Refused or
// Unsent if the order had no effect, and Lost otherwise.
func (c *Client) Provision(
	ctx context.Context, id, lease string, epoch model.Epoch, intent model.ProvisionIntent, deadline time.Time,
) error {
	body, err := json.Marshal(wireProvision{Lease: lease, Epoch: epoch, Order: wireProvisionOrder(intent)})
	if err != nil {
		return Unsent.Wrap(err, "encode provision %s", id)
	}
	_, err = c.api.do(ctx, request{
		method:   http.MethodPost,
		path:     "/provisions/" + url.PathEscape(id),
		body:     body,
		deadline: deadline,
	})
	return err
}

// ReportUsage reports the usage of a window. The values must be those of the
// frozen record, because the platform keeps every report that it receives. The
// error has the same types as that of Provision.
func (c *Client) ReportUsage(ctx context.Context, lease string, usage model.Usage, deadline time.Time) error {
	wire := wireReport{Lease: lease, Epoch: usage.Epoch, Usage: wireUsage{Window: usage.Window}}
	for _, line := range usage.Lines {
		wire.Usage.Lines = append(wire.Usage.Lines, wireUsageLine(line))
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return Unsent.Wrap(err, "encode usage of window %s", usage.Window)
	}
	_, err = c.api.do(ctx, request{
		method:   http.MethodPost,
		path:     "/usage/" + usage.Window.String(),
		body:     body,
		deadline: deadline,
	})
	return err
}

// Weights returns the description of a model's weights. The error has type Refused
// if the rate limit of the weight store is exceeded.
func (c *Client) Weights(ctx context.Context, name model.ModelName, deadline time.Time) (Weights, error) {
	resp, err := c.api.do(ctx, request{
		method:   http.MethodGet,
		path:     "/weights/" + url.PathEscape(string(name)),
		deadline: deadline,
	})
	if err != nil {
		return Weights{}, err
	}
	var wire wireWeights
	if err := json.Unmarshal(resp.body, &wire); err != nil {
		return Weights{}, Lost.Wrap(err, "decode weights of model %s", name)
	}
	return Weights(wire), nil
}

// report executes effect.ReportUsage. It sends the epoch of the current lease
// holder, which may be later than that of the record.
func (c *Client) report(ctx context.Context, e effect.ReportUsage) event.Event {
	usage := e.Usage
	usage.Epoch = e.Epoch
	return sendResult(e.Op, c.ReportUsage(ctx, c.settings.Lease, usage, e.NotAfter))
}

func (c *Client) provision(ctx context.Context, e effect.SendProvision) event.Event {
	return sendResult(e.Op, c.Provision(ctx, e.ID, c.settings.Lease, e.Epoch, e.Intent, e.NotAfter))
}

// sendResult converts the result of a call under a lease into an event.
func sendResult(op model.Op, err error) event.Event {
	switch {
	case err == nil:
		return event.SendAnswered{Op: op, Result: model.SendAccepted}
	case errorx.IsOfType(err, Conflict):
		return event.SendAnswered{Op: op, Result: model.SendStale}
	default:
		return event.SendFailed{Op: op}
	}
}
