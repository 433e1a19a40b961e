package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxTokens is the number of tokens generated if a request sets no positive max_tokens.
const defaultMaxTokens = 32

// maxTokensLimit is the upper limit of max_tokens; a greater value is reduced to it.
const maxTokensLimit = 1 << 20

// message is one message of a chat-completions request.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt contains the fields of a chat-completions request that an engine uses.
type prompt struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`

	// seed is a hash of the model and the messages, from which the answer is generated.
	seed         uint64
	promptTokens []string
}

// parsePrompt parses a request. Its prompt tokens are, for each message, the role and the content
// split at white space.
func parsePrompt(body []byte) (prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return prompt{}, fmt.Errorf("standin: request: %w", err)
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	p.MaxTokens = min(p.MaxTokens, maxTokensLimit)
	h := xxhash.New()
	_, _ = h.WriteString(p.Model)
	for _, m := range p.Messages {
		_, _ = h.WriteString("\x00" + m.Role + "\x00" + string(m.Content))
		p.promptTokens = append(p.promptTokens, m.Role)
		p.promptTokens = append(p.promptTokens, strings.Fields(contentText(m.Content))...)
	}
	p.seed = h.Sum64()
	return p, nil
}

// contentText returns the content as text if it is a JSON string, or else its raw JSON.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// answerToken returns the generated token at an offset. It depends only on the model, the
// messages and the offset, so that all engines generate the same answer.
func (p *prompt) answerToken(offset int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], p.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])%1_000_000, 36)
}

// finishReason returns the finish reason of the last token: "stop" at the default length,
// which represents an answer that ends by itself, and "length" otherwise.
func (p *prompt) finishReason() string {
	if p.MaxTokens == defaultMaxTokens {
		return "stop"
	}
	return "length"
}

// ExpectedAnswer returns the tokens that every engine generates for a chat-completions
// request, or nil if the body is not valid.
func ExpectedAnswer(body []byte) []string {
	p, err := parsePrompt(body)
	if err != nil {
		return nil
	}
	answer := make([]string, p.MaxTokens)
	for i := range answer {
		answer[i] = p.answerToken(i)
	}
	return answer
}

// PrefixHashes returns the prefix hash after each whole block of prompt tokens, as published
// in the engines' cache events, or nil if the body is not valid.
func PrefixHashes(body []byte, blockTokens int) []uint64 {
	p, err := parsePrompt(body)
	if err != nil {
		return nil
	}
	var hashes []uint64
	for i, h := range chainHashes(p.Model, p.promptTokens) {
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// chainHashes returns for each token the hash of the model and the tokens up to and
// including it.
func chainHashes(model string, tokens []string) []uint64 {
	hashes := make([]uint64, len(tokens))
	last := xxhash.Sum64String(model)
	var buffer []byte
	for i, t := range tokens {
		buffer = binary.LittleEndian.AppendUint64(buffer[:0], last)
		buffer = append(buffer, t...)
		last = xxhash.Sum64(buffer)
		hashes[i] = last
	}
	return hashes
}
