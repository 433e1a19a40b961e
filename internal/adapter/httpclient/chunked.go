package httpclient

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// chunkedBody reads the content of a body in chunks (RFC 9112, 7.1), and its trailer, which it adds to the header of the
// response. fasthttp's own reader parses the trailer together with the last chunk, before anyone can look at its lines.
type chunkedBody struct {
	source *bufio.Reader
	header *fasthttp.ResponseHeader
	chunks io.Reader
	// err is how the body has ended; nil before.
	err error
}

func newChunkedBody(source *bufio.Reader, header *fasthttp.ResponseHeader) *chunkedBody {
	return &chunkedBody{source: source, header: header, chunks: httputil.NewChunkedReader(source)}
}

// Read implements io.Reader. It returns io.EOF after the trailer; a body or a trailer that ends early is io.ErrUnexpectedEOF.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		if n > 0 {
			// What has come does not wait for the trailer.
			return n, nil
		}
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer returns io.EOF if the trailer is whole and valid.
func (b *chunkedBody) readTrailer() error {
	if err := checkFields(b.source, 0); err != nil {
		return err
	}
	switch err := b.header.ReadTrailer(b.source); err {
	case nil:
		return io.EOF
	case io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}
