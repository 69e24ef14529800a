package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/benbjohnson/immutable"
)

// maxRecords limits the usage reports and the provisions that are kept. Further
// ones are refused instead of evicting old ones, because a test could miss an
// evicted one.
const maxRecords = 100_000

// Provision is an order for upstreams.
type Provision struct {
	ID string `json:"Id"`
	// Lease is the lease that Epoch belongs to. Epochs of different leases are
	// not compared.
	Lease string
	Epoch uint64
	Order json.RawMessage
	// Received counts the accepted calls with this ID.
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
	// Leaving means that the VM will be stopped soon.
	Leaving bool
}

// Weights describes the weights of a model.
type Weights struct {
	Model  string
	Bytes  int64
	Digest string
}

// pendingList is a VM list that becomes visible later.
type pendingList struct {
	visibleAt time.Time
	vms       []VM
}

// platform is the part of the state that is not stored as objects.
type platform struct {
	provisions *immutable.SortedMap[string, Provision]
	// epochs holds the highest epoch of each lease.
	epochs     *immutable.Map[string, uint64]
	reports    *immutable.List[Report]
	vms        []VM
	pendingVMs *immutable.List[pendingList]
	// weightTokens is the level of the token bucket that limits weight fetches.
	weightTokens    float64
	weightsRefilled time.Time
}

func newPlatform() platform {
	return platform{
		provisions: immutable.NewSortedMap[string, Provision](nil),
		epochs:     immutable.NewMap[string, uint64](nil),
		reports:    immutable.NewList[Report](),
		vms:        []VM{},
		pendingVMs: immutable.NewList[pendingList](),
	}
}

// withProvision accepts an order for upstreams unless its epoch is old. A repeat
// with the same content is accepted without effect, so that the next lease holder
// can resend recorded orders.
func (p platform) withProvision(e PostProvision) (platform, Response) {
	if highest, _ := p.epochs.Get(e.Lease); e.Epoch < highest {
		return p, refusal(e.Ticket, http.StatusConflict, "OldEpoch", "a higher epoch of the lease is known")
	}
	accepted, ok := p.provisions.Get(e.ID)
	if ok && (accepted.Lease != e.Lease || !bytes.Equal(accepted.Order, e.Order)) {
		return p, refusal(e.Ticket, http.StatusConflict, "Conflict", "the identifier has another order")
	}
	if !ok && p.provisions.Len() >= maxRecords {
		return p, refusal(e.Ticket, http.StatusInsufficientStorage, "Full", "too many provisions")
	}
	if !ok {
		accepted = Provision{ID: e.ID, Lease: e.Lease, Epoch: e.Epoch, Order: e.Order}
	}
	accepted.Received++
	p.epochs = p.epochs.Set(e.Lease, e.Epoch)
	p.provisions = p.provisions.Set(e.ID, accepted)
	return p, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: accepted}
}

// withReport keeps every usage report, including repeated ones for the same
// window.
func (p platform) withReport(e PostUsage) (platform, Response) {
	if p.reports.Len() >= maxRecords {
		return p, refusal(e.Ticket, http.StatusInsufficientStorage, "Full", "too many reports")
	}
	p.reports = p.reports.Append(e.Report)
	return p, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: reportCountBody{Reports: p.reports.Len()}}
}

// fetchWeights responds to a fetch of weights, or refuses it if the rate limit is
// exceeded.
func (p platform) fetchWeights(e GetWeights, limits Limits, at time.Time) (platform, Response) {
	if limits.WeightsPerSecond > 0 {
		burst := max(1, limits.WeightsPerSecond)
		p.weightTokens = min(burst, p.weightTokens+limits.WeightsPerSecond*at.Sub(p.weightsRefilled).Seconds())
		if p.weightsRefilled.IsZero() {
			p.weightTokens = burst
		}
		p.weightsRefilled = at
		if p.weightTokens < 1 {
			return p, refusal(e.Ticket, http.StatusTooManyRequests, "RateLimited", "rate of the weight store exceeded")
		}
		p.weightTokens--
	}
	size := int64(limits.WeightBytes)
	return p, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: Weights{Model: e.Model, Bytes: size, Digest: "model " + e.Model}}
}

// withDueVMs makes the pending VM lists visible that are due.
func (p platform) withDueVMs(at time.Time) platform {
	for p.pendingVMs.Len() > 0 && !p.pendingVMs.Get(0).visibleAt.After(at) {
		p.vms = p.pendingVMs.Get(0).vms
		p.pendingVMs = p.pendingVMs.Slice(1, p.pendingVMs.Len())
	}
	return p
}

func refusal(ticket uint64, status int, reason, message string) Response {
	return Response{Ticket: ticket, Status: status, Fault: &Fault{Reason: reason, Execution: "NotRun", Message: message}}
}

// Provisions returns the accepted provisions, ordered by ID.
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
