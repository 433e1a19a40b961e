package httpclient

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout sets how long sent bytes may stay unacknowledged on a new connection.
func userTimeout(d time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	if d <= 0 {
		return nil
	}
	return func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}

// errStale means that an idle connection was closed by the peer or holds bytes
// that belong to no request.
var errStale = errors.New("idle connection is no longer usable")

// countingConn counts the bytes written since the last begin.
type countingConn struct {
	net.Conn
	sent atomic.Int64
	// idleUntil is when the peer may close the unused connection; zero if unknown.
	idleUntil time.Time
}

// begin starts a new request; it fails if the peer has already closed.
func (c *countingConn) begin() error {
	c.sent.Store(0)
	if !c.idleUntil.IsZero() && !time.Now().Before(c.idleUntil) {
		return errStale
	}
	return checkIdle(c.Conn)
}

// Write passes bytes on and counts those that the system took.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// checkIdle reads without waiting: an idle connection must have nothing to read.
func checkIdle(conn net.Conn) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var readErr error
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), b[:])
		return true
	})
	if err != nil {
		return err
	}
	if errors.Is(readErr, syscall.EAGAIN) {
		return nil
	}
	return errStale
}
