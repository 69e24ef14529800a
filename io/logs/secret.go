package logs

import (
	"fmt"
	"io"
)

const redactedText = "[redacted]"

// Secret is a value that is never printed by formatting. It is kept in a
// closure, because package fmt prints unexported struct fields without calling
// their methods.
type Secret struct{ reveal func() string }

func NewSecret(value string) Secret {
	return Secret{reveal: func() string { return value }}
}

// Format implements fmt.Formatter. It prints a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redactedText) }

// MarshalText implements encoding.TextMarshaler with a placeholder, which keeps
// the value out of JSON and other encodings.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redactedText), nil }

// Reveal returns the value, or an empty string for the zero Secret.
func (s Secret) Reveal() string {
	if s.reveal == nil {
		return ""
	}
	return s.reveal()
}

// String returns a placeholder.
func (s Secret) String() string { return redactedText }
