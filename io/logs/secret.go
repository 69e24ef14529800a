package logs

import (
	"fmt"
	"io"
)

const redacted = "[redacted]"

// Secret is a value that no formatter prints. The value is held in a function:
// package fmt prints unexported struct fields without calling their methods.
type Secret struct{ reveal func() string }

// NewSecret returns a secret.
func NewSecret(value string) Secret {
	return Secret{reveal: func() string { return value }}
}

// Format prints the same text for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText keeps the value out of JSON and other encodings.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Reveal returns the value.
func (s Secret) Reveal() string {
	if s.reveal == nil {
		return ""
	}
	return s.reveal()
}

// String hides the value.
func (s Secret) String() string { return redacted }
