package reqbody

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// ErrMalformedChunk means that a body in chunks does not have their format.
var ErrMalformedChunk = errors.New("malformed chunk")

const (
	// freeOverhead bytes of a chunk's head, and twice the chunk's size, do not count towards maxOverhead, which bounds
	// what is read beside the content of a body.
	freeOverhead = 16
	maxOverhead  = 16 << 10
	// maxSizeDigits is how many digits the size of a chunk has at most.
	maxSizeDigits = 15
)

// Chunked reads the content of a body in chunks (RFC 9112, section 7.1), up to the last chunk; the trailer that follows is
// left to be read. It knows the size of a chunk before its content comes: a chunk beyond the limit ends the body at its head.
type Chunked struct {
	reader *bufio.Reader
	// left is what may still come, and inChunk what is left of the chunk that is read.
	left, inChunk int64
	overhead      int
	err           error
}

// NewChunked returns a reader of a body of at most max bytes. The buffer of r bounds the head of a chunk.
func NewChunked(r *bufio.Reader, max int) *Chunked {
	return &Chunked{reader: r, left: int64(max)}
}

// Read implements io.Reader. It returns io.EOF after the last chunk, ErrTooLarge, ErrMalformedChunk, or an error of the
// reader; io.ErrUnexpectedEOF if that ends early.
func (c *Chunked) Read(p []byte) (int, error) {
	if c.err == nil && c.inChunk == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.inChunk)])
	c.inChunk -= int64(n)
	c.left -= int64(n)
	if err == nil && c.inChunk == 0 {
		// Bytes that came before a failure are returned without it.
		c.err = c.endChunk()
	} else {
		c.err = early(err)
	}
	if n > 0 {
		return n, nil
	}
	return n, c.err
}

// Buffered returns how many bytes of the chunk that is read have come.
func (c *Chunked) Buffered() int { return int(min(int64(c.reader.Buffered()), c.inChunk)) }

// nextChunk reads the head of a chunk.
func (c *Chunked) nextChunk() error {
	line, err := c.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return fmt.Errorf("%w: its head is too long", ErrMalformedChunk)
	}
	if err != nil {
		return early(err)
	}
	size, err := chunkSize(line)
	if err != nil {
		return err
	}
	c.overhead = max(0, c.overhead+len(line)-freeOverhead-2*int(min(size, maxOverhead)))
	switch {
	case c.overhead > maxOverhead:
		return fmt.Errorf("%w: too much beside the content", ErrMalformedChunk)
	case size > c.left:
		return ErrTooLarge
	case size == 0:
		return io.EOF
	}
	c.inChunk = size
	return nil
}

// chunkSize returns the size in the head of a chunk.
func chunkSize(line []byte) (int64, error) {
	head, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(head, '\r') >= 0 {
		return 0, fmt.Errorf("%w: its head has no proper end", ErrMalformedChunk)
	}
	digits, _, hasExtension := bytes.Cut(head, []byte(";"))
	if !hasExtension {
		digits = bytes.TrimRight(digits, " \t")
	}
	if len(digits) == 0 || len(digits) > maxSizeDigits || bytes.ContainsAny(digits, "+-_") {
		return 0, fmt.Errorf("%w: size %.20q", ErrMalformedChunk, digits)
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: size %.20q", ErrMalformedChunk, digits)
	}
	return size, nil
}

// endChunk reads the end of line behind a chunk.
func (c *Chunked) endChunk() error {
	for _, want := range []byte("\r\n") {
		got, err := c.reader.ReadByte()
		if err != nil {
			return early(err)
		}
		if got != want {
			return fmt.Errorf("%w: no end of line behind it", ErrMalformedChunk)
		}
	}
	return nil
}

// early returns err; io.EOF is too early an end.
func early(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
