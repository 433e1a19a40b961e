// Package engine is the port to model engines and plain services: what they are
// asked, what they answer, and which failures prove that nothing was run.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// StreamID names one generation at one engine. It is the request id and the number
// of the attempt, so that a late chunk of an older attempt cannot be taken for the
// current one's.
type StreamID string

// Generate asks an engine for a stream.
type Generate struct {
	Stream StreamID `json:"stream"`
	// Body is the caller's chat-completions request, unchanged.
	Body json.RawMessage `json:"body"`
	// Priority is 0 to 9, higher first.
	Priority int `json:"priority"`
	// Prefix is the text already delivered, in chunks; the engine goes on after it.
	Prefix []string `json:"prefix,omitempty"`
	// Attach asks for the engine's own stream of the same id from Offset on.
	Attach bool `json:"attach,omitempty"`
	// Offset is the index of the first chunk to send.
	Offset int `json:"offset"`
}

// Chunk is one generated token.
type Chunk struct {
	Stream StreamID `json:"stream"`
	// Offset is the index of the token in the whole answer, from zero.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	// Finish is "stop" or "length" on the last chunk.
	Finish string `json:"finish,omitempty"`
	// Load is on the first and the last chunk.
	Load *Load `json:"load,omitempty"`
	// Prefilled is on the first chunk: the prompt tokens computed for this attempt.
	Prefilled int `json:"prefilled,omitempty"`
}

// Load is an engine's own report, which lags.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// QueuedTokens is the prompt tokens waiting to be computed.
	QueuedTokens int `json:"queued_tokens"`
	// TokensPerSecond is the prefill rate.
	TokensPerSecond float64   `json:"tokens_per_second"`
	At              time.Time `json:"at"`
}

// Stream delivers the chunks of one generation.
type Stream interface {
	// Next returns the next chunk, io.EOF after the last one.
	Next() (Chunk, error)
	// Close gives the stream up; the engine is told to cancel unless it has ended.
	Close() error
}

// Call is a request to a plain service.
type Call struct {
	Method string
	// URI is the path with its query.
	URI     string
	Headers []Header
	Body    []byte
	// AttemptID is sent so that the endpoint's own records name the attempt.
	AttemptID string
}

// Header is one HTTP header field.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Response is a plain service's response.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// CacheEvent says that an engine holds or has dropped a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped"`
}

// KVBlob names an exported KV cache, held by the engine that exported it.
type KVBlob struct {
	Stream StreamID `json:"stream"`
	Source string   `json:"source"`
	Tokens int      `json:"tokens"`
	Bytes  int64    `json:"bytes"`
}

// OrderKind is what an engine is told to do.
type OrderKind string

// The orders. Each states a desired state, so that a repeated one changes nothing.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is a control order to an engine.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
	// FencingToken is the fencing number of the lease the order is given under.
	FencingToken uint64 `json:"fencing"`
}

// ErrNotSent is wrapped by failures in which no byte reached the endpoint or the
// endpoint itself says that it refused: the request has not run.
var ErrNotSent = errors.New("engine: request not run")

// ErrNoStream means that the engine does not know the stream to attach to.
var ErrNoStream = errors.New("engine: no such stream")

// ErrFenced means that the endpoint refused an order with an old fencing number.
var ErrFenced = errors.New("engine: fencing number too old")

// Client talks to endpoints; address is "ip:port".
type Client interface {
	Generate(ctx context.Context, address string, g Generate) (Stream, error)
	Call(ctx context.Context, address string, c Call) (Response, error)
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, address string, s StreamID) (KVBlob, error)
	ImportKV(ctx context.Context, address string, b KVBlob) error
	Order(ctx context.Context, address string, o Order) error
}
