package model

import "time"

// Response is the recorded response to a request that must not be executed twice.
type Response struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	// Body is empty when Truncated is set, because it was not recorded.
	Body []byte
	// Length is the size of the complete body in bytes.
	Length    int
	Truncated bool
}

// Refusal is the error returned for a request that got no complete response.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// RetryAfterSeconds is the value of the HTTP header Retry-After, or zero if
	// waiting does not help.
	RetryAfterSeconds int
	Message           string
}

// Request holds the properties of a caller's request that the reducer uses.
type Request struct {
	ID      RequestID
	Kind    RequestKind
	HasKey  bool
	KeyHash KeyHash
	// Path is set for plain requests.
	Path  string
	Model ModelName
	// PromptTokens is estimated from the size of the body.
	PromptTokens int
	// MaxTokens is the caller's limit of generated tokens, or zero.
	MaxTokens      int
	Stream         bool
	IdempotencyKey string
	// BodyHash is the SHA-256 of the body. For plain requests it covers the
	// method, the URI and the content type too.
	BodyHash KeyHash
	// Fingerprint identifies the content across nodes and repeated requests.
	Fingerprint uint64
	// PrefixHashes identify the consecutive 2,000-token chunks of the prompt,
	// starting at its beginning.
	PrefixHashes []uint64
	// AdmitBy is the deadline for admission. A request that is still queued at
	// this time is refused.
	AdmitBy time.Time
}
