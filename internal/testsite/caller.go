package testsite

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rattanchute/internal/chat"
	"rattanchute/internal/outcome"
)

// Caller is an HTTP client that sends requests with one key to one address, in most cases to
// the callers' listener of a daemon.
type Caller struct {
	key     string
	scheme  string
	address string
	client  *http.Client
}

// NewCaller returns a caller with its own connections.
func NewCaller(key, address string) *Caller {
	return &Caller{key: key, scheme: "http", address: address, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
}

// NewTLSCaller returns a caller that uses TLS.
func NewTLSCaller(key, address string, cfg *tls.Config) *Caller {
	return &Caller{key: key, scheme: "https", address: address, client: &http.Client{
		Transport: &http.Transport{TLSClientConfig: cfg, MaxIdleConnsPerHost: 256},
	}}
}

// Response is a response of a daemon.
type Response struct {
	Status  int
	Outcome outcome.Outcome
	// RetryAfter is the value of the Retry-After header; empty if there is none.
	RetryAfter  string
	RequestID   string
	ResumeToken string
	Body        []byte
	// Error is the error in the body if the body is JSON in the form of a daemon's errors; zero
	// otherwise.
	Error outcome.Detail
}

// Header is a request header.
type Header struct{ Name, Value string }

// Call sends a request and reads the whole response.
func (c *Caller) Call(ctx context.Context, method, path string, body []byte, headers ...Header) (Response, error) {
	resp, err := c.send(ctx, method, path, body, headers)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, err
	}
	return newResponse(resp, data), nil
}

func (c *Caller) send(ctx context.Context, method, path string, body []byte, headers []Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
	return c.client.Do(req)
}

func newResponse(resp *http.Response, data []byte) Response {
	r := Response{
		Status:      resp.StatusCode,
		Outcome:     outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		RetryAfter:  resp.Header.Get("Retry-After"),
		RequestID:   resp.Header.Get(outcome.HeaderRequestID),
		ResumeToken: resp.Header.Get(outcome.HeaderResumeToken),
		Body:        data,
	}
	var e outcome.Error
	if json.Unmarshal(data, &e) == nil {
		r.Error = e.Error
	}
	return r
}

// ChatBody returns a chat-completions request for the test model.
func ChatBody(prompt string, maxTokens int, stream bool) []byte {
	return ModelBody(Model, prompt, maxTokens, stream)
}

// ModelBody returns a chat-completions request for a model.
func ModelBody(model, prompt string, maxTokens int, stream bool) []byte {
	body, err := json.Marshal(chat.Request{
		Model:     model,
		Messages:  []chat.Message{{Role: "user", Content: prompt}},
		Stream:    stream,
		MaxTokens: &maxTokens,
	})
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(err)
	}
	return body
}

// Stream is a streamed response that is being read.
type Stream struct {
	// Head holds the status and headers of the response, and the body if the request was
	// refused.
	Head Response
	// LastID is the id of the last event read; -1 before the first.
	LastID int
	// Token is the newest resume token.
	Token string
	// Text are the tokens read so far.
	Text []string
	// Completed is set once an event has reported that the stream is complete.
	Completed bool
	// Failure is set if the daemon ended the stream with an error event.
	Failure outcome.Detail

	resp    *http.Response
	scanner *bufio.Scanner
}

// Open sends a streaming request. If the request is refused, the Stream's Head holds the
// status of the refusal.
func (c *Caller) Open(ctx context.Context, body []byte, headers ...Header) (*Stream, error) {
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", body, headers)
	if err != nil {
		return nil, err
	}
	s := &Stream{resp: resp, scanner: bufio.NewScanner(resp.Body), LastID: -1}
	var data []byte
	if resp.StatusCode != http.StatusOK {
		data, _ = io.ReadAll(resp.Body)
	}
	s.Head = newResponse(resp, data)
	s.Token = s.Head.ResumeToken
	return s, nil
}

// Resume continues a stream at this caller's daemon, after the last event that was read. The
// Text of the returned Stream begins with the tokens read before.
func (c *Caller) Resume(ctx context.Context, body []byte, s *Stream) (*Stream, error) {
	next, err := c.Open(ctx, body,
		Header{outcome.HeaderResumeToken, s.Token},
		Header{"Last-Event-ID", strconv.Itoa(s.LastID)})
	if err != nil {
		return nil, err
	}
	next.Text = s.Text
	next.LastID = s.LastID
	return next, nil
}

// Next reads one event. It returns io.EOF after the regular end of a stream,
// io.ErrUnexpectedEOF if the response ended early, and another error if the response cannot be
// read, or if the event is malformed, reports an error or does not follow the previous one.
func (s *Stream) Next() error {
	id := ""
	for s.scanner.Scan() {
		line := s.scanner.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return io.EOF
		}
		return s.handleEvent(id, data)
	}
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// handleEvent records the data of one event. An event without id reports an error.
func (s *Stream) handleEvent(id, data string) error {
	if id == "" {
		var e outcome.Error
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		s.Failure = e.Error
		if e.Error.ResumeToken != "" {
			s.Token = e.Error.ResumeToken
		}
		return fmt.Errorf("testsite: stream ended with an error: %s", e.Error.Message)
	}
	var chunk chat.StreamChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	offset, err := strconv.Atoi(id)
	if err != nil || offset != s.LastID+1 {
		return fmt.Errorf("testsite: event id %q follows %d", id, s.LastID)
	}
	s.LastID = offset
	s.Text = append(s.Text, chunk.Choices[0].Delta.Content)
	if chunk.Extra != nil {
		s.handleExtra(chunk.Extra)
	}
	return nil
}

func (s *Stream) handleExtra(e *chat.Extra) {
	s.Completed = e.Outcome == outcome.Completed
	if e.ResumeToken != "" {
		s.Token = e.ResumeToken
	}
}

// ReadAll reads the stream to its end.
func (s *Stream) ReadAll() error {
	for {
		if err := s.Next(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Close closes the response, which drops the connection of an unfinished stream.
func (s *Stream) Close() { _ = s.resp.Body.Close() }

// serves reports whether the daemon lists the model for the caller's organisation.
func (c *Caller) serves(model string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := c.Call(ctx, http.MethodGet, "/v1/models", nil)
	return err == nil && resp.Status == http.StatusOK && bytes.Contains(resp.Body, []byte(model))
}
