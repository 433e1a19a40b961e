package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/engine"
)

// maxErrorBytes bounds the error body read from a refused stream.
const maxErrorBytes = 4096

// maxLineBytes bounds one event line of a stream.
const maxLineBytes = 1 << 20

// ErrMissingChunk means that a chunk is missing in a stream.
var ErrMissingChunk = errors.New("enginehttp: gap in the stream")

// errTruncated means that a stream ended without its end marker.
var errTruncated = errors.New("enginehttp: stream ended without its end marker")

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// stream is one open generation.
type stream struct {
	client  *Client
	address string
	id      engine.StreamID
	body    *httpclient.Body
	lines   *bufio.Scanner
	next    int
	err     error
	done    atomic.Bool
	closed  atomic.Bool
}

// Generate starts or attaches to a stream. The context bounds the whole stream: its
// end makes a blocked Next return.
func (c *Client) Generate(ctx context.Context, address string, g engine.Generate) (engine.Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := setRequest(req, address, fasthttp.MethodPost, "/v1/generate", g); err != nil {
		return nil, err
	}
	body, err := c.exchange.Open(ctx, address, req)
	if err != nil {
		return nil, sendError(err)
	}
	status := body.Response.StatusCode()
	if status != fasthttp.StatusOK {
		defer body.Finish()
		text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
		return nil, statusError(status, text)
	}
	s := &stream{client: c, address: address, id: g.Stream, body: body, next: g.Offset}
	s.lines = bufio.NewScanner(body)
	s.lines.Buffer(nil, maxLineBytes)
	return s, nil
}

// Next returns the next chunk of this stream, in order and once each. A failure frees
// the connection, so that a caller that attaches to the stream again need not close
// this one and thereby cancel it.
func (s *stream) Next() (engine.Chunk, error) {
	if s.err != nil {
		return engine.Chunk{}, s.err
	}
	chunk, err := s.read()
	if err != nil {
		s.err = err
	}
	if err != nil && err != io.EOF {
		s.body.Close()
	}
	return chunk, err
}

// read returns the next chunk that belongs here.
func (s *stream) read() (engine.Chunk, error) {
	for {
		data, err := s.nextData()
		if err != nil {
			return engine.Chunk{}, err
		}
		if bytes.Equal(data, doneMarker) {
			s.done.Store(true)
			return engine.Chunk{}, io.EOF
		}
		var chunk engine.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return engine.Chunk{}, fmt.Errorf("enginehttp: chunk: %w", err)
		}
		accepted, err := s.accept(chunk)
		if err != nil {
			return engine.Chunk{}, err
		}
		if accepted {
			return chunk, nil
		}
	}
}

// accept tells whether a chunk is the next one of this stream.
func (s *stream) accept(c engine.Chunk) (bool, error) {
	if c.Stream != s.id {
		s.client.foreign.Add(1)
		return false, nil
	}
	if c.Offset < s.next {
		s.client.repeated.Add(1)
		return false, nil
	}
	if c.Offset > s.next {
		return false, fmt.Errorf("%w: offset %d, expected %d", ErrMissingChunk, c.Offset, s.next)
	}
	s.next++
	if c.Finish != "" {
		s.done.Store(true)
	}
	return true, nil
}

// nextData returns the payload of the next event line.
func (s *stream) nextData() ([]byte, error) {
	for s.lines.Scan() {
		if data, ok := bytes.CutPrefix(s.lines.Bytes(), dataPrefix); ok {
			return data, nil
		}
	}
	if err := s.lines.Err(); err != nil {
		return nil, fmt.Errorf("enginehttp: %w", err)
	}
	return nil, errTruncated
}

// Close gives the stream up; a stream that has not ended is cancelled at the engine.
func (s *stream) Close() error {
	if !s.closed.CompareAndSwap(false, true) {
		return nil
	}
	if s.done.Load() {
		s.body.Finish()
		return nil
	}
	s.body.Close()
	return s.client.cancel(s.address, s.id)
}

func (c *Client) cancel(address string, id engine.StreamID) error {
	ctx, stop := context.WithTimeout(context.Background(), c.cancelTimeout)
	defer stop()
	path := "/v1/streams/" + url.PathEscape(string(id)) + "/cancel"
	return c.callJSON(ctx, address, fasthttp.MethodPost, path, nil, nil)
}
