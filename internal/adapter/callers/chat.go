package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/bodybudget"
	"rattanchute/internal/chat"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
)

func (s *Server) chat(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) {
	chatRequest, refusal := readChat(ctx, requestID, org)
	if refusal != nil {
		s.bodies.Refuse(ctx)
		writeRefusal(ctx, refusal)
		return
	}
	held, refusal := s.receiveBody(ctx, requestID)
	if refusal == nil {
		refusal = s.decodeBody(ctx, &chatRequest, held)
	}
	if refusal != nil {
		held.Release()
		writeRefusal(ctx, refusal)
		return
	}
	callCtx, cancel := context.WithCancel(context.Background())
	stream, refusal := s.service.OpenChat(callCtx, chatRequest)
	if refusal != nil {
		cancel()
		held.Release()
		writeRefusal(ctx, refusal)
		return
	}
	ctx.Response.Header.Set(outcome.HeaderRequestID, stream.RequestID())
	if !chatRequest.Request.Stream {
		defer held.Release()
		defer cancel()
		defer stream.Close()
		writeUnstreamed(ctx, stream, chatRequest)
		return
	}
	ctx.Response.Header.Set(outcome.HeaderResumeToken, stream.ResumeToken())
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetContentType("text/event-stream")
	// fasthttp reads a body stream in the connection's own goroutine. A body stream
	// writer would cost one more goroutine and a pipe that every token passes through.
	ctx.SetBodyStream(s.boundary.Body(&eventReader{
		conn:    ctx.Conn(),
		timeout: s.limits.WriteTimeout,
		writer:  chat.NewWriter(stream.RequestID(), chatRequest.Request.Model, time.Now()),
		stream:  stream,
		held:    held,
		cancel:  cancel,
	}), unknownLength)
}

// unknownLength makes fasthttp send the body in chunked encoding.
const unknownLength = -1

// readChat reads all of a chat request but its body.
func readChat(
	ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation,
) (dispatcher.ChatRequest, *dispatcher.Refusal) {
	if !ctx.IsPost() {
		return dispatcher.ChatRequest{}, dispatcher.NewRefusal(fasthttp.StatusMethodNotAllowed, requestID,
			"method_not_allowed", "use POST")
	}
	options, refusal := readOptions(ctx, requestID)
	if refusal != nil {
		return dispatcher.ChatRequest{}, refusal
	}
	offset, refusal := readLastEventID(ctx, requestID)
	if refusal != nil {
		return dispatcher.ChatRequest{}, refusal
	}
	return dispatcher.ChatRequest{
		RequestID:    requestID,
		Organisation: org.Name,
		Priority:     options.priority,
		Timeout:      options.timeout,
		ResumeToken:  string(ctx.Request.Header.Peek(outcome.HeaderResumeToken)),
		ResumeOffset: offset,
	}, nil
}

// decodeBody completes a chat request with its body. What the decoded messages take is held meanwhile, and is not kept.
func (s *Server) decodeBody(ctx *fasthttp.RequestCtx, r *dispatcher.ChatRequest, held *bodybudget.Holding) *dispatcher.Refusal {
	body := ctx.PostBody()
	if held != nil {
		extra := int64(chat.DecodeFactor * len(body))
		if err := held.Acquire(extra); err != nil {
			s.bodies.LogRefusal(ctx, r.RequestID, held, err)
			return noMemory(r.RequestID, err)
		}
		defer held.Return(extra)
	}
	request, err := chat.Decode(body)
	if err != nil {
		return badBody(r.RequestID, err)
	}
	r.Prompt = request.Prompt()
	request.Messages = nil
	r.Body, r.Request = body, request
	return nil
}

func badBody(requestID string, err error) *dispatcher.Refusal {
	var field *chat.FieldError
	if errors.As(err, &field) {
		return badField(requestID, field.Field, field.Message)
	}
	return badField(requestID, "body", err.Error())
}

// readLastEventID returns the offset that follows the last event the caller has
// received, 0 if its Last-Event-ID is -1, or -1 if the request has no Last-Event-ID.
func readLastEventID(ctx *fasthttp.RequestCtx, requestID string) (int, *dispatcher.Refusal) {
	v := ctx.Request.Header.Peek(headerLastEventID)
	if len(v) == 0 {
		return -1, nil
	}
	n, err := strconv.Atoi(string(v))
	if err != nil || n < -1 || n >= chat.MaxOutputTokens {
		return -1, badField(requestID, "Last-Event-ID", "not the id of an event of a stream")
	}
	return n + 1, nil
}

// writeUnstreamed collects the whole stream and writes it as a single response, for a
// request that did not request streaming.
func writeUnstreamed(ctx *fasthttp.RequestCtx, stream *dispatcher.ChatStream, chatRequest dispatcher.ChatRequest) {
	var text []string
	finish := ""
	for {
		e, err := stream.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			writeRefusal(ctx, &dispatcher.Refusal{Status: fasthttp.StatusBadGateway, Detail: stream.ErrorDetail(err)})
			return
		}
		text = append(text, e.Text)
		finish = e.Finish
	}
	writer := chat.NewWriter(stream.RequestID(), chatRequest.Request.Model, time.Now())
	ctx.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Completed))
	writeJSON(ctx, fasthttp.StatusOK, writer.CompletionBody(text, finish, chatRequest.Prompt.Tokens))
}

// eventReader is the body of a streamed response. Each Read returns one event or a part
// of one, which fasthttp sends as one chunk without waiting for more.
type eventReader struct {
	conn    net.Conn
	timeout time.Duration
	writer  *chat.Writer
	stream  *dispatcher.ChatStream
	// held is the memory of the request's body, which is kept to send the request again.
	held   *bodybudget.Holding
	cancel context.CancelFunc
	// pending is the unread part of the current event.
	pending []byte
	ended   bool
}

// Read returns a part of the current event and, once that is used up, waits for the next
// event. Each Read of a part sets a new write deadline, so a slow caller is disconnected only
// if it does not take one part within the timeout.
func (r *eventReader) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		r.next()
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, r.conn.SetWriteDeadline(time.Now().Add(r.timeout))
}

// next waits for the next event and renders it into pending. After the last event, pending
// becomes the end marker; if the stream broke, it becomes an event with the error.
func (r *eventReader) next() {
	e, err := r.stream.Next()
	switch {
	case err == io.EOF:
		r.pending, r.ended = chat.DoneEvent(), true
	case err != nil:
		r.pending, r.ended = chat.ErrorEvent(outcome.Error{Error: r.stream.ErrorDetail(err)}), true
	default:
		r.pending = r.writer.Event(e.Offset, e.Text, e.Finish, eventExtra(e))
	}
}

// Close releases the stream. It is called once the response is written or the caller
// has disconnected.
func (r *eventReader) Close() error {
	r.stream.Close()
	r.cancel()
	r.held.Release()
	return nil
}

func eventExtra(e dispatcher.Event) *chat.Extra {
	if e.Finish != "" {
		return &chat.Extra{Outcome: outcome.Completed}
	}
	if e.ResumeToken != "" {
		return &chat.Extra{ResumeToken: e.ResumeToken}
	}
	return nil
}

func (s *Server) models(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) {
	s.bodies.Refuse(ctx)
	if !ctx.IsGet() {
		writeRefusal(ctx, dispatcher.NewRefusal(fasthttp.StatusMethodNotAllowed, requestID,
			"method_not_allowed", "use GET"))
		return
	}
	ctx.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Completed))
	writeJSON(ctx, fasthttp.StatusOK, chat.NewModelList(s.tables.Table().Models(org.Name)))
}
