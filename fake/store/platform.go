package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/benbjohnson/immutable"
)

// maxReports bounds the usage reports and provisions that are kept. Further
// ones are refused, as a test could otherwise miss one that was dropped.
const maxReports = 100_000

// Provision is an order for upstreams.
type Provision struct {
	ID string `json:"Id"`
	// Lease is the lease whose epoch the order bears. Epochs of different
	// leases are not compared.
	Lease string
	Epoch uint64
	Order json.RawMessage
	// Received counts the calls with this identifier that were accepted.
	Received int
}

// Report is a usage report as received.
type Report struct {
	Window string
	Client string
	Lease  string
	Epoch  uint64
	Usage  json.RawMessage
}

// VM is an entry of the VM list.
type VM struct {
	Name    string
	Address string
	Zone    string
	// Leaving tells that the VM will be stopped soon.
	Leaving bool
}

// Weights describe the weights of a model.
type Weights struct {
	Model  string
	Bytes  int64
	Digest string
}

// listing is a VM list that becomes visible later.
type listing struct {
	due time.Time
	vms []VM
}

// platform holds what lies beside the objects.
type platform struct {
	provisions *immutable.SortedMap[string, Provision]
	// epochs holds the highest epoch of each lease.
	epochs  *immutable.Map[string, uint64]
	reports *immutable.List[Report]
	vms     []VM
	coming  *immutable.List[listing]
	// fetches is the level of the weight store's token bucket.
	fetches float64
	filled  time.Time
}

func newPlatform() platform {
	return platform{
		provisions: immutable.NewSortedMap[string, Provision](nil),
		epochs:     immutable.NewMap[string, uint64](nil),
		reports:    immutable.NewList[Report](),
		vms:        []VM{},
		coming:     immutable.NewList[listing](),
	}
}

// provision accepts an order for upstreams once. A repeat with the same content
// is accepted again without effect, so that a successor can resend what is
// recorded.
func (p platform) provision(e PostProvision) (platform, Answer) {
	if highest, _ := p.epochs.Get(e.Lease); e.Epoch < highest {
		return p, refuseCall(e.Ticket, http.StatusConflict, "OldEpoch", "a higher epoch of the lease is known")
	}
	held, ok := p.provisions.Get(e.ID)
	if ok && (held.Lease != e.Lease || !bytes.Equal(held.Order, e.Order)) {
		return p, refuseCall(e.Ticket, http.StatusConflict, "Conflict", "the identifier has another order")
	}
	if !ok && p.provisions.Len() >= maxReports {
		return p, refuseCall(e.Ticket, http.StatusInsufficientStorage, "Full", "too many provisions")
	}
	if !ok {
		held = Provision{ID: e.ID, Lease: e.Lease, Epoch: e.Epoch, Order: e.Order}
	}
	held.Received++
	p.epochs = p.epochs.Set(e.Lease, e.Epoch)
	p.provisions = p.provisions.Set(e.ID, held)
	return p, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: held}
}

// report keeps every usage report, also a second one for the same window.
func (p platform) report(e PostUsage) (platform, Answer) {
	if p.reports.Len() >= maxReports {
		return p, refuseCall(e.Ticket, http.StatusInsufficientStorage, "Full", "too many reports")
	}
	p.reports = p.reports.Append(e.Report)
	return p, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: usageBody{Reports: p.reports.Len()}}
}

// weights answers as often as the weight store's rate allows.
func (p platform) weights(e GetWeights, limits Limits, at time.Time) (platform, Answer) {
	if limits.WeightsPerSecond > 0 {
		burst := max(1, limits.WeightsPerSecond)
		p.fetches = min(burst, p.fetches+limits.WeightsPerSecond*at.Sub(p.filled).Seconds())
		if p.filled.IsZero() {
			p.fetches = burst
		}
		p.filled = at
		if p.fetches < 1 {
			return p, refuseCall(e.Ticket, http.StatusTooManyRequests, "RateLimited", "rate of the weight store exceeded")
		}
		p.fetches--
	}
	size := int64(limits.WeightBytes)
	return p, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: Weights{Model: e.Model, Bytes: size, Digest: "model " + e.Model}}
}

// listed returns the platform with the VM lists in force that are due.
func (p platform) listed(at time.Time) platform {
	for p.coming.Len() > 0 && !p.coming.Get(0).due.After(at) {
		p.vms = p.coming.Get(0).vms
		p.coming = p.coming.Slice(1, p.coming.Len())
	}
	return p
}

func refuseCall(ticket uint64, status int, reason, message string) Answer {
	return Answer{Ticket: ticket, Status: status, Fault: &Fault{Reason: reason, Execution: "NotRun", Message: message}}
}

// Provisions returns the accepted provisions in order of their identifiers.
func (s State) Provisions() []Provision {
	var all []Provision
	for itr := s.platform.provisions.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		all = append(all, p)
	}
	return all
}

// Reports returns the usage reports in order of arrival.
func (s State) Reports() []Report {
	all := make([]Report, 0, s.platform.reports.Len())
	for itr := s.platform.reports.Iterator(); !itr.Done(); {
		_, r := itr.Next()
		all = append(all, r)
	}
	return all
}
