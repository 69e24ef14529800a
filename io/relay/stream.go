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
	maxEventLine = 1 << 20
	// digestFactor makes the digest depend on the order of events.
	digestFactor = 0x9e3779b97f4a7c15
	// minKey is the length in bytes from which a key is looked for in all
	// headers. Shorter text occurs in ordinary values.
	minKey = 8
)

var (
	choicesField = []byte(`"choices":`)
	dataField    = []byte("data:")
	doneData     = []byte("[DONE]")
	idField      = []byte("id:")
)

// eventID is the position of an event in the answer to a request.
type eventID struct {
	request model.RequestID
	attempt int
	// offset is the number of tokens up to and including the event.
	offset int
}

// String returns the text of an SSE id field.
func (id eventID) String() string {
	return string(id.request) + "/" + strconv.Itoa(id.attempt) + "/" + strconv.Itoa(id.offset)
}

// reader splits a body into server-sent events.
type reader struct {
	body *bufio.Reader
	line []byte
	// id is that of the last event that had one. The SSE standard passes it on
	// to events without an id field.
	id []byte
}

// event is one server-sent event. Its slices are valid until the next call.
type event struct {
	id   []byte
	data []byte
}

// position is how much of an answer was seen and passed on.
type position struct {
	// tokens and digest cover the events seen in this attempt and, if it resumes
	// an earlier one, before it.
	tokens int
	digest uint64
	// skip is the number of tokens that the caller has already and that this
	// attempt generates again, and want their digest.
	skip int
	want uint64
}

// start returns the position before the first event of an attempt.
func (a Attempt) start() position {
	if a.Regenerate {
		return position{skip: a.Resume, want: a.Seen}
	}
	return position{tokens: a.Resume, digest: a.Seen}
}

// with returns the position after an event, and whether the caller gets it.
func (p position) with(offset int, data []byte) (_ position, pass bool, _ error) {
	switch {
	case offset == p.tokens:
		// An event without a token, for example the role or the counts.
		return p, p.tokens >= p.skip, nil
	case offset != p.tokens+1:
		return p, false, truncated.New("event at token %d follows token %d", offset, p.tokens)
	}
	p.tokens++
	p.digest = digestOf(p.digest, data)
	if p.tokens == p.skip && p.digest != p.want {
		return p, false, differs.New("the first %d tokens generated again differ from those that the caller has", p.skip)
	}
	return p, p.tokens > p.skip, nil
}

// result returns the end of an attempt at this position.
func (p position) result(a Attempt, r Result) Result {
	r.TokensPassed, r.Seen = p.tokens, p.digest
	if p.tokens < p.skip || r.Outcome == model.Broken && p.tokens == p.skip {
		r.TokensPassed, r.Seen = a.Resume, a.Seen
	}
	return r
}

// digestOf adds an event to a digest. The fields before the choices differ
// between engines, for example the time of creation.
func digestOf(digest uint64, data []byte) uint64 {
	if at := bytes.Index(data, choicesField); at >= 0 {
		data = data[at:]
	}
	return bits.RotateLeft64(digest, 7)*digestFactor ^ xxhash.Sum64(data)
}

// stream passes on server-sent events that belong to the request, in order and
// without a gap, and checks the total at the end.
func (a Attempt) stream(ctx context.Context, response *http.Response, sink Sink) Result {
	events := reader{body: bufio.NewReaderSize(response.Body, copyBuffer)}
	prefix := eventPrefix(a.RequestID, a.Number)
	at := a.start()
	if a.Resume == 0 {
		if err := sink.Begin(response.StatusCode, response.Header); err != nil {
			return Result{Outcome: model.CallerLeft, Err: err}
		}
	}
	var last []byte
	for {
		e, err := events.next()
		if err != nil {
			return at.result(a, a.broken(ctx, 0, err))
		}
		offset, own := ownOffset(e.id, prefix)
		if !own {
			continue
		}
		done, pass := bytes.Equal(e.data, doneData), true
		if !done {
			if at, pass, err = at.with(offset, e.data); err != nil {
				return at.result(a, a.broken(ctx, 0, err))
			}
			last = append(last[:0], e.data...)
		} else if total, ok := totalTokens(last); !ok || total != at.tokens || total < at.skip {
			return at.result(a, a.broken(ctx, 0, truncated.New("answer ended after %d tokens of %d", at.tokens, total)))
		}
		if pass {
			err = writeEvent(sink, e.data)
		}
		if err == nil && (done || events.body.Buffered() == 0) {
			err = sink.Flush()
		}
		if err != nil {
			return at.result(a, Result{Outcome: model.CallerLeft, Err: err})
		}
		if done {
			return at.result(a, Result{Outcome: model.Completed})
		}
	}
}

func eventPrefix(request model.RequestID, attempt int) string {
	return string(request) + "/" + strconv.Itoa(attempt) + "/"
}

// ownOffset returns the token offset of an event id, and whether the event
// belongs to the attempt with the given prefix.
func ownOffset(id []byte, prefix string) (int, bool) {
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

// next returns the next event that has data.
func (r *reader) next() (event, error) {
	var e event
	r.line = r.line[:0]
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
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

// readLine returns a line without its end. Lines of one event are kept one
// after the other in r.line.
func (r *reader) readLine() ([]byte, error) {
	start := len(r.line)
	for {
		part, err := r.body.ReadSlice('\n')
		r.line = append(r.line, part...)
		if err == nil {
			return bytes.TrimRight(r.line[start:], "\r\n"), nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(r.line) > maxEventLine {
			return nil, truncated.New("event is longer than %d bytes", maxEventLine)
		}
	}
}

// totalTokens returns the number of tokens that the last chunk of an answer
// states.
func totalTokens(data []byte) (int, bool) {
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

// hopHeaders are the headers that end at each connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeader returns the headers of a caller that an upstream may see. The
// caller's key is not among them, also where a proxy in front of the node has
// copied it to another header.
func ForwardHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key", headerRequestID, headerAttempt, headerPriority, headerLastEvent} {
		forwarded.Del(name)
	}
	_, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if key = strings.TrimSpace(key); len(key) >= minKey {
		maps.DeleteFunc(forwarded, func(_ string, values []string) bool {
			return slices.ContainsFunc(values, func(value string) bool { return strings.Contains(value, key) })
		})
	}
	return forwarded
}
