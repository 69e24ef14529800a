package engine

import (
	"net/http"
	"strconv"
	"strings"

	"caroblane/fake/gate"
	"caroblane/fake/serve"
)

// flushBytes is the size at which a stream's buffer is written out.
const flushBytes = 32 << 10

// stream encodes the answer to one request.
type stream struct {
	engine *Engine
	id     string
	try    string
	model  string
	seed   uint64
	// whole asks for one JSON object instead of events.
	whole bool
	// begun tells that the response has started, at is the next offset, and
	// crossed that a foreign event was written.
	begun   bool
	at      int
	crossed bool
	buffer  []byte
	head    []byte
	middle  []byte
}

// copy writes tokens as they come.
func (s *stream) copy(w http.ResponseWriter, r *http.Request, call *serve.Call[Effect]) {
	s.head = []byte("id: " + s.id + "/" + s.try + "/")
	s.middle = []byte(`data: {"id":` + strconv.Quote(s.id) + `,"object":"chat.completion.chunk","created":0,"model":` +
		strconv.Quote(s.model) + `,"choices":[{"index":0,"delta":`)
	for {
		effect, ok := s.await(w, r, call)
		if !ok {
			return
		}
		switch e := effect.(type) {
		case Answer:
			reply(w, e)
			return
		case Tokens:
			if s.whole {
				if !e.Last() {
					continue
				}
				s.writeWhole(w, e)
				return
			}
			if !s.write(w, e) || e.Last() {
				return
			}
		default:
			return
		}
	}
}

// await returns the next effect. A stream that has begun is cut where another
// call would be answered.
func (s *stream) await(w http.ResponseWriter, r *http.Request, call *serve.Call[Effect]) (Effect, bool) {
	if !s.begun {
		return s.engine.Await(w, r, call)
	}
	given, ok := call.Next(r.Context())
	if ok && given.Action != gate.Pass {
		panic(http.ErrAbortHandler)
	}
	return given.Inner, ok
}

// write writes the events of the tokens up to an offset. It reports false when
// the caller has left.
func (s *stream) write(w http.ResponseWriter, t Tokens) bool {
	if !s.begun && t.Cut && t.Upto == t.From {
		serve.Hangup(w)
		return false
	}
	if !s.begun {
		s.begun = true
		s.at = t.From
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(w)
	for ; s.at < t.Upto; s.at++ {
		s.event(s.at+1, token(s.seed, s.at))
		if t.Foreign != "" && !s.crossed {
			s.crossed = true
			s.foreign(t.Foreign)
		}
		if len(s.buffer) >= flushBytes && !s.flush(w, controller) {
			return false
		}
	}
	if t.Done {
		s.end(t)
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

// event appends the event of one token.
func (s *stream) event(offset int, text string) {
	s.buffer = append(s.buffer, s.head...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, s.middle...)
	s.buffer = append(s.buffer, `{"content":"`...)
	s.buffer = append(s.buffer, text...)
	s.buffer = append(s.buffer, "\"},\"finish_reason\":null}]}\n\n"...)
}

// foreign appends an event that does not belong to the stream.
func (s *stream) foreign(start string) {
	s.buffer = append(s.buffer, "id: "+start+"/"+strconv.Itoa(s.at+1)+"\n"...)
	s.buffer = append(s.buffer, s.middle...)
	s.buffer = append(s.buffer, "{\"content\":\"crossed \"},\"finish_reason\":null}]}\n\n"...)
}

// end appends the last chunk with the counts, and the end mark.
func (s *stream) end(t Tokens) {
	s.buffer = append(s.buffer, s.head...)
	s.buffer = strconv.AppendInt(s.buffer, int64(s.at), 10)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, s.middle...)
	s.buffer = append(s.buffer, `{},"finish_reason":"length"}],"usage":`...)
	s.buffer = append(s.buffer, usage(t)...)
	s.buffer = append(s.buffer, "}\n\ndata: [DONE]\n\n"...)
}

func usage(t Tokens) string {
	return `{"prompt_tokens":` + strconv.Itoa(t.PromptTokens) +
		`,"completion_tokens":` + strconv.Itoa(t.Upto) +
		`,"total_tokens":` + strconv.Itoa(t.PromptTokens+t.Upto) +
		`,"prompt_tokens_details":{"cached_tokens":` + strconv.Itoa(t.CachedTokens) + `}}`
}

// writeWhole writes the answer as one JSON object. A crossed or late one has
// the headers of another request or attempt.
func (s *stream) writeWhole(w http.ResponseWriter, t Tokens) {
	if t.Cut {
		serve.Hangup(w)
		return
	}
	if id, attempt, ok := strings.Cut(t.Foreign, "/"); ok {
		w.Header().Set(headerRequestID, id)
		w.Header().Set(headerAttempt, attempt)
	}
	body := `{"id":` + strconv.Quote(s.id) + `,"object":"chat.completion","created":0,"model":` + strconv.Quote(s.model) +
		`,"choices":[{"index":0,"message":{"role":"assistant","content":` + strconv.Quote(Text(s.seed, 0, t.Upto)) +
		`},"finish_reason":"length"}],"usage":` + usage(t) + `}`
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(body))
}
