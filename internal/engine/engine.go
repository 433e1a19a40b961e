// Package engine defines the interface to model engines and plain services: requests, responses,
// and the errors that tell a caller that nothing was run.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// StreamID identifies one generation at one engine. It consists of the request id, the id of the
// daemon's session and the number of the attempt, so that a late chunk of an earlier attempt cannot
// be taken for one of the current attempt.
type StreamID string

// Generate asks an engine to generate a stream.
type Generate struct {
	Stream StreamID `json:"stream"`
	// Body is the caller's chat-completions request, unchanged.
	Body json.RawMessage `json:"body"`
	// Priority is 0 to 9, higher first.
	Priority int `json:"priority"`
	// Prefix is the text already delivered, in chunks; the engine continues after it.
	Prefix []string `json:"prefix,omitempty"`
	// Attach requests the engine's existing stream with the same id, from Offset on.
	Attach bool `json:"attach,omitempty"`
	// Offset is the index of the first chunk to send.
	Offset int `json:"offset"`
}

// The values of a chunk's finish: the answer ended by itself, or at the largest number of tokens.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Chunk is one generated token.
type Chunk struct {
	Stream StreamID `json:"stream"`
	// Offset is the index of the token in the whole answer, from zero.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	// Finish is FinishStop or FinishLength on the last chunk.
	Finish string `json:"finish,omitempty"`
	// Load is set on the first and the last chunk.
	Load *Load `json:"load,omitempty"`
	// Prefilled is set on the first chunk: the number of prompt tokens computed for this attempt.
	Prefilled int `json:"prefilled,omitempty"`
}

// Load is the load that an engine reports. It lags behind the actual load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int `json:"queued_tokens"`
	// TokensPerSecond is the prefill rate.
	TokensPerSecond float64   `json:"tokens_per_second"`
	At              time.Time `json:"at"`
}

// Stream delivers the chunks of one generation.
type Stream interface {
	// Next returns the next chunk, io.EOF after the last one.
	Next() (Chunk, error)
	// Close ends the stream; the engine is requested to cancel the generation unless it has ended.
	Close() error
}

// Call is a request to a plain service.
type Call struct {
	Method string
	// URI is the path with its query.
	URI     string
	Headers []Header
	Body    []byte
	// AttemptID is sent in a header, so that the endpoint can record it; it is not sent if empty.
	// Package dispatcher sets it to the request id, which all attempts of a request share.
	AttemptID string
	// Room bounds the memory of the response's body; nil for no bound.
	Room Room
}

// Room bounds the memory that responses take.
type Room interface {
	// Acquire reserves bytes, for which it may wait until ctx is done.
	Acquire(ctx context.Context, bytes int64) error
	// Return gives back reserved bytes.
	Return(bytes int64)
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
	// EndedWithConnection is set if nothing but the end of its connection marked the end of the body.
	EndedWithConnection bool
}

// CacheEvent reports that an engine has cached or dropped a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped"`
}

// KVBlob identifies an exported KV cache, which the engine that exported it keeps.
type KVBlob struct {
	Stream StreamID `json:"stream"`
	Source string   `json:"source"`
	Tokens int      `json:"tokens"`
	Bytes  int64    `json:"bytes"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders. Each order states a desired state, so that repeating it changes nothing.
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
	// FencingToken is the fencing token of the lease under which the order is given.
	FencingToken uint64 `json:"fencing"`
}

// ErrNotSent is wrapped by errors after which the request has certainly not run: no byte of it
// reached the endpoint, or the endpoint reported that it refused it.
var ErrNotSent = errors.New("engine: request not run")

// ErrClosed means that the endpoint has said in a response that it is leaving, or that it wants no
// requests for some time. It is wrapped together with ErrNotSent, and is no failure of the endpoint.
var ErrClosed = errors.New("engine: accepts no requests")

// ErrTerminated means that the endpoint closed the connection before its response was complete. It may have
// crashed.
var ErrTerminated = errors.New("engine: connection closed before the response was complete")

// ErrNoStream means that the engine has no stream with the id that Generate asked to attach to.
var ErrNoStream = errors.New("engine: no such stream")

// ErrFenced means that the endpoint refused an order because its fencing token is too old.
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
