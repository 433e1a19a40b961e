package httpexchange

import (
	"errors"
	"net"
	"syscall"
)

// errStale means that an idle connection was closed by the peer or holds bytes
// that belong to no request.
var errStale = errors.New("idle connection is no longer usable")

// countingConn counts the bytes written since the last begin.
type countingConn struct {
	net.Conn
	sent int
}

// begin starts a new request; it fails if the peer has already closed.
func (c *countingConn) begin() error {
	c.sent = 0
	return checkIdle(c.Conn)
}

// Write passes bytes on and counts those that the system took.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += n
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
