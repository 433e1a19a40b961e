package settings

import (
	"fmt"
	"io"
)

const redacted = "[redacted]"

// Secret is a value that is never printed: whatever formats or encodes it gets
// "[redacted]". The value sits behind a pointer, so that reflection over a struct that
// holds a Secret shows an address at most.
type Secret struct {
	value *string
}

// NewSecret wraps a value.
func NewSecret(value string) Secret {
	return Secret{value: &value}
}

// Reveal returns the value itself.
func (s Secret) Reveal() string {
	if s.value == nil {
		return ""
	}
	return *s.value
}

// Empty tells whether there is no value.
func (s Secret) Empty() bool {
	return s.Reveal() == ""
}

// String returns "[redacted]".
func (s Secret) String() string {
	return redacted
}

// Format writes "[redacted]" for every verb.
func (s Secret) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, redacted)
}

// MarshalText returns "[redacted]".
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// MarshalJSON returns "[redacted]" as a JSON string.
func (s Secret) MarshalJSON() ([]byte, error) {
	return []byte(`"` + redacted + `"`), nil
}
