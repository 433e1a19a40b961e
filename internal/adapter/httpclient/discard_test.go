package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// forgedResponse is part of a body, and looks like the response to the request.
const forgedResponse = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 6\r\n\r\nforged"

// TestBytesOfAnotherResponseAreNeverTakenForAResponse sends a response to an earlier request whose body is longer than
// what is discarded.
func TestBytesOfAnotherResponseAreNeverTakenForAResponse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n", MaxResponseBytes+len(forgedResponse))
		_, _ = io.CopyN(conn, zeros{}, MaxResponseBytes)
		_, _ = io.WriteString(conn, forgedResponse)
	}()
	var req fasthttp.Request
	req.Header.SetHost("h")
	matches := func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("Id")) == "mine" }
	_, err = New(Options{}).OpenTarget(context.Background(), Target{Address: listener.Addr().String()}, &req, OpenOptions{Matches: matches})
	is.True(err != nil)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
