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

// watch notices that the caller leaves while its request is served. The connection is
// otherwise not read meanwhile.
type watch struct {
	conn    *conn
	stopped atomic.Bool
	gone    atomic.Bool
	done    chan struct{}
}

func (c *conn) watchCaller(leave context.CancelFunc) *watch {
	w := &watch{conn: c, done: make(chan struct{})}
	_ = c.net.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		// Bytes of a next request end the watch; it is read when its turn comes.
		if _, err := c.reader.Peek(1); err != nil && !w.stopped.Load() {
			w.gone.Store(true)
			leave()
		}
	}()
	return w
}

// stop ends the watch and reports whether the caller is still there.
func (w *watch) stop() bool {
	w.stopped.Store(true)
	_ = w.conn.net.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	return !w.gone.Load()
}

// connectionError tells a broken or silent connection from bytes that make no sense.
func connectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}
