// Package discard reads and drops what clients still send of requests that are refused unread. A connection that is closed
// with unread bytes is reset, and its client may lose the response.
package discard

import (
	"io"
	"net"
	"time"
)

const (
	// slots is how many connections are read at the same time; the others are closed at once.
	slots = 32
	// maxBytes and timeout bound what is read of one connection, and idleTimeout the wait for its next byte.
	maxBytes    = 16 << 20
	timeout     = time.Second
	idleTimeout = 200 * time.Millisecond
)

// Pool bounds how much is read and dropped at the same time. It is safe for concurrent use.
type Pool struct {
	slots chan struct{}
}

// NewPool returns a pool.
func NewPool() *Pool { return &Pool{slots: make(chan struct{}, slots)} }

// Drop reads and drops what the client of conn sends, through r, until it stops or a bound is reached. It changes the
// connection's read deadline.
func (p *Pool) Drop(conn net.Conn, r io.Reader) {
	select {
	case p.slots <- struct{}{}:
	default:
		return
	}
	defer func() { <-p.slots }()
	// What the client sends is of no interest, nor is why it ends.
	_, _ = io.Copy(io.Discard, io.LimitReader(&patient{conn, r, time.Now().Add(timeout)}, maxBytes))
}

// patient waits for each read until the client is idle or the time is over.
type patient struct {
	conn   net.Conn
	reader io.Reader
	end    time.Time
}

// Read implements io.Reader.
func (p *patient) Read(to []byte) (int, error) {
	deadline := time.Now().Add(idleTimeout)
	if deadline.After(p.end) {
		deadline = p.end
	}
	if err := p.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return p.reader.Read(to)
}
