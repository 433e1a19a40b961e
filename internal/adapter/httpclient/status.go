package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// errBadStatus means that what arrived is no response: its status is below 100. fasthttp takes the status 000 for 200.
var errBadStatus = errors.New("response with an invalid status")

// errManyInterim means that more than maxInterimResponses came before the response.
var errManyInterim = errors.New("too many interim responses")

// maxInterimResponses bounds the interim responses (RFC 9110, 15.2) that are skipped before a response.
const maxInterimResponses = 100

// readHead reads the head of a response, and returns an error if its status or the name of a field is not valid, also in an interim
// response before it. Its body is read as the response's settings say.
func readHead(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterimResponses + 1 {
		status, err := peekStatus(r)
		switch {
		case err != nil:
			return err
		case status < fasthttp.StatusContinue:
			return fmt.Errorf("%w: %03d", errBadStatus, status)
		}
		if err := checkHead(r); err != nil {
			return err
		}
		if status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return resp.ReadLimitBody(r, 0)
		}
		var interim fasthttp.ResponseHeader
		if err := interim.Read(r); err != nil {
			return err
		}
	}
	return errManyInterim
}

// peekStatus returns the status of the response that comes next. For what is no status line it returns StatusOK: the
// parser of the head then says what is wrong.
func peekStatus(r *bufio.Reader) (int, error) {
	if _, err := r.Peek(1); err != nil {
		return 0, firstByteError(err)
	}
	for {
		arrived, _ := r.Peek(r.Buffered())
		status, ok := parseStatus(arrived)
		if ok {
			return status, nil
		}
		if _, err := r.Peek(len(arrived) + 1); err != nil {
			return fasthttp.StatusOK, nil
		}
	}
}

// firstByteError returns the error of a response without a byte, as fasthttp does.
func firstByteError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fasthttp.ErrTimeout
	}
	return io.EOF
}

// statusDigits is the length of a status.
const statusDigits = 3

// parseStatus returns the status of a status line, which blank lines may precede. ok is false if more of it is to come.
func parseStatus(b []byte) (status int, ok bool) {
	line := bytes.TrimLeft(b, "\r\n")
	_, rest, found := bytes.Cut(line, []byte(" "))
	rest = bytes.TrimLeft(rest, " ")
	if !found || len(rest) < statusDigits {
		// A line that ends without a status is for the parser of the head.
		return fasthttp.StatusOK, bytes.IndexByte(line, '\n') >= 0
	}
	for _, c := range rest[:statusDigits] {
		if c < '0' || c > '9' {
			return fasthttp.StatusOK, true
		}
		status = 10*status + int(c-'0')
	}
	return status, true
}
