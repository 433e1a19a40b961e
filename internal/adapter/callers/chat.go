package callers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/chat"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
	"rattanchute/internal/serve"
)

func (s *Server) chat(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) {
	ask, refusal := readChat(ctx, requestID, org)
	if refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	callCtx, cancel := context.WithCancel(context.Background())
	stream, refusal := s.service.OpenChat(callCtx, ask)
	if refusal != nil {
		cancel()
		writeRefusal(ctx, refusal)
		return
	}
	ctx.Response.Header.Set(outcome.HeaderRequestID, stream.RequestID())
	if !ask.Request.Stream {
		defer cancel()
		defer stream.Close()
		writeWhole(ctx, stream, ask)
		return
	}
	ctx.Response.Header.Set(outcome.HeaderResumeToken, stream.ResumeToken())
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetContentType("text/event-stream")
	conn := ctx.Conn()
	out := &eventWriter{conn: conn, timeout: s.limits.WriteTimeout,
		render: chat.NewWriter(stream.RequestID(), ask.Request.Model, time.Now())}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer stream.Close()
		out.w = w
		out.copy(stream)
	})
}

func readChat(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) (serve.ChatAsk, *serve.Refusal) {
	if !ctx.IsPost() {
		return serve.ChatAsk{}, serve.NewRefusal(fasthttp.StatusMethodNotAllowed, requestID,
			"method_not_allowed", "use POST")
	}
	w, refusal := readWishes(ctx, requestID)
	if refusal != nil {
		return serve.ChatAsk{}, refusal
	}
	body := append([]byte(nil), ctx.PostBody()...)
	req, err := chat.Decode(body)
	if err != nil {
		return serve.ChatAsk{}, badBody(requestID, err)
	}
	offset, refusal := readLastEventID(ctx, requestID)
	if refusal != nil {
		return serve.ChatAsk{}, refusal
	}
	return serve.ChatAsk{
		RequestID:    requestID,
		Organisation: org.Name,
		Body:         body,
		Request:      req,
		Priority:     w.priority,
		Timeout:      w.timeout,
		ResumeToken:  string(ctx.Request.Header.Peek(outcome.HeaderResumeToken)),
		ResumeOffset: offset,
	}, nil
}

func badBody(requestID string, err error) *serve.Refusal {
	var field *chat.FieldError
	if errors.As(err, &field) {
		return badField(requestID, field.Field, field.Message)
	}
	return badField(requestID, "body", err.Error())
}

// readLastEventID returns the offset after the last event the caller has, -1 if it
// did not say.
func readLastEventID(ctx *fasthttp.RequestCtx, requestID string) (int, *serve.Refusal) {
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

// writeWhole gathers the answer of a request that is not streamed.
func writeWhole(ctx *fasthttp.RequestCtx, stream *serve.ChatStream, ask serve.ChatAsk) {
	var text []string
	finish := ""
	for {
		e, err := stream.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			writeRefusal(ctx, &serve.Refusal{Status: fasthttp.StatusBadGateway, Detail: stream.GivenUp(err)})
			return
		}
		text = append(text, e.Text)
		finish = e.Finish
	}
	render := chat.NewWriter(stream.RequestID(), ask.Request.Model, time.Now())
	ctx.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Completed))
	writeJSON(ctx, fasthttp.StatusOK, render.Whole(text, finish, ask.Request.PromptTokens()))
}

// eventWriter passes a stream on to one caller.
type eventWriter struct {
	conn    net.Conn
	w       *bufio.Writer
	timeout time.Duration
	render  *chat.Writer
}

// copy writes events until the stream ends or the caller is gone.
func (o *eventWriter) copy(stream *serve.ChatStream) {
	for {
		e, err := stream.Next()
		if err == io.EOF {
			_ = o.write(chat.DoneEvent())
			return
		}
		if err != nil {
			_ = o.write(chat.ErrorEvent(outcome.Error{Error: stream.GivenUp(err)}))
			return
		}
		if err := o.write(o.render.Event(e.Offset, e.Text, e.Finish, extraOf(e))); err != nil {
			return
		}
	}
}

func extraOf(e serve.Event) *chat.Extra {
	if e.Finish != "" {
		return &chat.Extra{Outcome: outcome.Completed}
	}
	if e.ResumeToken != "" {
		return &chat.Extra{ResumeToken: e.ResumeToken}
	}
	return nil
}

// write sends one event at once. The deadline is set anew for each write, so that a
// slow caller is cut only when it takes nothing at all.
func (o *eventWriter) write(event []byte) error {
	if err := o.conn.SetWriteDeadline(time.Now().Add(o.timeout)); err != nil {
		return err
	}
	if _, err := o.w.Write(event); err != nil {
		return err
	}
	return o.w.Flush()
}

func (s *Server) models(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) {
	if !ctx.IsGet() {
		writeRefusal(ctx, serve.NewRefusal(fasthttp.StatusMethodNotAllowed, requestID,
			"method_not_allowed", "use GET"))
		return
	}
	ctx.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Completed))
	writeJSON(ctx, fasthttp.StatusOK, chat.NewModelList(s.tables.Table().Models(org.Name)))
}
