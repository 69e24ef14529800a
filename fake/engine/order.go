package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// The actions that an order can ask for.
const (
	SetRole     = "SetRole"
	LoadModel   = "LoadModel"
	UnloadModel = "UnloadModel"
	LoadAdapter = "LoadAdapter"
)

// The roles.
const (
	RoleBoth    = "Both"
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
)

// Intent is what an order asks for.
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
	// Effective tells that the order was carried out.
	Effective bool
}

// OrdersBody is the answer to GET /orders.
type OrdersBody struct {
	// Last is the last effective order. Its Seq is zero if there was none.
	Last OrderRecord
	Role string
	// Changing tells that a role change is under way.
	Changing bool
	Models   []string
	// Received holds all orders from the oldest, as far as they are kept.
	Received []OrderRecord
}

type orders struct {
	last  OrderRecord
	role  string
	away  time.Time
	all   bool
	names []string
	log   *immutable.List[OrderRecord]
}

func newOrders(models []string) orders {
	return orders{role: RoleBoth, all: len(models) == 0, names: models, log: immutable.NewList[OrderRecord]()}
}

func (o orders) body(at time.Time) OrdersBody {
	body := OrdersBody{Last: o.last, Role: o.role, Changing: o.changing(at), Models: o.names}
	for itr := o.log.Iterator(); !itr.Done(); {
		_, record := itr.Next()
		body.Received = append(body.Received, record)
	}
	return body
}

// changing tells whether a role change is under way.
func (o orders) changing(at time.Time) bool { return at.Before(o.away) }

// factors returns how much more than in the role Both prefill and decode cost.
func (o orders) factors() (prefill, decode int) {
	switch o.role {
	case RolePrefill:
		return 1, offRole
	case RoleDecode:
		return offRole, 1
	default:
		return 1, 1
	}
}

func (o orders) serves(model string) bool { return o.all || slices.Contains(o.names, model) }

func (o orders) with(record OrderRecord) orders {
	o.log = o.log.Append(record)
	if o.log.Len() > maxOrders {
		o.log = o.log.Slice(1, o.log.Len())
	}
	if record.Effective {
		o.last = record
	}
	return o
}

// order carries an order out, unless the engine checks epochs and the order is
// older than the last one. A repeat of the last order changes nothing.
func (s State) order(e Order, at time.Time, out []Effect) (State, []Effect) {
	record := OrderRecord{Epoch: e.Epoch, Seq: e.Seq, Intent: e.Intent, Effective: true}
	if message := e.Intent.fault(); message != "" {
		return s, append(out, refusal(e.Ticket, http.StatusBadRequest, "Malformed", message))
	}
	if record == s.orders.last {
		return s, append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: record})
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
			s, out = s.emptied(out)
			s.orders.role = e.Intent.Role
			s.orders.away = at.Add(s.settings.RoleChangeTerm)
		}
	case LoadModel:
		if !slices.Contains(s.orders.names, e.Intent.Model) {
			s.orders.names = append(slices.Clone(s.orders.names), e.Intent.Model)
		}
	case UnloadModel:
		s.orders.names = slices.DeleteFunc(slices.Clone(s.orders.names), func(name string) bool { return name == e.Intent.Model })
	}
	return s, append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: record})
}

// fault returns what is wrong with an intent.
func (i Intent) fault() string {
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
