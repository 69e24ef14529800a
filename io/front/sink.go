package front

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"time"

	"caroblane/core/model"
)

// callerWriteTerm bounds how long a caller may leave its connection unread.
const callerWriteTerm = 30 * time.Second

// sink writes an answer to the caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	buffer     *bufio.Writer
	observer   Observer
	now        func() time.Time
	// lastWrite is the arrival of the request until the first flush.
	lastWrite time.Time
	flushed   bool
	begun     bool
	// tokens and seen are the position up to which the caller has the answer.
	tokens int
	seen   uint64
	// held keeps the answer back until the end of the request is recorded.
	held *heldAnswer
}

// heldAnswer is an answer that is not passed on yet.
type heldAnswer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func newSink(w http.ResponseWriter, observer Observer, now func() time.Time) *sink {
	return &sink{
		writer:     w,
		controller: http.NewResponseController(w),
		buffer:     bufio.NewWriterSize(w, 4<<10),
		observer:   observer,
		now:        now,
		lastWrite:  now(),
	}
}

// Begin implements relay.Sink.
func (s *sink) Begin(status int, header http.Header) error {
	if s.held != nil {
		s.held.status, s.held.header = status, header.Clone()
		return nil
	}
	if s.begun {
		return nil
	}
	s.begun = true
	for name, values := range header {
		switch name {
		case "Connection", "X-Attempt", "X-Request-Id", "Transfer-Encoding":
		default:
			s.writer.Header()[name] = values
		}
	}
	s.writer.WriteHeader(status)
	return nil
}

// Flush implements relay.Sink.
func (s *sink) Flush() error {
	if s.held != nil {
		return nil
	}
	now := s.now()
	if err := s.controller.SetWriteDeadline(now.Add(callerWriteTerm)); err != nil && !s.begun {
		return Errors.NewType("caller_write").Wrap(err, "write deadline")
	}
	if err := s.buffer.Flush(); err != nil {
		return Errors.NewType("caller_write").Wrap(err, "answer was not written")
	}
	if err := s.controller.Flush(); err != nil {
		return Errors.NewType("caller_write").Wrap(err, "answer was not flushed")
	}
	if s.flushed {
		s.observer.BetweenTokens(now.Sub(s.lastWrite))
	} else {
		s.observer.FirstToken(now.Sub(s.lastWrite))
	}
	s.flushed, s.lastWrite = true, now
	return nil
}

// Write implements relay.Sink.
func (s *sink) Write(p []byte) (int, error) {
	if s.held != nil {
		return s.held.body.Write(p)
	}
	return s.buffer.Write(p)
}

// finish passes on what was held back and ends the answer.
func (s *sink) finish() {
	if held := s.held; held != nil {
		s.held = nil
		_ = s.Begin(held.status, held.header)
		_, _ = s.Write(held.body.Bytes())
	}
	_ = s.Flush()
}

// holding makes the sink keep the answer until finish.
func (s *sink) holding() *sink {
	s.held = &heldAnswer{}
	return s
}

// refuse ends the answer with the typed error. A stream that has begun ends
// with an error event; another answer that has begun is cut, so that the
// caller cannot take it for a whole one.
func (s *sink) refuse(request model.Request, refusal model.Refusal) {
	s.held = nil
	if !s.begun {
		writeRefusal(s.writer, request.ID, refusal)
		return
	}
	if !request.Stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = s.buffer.WriteString("event: error\ndata: ")
	_, _ = s.buffer.Write(errorBody(request.ID, refusal))
	_, _ = s.buffer.WriteString("\n\n")
	_ = s.Flush()
}

// replay answers with a recorded answer.
func (s *sink) replay(answer model.Answer) {
	header := s.writer.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set("Idempotent-Replayed", "true")
	if answer.Truncated {
		header.Set("Idempotent-Body-Omitted", "true")
	} else {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	s.writer.WriteHeader(answer.Status)
	_, _ = s.writer.Write(answer.Body)
}

func (s *sink) setRequestID(id model.RequestID) {
	s.writer.Header().Set("X-Request-Id", string(id))
}
