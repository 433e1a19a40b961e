package chat

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"rattanchute/internal/outcome"
)

// Delta is the new text of a streamed choice.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// StreamChoice is the only choice of a streamed chunk.
type StreamChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Extra carries fields outside the standard form; clients that do not know them ignore them.
type Extra struct {
	Outcome     outcome.Outcome `json:"outcome,omitempty"`
	ResumeToken string          `json:"resume_token,omitempty"`
}

// StreamChunk is the body of one event of a streamed answer.
type StreamChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []StreamChoice `json:"choices"`
	Extra   *Extra         `json:"rattanchute,omitempty"`
}

// Choice is the only choice of a whole answer.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts the tokens of a whole answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Model is an entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// NewModelList returns the list of the given models.
func NewModelList(names []string) ModelList {
	l := ModelList{Object: "list", Data: make([]Model, 0, len(names))}
	for _, n := range names {
		l.Data = append(l.Data, Model{ID: n, Object: "model", OwnedBy: "rattanchute"})
	}
	return l
}

// Writer encodes one answer, streamed or whole.
type Writer struct {
	id      string
	model   string
	created int64
}

// NewWriter returns a writer for the answer with the given request id.
func NewWriter(id, model string, now time.Time) *Writer {
	return &Writer{id: id, model: model, created: now.Unix()}
}

// Event returns one token as a server-sent event whose id is the token's offset. finish is the
// finish reason of the last token and empty for the others; extra may be nil.
func (w *Writer) Event(offset int, text, finish string, extra *Extra) []byte {
	choice := StreamChoice{Delta: Delta{Content: text}}
	if offset == 0 {
		choice.Delta.Role = "assistant"
	}
	if finish != "" {
		choice.FinishReason = &finish
	}
	chunk := StreamChunk{
		ID:      w.id,
		Object:  "chat.completion.chunk",
		Created: w.created,
		Model:   w.model,
		Choices: []StreamChoice{choice},
		Extra:   extra,
	}
	return sse(strconv.Itoa(offset), chunk)
}

// ErrorEvent returns the event that ends a stream whose answer is not complete. It has no id.
func ErrorEvent(e outcome.Error) []byte { return sse("", e) }

// DoneEvent returns the event that ends a complete stream.
func DoneEvent() []byte { return []byte("data: [DONE]\n\n") }

func sse(id string, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The values are structs of strings and numbers, which can always be encoded.
		panic(err)
	}
	var b strings.Builder
	b.Grow(len(data) + 32)
	if id != "" {
		b.WriteString("id: ")
		b.WriteString(id)
		b.WriteByte('\n')
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	return []byte(b.String())
}

// CompletionBody returns the answer to a request that is not streamed.
func (w *Writer) CompletionBody(text []string, finish string, promptTokens int) Completion {
	return Completion{
		ID:      w.id,
		Object:  "chat.completion",
		Created: w.created,
		Model:   w.model,
		Choices: []Choice{{
			Message:      Message{Role: "assistant", Content: strings.Join(text, "")},
			FinishReason: finish,
		}},
		Usage: Usage{
			PromptTokens:     promptTokens,
			CompletionTokens: len(text),
			TotalTokens:      promptTokens + len(text),
		},
	}
}
