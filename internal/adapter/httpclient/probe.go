package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// Probe sends a GET request on a connection of its own, which it closes, and returns nil once the head of a
// response has arrived, whatever its status. A connection that opens is no response, and neither is a head
// that cannot be read. The error wraps ErrNotSent if the connection did not open.
func (c *Client) Probe(ctx context.Context, address, path string) error {
	conn, err := c.dialContext(ctx, net.Dialer{}, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(path)
	req.Header.SetHost(address)
	req.SetConnectionClose()
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return responseError(ctx, err)
	}
	if err := w.Flush(); err != nil {
		return responseError(ctx, err)
	}
	resp.StreamBody = true // the body is not read
	if err := readHead(bufio.NewReader(conn), resp); err != nil {
		return responseError(ctx, err)
	}
	return nil
}
