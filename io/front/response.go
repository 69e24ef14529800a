package front

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"time"

	"caroblane/core/model"
	"caroblane/io/clock"
)

// callerWriteTimeout is how long a caller may stop reading from its connection.
const callerWriteTimeout = 30 * time.Second

// responseWriter implements relay.Sink. It writes a response to the caller.
type responseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	buffer     *bufio.Writer
	observer   Observer
	now        func() time.Time
	// lastWrite is the time of the last flush, or before the first one the time
	// at which the request arrived.
	lastWrite     time.Time
	flushed       bool
	headerWritten bool
	// tokensSent and tokenDigest are the position up to which the caller has
	// received the response: the number of tokens and the digest of their events.
	tokensSent  int
	tokenDigest uint64
	// buffered holds the response until the outcome of the request is recorded.
	// It is nil if the response is passed on immediately.
	buffered *bufferedResponse
}

// bufferedResponse is a response that has not been sent yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func newResponseWriter(w http.ResponseWriter, observer Observer, now func() time.Time) *responseWriter {
	return &responseWriter{
		writer:     w,
		controller: http.NewResponseController(w),
		buffer:     bufio.NewWriterSize(w, 4<<10),
		observer:   observer,
		now:        now,
		lastWrite:  now(),
	}
}

// Begin implements relay.Sink.
func (w *responseWriter) Begin(status int, header http.Header) error {
	if w.buffered != nil {
		w.buffered.status, w.buffered.header = status, header.Clone()
		return nil
	}
	if w.headerWritten {
		return nil
	}
	w.headerWritten = true
	for name, values := range header {
		switch name {
		case "Connection", "X-Attempt", "X-Request-Id", "Transfer-Encoding":
		default:
			w.writer.Header()[name] = values
		}
	}
	w.writer.WriteHeader(status)
	return nil
}

// Flush implements relay.Sink.
func (w *responseWriter) Flush() error {
	if w.buffered != nil {
		return nil
	}
	now := w.now()
	if err := w.controller.SetWriteDeadline(clock.RuntimeDeadline(callerWriteTimeout)); err != nil && !w.headerWritten {
		return Errors.NewType("caller_write").Wrap(err, "write deadline could not be set")
	}
	if err := w.buffer.Flush(); err != nil {
		return Errors.NewType("caller_write").Wrap(err, "response could not be written")
	}
	if err := w.controller.Flush(); err != nil {
		return Errors.NewType("caller_write").Wrap(err, "response could not be flushed")
	}
	if w.flushed {
		w.observer.BetweenTokens(now.Sub(w.lastWrite))
	} else {
		w.observer.FirstToken(now.Sub(w.lastWrite))
	}
	w.flushed, w.lastWrite = true, now
	return nil
}

// Write implements relay.Sink.
func (w *responseWriter) Write(p []byte) (int, error) {
	if w.buffered != nil {
		return w.buffered.body.Write(p)
	}
	return w.buffer.Write(p)
}

// finish writes the buffered response, if any, and flushes.
func (w *responseWriter) finish() {
	if response := w.buffered; response != nil {
		w.buffered = nil
		_ = w.Begin(response.status, response.header)
		_, _ = w.Write(response.body.Bytes())
	}
	_ = w.Flush()
}

// bufferUntilFinish makes the writer hold back the response until finish is
// called, and returns the writer.
func (w *responseWriter) bufferUntilFinish() *responseWriter {
	w.buffered = &bufferedResponse{}
	return w
}

// endWithRefusal ends the response with an error. If the response has begun, a
// stream ends with an error event, and any other response is aborted, so that
// the caller cannot mistake it for a complete one.
func (w *responseWriter) endWithRefusal(request model.Request, refusal model.Refusal) {
	w.buffered = nil
	if !w.headerWritten {
		writeRefusal(w.writer, request.ID, refusal)
		return
	}
	if !request.Stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.buffer.WriteString("event: error\ndata: ")
	_, _ = w.buffer.Write(errorBody(request.ID, refusal))
	_, _ = w.buffer.WriteString("\n\n")
	_ = w.Flush()
}

// replay responds with a recorded response.
func (w *responseWriter) replay(recorded model.Response) {
	header := w.writer.Header()
	if recorded.ContentType != "" {
		header.Set("Content-Type", recorded.ContentType)
	}
	header.Set("Idempotent-Replayed", "true")
	if recorded.Truncated {
		header.Set("Idempotent-Body-Omitted", "true")
	} else {
		header.Set("Content-Length", strconv.Itoa(len(recorded.Body)))
	}
	w.writer.WriteHeader(recorded.Status)
	_, _ = w.writer.Write(recorded.Body)
}

func (w *responseWriter) setRequestID(id model.RequestID) {
	w.writer.Header().Set("X-Request-Id", string(id))
}
