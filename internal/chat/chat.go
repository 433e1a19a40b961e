// Package chat decodes callers' chat-completions requests and encodes the answers in the de-facto
// standard JSON form, streamed as server-sent events or whole.
package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits of requests.
const (
	// MaxOutputTokens is the largest max_tokens.
	MaxOutputTokens = 32768
	// DefaultOutputTokens is used when max_tokens is left out.
	DefaultOutputTokens = 32
	// MaxMessages is the largest number of messages.
	MaxMessages = 4096
	// bytesPerToken is the ratio by which the number of prompt tokens is estimated from the text.
	bytesPerToken = 4
	// firstPrefixBytes is the length of the first prefix that is hashed, unless the prompt is
	// shorter. The following lengths grow alternately by a half and by a third, and so double
	// every two steps.
	firstPrefixBytes = 512
	// maxPrefixes limits the prefixes of one prompt; the longest has 128 KiB.
	maxPrefixes = 17
)

// Message is one turn of the conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a caller's chat-completions request. Fields that are not listed here still reach the
// engine, as the body is forwarded unchanged.
type Request struct {
	Model     string   `json:"model"`
	Messages  Messages `json:"messages"`
	Stream    bool     `json:"stream"`
	MaxTokens *int     `json:"max_tokens"`
}

// Messages are the turns of a conversation.
type Messages []Message

// errTooManyMessages ends the decoding of messages: each takes ten times the memory of its shortest text.
var errTooManyMessages = fmt.Errorf("more than %d", MaxMessages)

// UnmarshalJSON implements json.Unmarshaler. It stops behind MaxMessages.
func (m *Messages) UnmarshalJSON(raw []byte) error {
	if raw[0] != '[' {
		return json.Unmarshal(raw, (*[]Message)(m))
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if _, err := dec.Token(); err != nil {
		return err
	}
	*m = nil // a later field of the same name replaces an earlier one
	for dec.More() {
		if len(*m) == MaxMessages {
			return errTooManyMessages
		}
		var one Message
		if err := dec.Decode(&one); err != nil {
			return err
		}
		*m = append(*m, one)
	}
	return nil
}

// FieldError names the field that makes a request invalid, with the reason. Field is "body" if the
// body as a whole is invalid.
type FieldError struct {
	Field   string
	Message string
}

// Error returns the field and the message.
func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

// DecodeFactor is how much more memory than the body Decode and Prompt take, as a multiple of the body's size: the decoded
// text, and a copy of it.
const DecodeFactor = 2

// Decode decodes and validates a request; the error is a *FieldError.
func Decode(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return Request{}, decodeError(err)
	}
	if err := r.check(); err != nil {
		return Request{}, err
	}
	return r, nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.Is(err, errTooManyMessages):
		return &FieldError{Field: "messages", Message: err.Error()}
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return &FieldError{Field: typeErr.Field, Message: "wrong type: " + typeErr.Value}
	}
	return &FieldError{Field: "body", Message: "not one JSON object of a chat-completions request"}
}

func (r *Request) check() error {
	if r.Model == "" {
		return &FieldError{Field: "model", Message: "missing"}
	}
	if len(r.Messages) == 0 {
		return &FieldError{Field: "messages", Message: "missing or empty"}
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

// OutputTokens returns the maximum number of output tokens: max_tokens, or DefaultOutputTokens if
// the request leaves it out.
func (r *Request) OutputTokens() int {
	if r.MaxTokens == nil {
		return DefaultOutputTokens
	}
	return *r.MaxTokens
}

// PromptTokens returns the estimated length of the prompt in tokens.
func (r *Request) PromptTokens() int {
	return r.textBytes()/bytesPerToken + 1
}

// textBytes returns the length of the messages.
func (r *Request) textBytes() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Content)
	}
	return n
}

// Prompt is what is kept of the messages of a request: far less than they are.
type Prompt struct {
	Prefixes Prefixes
	Parts    []string
	Tokens   int
}

// Prompt returns what is kept of the messages.
func (r *Request) Prompt() Prompt {
	return Prompt{Prefixes: r.Prefixes(), Parts: r.Parts(), Tokens: r.PromptTokens()}
}

// Prefixes are hashes of growing prefixes of a prompt, shortest first, and the estimated lengths
// of these prefixes in tokens.
type Prefixes struct {
	Hashes []uint64
	Tokens []int
}

// Prefixes returns the prompt's prefixes, at most maxPrefixes of them. Prefixes of the same length
// have equal hashes if their texts and models are equal. The model is part of every hash. The last
// prefix is the whole prompt, unless the prompt is longer than the longest prefix allowed.
func (r *Request) Prefixes() Prefixes {
	var text strings.Builder
	text.Grow(r.textBytes() + 2*len(r.Messages))
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteByte(0)
		text.WriteString(m.Content)
		text.WriteByte(0)
	}
	h := xxhash.New()
	_, _ = h.WriteString(r.Model)
	return hashPrefixes(h, text.String())
}

func hashPrefixes(h *xxhash.Digest, text string) Prefixes {
	var p Prefixes
	from := 0
	for i, length := 0, firstPrefixBytes; i < maxPrefixes; i++ {
		to := min(length, len(text))
		_, _ = h.WriteString(text[from:to])
		p.Hashes = append(p.Hashes, h.Sum64())
		p.Tokens = append(p.Tokens, to/bytesPerToken+1)
		if to == len(text) {
			break
		}
		from = to
		length += lengthGrowth(i, length)
	}
	return p
}

// lengthGrowth returns the difference between the i-th length and the next, so that the lengths
// are 1, 1.5, 2, 3, 4, 6, 8 and so on times the first.
func lengthGrowth(i, length int) int {
	if i%2 == 0 {
		return length / 2
	}
	return length / 3
}

// maxParts bounds the parts of one prompt.
const maxParts = 64

// Parts returns a hash for each message, of its role and content. Equal messages have equal hashes, whatever
// else their prompts hold. Of more than maxParts messages, the first ones are returned.
func (r *Request) Parts() []string {
	parts := make([]string, 0, min(len(r.Messages), maxParts))
	for _, m := range r.Messages[:min(len(r.Messages), maxParts)] {
		h := xxhash.New()
		_, _ = h.WriteString(r.Model)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(m.Role)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(m.Content)
		parts = append(parts, strconv.FormatUint(h.Sum64(), 16))
	}
	return parts
}
