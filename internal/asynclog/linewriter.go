package asynclog

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// closeTimeout bounds how long Close waits for the output, whose reader may have stopped reading.
const closeTimeout = 500 * time.Millisecond

// errOutputBlocked means that the output did not accept all lines in time.
var errOutputBlocked = errors.New("log output is blocked, lines are lost")

// lineWriter is an io.Writer that hands each write to a goroutine, which writes it to the output. It
// drops and counts what does not fit into its buffer and what is written after Close. It is used in
// place of log.AsyncWriter, which panics if a line is logged after its Close.
type lineWriter struct {
	out     io.Writer
	lines   chan *bytes.Buffer
	pool    sync.Pool
	dropped atomic.Uint64
	// waiting is the number of bytes of the lines that wait, of which there are at most bytes.
	waiting atomic.Int64
	bytes   int64
	// finished is closed once all lines are written; err, the last error of the output, is set by
	// then.
	finished chan struct{}
	err      error

	// mu is held for reading while a line is added, so that lines is not closed meanwhile.
	mu     sync.RWMutex
	closed bool
}

// newLineWriter returns a writer of which at most a number of lines wait, with at most a number of bytes together.
func newLineWriter(out io.Writer, lines int, size int64) *lineWriter {
	w := &lineWriter{
		out:      out,
		bytes:    size,
		lines:    make(chan *bytes.Buffer, lines),
		pool:     sync.Pool{New: func() any { return new(bytes.Buffer) }},
		finished: make(chan struct{}),
	}
	go w.run()
	return w
}

// maxKeptBytes is the size of the largest buffer that is kept for later lines.
const maxKeptBytes = 4 << 10

// maxBatchBytes is the size from which on lines that wait are no longer joined into one write.
const maxBatchBytes = 32 << 10

// run writes the lines, joined as far as they wait, because each write to the output is a system call.
func (w *lineWriter) run() {
	defer close(w.finished)
	var batch bytes.Buffer
	for line := range w.lines {
		w.take(&batch, line)
		for batch.Len() < maxBatchBytes && len(w.lines) > 0 {
			w.take(&batch, <-w.lines)
		}
		if _, err := w.out.Write(batch.Bytes()); err != nil {
			w.err = err
		}
		batch.Reset()
	}
}

// take moves a line to the batch.
func (w *lineWriter) take(batch *bytes.Buffer, line *bytes.Buffer) {
	batch.Write(line.Bytes())
	w.waiting.Add(-int64(line.Len()))
	w.keep(line)
}

// Write implements io.Writer. It never blocks on the output and never fails.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(p), nil
	}
	if w.waiting.Add(int64(len(p))) > w.bytes {
		w.drop(len(p))
		return len(p), nil
	}
	line := w.pool.Get().(*bytes.Buffer)
	line.Reset()
	line.Write(p)
	select {
	case w.lines <- line:
	default:
		w.drop(len(p))
		w.keep(line)
	}
	return len(p), nil
}

// drop counts a line that does not wait after all.
func (w *lineWriter) drop(size int) {
	w.waiting.Add(-int64(size))
	w.dropped.Add(1)
}

// keep keeps a line's buffer for later lines, unless it is large.
func (w *lineWriter) keep(line *bytes.Buffer) {
	if line.Cap() <= maxKeptBytes {
		w.pool.Put(line)
	}
}

// Close waits until the lines that were added are written, but at most for closeTimeout. Further
// calls do the same.
func (w *lineWriter) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.finished:
		return w.err
	case <-time.After(closeTimeout):
		return errOutputBlocked
	}
}
