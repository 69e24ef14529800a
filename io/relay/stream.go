package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/bits"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"caroblane/core/model"
)

const (
	maxEventBytes = 1 << 20
	// digestMultiplier makes the digest depend on the order of the events.
	digestMultiplier = 0x9e3779b97f4a7c15
	// minKeyLength is the minimum length in bytes of an API key that is searched
	// for in all headers. Shorter ones would match unrelated header values.
	minKeyLength = 8
)

var (
	choicesField = []byte(`"choices":`)
	dataField    = []byte("data:")
	doneMarker   = []byte("[DONE]")
	idField      = []byte("id:")
)

// eventID identifies an event in the response to a request.
type eventID struct {
	request model.RequestID
	attempt int
	// offset is the number of tokens in the response up to and including the event.
	offset int
}

// String returns the value of the SSE id field.
func (id eventID) String() string {
	return string(id.request) + "/" + strconv.Itoa(id.attempt) + "/" + strconv.Itoa(id.offset)
}

// eventReader reads server-sent events from a response body.
type eventReader struct {
	body  *bufio.Reader
	lines []byte
	// id is the last event ID. According to the SSE standard, it also applies to
	// the following events without an id field.
	id []byte
}

// sseEvent is a server-sent event. Its slices are valid until the next call of
// eventReader.next.
type sseEvent struct {
	id   []byte
	data []byte
}

// streamPosition is how much of a response was received and passed to the caller.
type streamPosition struct {
	// tokens and digest cover the events received in this attempt. If it resumes
	// an earlier attempt, they include the events of that one.
	tokens int
	digest uint64
	// skipTokens is the number of tokens that the caller already has and that this
	// attempt generates again. Their digest must be wantDigest.
	skipTokens int
	wantDigest uint64
}

// startPosition returns the position before the first event of the attempt.
func (a Attempt) startPosition() streamPosition {
	if a.Regenerate {
		return streamPosition{skipTokens: a.ReceivedTokens, wantDigest: a.Digest}
	}
	return streamPosition{tokens: a.ReceivedTokens, digest: a.Digest}
}

// withEvent returns the position after an event and whether the event has to be
// passed to the caller.
func (p streamPosition) withEvent(offset int, data []byte) (_ streamPosition, pass bool, _ error) {
	switch {
	case offset == p.tokens:
		// An event without a token, for example the role or the usage.
		return p, p.tokens >= p.skipTokens, nil
	case offset != p.tokens+1:
		return p, false, truncatedResponse.New("event at token %d follows token %d", offset, p.tokens)
	}
	p.tokens++
	p.digest = extendDigest(p.digest, data)
	if p.tokens == p.skipTokens && p.digest != p.wantDigest {
		return p, false, differentResponse.New("the first %d regenerated tokens differ from those already sent to the caller", p.skipTokens)
	}
	return p, p.tokens > p.skipTokens, nil
}

// result completes the result of an attempt that ended at this position.
func (p streamPosition) result(a Attempt, r Result) Result {
	r.TokensPassed, r.Digest = p.tokens, p.digest
	if p.tokens < p.skipTokens || r.Outcome == model.Broken && p.tokens == p.skipTokens {
		r.TokensPassed, r.Digest = a.ReceivedTokens, a.Digest
	}
	return r
}

// extendDigest adds an event to a digest. It ignores the fields before "choices",
// which differ between engines, for example the creation time.
func extendDigest(digest uint64, data []byte) uint64 {
	if start := bytes.Index(data, choicesField); start >= 0 {
		data = data[start:]
	}
	return bits.RotateLeft64(digest, 7)*digestMultiplier ^ xxhash.Sum64(data)
}

