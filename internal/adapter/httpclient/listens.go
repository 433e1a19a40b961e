package httpclient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// redialPause is the pause after a connection that was reset before the next one is tried.
const redialPause = 2 * time.Millisecond

// Listens reports whether a process listens at an address. The operating system of a process that ends may open
// connections until it closes the listener, and resets them then: one has to last until settle is over, or no address
// that refuses may be found until then. The error says why neither is known, as when nothing answers before the context
// ends.
func (c *Client) Listens(ctx context.Context, address string, settle time.Duration) (bool, error) {
	until := time.Now().Add(settle)
	for {
		conn, err := c.dialContext(ctx, net.Dialer{}, address)
		switch {
		case err == nil:
			lasted := lastsUntil(conn, until)
			_ = conn.Close()
			if lasted {
				return true, nil
			}
		case errors.Is(err, syscall.ECONNREFUSED):
			return false, nil
		case !errors.Is(err, syscall.ECONNRESET):
			return false, err
		}
		if !time.Now().Before(until) {
			return true, nil
		}
		time.Sleep(redialPause)
	}
}

// lastsUntil reports whether a connection that carries no request stays open until a time.
func lastsUntil(conn net.Conn, until time.Time) bool {
	_ = conn.SetReadDeadline(until)
	var b [1]byte
	_, err := conn.Read(b[:])
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
