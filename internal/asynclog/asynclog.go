// Package asynclog buffers structured log lines, so that logging never waits for the output.
package asynclog

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// bufferedLines is how many lines may wait to be written.
const bufferedLines = 4096

// Log is a logger that drops and counts lines if the output does not keep up.
type Log struct {
	log.Logger
	writer *countingWriter
}

// New returns a logger that writes JSON lines at the given level and above.
func New(out io.Writer, level log.Level) *Log {
	w := &countingWriter{async: &log.AsyncWriter{
		Writer:        &log.IOWriter{Writer: out},
		ChannelSize:   bufferedLines,
		DiscardOnFull: true,
	}}
	l := &Log{writer: w}
	l.Level = level
	l.TimeFormat = "2006-01-02T15:04:05.000Z07:00"
	l.Writer = w
	return l
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() uint64 { return l.writer.dropped.Load() }

// Close writes the buffered lines. Logging after it panics, because the buffer is closed.
func (l *Log) Close() error { return l.writer.async.Close() }

type countingWriter struct {
	async   *log.AsyncWriter
	dropped atomic.Uint64
}

// WriteEntry implements log.Writer.
func (w *countingWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.async.WriteEntry(e)
	if errors.Is(err, log.ErrAsyncWriterFull) {
		w.dropped.Add(1)
		return n, nil
	}
	return n, err
}
