package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const (
	// cutHeader is the header of a request that says after how many bytes its response is cut.
	cutHeader = "Cut"
	wholeBody = "the whole of the text"
)

// responseForms are responses. The body of each but the last ends with the response; that of the last ends with the
// connection.
var responseForms = []struct {
	name, method, head, body string
	want                     string
	endsWithConnection       bool
}{
	{"length", "POST", "HTTP/1.1 200 OK\nContent-Length: 21\nTail: x\n\n", wholeBody, wholeBody, false},
	{"folded", "POST", "HTTP/1.1 200 OK\nLong: a\n b\nContent-Length: 21\n\n", wholeBody, wholeBody, false},
	{"chunked", "POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", "15\r\n" + wholeBody + "\r\n0\r\n\r\n", wholeBody, false},
	{
		"trailer", "POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nTrailer: Sum\n\n",
		"15\r\n" + wholeBody + "\r\n0\r\nSum: 1\r\n\r\n", wholeBody, false,
	},
	{"after 103", "POST", "HTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 200 OK\nContent-Length: 21\n\n", wholeBody, wholeBody, false},
	{"HEAD", "HEAD", "HTTP/1.1 200 OK\nContent-Length: 21\n\n", "", "", false},
	{"204", "POST", "HTTP/1.1 204 No Content\nTail: x\n\n", "", "", false},
	{"304", "POST", "HTTP/1.1 304 Not Modified\nTail: x\n\n", "", "", false},
	{"status alone", "POST", "HTTP/1.1 204 No Content\n\n", "", "", false},
	{"no length", "POST", "HTTP/1.1 200 OK\nTail: x\n\n", wholeBody, wholeBody, true},
}

// cuttingServer answers each request with as much of a response as the request asks for, and then closes the
// connection.
func cuttingServer(t *testing.T, raw string) string {
	t.Helper()
	return accept(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if n, err := strconv.Atoi(r.Header.Get(cutHeader)); err == nil && n <= len(raw) {
			_, _ = io.WriteString(conn, raw[:n])
		}
	})
}

// readers read a response to its end in the ways that a Client has.
var readers = map[string]func(*Client, string, *fasthttp.Request) (string, error){
	"streamed": func(c *Client, address string, req *fasthttp.Request) (string, error) {
		body, err := c.Open(context.Background(), address, req)
		if err != nil {
			return "", err
		}
		defer body.Close()
		text, err := io.ReadAll(body)
		return string(text), err
	},
	"buffered": func(c *Client, address string, req *fasthttp.Request) (string, error) {
		var resp fasthttp.Response
		err := c.Do(context.Background(), address, req, &resp)
		return string(resp.Body()), err
	},
}

func TestCutResponseIsAnErrorAfterWhichTheRequestMayHaveRun(t *testing.T) {
	for _, form := range responseForms {
		raw := strings.ReplaceAll(form.head, "\n", "\r\n") + form.body
		address := cuttingServer(t, raw)
		lastCut := len(raw)
		if form.endsWithConnection {
			lastCut -= len(form.body)
		}
		for name, read := range readers {
			t.Run(fmt.Sprintf("%s/%s", form.name, name), func(t *testing.T) {
				is, client := is.New(t), New(Options{})
				play := func(cut int) (string, error) {
					var req fasthttp.Request
					req.Header.SetMethod(form.method)
					req.Header.SetHost("h")
					req.Header.Set(cutHeader, strconv.Itoa(cut))
					return read(client, address, &req)
				}
				for cut := range lastCut {
					text, err := play(cut)
					if err == nil || !IsTerminated(err) || errors.Is(err, ErrNotSent) {
						t.Errorf("cut after %q: %q, error %v", raw[:cut], text, err)
					}
				}
				text, err := play(len(raw))
				is.NoErr(err)
				is.Equal(text, form.want)
			})
		}
	}
}

// TestStatusBelow100IsNoResponse reads such a response in both ways, at once and behind an interim one.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 21\r\n\r\n" + wholeBody,
		"HTTP/1.1 020 OK\r\nContent-Length: 21\r\n\r\n" + wholeBody,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 21\r\n\r\n" + wholeBody,
	} {
		address := cuttingServer(t, raw)
		for name, read := range readers {
			is := is.New(t)
			req := fasthttp.AcquireRequest()
			req.Header.SetHost("h")
			req.Header.Set(cutHeader, strconv.Itoa(len(raw)))
			_, err := read(New(Options{}), address, req)
			t.Log(name, err)
			is.True(errors.Is(err, errBadStatus))
			is.True(!errors.Is(err, ErrNotSent)) // the request may have run
		}
	}
}
