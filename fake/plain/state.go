// Package plain is a stand-in for a plain service. It counts the executions of
// each request, so that a test finds a request that ran twice.
package plain

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/step"
)

// maxRuns bounds the requests that are remembered; the oldest go first.
const maxRuns = 100_000

// maxRequestIDs bounds the request identifiers that are kept for each.
const maxRequestIDs = 16

// Event is a call, a control call or the timer.
type Event interface{ isEvent() }

// Execute runs a request.
type Execute struct {
	Ticket         uint64
	IdempotencyKey string
	RequestID      string
	Method         string
	Path           string
	BodyBytes      int
}

// Gone tells that a caller has left.
type Gone struct{}

// SetStatus sets the status of the answers. Zero means 200. With NotRun, calls
// are refused with the status and not executed.
type SetStatus struct {
	Status int
	NotRun bool
}

// Tick is the timer event.
type Tick struct{}

func (Execute) isEvent()   {}
func (Gone) isEvent()      {}
func (SetStatus) isEvent() {}
func (Tick) isEvent()      {}

// Answer answers a request.
type Answer struct {
	Ticket uint64
	Status int
	// NotRun tells that the request was refused. Run is zero then.
	NotRun bool
	Run    Run
}

// Final returns true: each call has one answer.
func (a Answer) Final() bool { return true }

// Recipient returns the ticket.
func (a Answer) Recipient() uint64 { return a.Ticket }

// Run counts the executions of one request: those with the same idempotency
// key, or with the same request identifier where there is no key.
type Run struct {
	IdempotencyKey string
	// RequestIDs are those of the first executions, as far as they are kept.
	RequestIDs []string `json:"RequestIds"`
	Method     string
	Path       string
	BodyBytes  int
	Executions int
}

// State is the state of the stand-in.
type State struct {
	answer SetStatus
	// order holds the keys of runs from the oldest.
	order *immutable.List[string]
	runs  *immutable.Map[string, Run]
	total uint64
}

// NewState returns a service that has executed nothing.
func NewState() State {
	return State{order: immutable.NewList[string](), runs: immutable.NewMap[string, Run](nil)}
}

// Apply executes a request.
func (s State) Apply(in step.Input[Event]) (State, []Answer) {
	switch e := in.Event.(type) {
	case Execute:
		return s.execute(e)
	case SetStatus:
		s.answer = e
	}
	return s, nil
}

// Next returns the zero time: the service needs no timer.
func (s State) Next() time.Time { return time.Time{} }

// Runs returns the remembered requests from the oldest.
func (s State) Runs() []Run {
	runs := make([]Run, 0, s.order.Len())
	for itr := s.order.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		run, _ := s.runs.Get(key)
		runs = append(runs, run)
	}
	return runs
}

// Total returns the number of executions.
func (s State) Total() uint64 { return s.total }

// execute counts by idempotency key, and by request where there is none.
func (s State) execute(e Execute) (State, []Answer) {
	status := cmp.Or(s.answer.Status, http.StatusOK)
	if s.answer.NotRun {
		return s, []Answer{{Ticket: e.Ticket, Status: status, NotRun: true}}
	}
	key := "key " + e.IdempotencyKey
	if e.IdempotencyKey == "" {
		key = "request " + e.RequestID
	}
	run, ok := s.runs.Get(key)
	if !ok {
		run = Run{
			IdempotencyKey: e.IdempotencyKey,
			Method:         e.Method,
			Path:           e.Path,
			BodyBytes:      e.BodyBytes,
		}
		s.order = s.order.Append(key)
	}
	run.Executions++
	if len(run.RequestIDs) < maxRequestIDs {
		run.RequestIDs = append(slices.Clone(run.RequestIDs), e.RequestID)
	}
	s.total++
	s.runs = s.runs.Set(key, run)
	if s.order.Len() > maxRuns {
		s.runs = s.runs.Delete(s.order.Get(0))
		s.order = s.order.Slice(1, s.order.Len())
	}
	return s, []Answer{{Ticket: e.Ticket, Status: status, Run: run}}
}
