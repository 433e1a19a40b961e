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

// Caller is a client of one organisation at one daemon.
type Caller struct {
	key     string
	scheme  string
	address string
	client  *http.Client
}

// NewCaller returns a caller with connections of its own.
func NewCaller(key, address string) *Caller {
	return &Caller{key: key, scheme: "http", address: address, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
}

// NewTLSCaller returns a caller that connects by TLS.
func NewTLSCaller(key, address string, cfg *tls.Config) *Caller {
	return &Caller{key: key, scheme: "https", address: address, client: &http.Client{
		Transport: &http.Transport{TLSClientConfig: cfg, MaxIdleConnsPerHost: 256},
	}}
}

// Answer is what a caller got.
type Answer struct {
	Status  int
	Outcome outcome.Outcome
	// RetryAfter is the header's value, empty if there is none.
	RetryAfter  string
	RequestID   string
	ResumeToken string
	Body        []byte
	// Error is set if the body is one of the system's errors.
	Error outcome.Detail
}

// Header is a request header.
type Header struct{ Name, Value string }

// Call sends a plain request and reads the whole answer.
func (c *Caller) Call(ctx context.Context, method, path string, body []byte, headers ...Header) (Answer, error) {
	resp, err := c.send(ctx, method, path, body, headers)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, err
	}
	return newAnswer(resp, data), nil
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

func newAnswer(resp *http.Response, data []byte) Answer {
	a := Answer{
		Status:      resp.StatusCode,
		Outcome:     outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		RetryAfter:  resp.Header.Get("Retry-After"),
		RequestID:   resp.Header.Get(outcome.HeaderRequestID),
		ResumeToken: resp.Header.Get(outcome.HeaderResumeToken),
		Body:        data,
	}
	var e outcome.Error
	if json.Unmarshal(data, &e) == nil {
		a.Error = e.Error
	}
	return a
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

// Stream is an answer that is being read.
type Stream struct {
	// Head is the answer's head; of a refusal also the body.
	Head Answer
	// LastID is the id of the last event read, -1 before the first.
	LastID int
	// Token is the newest resume token.
	Token string
	// Text are the tokens read so far.
	Text []string
	// Completed is set once the last event said so.
	Completed bool
	// Failure is set if the stream was given up.
	Failure outcome.Detail

	resp    *http.Response
	scanner *bufio.Scanner
}

// Open sends a streamed request. A refusal is a Stream whose Head has its status.
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
	s.Head = newAnswer(resp, data)
	s.Token = s.Head.ResumeToken
	return s, nil
}

// Resume goes on with a stream at this caller's daemon.
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

// Next reads one event; io.EOF after the end of a stream that ended as it should.
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
		return s.take(id, data)
	}
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// take reads one event's data.
func (s *Stream) take(id, data string) error {
	if id == "" {
		var e outcome.Error
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		s.Failure = e.Error
		if e.Error.ResumeToken != "" {
			s.Token = e.Error.ResumeToken
		}
		return fmt.Errorf("testsite: stream given up: %s", e.Error.Message)
	}
	var chunk chat.StreamChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	offset, err := strconv.Atoi(id)
	if err != nil || offset != s.LastID+1 {
		return fmt.Errorf("testsite: event %q after %d", id, s.LastID)
	}
	s.LastID = offset
	s.Text = append(s.Text, chunk.Choices[0].Delta.Content)
	if chunk.Extra != nil {
		s.takeExtra(chunk.Extra)
	}
	return nil
}

func (s *Stream) takeExtra(e *chat.Extra) {
	s.Completed = e.Outcome == outcome.Completed
	if e.ResumeToken != "" {
		s.Token = e.ResumeToken
	}
}

// ReadAll reads to the end.
func (s *Stream) ReadAll() error {
	for {
		if err := s.Next(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Close drops the connection.
func (s *Stream) Close() { _ = s.resp.Body.Close() }

// serves tells whether the daemon lists the model to the caller's organisation.
func (c *Caller) serves(model string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := c.Call(ctx, http.MethodGet, "/v1/models", nil)
	return err == nil && a.Status == http.StatusOK && bytes.Contains(a.Body, []byte(model))
}
