package proxy

import (
	"net"
	"time"
)

const (
	// writeTimeout bounds the time in which a caller takes one part of what is written to it.
	writeTimeout = 10 * time.Second
	// partBytes is the size of a part. A slow caller takes one long before the time is over.
	partBytes = 16 << 10
)

// partWriter writes to a caller in parts, each of which has writeTimeout, so that a caller that reads slowly gets a large
// response whole, and one that does not read is disconnected.
type partWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w partWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := w.conn.Write(p[written:min(len(p), written+partBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