// passStream passes the server-sent events of the attempt to the sink. It fails
// if a token is missing or out of order, or if the number of tokens does not match
// the total stated at the end of the stream. Events of other requests and
// attempts are dropped.
func (a Attempt) passStream(ctx context.Context, response *http.Response, sink Sink) Result {
	events := eventReader{body: bufio.NewReaderSize(response.Body, copyBufferSize)}
	prefix := eventIDPrefix(a.RequestID, a.Number)
	position := a.startPosition()
	if a.ReceivedTokens == 0 {
		if err := sink.Begin(response.StatusCode, response.Header); err != nil {
			return Result{Outcome: model.CallerLeft, Err: err}
		}
	}
	var last []byte
	for {
		e, err := events.next()
		if err != nil {
			return position.result(a, a.failedAfterSend(ctx, 0, err))
		}
		offset, matches := parseOffset(e.id, prefix)
		if !matches {
			continue
		}
		done, pass := bytes.Equal(e.data, doneMarker), true
		if !done {
			if position, pass, err = position.withEvent(offset, e.data); err != nil {
				return position.result(a, a.failedAfterSend(ctx, 0, err))
			}
			last = append(last[:0], e.data...)
		} else if total, ok := completionTokens(last); !ok || total != position.tokens || total < position.skipTokens {
			return position.result(a, a.failedAfterSend(ctx, 0, truncatedResponse.New("response ended after %d tokens, but states %d", position.tokens, total)))
		}
		if pass {
			err = writeEvent(sink, e.data)
		}
		if err == nil && (done || events.body.Buffered() == 0) {
			err = sink.Flush()
		}
		if err != nil {
			return position.result(a, Result{Outcome: model.CallerLeft, Err: err})
		}
		if done {
			return position.result(a, Result{Outcome: model.Completed})
		}
	}
}

func eventIDPrefix(request model.RequestID, attempt int) string {
	return string(request) + "/" + strconv.Itoa(attempt) + "/"
}

// parseOffset returns the token offset in an event ID. It returns false if the
// event does not belong to the attempt with the given ID prefix.
func parseOffset(id []byte, prefix string) (int, bool) {
	if len(id) <= len(prefix) || string(id[:len(prefix)]) != prefix {
		return 0, false
	}
	offset := 0
	for _, c := range id[len(prefix):] {
		if c < '0' || c > '9' || offset > 1<<30 {
			return 0, false
		}
		offset = offset*10 + int(c-'0')
	}
	return offset, true
}

// next returns the next event with a data field.
func (r *eventReader) next() (sseEvent, error) {
	var e sseEvent
	r.lines = r.lines[:0]
	for {
		line, err := r.readLine()
		if err != nil {
			return sseEvent{}, err
		}
		switch {
		case len(line) == 0:
			if e.data != nil {
				e.id = r.id
				return e, nil
			}
		case bytes.HasPrefix(line, dataField):
			e.data = bytes.TrimPrefix(line[len(dataField):], []byte(" "))
		case bytes.HasPrefix(line, idField):
			r.id = append(r.id[:0], bytes.TrimPrefix(line[len(idField):], []byte(" "))...)
		}
	}
}

// readLine returns the next line without its line break. It appends the line to
// r.lines, which holds all lines of the current event.
func (r *eventReader) readLine() ([]byte, error) {
	start := len(r.lines)
	for {
		part, err := r.body.ReadSlice('\n')
		r.lines = append(r.lines, part...)
		if err == nil {
			return bytes.TrimRight(r.lines[start:], "\r\n"), nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(r.lines) > maxEventBytes {
			return nil, truncatedResponse.New("event is longer than %d bytes", maxEventBytes)
		}
	}
}

// completionTokens returns the number of generated tokens stated in the usage of
// a response or of the last chunk of a stream.
func completionTokens(data []byte) (int, bool) {
	var chunk struct {
		Usage *struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) != nil || chunk.Usage == nil {
		return 0, false
	}
	return chunk.Usage.CompletionTokens, true
}

func writeEvent(sink Sink, data []byte) error {
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := sink.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// hopByHopHeaders are the headers that apply to a single connection and must not
// be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeader returns the caller's headers to forward to an upstream. It removes
// hop-by-hop headers, cookies and the caller's API key, including copies of the
// key that a proxy in front of the node has put into other headers.
func ForwardHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key", headerRequestID, headerAttempt, headerPriority, headerLastEvent} {
		forwarded.Del(name)
	}
	_, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if key = strings.TrimSpace(key); len(key) >= minKeyLength {
		maps.DeleteFunc(forwarded, func(_ string, values []string) bool {
			return slices.ContainsFunc(values, func(value string) bool { return strings.Contains(value, key) })
		})
	}
	return forwarded
}
