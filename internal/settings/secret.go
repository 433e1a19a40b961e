package settings

import (
	"fmt"
	"io"
)

const redactedText = "[redacted]"

// Secret is a value that only Reveal returns: formatting, JSON and text encoding give
// "[redacted]". The value is behind a pointer, because formatting a struct with an unexported
// field of type Secret uses reflection instead of the methods and would otherwise print the value.
type Secret struct {
	value *string
}

// NewSecret wraps a value.
func NewSecret(value string) Secret {
	return Secret{value: &value}
}

// Reveal returns the value; empty for the zero Secret.
func (s Secret) Reveal() string {
	if s.value == nil {
		return ""
	}
	return *s.value
}

// Empty reports whether the value is empty or missing.
func (s Secret) Empty() bool {
	return s.Reveal() == ""
}

// String returns "[redacted]".
func (s Secret) String() string {
	return redactedText
}

// Format writes "[redacted]" for every verb.
func (s Secret) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, redactedText)
}

// MarshalText returns "[redacted]".
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(redactedText), nil
}

// MarshalJSON returns "[redacted]" as a JSON string.
func (s Secret) MarshalJSON() ([]byte, error) {
	return []byte(`"` + redactedText + `"`), nil
}
