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

// Weights describe the weights of a model in the platform's weight store.
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

// Provision orders upstreams from the platform under the epoch of a lease. It
// may be repeated with the same identifier and intent. The error has the type
// Conflict if the epoch is old or the identifier has another intent, Refused
// or Unsent if the order has no effect, and Lost otherwise.
func (c *Client) Provision(
	ctx context.Context, id, lease string, epoch model.Epoch, intent model.ProvisionIntent, by time.Time,
) error {
	body, err := json.Marshal(wireProvision{Lease: lease, Epoch: epoch, Order: wireProvisionOrder(intent)})
	if err != nil {
		return Unsent.Wrap(err, "provision %s", id)
	}
	_, err = c.caller.do(ctx, request{
		method: http.MethodPost,
		path:   "/provisions/" + url.PathEscape(id),
		body:   body,
		by:     by,
	})
	return err
}

// ReportUsage reports the figures of a window, which must be those of the
// frozen record: the platform keeps each report that it receives. The error
// has the types of Provision.
func (c *Client) ReportUsage(ctx context.Context, lease string, usage model.Usage, by time.Time) error {
	wire := wireReport{Lease: lease, Epoch: usage.Epoch, Usage: wireUsage{Window: usage.Window}}
	for _, line := range usage.Lines {
		wire.Usage.Lines = append(wire.Usage.Lines, wireUsageLine(line))
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return Unsent.Wrap(err, "usage of window %s", usage.Window)
	}
	_, err = c.caller.do(ctx, request{
		method: http.MethodPost,
		path:   "/usage/" + usage.Window.String(),
		body:   body,
		by:     by,
	})
	return err
}

// Weights returns the description of a model's weights. The error has the type
// Refused where the weight store's rate is exceeded.
func (c *Client) Weights(ctx context.Context, name model.ModelName, by time.Time) (Weights, error) {
	a, err := c.caller.do(ctx, request{
		method: http.MethodGet,
		path:   "/weights/" + url.PathEscape(string(name)),
		by:     by,
	})
	if err != nil {
		return Weights{}, err
	}
	var wire wireWeights
	if err := json.Unmarshal(a.body, &wire); err != nil {
		return Weights{}, Lost.Wrap(err, "answer about the weights of %s", name)
	}
	return Weights(wire), nil
}

// report carries out effect.ReportUsage. The platform gets the epoch of the
// sender, which may be later than that of the record.
func (c *Client) report(ctx context.Context, e effect.ReportUsage) event.Event {
	usage := e.Usage
	usage.Epoch = e.Epoch
	return answered(e.Op, c.ReportUsage(ctx, c.settings.Lease, usage, e.NotAfter))
}

// provision carries out effect.SendProvision.
func (c *Client) provision(ctx context.Context, e effect.SendProvision) event.Event {
	return answered(e.Op, c.Provision(ctx, e.ID, c.settings.Lease, e.Epoch, e.Intent, e.NotAfter))
}

// answered converts the result of a call under a lease.
func answered(op model.Op, err error) event.Event {
	switch {
	case err == nil:
		return event.SendAnswered{Op: op, Result: model.SendAccepted}
	case errorx.IsOfType(err, Conflict):
		return event.SendAnswered{Op: op, Result: model.SendStale}
	default:
		return event.SendFailed{Op: op}
	}
}
