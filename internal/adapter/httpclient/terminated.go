package httpclient

import (
	"context"
	"errors"
	"io"
	"syscall"
)

// IsTerminated reports whether err means that the peer closed or reset the connection after a part of the
// request was sent and before the response was complete. Timeouts and the end of the request's context are
// something else.
func IsTerminated(err error) bool {
	for _, other := range []error{ErrNotSent, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, other) {
			return false
		}
	}
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}
