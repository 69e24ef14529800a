package model

import "time"

// Answer is a recorded answer to a request that may not be repeated.
type Answer struct {
	Status      int
	ContentType string
	// Body is empty when Truncated is set.
	Body []byte
	// Length is that of the whole body in bytes.
	Length    int
	Truncated bool
}

// Refusal is the typed end of a request that got no whole answer.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// RetryAfterSeconds is zero where waiting does not help. It is a wire
	// figure of HTTP, not a deadline.
	RetryAfterSeconds int
	Message           string
}

// Request is what the decision parts know of a caller's request.
type Request struct {
	ID      RequestID
	Kind    RequestKind
	HasKey  bool
	KeyHash KeyHash
	// Path is set for plain requests.
	Path           string
	Model          ModelName
	PromptTokens   int
	MaxTokens      int
	Stream         bool
	IdempotencyKey string
	BodyHash       KeyHash
	// Fingerprint identifies the content over all nodes and repeats.
	Fingerprint uint64
	// PrefixHashes identify the prompt's pieces of 2,000 tokens, from the start.
	PrefixHashes []uint64
	// AdmitBy is when the request is refused if it still waits.
	AdmitBy time.Time
}
