package engine

import (
	"net/http"
	"strconv"
	"strings"

	"caroblane/fake/gate"
	"caroblane/fake/serve"
)

// flushBytes is the buffer size at which a stream is flushed.
const flushBytes = 32 << 10

// stream encodes the response to one chat request.
type stream struct {
	engine  *Engine
	id      string
	attempt string
	model   string
	seed    uint64
	// single is set for a response as one JSON object instead of a stream of
	// events.
	single bool
	// started is set once the response header is written. nextOffset is the
	// offset of the next token, and foreignSent is set once a foreign event was
	// injected.
	started     bool
	nextOffset  int
	foreignSent bool
	buffer      []byte
	idPrefix    []byte
	chunkPrefix []byte
}

// forward writes the effects of a call to the response until the last one.
func (s *stream) forward(w http.ResponseWriter, r *http.Request, call *serve.Call[Effect]) {
	s.idPrefix = []byte("id: " + s.id + "/" + s.attempt + "/")
	s.chunkPrefix = []byte(`data: {"id":` + strconv.Quote(s.id) + `,"object":"chat.completion.chunk","created":0,"model":` +
		strconv.Quote(s.model) + `,"choices":[{"index":0,"delta":`)
	for {
		effect, ok := s.await(w, r, call)
		if !ok {
			return
		}
		switch e := effect.(type) {
		case Response:
			writeResponse(w, e)
			return
		case Tokens:
			if s.single {
				if !e.Final() {
					continue
				}
				s.writeSingle(w, e)
				return
			}
			if !s.writeEvents(w, e) || e.Final() {
				return
			}
		default:
			return
		}
	}
}

// await returns the next effect. Where the gate closes the connection or
// refuses the call, a stream that has started is cut.
func (s *stream) await(w http.ResponseWriter, r *http.Request, call *serve.Call[Effect]) (Effect, bool) {
	if !s.started {
		return s.engine.Await(w, r, call)
	}
	next, ok := call.Next(r.Context())
	if ok && next.Action != gate.Deliver {
		panic(http.ErrAbortHandler)
	}
	return next.Inner, ok
}

// writeEvents writes events for the tokens up to t.Upto. It returns false if the
// connection is closed.
func (s *stream) writeEvents(w http.ResponseWriter, t Tokens) bool {
	if !s.started && t.Cut && t.Upto == t.From {
		serve.Abort(w)
		return false
	}
	if !s.started {
		s.started = true
		s.nextOffset = t.From
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(w)
	for ; s.nextOffset < t.Upto; s.nextOffset++ {
		s.appendToken(s.nextOffset+1, tokenAt(s.seed, s.nextOffset))
		if t.Foreign != "" && !s.foreignSent {
			s.foreignSent = true
			s.appendForeign(t.Foreign)
		}
		if len(s.buffer) >= flushBytes && !s.flush(w, controller) {
			return false
		}
	}
	if t.Done {
		s.appendEnd(t)
	}
	if !s.flush(w, controller) {
		return false
	}
	if t.Cut {
		panic(http.ErrAbortHandler)
	}
	return true
}

func (s *stream) flush(w http.ResponseWriter, controller *http.ResponseController) bool {
	if _, err := w.Write(s.buffer); err != nil {
		return false
	}
	s.buffer = s.buffer[:0]
	return controller.Flush() == nil
}

// appendToken appends the event of one token.
func (s *stream) appendToken(offset int, text string) {
	s.buffer = append(s.buffer, s.idPrefix...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, s.chunkPrefix...)
	s.buffer = append(s.buffer, `{"content":"`...)
	s.buffer = append(s.buffer, text...)
	s.buffer = append(s.buffer, "\"},\"finish_reason\":null}]}\n\n"...)
}

// appendForeign appends an event that belongs to another stream.
func (s *stream) appendForeign(start string) {
	s.buffer = append(s.buffer, "id: "+start+"/"+strconv.Itoa(s.nextOffset+1)+"\n"...)
	s.buffer = append(s.buffer, s.chunkPrefix...)
	s.buffer = append(s.buffer, "{\"content\":\"crossed \"},\"finish_reason\":null}]}\n\n"...)
}

// appendEnd appends the final chunk with the token counts, and the [DONE]
// marker.
func (s *stream) appendEnd(t Tokens) {
	s.buffer = append(s.buffer, s.idPrefix...)
	s.buffer = strconv.AppendInt(s.buffer, int64(s.nextOffset), 10)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, s.chunkPrefix...)
	s.buffer = append(s.buffer, `{},"finish_reason":"length"}],"usage":`...)
	s.buffer = append(s.buffer, usageJSON(t)...)
	s.buffer = append(s.buffer, "}\n\ndata: [DONE]\n\n"...)
}

func usageJSON(t Tokens) string {
	return `{"prompt_tokens":` + strconv.Itoa(t.PromptTokens) +
		`,"completion_tokens":` + strconv.Itoa(t.Upto) +
		`,"total_tokens":` + strconv.Itoa(t.PromptTokens+t.Upto) +
		`,"prompt_tokens_details":{"cached_tokens":` + strconv.Itoa(t.CachedTokens) + `}}`
}

// writeSingle writes the response as one JSON object. With a foreign event, it
// gets the headers of the other request or attempt.
func (s *stream) writeSingle(w http.ResponseWriter, t Tokens) {
	if t.Cut {
		serve.Abort(w)
		return
	}
	if id, attempt, ok := strings.Cut(t.Foreign, "/"); ok {
		w.Header().Set(headerRequestID, id)
		w.Header().Set(headerAttempt, attempt)
	}
	body := `{"id":` + strconv.Quote(s.id) + `,"object":"chat.completion","created":0,"model":` + strconv.Quote(s.model) +
		`,"choices":[{"index":0,"message":{"role":"assistant","content":` + strconv.Quote(Text(s.seed, 0, t.Upto)) +
		`},"finish_reason":"length"}],"usage":` + usageJSON(t) + `}`
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(body))
}
