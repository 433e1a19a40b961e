package httpclient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Listens reports whether a process listens at an address. A connection that opens may still be one that the
// operating system of an ending process has accepted: it has to last for settle, or another one has to open. The
// error says why neither is known, as when nothing answers before the context ends.
func (c *Client) Listens(ctx context.Context, address string, settle time.Duration) (bool, error) {
	conn, err := c.dialContext(ctx, net.Dialer{}, address)
	if err != nil {
		return false, refusal(err)
	}
	lasted := lasts(conn, settle)
	_ = conn.Close()
	if lasted {
		return true, nil
	}
	conn, err = c.dialContext(ctx, net.Dialer{}, address)
	if err != nil {
		return false, refusal(err)
	}
	_ = conn.Close()
	return true, nil
}

// refusal returns nil if err means that nothing listens at an address, and err otherwise.
func refusal(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	return err
}

// lasts reports whether a connection that carries no request stays open for a time.
func lasts(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	var b [1]byte
	_, err := conn.Read(b[:])
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
