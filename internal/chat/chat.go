// Package chat reads callers' chat-completions requests and writes the answers in the
// de-facto JSON form, streamed as server-sent events or whole.
package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits on what a caller may ask for.
const (
	// MaxOutputTokens is the largest max_tokens.
	MaxOutputTokens = 32768
	// DefaultOutputTokens holds when max_tokens is left out.
	DefaultOutputTokens = 32
	// MaxMessages is the largest number of messages.
	MaxMessages = 4096
	// bytesPerToken is the rate by which prompt tokens are estimated from text.
	bytesPerToken = 4
	// prefixBlockBytes is the length of prompt text after which a prefix hash is taken.
	prefixBlockBytes = 512
	// maxPrefixHashes bounds the number of prefix hashes of one prompt.
	maxPrefixHashes = 16
)

// Message is one turn of the conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a caller's chat-completions request. Fields that are not listed are
// passed to the engine unchanged, as the body is forwarded whole.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens *int      `json:"max_tokens"`
}

// FieldError names the field of a request that cannot be accepted.
type FieldError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

// Decode reads and checks a request; the error is a *FieldError.
func Decode(body []byte) (Request, error) {
	var r Request
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&r); err != nil {
		return Request{}, decodeError(err)
	}
	if dec.More() {
		return Request{}, &FieldError{Field: "body", Message: "more than one JSON value"}
	}
	if err := r.check(); err != nil {
		return Request{}, err
	}
	return r, nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return &FieldError{Field: typeErr.Field, Message: "wrong type: " + typeErr.Value}
	}
	return &FieldError{Field: "body", Message: "not a JSON object of a chat-completions request"}
}

func (r *Request) check() error {
	if r.Model == "" {
		return &FieldError{Field: "model", Message: "missing"}
	}
	if len(r.Messages) == 0 {
		return &FieldError{Field: "messages", Message: "missing or empty"}
	}
	if len(r.Messages) > MaxMessages {
		return &FieldError{Field: "messages", Message: fmt.Sprintf("more than %d", MaxMessages)}
	}
	for i, m := range r.Messages {
		if m.Role == "" {
			return &FieldError{Field: fmt.Sprintf("messages[%d].role", i), Message: "missing"}
		}
	}
	if r.MaxTokens != nil && (*r.MaxTokens < 1 || *r.MaxTokens > MaxOutputTokens) {
		return &FieldError{Field: "max_tokens", Message: fmt.Sprintf("not in 1 to %d", MaxOutputTokens)}
	}
	return nil
}

// OutputTokens is the number of tokens the caller asked for at most.
func (r *Request) OutputTokens() int {
	if r.MaxTokens == nil {
		return DefaultOutputTokens
	}
	return *r.MaxTokens
}

// PromptTokens estimates the length of the prompt in tokens.
func (r *Request) PromptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Content)
	}
	return n/bytesPerToken + 1
}

// PrefixHashes returns hashes of growing prefixes of the prompt, shortest first; equal
// prompts up to a length have equal hashes up to it. Model is part of each.
func (r *Request) PrefixHashes() []uint64 {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteByte(0)
		text.WriteString(m.Content)
		text.WriteByte(0)
	}
	h := xxhash.New()
	_, _ = h.WriteString(r.Model)
	return appendBlockHashes(nil, h, text.String())
}

func appendBlockHashes(hashes []uint64, h *xxhash.Digest, text string) []uint64 {
	for len(hashes) < maxPrefixHashes {
		block := text[:min(prefixBlockBytes, len(text))]
		_, _ = h.WriteString(block)
		hashes = append(hashes, h.Sum64())
		text = text[len(block):]
		if text == "" {
			break
		}
	}
	return hashes
}
