package engine

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"caroblane/fake/gate"
	"caroblane/fake/serve"
)

const (
	headerAttempt   = "X-Attempt"
	headerRequestID = "X-Request-Id"

	maxBodyBytes = 16 << 20
	// tokenBytes is the size of a prompt token; there is no tokenizer.
	tokenBytes       = 4
	defaultMaxTokens = 16
	// maxCachedBlocks limits the blocks of a prompt that are cached.
	maxCachedBlocks = 64
)

// Engine serves a fake engine over HTTP.
type Engine struct {
	*serve.Server[State, Event, Effect]
}

// New returns an engine that serves on listener and starts with the given
// state.
func New(listener net.Listener, initial State, rng *rand.Rand, now func() time.Time) *Engine {
	machine := gate.New[State, Event, Effect](initial, Tick{}, func(ticket uint64) Event { return Disconnected{Ticket: ticket} })
	e := &Engine{Server: serve.NewServer(listener, machine, mergeEffects, rng, now)}
	e.OnGlobalEffect(func(effect Effect) {
		if crash, ok := effect.(Crash); ok {
			e.Restart(crash.RestartAt)
		}
	})
	return e
}

// Run serves until the context is cancelled.
func (e *Engine) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /crash", e.ServeCrash)
	mux.HandleFunc("GET /faults", e.serveReadFaults)
	mux.HandleFunc("POST /faults", e.serveSetFaults)
	mux.HandleFunc("GET /kv/{prefix}", e.serveExport)
	mux.HandleFunc("PUT /kv/{prefix}", e.serveImport)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /orders", e.serveReadOrders)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("DELETE /requests/{id}", e.serveCancel)
	mux.HandleFunc("GET /stats", e.serveStats)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	return e.Server.Run(ctx, mux)
}

// Prefixes returns a running hash for each whole block of a request's body: the
// first 8 bytes, little-endian, of the SHA-256 of the body up to the end of the
// block. Routers compute the same hashes to match requests with cache events.
func Prefixes(body []byte) []uint64 {
	const blockBytes = BlockTokens * tokenBytes
	blocks := min(len(body)/blockBytes, maxCachedBlocks)
	prefixes := make([]uint64, 0, blocks)
	sum := sha256.New()
	for i := range blocks {
		_, _ = sum.Write(body[i*blockBytes : (i+1)*blockBytes])
		prefixes = append(prefixes, binary.LittleEndian.Uint64(sum.Sum(nil)))
	}
	return prefixes
}

// CountTokens returns the number of tokens in a prompt.
func CountTokens(prompt string) int { return (len(prompt) + tokenBytes - 1) / tokenBytes }

// chatBody holds the fields of a chat request that the engine uses.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Seed      int64         `json:"seed"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt returns the messages as one text.
func (b chatBody) prompt() string {
	var text strings.Builder
	for _, message := range b.Messages {
		text.WriteString(message.Role + "\x00" + message.Content + "\x00")
	}
	return text.String()
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	// Callers use these headers to detect the response to another request or
	// attempt.
	for _, name := range []string{headerRequestID, headerAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		serve.Refuse(w, http.StatusRequestEntityTooLarge, "TooLarge", "NotRun", err.Error())
		return
	}
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		serve.Refuse(w, http.StatusBadRequest, "Malformed", "NotRun", err.Error())
		return
	}
	maxTokens := defaultMaxTokens
	if body.MaxTokens != nil {
		maxTokens = *body.MaxTokens
	}
	if maxTokens < 1 {
		serve.Refuse(w, http.StatusBadRequest, "Malformed", "NotRun", "field max_tokens: accepted: 1 or more")
		return
	}
	prompt := body.prompt()
	s := &stream{
		engine:  e,
		id:      r.Header.Get(headerRequestID),
		attempt: r.Header.Get(headerAttempt),
		model:   body.Model,
		seed:    Seed(body.Model, prompt, body.Seed),
		single:  !body.Stream,
	}
	offset, resumed, ok := parseLastEventID(r.Header.Get("Last-Event-ID"), s.id)
	if !ok {
		serve.Refuse(w, http.StatusBadRequest, "Malformed", "NotRun",
			"header Last-Event-ID: accepted: <X-Request-Id>/<attempt>/<offset>")
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	call, err := e.Open(r, true, func(ticket uint64) Event {
		if s.id == "" {
			s.id = "ticket-" + strconv.FormatUint(ticket, 10)
		}
		if resumed {
			return Resume{Ticket: ticket, ID: s.id, Attempt: s.attempt, Seed: s.seed, Offset: offset}
		}
		return Submit{
			Ticket:       ticket,
			ID:           s.id,
			Attempt:      s.attempt,
			Priority:     priority,
			Model:        body.Model,
			Prompt:       prompt,
			Prefixes:     Prefixes(data),
			PromptTokens: CountTokens(prompt),
			MaxTokens:    maxTokens,
			Seed:         s.seed,
		}
	})
	if err != nil {
		serve.Abort(w)
		return
	}
	defer e.Close(r, call)
	s.forward(w, r, call)
}

