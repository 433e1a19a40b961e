package callers

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/bodybudget"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
)

// forwardCall forwards a request to a plain service.
func (s *Server) forwardCall(ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation) {
	request, refusal := readCall(ctx, requestID, org)
	if refusal != nil {
		s.bodies.Refuse(ctx)
		writeRefusal(ctx, refusal)
		return
	}
	held, refusal := s.receiveBody(ctx, requestID)
	if refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	request.Body = ctx.PostBody()
	room := &responseRoom{budget: s.bodies.Budget}
	request.Room = room
	response, refusal := s.service.Call(context.Background(), request)
	body := &callBody{
		conn: ctx.Conn(), timeout: s.limits.WriteTimeout, rest: response.Body, held: []*bodybudget.Holding{held, room.holding},
	}
	if refusal != nil {
		_ = body.Close()
		writeRefusal(ctx, refusal)
		return
	}
	for _, h := range response.Headers {
		if !isHopByHop(h.Name) {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
	ctx.Response.Header.Set(outcome.HeaderOutcome, string(response.Outcome))
	ctx.Response.Header.Set(outcome.HeaderRequestID, requestID)
	ctx.SetStatusCode(response.Status)
	ctx.SetBodyStream(s.boundary.Body(body), len(response.Body))
}

// readCall reads all of a call but its body.
func readCall(
	ctx *fasthttp.RequestCtx, requestID string, org fleet.Organisation,
) (dispatcher.CallRequest, *dispatcher.Refusal) {
	options, refusal := readOptions(ctx, requestID)
	if refusal != nil {
		return dispatcher.CallRequest{}, refusal
	}
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if len(key) > maxIdempotencyKeyBytes {
		return dispatcher.CallRequest{}, badField(requestID, headerIdempotencyKey, "longer than 255 bytes")
	}
	return dispatcher.CallRequest{
		RequestID:      requestID,
		Organisation:   org.Name,
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
		URI:            string(ctx.URI().RequestURI()),
		Headers:        forwardedHeaders(ctx, org),
		IdempotencyKey: key,
		Priority:       options.priority,
		Timeout:        options.timeout,
	}, nil
}

// headerOrganisation informs a service which organisation made the call.
const headerOrganisation = "X-Organisation"

// forwardedHeaders returns the headers to forward to a service: the name of the
// organisation, and the caller's headers except hop-by-hop and reserved ones.
func forwardedHeaders(ctx *fasthttp.RequestCtx, org fleet.Organisation) []engine.Header {
	headers := []engine.Header{{Name: headerOrganisation, Value: org.Name}}
	for k, v := range ctx.Request.Header.All() {
		name := string(k)
		if isHopByHop(name) || isReserved(name) {
			continue
		}
		headers = append(headers, engine.Header{Name: name, Value: string(v)})
	}
	return headers
}

// isReserved reports whether a header of a caller must not reach a service: the API key
// is secret, and only this system may set the organisation and the attempt id.
func isReserved(name string) bool {
	return strings.EqualFold(name, "Authorization") ||
		strings.EqualFold(name, headerOrganisation) ||
		strings.EqualFold(name, "X-Attempt-Id")
}

// isHopByHop reports whether a header is not forwarded because it applies to a single
// connection only, or is set anew for each request or response.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
		"trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect", "server", "date":
		return true
	}
	return false
}
