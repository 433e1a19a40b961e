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

// setTCPUserTimeout returns a dial control function that sets TCP_USER_TIMEOUT, the time
// that sent bytes may stay unacknowledged. It returns nil for zero.
func setTCPUserTimeout(d time.Duration) func(context.Context, string, string, syscall.RawConn) error {
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

// errStaleConn means that an idle connection was closed by the peer, may be closed by it
// at any time, or has received bytes that belong to no request.
var errStaleConn = errors.New("idle connection is no longer usable")

// countingConn counts the bytes written since the last call of beginRequest.
type countingConn struct {
	net.Conn
	sent atomic.Int64
	// idleUntil is the time from which the peer may close the idle connection; zero if
	// unknown.
	idleUntil time.Time
	// openedAt is when the connection was opened, and requests the number of requests that it was taken for.
	openedAt time.Time
	requests int
}

// beginRequest resets the count for a new request. It returns an error, in general
// errStaleConn, if the connection is no longer usable.
func (c *countingConn) beginRequest() error {
	c.sent.Store(0)
	c.requests++
	if !c.idleUntil.IsZero() && !time.Now().Before(c.idleUntil) {
		return errStaleConn
	}
	return checkIdle(c.Conn)
}

// Write implements net.Conn and counts the bytes that the operating system accepted.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// checkIdle does a non-blocking read: an idle connection must have nothing to read, not
// even an end of file.
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
	return errStaleConn
}
