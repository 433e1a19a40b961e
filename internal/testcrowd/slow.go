package testcrowd

import (
	"io"
	"net"
	"time"
)

// Slow gives a text a piece at a time, as a client does that behaves but is slow.
type Slow struct {
	Text string
	// Piece is the number of bytes that come at a time, each after Gap.
	Piece int
	Gap   time.Duration
}

// Read implements io.Reader.
func (s *Slow) Read(p []byte) (int, error) {
	if s.Text == "" {
		return 0, io.EOF
	}
	time.Sleep(s.Gap)
	n := copy(p, s.Text[:min(s.Piece, len(s.Text))])
	s.Text = s.Text[n:]
	return n, nil
}

// SlowConn is a connection that is read a piece at a time, each after Gap, as by a client that behaves but is slow.
type SlowConn struct {
	net.Conn
	Piece int
	Gap   time.Duration
}

// DialSlow connects to an address, "ip:port". Of what is not read, little fits into the buffer of the client's system.
func DialSlow(address string, piece int, gap time.Duration) (*SlowConn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &SlowConn{Conn: conn, Piece: piece, Gap: gap}, conn.(*net.TCPConn).SetReadBuffer(16 << 10)
}

// Read implements net.Conn.
func (c *SlowConn) Read(p []byte) (int, error) {
	time.Sleep(c.Gap)
	return c.Conn.Read(p[:min(len(p), c.Piece)])
}
