// Package front implements the HTTP API for callers: chat completions as defined
// by the OpenAPI document of this package, and plain services on configured
// routes.
package front

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/conf"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/front/oasapi"
	"caroblane/io/relay"
	"caroblane/io/ticket"
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("front")

// Control is the interface of the control loop to request handlers.
type Control interface {
	// Conf returns the configuration in force.
	Conf() conf.State
	// TryPost queues an event unless the queue is full.
	TryPost(event.Event) error
	// Post queues an event and blocks while the queue is full.
	Post(context.Context, event.Event) error
}

// Observer receives measurements of responses.
type Observer interface {
	// FirstToken reports the time from the arrival of a request to the first
	// flush of its response.
	FirstToken(time.Duration)
	// BetweenTokens reports the time between two flushes of a response.
	BetweenTokens(time.Duration)
	// Refused counts a request that was rejected before it reached the reducer.
	Refused(model.Reason)
}

// Options configures a Server.
type Options struct {
	MaxBody          int64
	AdmissionTimeout time.Duration
	RequestTimeout   time.Duration
	// NodeID is the prefix of the request IDs, which distinguishes them from
	// those of other processes.
	NodeID string
}

// Server is the HTTP handler of the caller API.
type Server struct {
	control  Control
	tickets  *ticket.Registry
	relay    *relay.Client
	observer Observer
	options  Options
	now      func() time.Time
	api      http.Handler
}

type contextKey int

const (
	bodyContext contextKey = iota
	headerContext
	keyContext
	requestIDContext
)

// New returns a server.
func New(
	control Control, tickets *ticket.Registry, client *relay.Client, observer Observer, options Options, now func() time.Time,
) (*Server, error) {
	s := &Server{control: control, tickets: tickets, relay: client, observer: observer, options: options, now: now}
	api, err := oasapi.NewServer(chatHandler{s}, chatHandler{s}, keyHandler{},
		oasapi.WithErrorHandler(s.handleDecodeError),
		oasapi.WithNotFound(s.servePlain),
		oasapi.WithMethodNotAllowed(s.methodNotAllowed))
	if err != nil {
		return nil, Errors.NewType("setup").Wrap(err, "caller API could not be built")
	}
	s.api = api
	return s, nil
}

// ServeHTTP implements http.Handler. It reads the request body up to the size
// limit and then routes the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := s.newRequestID()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBody))
	if err != nil {
		reason := model.MalformedRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			reason = model.BodyTooLarge
		}
		s.reject(w, id, reason, err.Error())
		return
	}
	ctx := context.WithValue(r.Context(), requestIDContext, id)
	ctx = context.WithValue(ctx, bodyContext, body)
	ctx = context.WithValue(ctx, headerContext, r.Header)
	r = r.WithContext(ctx)
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	s.api.ServeHTTP(w, r)
}

func (s *Server) newRequestID() model.RequestID {
	var random [12]byte
	for i := 0; i < len(random); i += 4 {
		v := rand.Uint32()
		random[i], random[i+1], random[i+2], random[i+3] = byte(v), byte(v>>8), byte(v>>16), byte(v>>24)
	}
	return model.RequestID(s.options.NodeID + "-" + hex.EncodeToString(random[:]))
}

// reject responds to a request that does not reach the reducer.
func (s *Server) reject(w http.ResponseWriter, id model.RequestID, reason model.Reason, message string) {
	s.observer.Refused(reason)
	writeRefusal(w, id, model.Refusal{Reason: reason, Execution: model.NotRun, Message: message})
}

func (s *Server) methodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	s.reject(w, requestID(r.Context()), model.MalformedRequest, "method "+r.Method+" is not one of "+allowed)
}

func requestID(ctx context.Context) model.RequestID {
	id, _ := ctx.Value(requestIDContext).(model.RequestID)
	return id
}

// bearerKey returns the hash of the caller's key from the Authorization header.
func bearerKey(header http.Header) (model.KeyHash, bool) {
	scheme, token, ok := strings.Cut(header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return model.KeyHash{}, false
	}
	return sha256.Sum256([]byte(token)), true
}

// fingerprint identifies the content of a request of a client account. It covers
// the account, so that a fingerprint that is refused for one account does not
// affect the requests of others.
func (s *Server) fingerprint(hash model.KeyHash, content []byte) uint64 {
	key, _ := s.control.Conf().Key(hash)
	sum := sha256.New()
	sum.Write([]byte(key.Account))
	sum.Write([]byte{0})
	sum.Write(content)
	return binary.LittleEndian.Uint64(sum.Sum(nil))
}

func writeRefusal(w http.ResponseWriter, id model.RequestID, refusal model.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", string(id))
	if refusal.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(refusal.RetryAfterSeconds))
	}
	w.WriteHeader(httpStatus(refusal))
	_, _ = w.Write(errorBody(id, refusal))
}

func errorBody(id model.RequestID, refusal model.Refusal) []byte {
	body := oasapi.Error{
		Reason:    refusal.Reason.String(),
		Execution: oasapi.ErrorExecution(refusal.Execution.String()),
		Message:   refusal.Message,
		RequestId: string(id),
	}
	data, err := body.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return data
}

func httpStatus(refusal model.Refusal) int {
	switch refusal.Reason {
	case model.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.EarlierOutcomeUnknown, model.IdempotencyMismatch:
		return http.StatusConflict
	case model.KeyUnknown, model.KeyWasWithdrawn, model.MissingKey:
		return http.StatusUnauthorized
	case model.MalformedRequest, model.MissingIdempotencyKey:
		return http.StatusBadRequest
	case model.ModelNotAllowed:
		return http.StatusForbidden
	case model.RateLimited:
		return http.StatusTooManyRequests
	case model.CrashSuspect:
		return http.StatusUnprocessableEntity
	case model.UnknownModel, model.UnknownRoute:
		return http.StatusNotFound
	case model.StreamTruncated, model.UpstreamFailed, model.UpstreamLost:
		return http.StatusBadGateway
	case model.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case model.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
