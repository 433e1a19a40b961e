package enginehttp

import (
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

// maxErrorBodyBytes bounds how much of an error response to Generate is read.
const maxErrorBodyBytes = 4096

// maxLineBytes bounds one line of the event stream.
const maxLineBytes = 1 << 20

// ErrMissingChunk means that the engine skipped a chunk of a stream.
var ErrMissingChunk = errors.New("enginehttp: gap in the stream")

// errOtherRun means that the engine repeated a chunk with other text: it does not continue what was delivered.
var errOtherRun = errors.New("enginehttp: chunk repeated with other text")

// errEngineError means that the engine reported an error in its stream.
var errEngineError = errors.New("enginehttp: error in the stream")

// errTruncated means that a stream ended without its end marker.
var errTruncated = fmt.Errorf("enginehttp: stream without its end marker: %w", engine.ErrTerminated)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// stream is an open event stream of a generation. It implements engine.Stream.
type stream struct {
	client  *Client
	address string
	id      engine.StreamID
	body    *httpclient.Body
	lines   *httpclient.Lines
	// prefix is the text that was delivered before the first chunk that the request asks for.
	prefix     []string
	nextOffset int
	err        error
	done       atomic.Bool
	closed     atomic.Bool
}

// Generate starts a stream or attaches to a running one. The context applies to the whole
// stream: when it is done, a blocked Next returns.
func (c *Client) Generate(ctx context.Context, address string, g engine.Generate) (engine.Stream, error) {
	// Not from the pool: a long request may still be being written when Generate returns.
	req := &fasthttp.Request{}
	if err := setRequest(req, address, fasthttp.MethodPost, "/v1/generate", g); err != nil {
		return nil, err
	}
	p := permission{client: c, address: address}
	defer p.release()
	options := httpclient.OpenOptions{}
	if !g.Attach {
		// Attaching to a running stream is no new work.
		options.BeforeSend = p.acquire
	}
	body, err := c.httpClient.OpenTarget(ctx, httpclient.Target{Address: address}, req, options)
	if err != nil {
		return nil, sendError(err)
	}
	signal := p.answered(&body.Response.Header)
	status := body.Response.StatusCode()
	if status != fasthttp.StatusOK {
		defer body.Finish()
		text, _ := io.ReadAll(io.LimitReader(body, maxErrorBodyBytes))
		if err := statusError(status, text); err != nil {
			return nil, withClosed(err, signal)
		}
		// A success without a stream: the request may have run.
		return nil, &StatusError{Status: status}
	}
	s := &stream{client: c, address: address, id: g.Stream, body: body, prefix: g.Prefix, nextOffset: g.Offset}
	s.lines = httpclient.NewLines(ctx, body, maxLineBytes, c.room)
	return s, nil
}

// Next returns the next chunk of this stream, each exactly once and in order, and io.EOF
// after the last. Any other error closes the connection, so that a caller that attaches to
// the stream again need not call Close, which would cancel the generation.
func (s *stream) Next() (engine.Chunk, error) {
	if s.err != nil {
		return engine.Chunk{}, s.err
	}
	chunk, err := s.read()
	s.lines.Release()
	if err != nil {
		s.err = err
	}
	if err != nil && err != io.EOF {
		s.body.Close()
	}
	return chunk, err
}

// read returns the next chunk of this stream, or io.EOF at the end marker. It skips chunks
// of other streams and chunks that were delivered already.
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
		var message streamMessage
		if err := json.Unmarshal(data, &message); err != nil {
			return engine.Chunk{}, fmt.Errorf("enginehttp: chunk: %w", err)
		}
		if err := s.checkError(&message); err != nil {
			return engine.Chunk{}, err
		}
		accepted, err := s.accept(message.Chunk)
		if err != nil {
			return engine.Chunk{}, err
		}
		if accepted {
			return message.Chunk, nil
		}
	}
}

// streamMessage is the data of one event: a chunk, or an error.
type streamMessage struct {
	engine.Chunk
	Error json.RawMessage `json:"error"`
}

// checkError returns an error if a message of this stream is no chunk but an error, or if its finish is none of an
// answer that is whole.
func (s *stream) checkError(m *streamMessage) error {
	switch {
	case m.Stream != s.id && m.Stream != "":
		return nil
	case len(m.Error) > 0 && string(m.Error) != "null":
		return fmt.Errorf("%w: %.200s", errEngineError, m.Error)
	case m.Finish != "" && m.Finish != engine.FinishStop && m.Finish != engine.FinishLength:
		return fmt.Errorf("%w: finish %.40q", errEngineError, m.Finish)
	}
	return nil
}

// accept reports whether a chunk is the next one of this stream. It counts chunks of other
// streams and repeated chunks, and returns ErrMissingChunk for a chunk that comes too
// early, and errOtherRun for one that repeats a chunk of the prefix with other text.
func (s *stream) accept(c engine.Chunk) (bool, error) {
	if c.Stream != s.id {
		s.client.foreignChunks.Add(1)
		return false, nil
	}
	if c.Offset < s.nextOffset {
		if c.Offset >= 0 && c.Offset < len(s.prefix) && c.Text != s.prefix[c.Offset] {
			return false, fmt.Errorf("%w: offset %d", errOtherRun, c.Offset)
		}
		s.client.repeatedChunks.Add(1)
		return false, nil
	}
	if c.Offset > s.nextOffset {
		return false, fmt.Errorf("%w: offset %d, expected %d", ErrMissingChunk, c.Offset, s.nextOffset)
	}
	s.nextOffset++
	if c.Finish != "" {
		s.done.Store(true)
	}
	return true, nil
}

// nextData returns the data of the next event, which is valid until the next call.
func (s *stream) nextData() ([]byte, error) {
	for {
		line, err := s.lines.Next()
		switch {
		case err == io.EOF:
			return nil, errTruncated
		case err != nil:
			return nil, sendError(err)
		}
		if data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix); ok {
			return data, nil
		}
	}
}

// Close releases the stream. A stream that has not ended is cancelled at the engine; the
// error is that of the cancel request.
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