// parseLastEventID returns the offset in a Last-Event-ID header. Resumed is
// false if the header is empty, and ok is false if it is not an event ID of the
// request.
func parseLastEventID(header, id string) (offset int, resumed, ok bool) {
	if header == "" {
		return 0, false, true
	}
	rest, found := strings.CutPrefix(header, id+"/")
	_, number, both := strings.Cut(rest, "/")
	offset, err := strconv.Atoi(number)
	return offset, true, found && both && err == nil && offset >= 0 && id != ""
}

func (e *Engine) ask(w http.ResponseWriter, r *http.Request, write bool, event func(ticket uint64) Event) {
	effect, ok := e.Ask(w, r, write, event)
	if !ok {
		return
	}
	response, _ := effect.(Response)
	writeResponse(w, response)
}

func writeResponse(w http.ResponseWriter, response Response) {
	if response.Fault == nil {
		serve.JSON(w, response.Status, response.Body)
		return
	}
	if response.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	serve.Refuse(w, response.Status, response.Fault.Reason, response.Fault.Execution, response.Fault.Message)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint("0"+r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		serve.Refuse(w, http.StatusBadRequest, "Malformed", "NotRun", "field after: accepted: a sequence number")
		return
	}
	e.ask(w, r, false, func(ticket uint64) Event {
		return ReadCacheEvents{Ticket: ticket, After: after, Limit: 1_000}
	})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.ask(w, r, true, func(ticket uint64) Event { return Cancel{Ticket: ticket, ID: r.PathValue("id")} })
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	if prefix, ok := parsePrefix(w, r); ok {
		e.ask(w, r, false, func(ticket uint64) Event { return Export{Ticket: ticket, Prefix: prefix} })
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	prefix, ok := parsePrefix(w, r)
	if !ok {
		return
	}
	body, ok := serve.Decode[KVBody](w, r)
	if !ok {
		return
	}
	if body.Prefix != prefix || body.Tokens != BlockTokens {
		serve.Refuse(w, http.StatusBadRequest, "Malformed", "NotRun", "body is not the export of this prefix")
		return
	}
	e.ask(w, r, true, func(ticket uint64) Event { return Import{Ticket: ticket, Prefix: prefix} })
}

func parsePrefix(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	if err != nil {
		serve.Refuse(w, http.StatusBadRequest, "Malformed", "NotRun", "prefix: accepted: a decimal hash")
	}
	return prefix, err == nil
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.ask(w, r, false, func(ticket uint64) Event { return ReadLoad{Ticket: ticket} })
}

type orderBody struct {
	Epoch  uint64
	Seq    uint64
	Intent Intent
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[orderBody](w, r)
	if !ok {
		return
	}
	e.ask(w, r, true, func(ticket uint64) Event {
		return Order{Ticket: ticket, Epoch: body.Epoch, Seq: body.Seq, Intent: body.Intent}
	})
}

func (e *Engine) serveReadOrders(w http.ResponseWriter, r *http.Request) {
	e.ask(w, r, false, func(ticket uint64) Event { return ReadOrders{Ticket: ticket} })
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, e.Snapshot().Inner().Stats())
}
