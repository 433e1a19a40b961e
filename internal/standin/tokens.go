package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxTokens is the length of an answer whose request sets no max_tokens.
const defaultMaxTokens = 32

// maxMaxTokens bounds max_tokens.
const maxMaxTokens = 1 << 20

// message is one message of a chat-completions request.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt is what an engine reads of a chat-completions request.
type prompt struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`

	seed   uint64
	tokens []string
}

// parsePrompt decodes a request and splits its messages into tokens at white space.
func parsePrompt(body []byte) (prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return prompt{}, fmt.Errorf("standin: request: %w", err)
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	p.MaxTokens = min(p.MaxTokens, maxMaxTokens)
	h := xxhash.New()
	_, _ = h.WriteString(p.Model)
	for _, m := range p.Messages {
		_, _ = h.WriteString("\x00" + m.Role + "\x00" + string(m.Content))
		p.tokens = append(p.tokens, m.Role)
		p.tokens = append(p.tokens, strings.Fields(contentText(m.Content))...)
	}
	p.seed = h.Sum64()
	return p, nil
}

// contentText is a string content's text, or else the content's JSON.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// token is the text of the answer's token at an offset.
func (p *prompt) token(offset int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], p.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])%1_000_000, 36)
}

// finish is the finish reason of the last token.
func (p *prompt) finish() string {
	if p.MaxTokens == defaultMaxTokens {
		return "stop"
	}
	return "length"
}

// ExpectedAnswer returns the tokens that every engine answers a chat-completions
// request with; it is nil for a body that no engine accepts.
func ExpectedAnswer(body []byte) []string {
	p, err := parsePrompt(body)
	if err != nil {
		return nil
	}
	answer := make([]string, p.MaxTokens)
	for i := range answer {
		answer[i] = p.token(i)
	}
	return answer
}

// PrefixHashes returns the hash of the prompt after each whole block of tokens, as it
// stands in the engines' cache events.
func PrefixHashes(body []byte, blockTokens int) []uint64 {
	p, err := parsePrompt(body)
	if err != nil {
		return nil
	}
	var hashes []uint64
	for i, h := range chain(p.Model, p.tokens) {
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// chain returns the hash of the token sequence up to each token, that one included.
func chain(model string, tokens []string) []uint64 {
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
