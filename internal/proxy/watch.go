package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// callerWatch detects that the caller disconnects while its request is served, and then cancels the
// request. Nothing else reads the connection during that time.
type callerWatch struct {
	conn       *conn
	stopped    atomic.Bool
	callerGone atomic.Bool
	// nextArrived is set once bytes of the next request have arrived.
	nextArrived atomic.Bool
	done        chan struct{}
}

func (c *conn) watchCaller(cancel context.CancelFunc) *callerWatch {
	w := &callerWatch{conn: c, done: make(chan struct{})}
	w.nextArrived.Store(c.reader.Buffered() > 0)
	_ = c.net.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		// Bytes of the next request end the watch, so that a disconnect after them is not noticed.
		// They stay buffered until that request is read.
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			w.nextArrived.Store(true)
		case !w.stopped.Load():
			w.callerGone.Store(true)
			cancel()
		}
	}()
	return w
}

// stop ends the watch and reports whether it has noticed no disconnect.
func (w *callerWatch) stop() bool {
	w.stopped.Store(true)
	_ = w.conn.net.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	return !w.callerGone.Load()
}

// isConnectionError reports whether err means a broken, closed or timed-out connection, as opposed
// to malformed input.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}
