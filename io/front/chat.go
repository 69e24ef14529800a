package front

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"maps"
	"net/http"
	"slices"

	"github.com/ogen-go/ogen/ogenerrors"

	"caroblane/core/model"
	"caroblane/io/front/oasapi"
	"caroblane/io/relay"
)

const (
	// bytesPerToken is the typical ratio, used to estimate the length of a prompt
	// in tokens.
	bytesPerToken    = 4
	prefixBlockBytes = 2000 * bytesPerToken
	maxPrefixBlocks  = 64
)

// chatHandler implements oasapi.Handler and oasapi.RawHandler.
type chatHandler struct{ server *Server }

// keyHandler implements oasapi.SecurityHandler. It stores the hash of the
// caller's key in the request context.
type keyHandler struct{}

// CreateChatCompletion implements oasapi.RawHandler.
func (h chatHandler) CreateChatCompletion(ctx context.Context, chat *oasapi.ChatRequest, w http.ResponseWriter) error {
	s := h.server
	body, _ := ctx.Value(bodyContext).([]byte)
	header, _ := ctx.Value(headerContext).(http.Header)
	hash, hasKey := ctx.Value(keyContext).(model.KeyHash)
	request := model.Request{
		ID:           requestID(ctx),
		Kind:         model.RequestChat,
		HasKey:       hasKey,
		KeyHash:      hash,
		Model:        model.ModelName(chat.Model),
		PromptTokens: len(body) / bytesPerToken,
		MaxTokens:    chat.MaxCompletionTokens.Or(chat.MaxTokens.Or(0)),
		Stream:       chat.Stream.Or(false),
		BodyHash:     sha256.Sum256(body),
		PrefixHashes: prefixHashes(body),
		AdmitBy:      s.now().Add(s.options.AdmissionTimeout),
	}
	request.Fingerprint = s.fingerprint(hash, chatContent(chat))
	s.serve(ctx, w, request, relay.Attempt{
		RequestID: request.ID,
		Method:    http.MethodPost,
		Target:    "/v1/chat/completions",
		Header:    relay.ForwardHeader(header),
		Body:      body,
		Stream:    request.Stream,
	})
	return nil
}

// ListModels implements oasapi.Handler.
func (h chatHandler) ListModels(ctx context.Context) (*oasapi.ModelList, error) {
	config := h.server.control.Conf()
	hash, _ := ctx.Value(keyContext).(model.KeyHash)
	key, ok := config.Key(hash)
	if !ok || key.State != model.KeyActive {
		return nil, refusalError{model.Refusal{Reason: model.KeyUnknown, Message: "the key is unknown"}}
	}
	template, _ := config.Template(key.Account)
	list := &oasapi.ModelList{Object: "list", Data: []oasapi.ModelEntry{}}
	for _, name := range config.Models() {
		if template.Allows(name) {
			list.Data = append(list.Data, oasapi.ModelEntry{ID: string(name), Object: "model"})
		}
	}
	return list, nil
}

// NewError implements oasapi.Handler.
func (h chatHandler) NewError(ctx context.Context, err error) *oasapi.ErrorStatusCodeWithHeaders {
	refusal := model.Refusal{Reason: model.Internal, Message: "internal error"}
	var typed refusalError
	var security *ogenerrors.SecurityError
	switch {
	case errors.As(err, &typed):
		refusal = typed.refusal
	case errors.As(err, &security):
		refusal = model.Refusal{Reason: model.MissingKey, Message: "header Authorization needs a bearer key"}
	}
	h.server.observer.Refused(refusal.Reason)
	return &oasapi.ErrorStatusCodeWithHeaders{
		StatusCode: httpStatus(refusal),
		Response: oasapi.Error{
			Reason:    refusal.Reason.String(),
			Execution: oasapi.ErrorExecution(refusal.Execution.String()),
			Message:   refusal.Message,
			RequestId: string(requestID(ctx)),
		},
	}
}

// HandleKey implements oasapi.SecurityHandler.
func (keyHandler) HandleKey(ctx context.Context, _ oasapi.OperationName, key oasapi.Key) (context.Context, error) {
	if key.Token == "" {
		return ctx, ogenerrors.ErrSkipServerSecurity
	}
	return context.WithValue(ctx, keyContext, model.KeyHash(sha256.Sum256([]byte(key.Token)))), nil
}

// handleDecodeError rejects requests that do not match the OpenAPI document.
func (s *Server) handleDecodeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	s.reject(w, requestID(ctx), model.MalformedRequest, err.Error())
}

// chatContent returns the input of the engine: the model and the messages. It
// leaves out parameters that a caller may change when it repeats a request.
func chatContent(chat *oasapi.ChatRequest) []byte {
	content := append([]byte(chat.Model), 0)
	for _, message := range chat.Messages {
		content = append(append(content, message.Role...), 0)
		for _, name := range slices.Sorted(maps.Keys(message.AdditionalProps)) {
			content = append(append(content, name...), 0)
			content = append(append(content, message.AdditionalProps[name]...), 0)
		}
	}
	return content
}

// refusalError wraps a refusal as an error, to pass it through the generated
// code.
type refusalError struct{ refusal model.Refusal }

// Error returns the message of the refusal.
func (e refusalError) Error() string { return e.refusal.Message }

// prefixHashes returns a running hash after each complete block of the prompt,
// so that equal hashes indicate equal prefixes.
func prefixHashes(body []byte) []uint64 {
	blocks := min(len(body)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	sum := sha256.New()
	for i := range blocks {
		sum.Write(body[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, binary.LittleEndian.Uint64(sum.Sum(nil)))
	}
	return hashes
}
