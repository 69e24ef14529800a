package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// The actions of an order.
const (
	SetRole     = "SetRole"
	LoadModel   = "LoadModel"
	UnloadModel = "UnloadModel"
	LoadAdapter = "LoadAdapter"
)

// The roles of an engine.
const (
	RoleBoth    = "Both"
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
)

// Intent is the content of an order.
type Intent struct {
	// Action is SetRole, LoadModel, UnloadModel or LoadAdapter.
	Action string
	// Role is set for SetRole: Both, Prefill or Decode.
	Role string `json:",omitempty"`
	// Model is set for the other actions, ModelVersion for LoadModel, and
	// Adapter for LoadAdapter.
	Model        string `json:",omitempty"`
	ModelVersion string `json:",omitempty"`
	Adapter      string `json:",omitempty"`
}

// OrderRecord is an order that the engine received.
type OrderRecord struct {
	Epoch  uint64
	Seq    uint64
	Intent Intent
	// Effective reports whether the order was carried out.
	Effective bool
}

// OrdersBody is the body of GET /orders.
type OrdersBody struct {
	// Last is the last effective order. Its Seq is zero if there is none.
	Last OrderRecord
	Role string
	// Changing reports whether a role change is in progress.
	Changing bool
	Models   []string
	// Received holds the last maxOrders orders, oldest first.
	Received []OrderRecord
}

type orders struct {
	last             OrderRecord
	role             string
	unavailableUntil time.Time
	anyModel         bool
	loaded           []string
	received         *immutable.List[OrderRecord]
}

func newOrders(models []string) orders {
	return orders{role: RoleBoth, anyModel: len(models) == 0, loaded: models, received: immutable.NewList[OrderRecord]()}
}

func (o orders) body(at time.Time) OrdersBody {
	body := OrdersBody{Last: o.last, Role: o.role, Changing: o.changing(at), Models: o.loaded}
	for itr := o.received.Iterator(); !itr.Done(); {
		_, record := itr.Next()
		body.Received = append(body.Received, record)
	}
	return body
}

// changing reports whether a role change is in progress.
func (o orders) changing(at time.Time) bool { return at.Before(o.unavailableUntil) }

// factors returns the costs of prefill and decode relative to the role Both.
func (o orders) factors() (prefill, decode int) {
	switch o.role {
	case RolePrefill:
		return 1, offRoleFactor
	case RoleDecode:
		return offRoleFactor, 1
	default:
		return 1, 1
	}
}

func (o orders) serves(model string) bool { return o.anyModel || slices.Contains(o.loaded, model) }

func (o orders) with(record OrderRecord) orders {
	o.received = o.received.Append(record)
	if o.received.Len() > maxOrders {
		o.received = o.received.Slice(1, o.received.Len())
	}
	if record.Effective {
		o.last = record
	}
	return o
}

// order carries out an order. If the engine checks epochs, it refuses an order
// that is older than the last effective one. A repeat of the last order has no
// effect.
func (s State) order(e Order, at time.Time, out []Effect) (State, []Effect) {
	record := OrderRecord{Epoch: e.Epoch, Seq: e.Seq, Intent: e.Intent, Effective: true}
	if message := e.Intent.invalidReason(); message != "" {
		return s, append(out, refusal(e.Ticket, http.StatusBadRequest, "Malformed", message))
	}
	if record == s.orders.last {
		return s, append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: record})
	}
	last := s.orders.last
	if s.settings.ChecksEpoch && (e.Epoch < last.Epoch || e.Seq <= last.Seq) {
		record.Effective = false
		s.orders = s.orders.with(record)
		reason := "OldSeq"
		if e.Epoch < last.Epoch {
			reason = "OldEpoch"
		}
		return s, append(out, refusal(e.Ticket, http.StatusConflict, reason, "order is older than the last one"))
	}
	s.orders = s.orders.with(record)
	switch e.Intent.Action {
	case SetRole:
		if s.orders.role != e.Intent.Role {
			s, out = s.reset(out)
			s.orders.role = e.Intent.Role
			s.orders.unavailableUntil = at.Add(s.settings.RoleChangeTerm)
		}
	case LoadModel:
		if !slices.Contains(s.orders.loaded, e.Intent.Model) {
			s.orders.loaded = append(slices.Clone(s.orders.loaded), e.Intent.Model)
		}
	case UnloadModel:
		s.orders.loaded = slices.DeleteFunc(slices.Clone(s.orders.loaded), func(name string) bool { return name == e.Intent.Model })
	}
	return s, append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: record})
}

// invalidReason returns why an intent is invalid, or an empty string.
func (i Intent) invalidReason() string {
	switch i.Action {
	case SetRole:
		if !slices.Contains([]string{RoleBoth, RolePrefill, RoleDecode}, i.Role) {
			return "field Role has value " + i.Role + "; accepted: Both, Prefill, Decode"
		}
	case LoadModel, UnloadModel, LoadAdapter:
		if i.Model == "" {
			return "field Model is empty; accepted: the name of a model"
		}
	default:
		return "field Action has value " + i.Action + "; accepted: SetRole, LoadModel, UnloadModel, LoadAdapter"
	}
	return ""
}
