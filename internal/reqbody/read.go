package reqbody

import (
	"errors"
	"io"

	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
)

// ErrTooLarge means that a body has, or is announced to have, more bytes than allowed.
var ErrTooLarge = errors.New("request body too large")

// UnknownLength is the length of a body whose header does not state it.
const UnknownLength = -1

const (
	// firstBytes is the size of the first buffer of a body that has not come whole.
	firstBytes = 4 << 10
	// aheadBytes are read before a full buffer grows.
	aheadBytes = 512
)

// Body describes a body that is to be read.
type Body struct {
	// Source returns the body's bytes as they come, and io.EOF at its end.
	Source io.Reader
	// Length is the number of bytes announced, or UnknownLength.
	Length int
	// Max is the largest size allowed, in bytes.
	Max int
	// Buffered returns how many of the bytes that the source returns next have come already; nil if that is not known.
	Buffered func() int
}

// Read reads a body to its end. It returns ErrTooLarge, the errors of bodybudget.Holding.Acquire, or an error of the source;
// one that ends before its announced length is io.ErrUnexpectedEOF. The holding keeps what the result takes.
func Read(b Body, h *bodybudget.Holding) ([]byte, error) {
	if b.Length > b.Max {
		return nil, ErrTooLarge
	}
	r := reader{Body: b, holding: h}
	for b.Length == UnknownLength || len(r.content) < b.Length {
		err := r.readSome()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, r.cause(err)
		}
	}
	if len(r.content) < b.Length {
		return nil, r.cause(io.ErrUnexpectedEOF)
	}
	return r.content, nil
}

type reader struct {
	Body
	holding *bodybudget.Holding
	content []byte
	// ahead takes bytes for which the content has no room yet; nil before it is needed.
	ahead []byte
}

// cause returns why reading has failed: an eviction shows itself as an error of the source.
func (r *reader) cause(err error) error {
	if r.holding.IsEvicted() {
		return bodybudget.ErrEvicted
	}
	return err
}

// readSome reads what has come, and waits only if that is nothing.
func (r *reader) readSome() error {
	if free := r.content[len(r.content):cap(r.content)]; len(free) > 0 {
		n, err := r.Source.Read(free)
		r.holding.Received(clock.Now(), n)
		r.content = r.content[:len(r.content)+n]
		return r.ended(n, err)
	}
	if n := r.buffered(); n > 0 {
		return r.grow(len(r.content) + n)
	}
	if r.ahead == nil {
		r.ahead = make([]byte, aheadBytes)
	}
	n, err := r.Source.Read(r.ahead[:min(aheadBytes, r.limit()+1-len(r.content))])
	if n > 0 {
		if growErr := r.grow(len(r.content) + n); growErr != nil {
			return growErr
		}
		r.content = append(r.content, r.ahead[:n]...)
		r.holding.Received(clock.Now(), n)
	}
	return r.ended(n, err)
}

// ended returns an error if the body has ended or can no longer be served.
func (r *reader) ended(n int, err error) error {
	if len(r.content) > r.Max {
		return ErrTooLarge
	}
	if err == nil && n == 0 {
		return io.ErrNoProgress
	}
	return err
}

func (r *reader) buffered() int {
	if r.Buffered == nil {
		return 0
	}
	return min(r.Buffered(), r.limit()-len(r.content))
}

// limit returns the largest size that the body may have.
func (r *reader) limit() int {
	if r.Length == UnknownLength {
		return r.Max
	}
	return r.Length
}

// grow makes room for a number of bytes in all, which have come.
func (r *reader) grow(size int) error {
	if size > r.Max {
		return ErrTooLarge
	}
	old := cap(r.content)
	next := max(size, 2*old)
	if size < r.Length || r.Length == UnknownLength {
		next = max(next, firstBytes)
	}
	next = min(next, r.limit())
	if err := r.holding.Acquire(int64(next)); err != nil {
		return err
	}
	content := make([]byte, len(r.content), next)
	copy(content, r.content)
	r.content = content
	r.holding.Return(int64(old))
	return nil
}
