// Package asynclog buffers structured log lines, so that logging never waits for the output.
package asynclog

import (
	"io"

	"github.com/phuslu/log"
)

const (
	// bufferedLines is how many lines may wait to be written.
	bufferedLines = 4096
	// bufferedBytes is how many bytes they may have together: a line may hold what a caller has sent.
	bufferedBytes = 2 << 20
)

// Log is a logger that drops and counts lines if the output does not keep up.
type Log struct {
	log.Logger
	lines *lineWriter
}

// New returns a logger that writes JSON lines at the given level and above.
func New(out io.Writer, level log.Level) *Log {
	l := &Log{lines: newLineWriter(out, bufferedLines, bufferedBytes)}
	l.Level = level
	l.TimeFormat = "2006-01-02T15:04:05.000Z07:00"
	l.Writer = &log.IOWriter{Writer: l.lines}
	return l
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() uint64 { return l.lines.dropped.Load() }

// Close writes the buffered lines, but waits for the output only briefly, and returns the output's last
// error. Lines that are logged after it are dropped and counted.
func (l *Log) Close() error { return l.lines.Close() }
