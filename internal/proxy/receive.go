package proxy

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
	"rattanchute/internal/reqbody"
)

// ReasonBodyGivenUp means that the request's body, or its connection, made room for others: it came too slowly while there
// was too little.
const ReasonBodyGivenUp Reason = "body_given_up"

const (
	// manyFields is the number of header fields from which on the memory that they take is reserved: as long as there are
	// few, it is less than that of the connection.
	manyFields = 64
	// fieldBytes is the memory that a header field takes beside its text, in the request and in its copy for an endpoint.
	fieldBytes = 256
)

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// receiveBody reads the body into the memory reserved for it. It returns nil, or an error response whose status is zero if
// the connection broke and nothing can be sent. The request has not run then.
func (x *exchange) receiveBody() *errorResponse {
	h := &x.request.Header
	length := h.ContentLength()
	if length == noBody || length == 0 && !x.request.MayContinue() {
		return x.receiveNone()
	}
	if length > x.conn.limits.MaxBodyBytes {
		return newErrorResponse(fasthttp.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	}
	x.openHolding()
	if e := x.reserveFields(); e != nil {
		return e
	}
	if !x.hasArrived(length) {
		if e := x.admitHeader(); e != nil {
			return e
		}
	}
	if x.request.MayContinue() {
		if _, err := (partWriter{x.conn.net}).Write(continueLine); err != nil {
			return &errorResponse{}
		}
	}
	content, err := x.readBody(length)
	if err == nil && !x.holding.Complete() {
		err = bodybudget.ErrEvicted
	}
	if err != nil {
		return x.bodyErrorResponse(err)
	}
	x.request.SetBodyRaw(content)
	return nil
}

// noBody is what fasthttp returns as the content length of a request that states none.
const noBody = -2

// receiveNone does what is left to do for a request without a body.
func (x *exchange) receiveNone() *errorResponse {
	if err := x.request.ContinueReadBody(x.conn.reader, x.conn.limits.MaxBodyBytes, false); err != nil {
		return x.bodyErrorResponse(err)
	}
	if e := x.reserveFields(); e != nil {
		return e
	}
	if x.holding != nil && !x.holding.Complete() {
		return x.bodyErrorResponse(bodybudget.ErrEvicted)
	}
	return nil
}

// openHolding begins to count the memory of the request's body. Its eviction ends the wait for further bytes.
func (x *exchange) openHolding() {
	if x.holding == nil {
		x.holding = x.proxy.Bodies.Open(clock.Now(), func() { _ = x.conn.net.SetReadDeadline(longAgo) })
	}
}

var longAgo = time.Unix(1, 0)

// reserveFields reserves the memory of a header with many fields.
func (x *exchange) reserveFields() *errorResponse {
	fields := bytes.Count(x.request.Header.RawHeaders(), []byte{'\n'})
	if fields < manyFields {
		return nil
	}
	x.hasManyFields = true
	x.openHolding()
	if err := x.holding.Acquire(int64(fields) * fieldBytes); err != nil {
		return x.bodyErrorResponse(err)
	}
	return nil
}

// hasArrived reports whether the body is there already, as it is for most requests.
func (x *exchange) hasArrived(length int) bool {
	return length >= 0 && x.conn.reader.Buffered() >= length && !x.request.MayContinue()
}

// admitHeader refuses what the header alone shows cannot be served, before the body is received, and sets the deadline. What
// counts requests, such as the quota, follows once the body is there; all of it is checked again then.
func (x *exchange) admitHeader() *errorResponse {
	if x.relayed != nil {
		return firstError(x.readInfo, x.findRoute, x.checkKey, x.prepareRelayed, x.checkStop)
	}
	return firstError(x.readInfo, x.findRoute, x.checkKey, x.setDeadline, x.checkStop)
}

// readBody reads a body of a length, reqbody.UnknownLength if it comes in chunks.
func (x *exchange) readBody(length int) ([]byte, error) {
	c := x.conn
	c.beforeWait = x.extendReadDeadline
	defer func() { c.beforeWait = nil }()
	body := reqbody.Body{Source: c.reader, Length: length, Max: c.limits.MaxBodyBytes, Buffered: c.reader.Buffered}
	if length != reqbody.UnknownLength {
		return reqbody.Read(body, x.holding)
	}
	chunks := reqbody.NewChunked(c.reader, body.Max)
	body.Source, body.Buffered = chunks, chunks.Buffered
	content, err := reqbody.Read(body, x.holding)
	if err != nil {
		return nil, err
	}
	if err := x.request.Header.ReadTrailer(c.reader); err != nil {
		return nil, trailerError(x.holding, err)
	}
	if len(content) == 0 {
		x.request.Header.SetContentLength(0)
	}
	return content, nil
}

// extendReadDeadline lets the connection wait for the next bytes of the body until the caller has been idle for too long, or
// until the request's deadline.
func (x *exchange) extendReadDeadline() {
	wait := min(x.conn.limits.IdleTimeout, x.deadline.Sub(clock.Now()))
	_ = x.conn.net.SetReadDeadline(time.Now().Add(wait))
	if x.holding.IsEvicted() {
		_ = x.conn.net.SetReadDeadline(longAgo)
	}
}

// trailerError returns why a trailer could not be read.
func trailerError(h *bodybudget.Holding, err error) error {
	switch {
	case h.IsEvicted():
		return bodybudget.ErrEvicted
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodyErrorResponse returns the error response to a request whose body could not be received.
func (x *exchange) bodyErrorResponse(err error) *errorResponse {
	e := &errorResponse{}
	switch {
	case errors.Is(err, reqbody.ErrTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = newErrorResponse(fasthttp.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case errors.Is(err, bodybudget.ErrNoRoom):
		e = newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonOutOfMemory, startingRetryAfter)
	case errors.Is(err, bodybudget.ErrEvicted):
		e = newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonBodyGivenUp, startingRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e = newErrorResponse(fasthttp.StatusRequestTimeout, ReasonRequestTooSlow, 0)
	case isConnectionError(err):
		return e
	default:
		e = newErrorResponse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
	}
	state := x.holding.State()
	e.body = &state
	return e
}

// refuseUnread answers a request that has not been read to its end, and returns false: nothing more is read of its
// connection.
func (x *exchange) refuseUnread(e *errorResponse) bool {
	// Released before the response is sent: a caller that retries at once may find room.
	x.holding.Release()
	if e.status == 0 {
		return false
	}
	if x.info.ID == "" {
		// A promise is made under the request's ID. Without a header that can be decoded there is none.
		x.info, _ = x.proxy.HeaderCodec.DecodeRequest(&x.request.Header)
	}
	x.close = true
	x.sendError(e)
	if !x.broken {
		x.conn.server.discardUnread(x.conn.net, x.conn.reader)
	}
	return false
}

// release gives back what the request holds. The memory of many header fields is not kept for later requests.
func (x *exchange) release() {
	x.holding.Release()
	if !x.hasManyFields {
		fasthttp.ReleaseRequest(x.request)
	}
}
