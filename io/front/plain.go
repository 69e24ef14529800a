package front

import (
	"crypto/sha256"
	"net/http"

	"caroblane/core/model"
	"caroblane/io/relay"
)

const maxIdempotencyKey = 256

// servePlain serves requests outside the OpenAPI document, which go to plain
// services by the configured routes.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	body, _ := ctx.Value(bodyContext).([]byte)
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if len(idempotencyKey) > maxIdempotencyKey {
		s.reject(w, requestID(ctx), model.MalformedRequest, "header Idempotency-Key is longer than 256 bytes")
		return
	}
	hash, hasKey := bearerKey(r.Header)
	request := model.Request{
		ID:             requestID(ctx),
		Kind:           model.RequestPlain,
		HasKey:         hasKey,
		KeyHash:        hash,
		Path:           r.URL.Path,
		IdempotencyKey: idempotencyKey,
		BodyHash:       contentHash(r, body),
		AdmitBy:        s.now().Add(s.options.AdmissionTimeout),
	}
	request.Fingerprint = s.fingerprint(hash, request.BodyHash[:])
	s.serve(ctx, w, request, relay.Attempt{
		RequestID: request.ID,
		Method:    r.Method,
		Target:    r.URL.RequestURI(),
		Header:    relay.ForwardHeader(r.Header),
		Body:      body,
	})
}

// contentHash returns a hash of everything that determines the effect of a plain
// request.
func contentHash(r *http.Request, body []byte) model.KeyHash {
	sum := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(body)
	return model.KeyHash(sum.Sum(nil))
}
