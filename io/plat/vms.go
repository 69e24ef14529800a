package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"caroblane/core/event"
)

type wireVMs struct {
	VMs []wireVM `json:"Vms"`
}

type wireVM struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
}

// listVMs posts the VM list until the context ends. A failed reading is no
// news: the watch reports that the platform does not answer.
func (c *Client) listVMs(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		wait := c.settings.VMTerm
		listed, err := c.readVMs(ctx)
		if err != nil {
			failures++
			wait = retryAfter(c.vmDraw, c.settings.RetryFirst, c.settings.VMTerm, failures)
		} else {
			failures = 0
			c.post(ctx, listed)
		}
		if c.clock.Wait(ctx, wait) != nil {
			return
		}
	}
}

func (c *Client) readVMs(ctx context.Context) (event.VMsListed, error) {
	a, err := c.caller.do(ctx, request{
		method: http.MethodGet,
		path:   "/vms",
		by:     c.clock.Now().Add(c.settings.CallTerm),
	})
	if err != nil {
		return event.VMsListed{}, err
	}
	return listed(a.body, a.sentAt)
}

// listed decodes a VM list. A list with an entry that is no IP number is
// refused as a whole: a VM that is missing by mistake would count as stopped.
func listed(data []byte, sentAt time.Time) (event.VMsListed, error) {
	var wire *wireVMs
	if err := json.Unmarshal(data, &wire); err != nil || wire == nil || wire.VMs == nil {
		return event.VMsListed{}, Lost.New("answer to GET /vms has no list")
	}
	e := event.VMsListed{SentAt: sentAt}
	for _, vm := range wire.VMs {
		address, err := netip.ParseAddr(vm.Address)
		if err != nil {
			return event.VMsListed{}, Lost.Wrap(err, "VM %q", vm.Name)
		}
		e.Addresses = append(e.Addresses, address.String())
		if vm.Leaving {
			e.Leaving = append(e.Leaving, address.String())
		}
	}
	return e, nil
}
