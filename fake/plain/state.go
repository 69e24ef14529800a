// Package plain is a fake plain service. It counts the executions of each
// request, so that tests can detect a request that was executed twice.
package plain

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/step"
)

// maxRecords limits the recorded requests. The oldest ones are dropped.
const maxRecords = 100_000

// maxRequestIDs limits the request IDs that each record keeps.
const maxRequestIDs = 16

// Event is an input of the service: a request, a change of the status, or the
// timer.
type Event interface{ isEvent() }

// Execute executes a request.
type Execute struct {
	Ticket         uint64
	IdempotencyKey string
	RequestID      string
	Method         string
	Path           string
	BodyBytes      int
}

// Disconnected reports that a caller has disconnected.
type Disconnected struct{}

// SetStatus sets the status of the responses. Zero means 200. With NotRun,
// requests are refused with the status and not executed.
type SetStatus struct {
	Status int
	NotRun bool
}

// Tick is the timer event.
type Tick struct{}

func (Execute) isEvent()      {}
func (Disconnected) isEvent() {}
func (SetStatus) isEvent()    {}
func (Tick) isEvent()         {}

// Response is the response to a request.
type Response struct {
	Ticket uint64
	Status int
	// NotRun means that the request was refused. Run is then zero.
	NotRun bool
	Run    Record
}

// Final returns true: each call has one response.
func (r Response) Final() bool { return true }

// Recipient returns the ticket.
func (r Response) Recipient() uint64 { return r.Ticket }

// Record counts the executions of a request. Requests with the same idempotency
// key are the same; without a key, those with the same request ID are.
type Record struct {
	IdempotencyKey string
	// RequestIDs holds the IDs of the first maxRequestIDs executions.
	RequestIDs []string `json:"RequestIds"`
	Method     string
	Path       string
	BodyBytes  int
	Executions int
}

// State is the state of the service.
type State struct {
	status SetStatus
	// keysByAge holds the keys of records, oldest first.
	keysByAge      *immutable.List[string]
	records        *immutable.Map[string, Record]
	executionCount uint64
}

// NewState returns the state of a service that has executed nothing.
func NewState() State {
	return State{keysByAge: immutable.NewList[string](), records: immutable.NewMap[string, Record](nil)}
}

// Apply executes a request or changes the status.
func (s State) Apply(in step.Input[Event]) (State, []Response) {
	switch e := in.Event.(type) {
	case Execute:
		return s.execute(e)
	case SetStatus:
		s.status = e
	}
	return s, nil
}

// Next returns the zero time, because the service needs no timer.
func (s State) Next() time.Time { return time.Time{} }

// Records returns the recorded requests, oldest first.
func (s State) Records() []Record {
	records := make([]Record, 0, s.keysByAge.Len())
	for itr := s.keysByAge.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		record, _ := s.records.Get(key)
		records = append(records, record)
	}
	return records
}

// ExecutionCount returns the number of executions.
func (s State) ExecutionCount() uint64 { return s.executionCount }

// execute counts an execution by idempotency key, or by request ID if there is
// no key.
func (s State) execute(e Execute) (State, []Response) {
	status := cmp.Or(s.status.Status, http.StatusOK)
	if s.status.NotRun {
		return s, []Response{{Ticket: e.Ticket, Status: status, NotRun: true}}
	}
	key := "key " + e.IdempotencyKey
	if e.IdempotencyKey == "" {
		key = "request " + e.RequestID
	}
	record, ok := s.records.Get(key)
	if !ok {
		record = Record{
			IdempotencyKey: e.IdempotencyKey,
			Method:         e.Method,
			Path:           e.Path,
			BodyBytes:      e.BodyBytes,
		}
		s.keysByAge = s.keysByAge.Append(key)
	}
	record.Executions++
	if len(record.RequestIDs) < maxRequestIDs {
		record.RequestIDs = append(slices.Clone(record.RequestIDs), e.RequestID)
	}
	s.executionCount++
	s.records = s.records.Set(key, record)
	if s.keysByAge.Len() > maxRecords {
		s.records = s.records.Delete(s.keysByAge.Get(0))
		s.keysByAge = s.keysByAge.Slice(1, s.keysByAge.Len())
	}
	return s, []Response{{Ticket: e.Ticket, Status: status, Run: record}}
}
