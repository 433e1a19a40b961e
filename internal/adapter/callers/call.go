package callers

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/dispatcher"
	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
)

// call passes a request on to a plain service.
func (s *Server) call(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) {
	ask, refusal := readCall(ctx, requestID, org)
	if refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	answer, refusal := s.service.Call(context.Background(), ask)
	if refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	for _, h := range answer.Headers {
		if !hopByHop(h.Name) {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
	ctx.Response.Header.Set(outcome.HeaderOutcome, string(answer.Outcome))
	ctx.Response.Header.Set(outcome.HeaderRequestID, requestID)
	ctx.SetStatusCode(answer.Status)
	ctx.SetBody(answer.Body)
}

func readCall(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) (dispatcher.CallRequest, *dispatcher.Refusal) {
	w, refusal := readWishes(ctx, requestID)
	if refusal != nil {
		return dispatcher.CallRequest{}, refusal
	}
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if len(key) > maxIdempotencyKey {
		return dispatcher.CallRequest{}, badField(requestID, headerIdempotencyKey, "longer than 255 bytes")
	}
	return dispatcher.CallRequest{
		RequestID:      requestID,
		Organisation:   org.Name,
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
		URI:            string(ctx.URI().RequestURI()),
		Headers:        forwardedHeaders(ctx, org),
		Body:           append([]byte(nil), ctx.PostBody()...),
		IdempotencyKey: key,
		Priority:       w.priority,
		Timeout:        w.timeout,
	}, nil
}

// headerOrganisation tells a service whose call it is.
const headerOrganisation = "X-Organisation"

// forwardedHeaders copies the caller's headers but for those of this hop, the key and
// any claim to be an organisation.
func forwardedHeaders(ctx *fasthttp.RequestCtx, org fleet.Organisation) []engine.Header {
	headers := []engine.Header{{Name: headerOrganisation, Value: org.Name}}
	for k, v := range ctx.Request.Header.All() {
		name := string(k)
		if hopByHop(name) || isPrivate(name) {
			continue
		}
		headers = append(headers, engine.Header{Name: name, Value: string(v)})
	}
	return headers
}

func isPrivate(name string) bool {
	return strings.EqualFold(name, "Authorization") ||
		strings.EqualFold(name, headerOrganisation) ||
		strings.EqualFold(name, "X-Attempt-Id")
}

// hopByHop tells the headers that belong to one connection only.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
		"trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect", "server", "date":
		return true
	}
	return false
}
