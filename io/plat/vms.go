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

// pollVMs reads the VM list periodically and posts it until the context is
// cancelled. It does not report failures, because the watch already reports that
// the platform does not respond.
func (c *Client) pollVMs(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		delay := c.settings.VMInterval
		listed, err := c.fetchVMs(ctx)
		if err != nil {
			failures++
			delay = retryDelay(c.vmRand, c.settings.MinBackoff, c.settings.VMInterval, failures)
		} else {
			failures = 0
			c.post(ctx, listed)
		}
		if c.clock.Wait(ctx, delay) != nil {
			return
		}
	}
}

func (c *Client) fetchVMs(ctx context.Context) (event.VMsListed, error) {
	resp, err := c.api.do(ctx, request{
		method:   http.MethodGet,
		path:     "/vms",
		deadline: c.clock.Now().Add(c.settings.CallTimeout),
	})
	if err != nil {
		return event.VMsListed{}, err
	}
	return decodeVMs(resp.body, resp.sentAt)
}

// decodeVMs decodes a VM list. It rejects the whole list if an entry has no valid
// IP address, because a VM missing from the list counts as stopped.
func decodeVMs(body []byte, sentAt time.Time) (event.VMsListed, error) {
	var wire *wireVMs
	if err := json.Unmarshal(body, &wire); err != nil || wire == nil || wire.VMs == nil {
		return event.VMsListed{}, Lost.New("response to GET /vms has no list of VMs")
	}
	e := event.VMsListed{SentAt: sentAt}
	for _, vm := range wire.VMs {
		address, err := netip.ParseAddr(vm.Address)
		if err != nil {
			return event.VMsListed{}, Lost.Wrap(err, "address of VM %q", vm.Name)
		}
		e.Addresses = append(e.Addresses, address.String())
		if vm.Leaving {
			e.Leaving = append(e.Leaving, address.String())
		}
	}
	return e, nil
}
