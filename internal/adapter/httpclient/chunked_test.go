package httpclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// TestChunksAndTrailerAreWhole reads bodies in all divisions into chunks, as they arrive in pieces, and cut.
func TestChunksAndTrailerAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var raw, want strings.Builder
		for range rapid.IntRange(0, 5).Draw(t, "chunks") {
			text := strings.Repeat("x", rapid.IntRange(1, 5000).Draw(t, "size"))
			want.WriteString(text)
			_, _ = fmt.Fprintf(&raw, "%x\r\n%s\r\n", len(text), text)
		}
		raw.WriteString("0\r\n")
		fields := rapid.IntRange(0, 2).Draw(t, "fields")
		for i := range fields {
			_, _ = fmt.Fprintf(&raw, "Sum-%d: %d\r\n", i, i)
		}
		raw.WriteString("\r\n")
		cut := raw.Len()
		if rapid.Bool().Draw(t, "is cut") {
			cut = rapid.IntRange(0, raw.Len()-1).Draw(t, "cut")
		}
		pieces := rapid.SampledFrom([]func(io.Reader) io.Reader{iotest.OneByteReader, iotest.HalfReader}).Draw(t, "pieces")
		var header fasthttp.ResponseHeader
		body := newChunkedBody(bufio.NewReader(pieces(strings.NewReader(raw.String()[:cut]+"next"))), &header)
		if cut < raw.Len() {
			body = newChunkedBody(bufio.NewReader(pieces(strings.NewReader(raw.String()[:cut]))), &header)
		}
		got, err := io.ReadAll(body)
		if cut < raw.Len() {
			if err != io.ErrUnexpectedEOF || !strings.HasPrefix(want.String(), string(got)) {
				t.Fatalf("%d bytes, error %v", len(got), err)
			}
			return
		}
		if err != nil || string(got) != want.String() {
			t.Fatalf("%d bytes, error %v", len(got), err)
		}
		for i := range fields {
			if string(header.Peek(fmt.Sprint("Sum-", i))) != fmt.Sprint(i) {
				t.Fatal("a field of the trailer is missing")
			}
		}
		if rest, _ := io.ReadAll(body.source); string(rest) != "next" {
			t.Fatalf("left %q", rest)
		}
	})
}

// TestContentDoesNotWaitForTheTrailer has the trailer come late, in the same piece as the last content but for its end.
func TestContentDoesNotWaitForTheTrailer(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	t.Cleanup(func() { _ = there.Close() })
	go func() { _, _ = io.WriteString(there, "4\r\ntext\r\n0\r\nSum: 1") }()
	_ = here.SetReadDeadline(time.Now().Add(5 * time.Second))
	body := newChunkedBody(bufio.NewReader(here), &fasthttp.ResponseHeader{})
	p := make([]byte, 100)
	n, err := body.Read(p)
	is.NoErr(err)
	is.Equal(string(p[:n]), "text")
}

// TestMalformedChunksAreErrors reads bodies whose chunks receivers could divide in different ways.
func TestMalformedChunksAreErrors(t *testing.T) {
	for _, chunks := range []string{
		"4\nfine\r\n0\r\n\r\n", "4\r\nfine\n0\r\n\r\n", "4\r\nfineX\r\n0\r\n\r\n", "4\r\nfine0\r\n\r\n", "4\rX\nfine\r\n0\r\n\r\n",
		"-4\r\nfine\r\n0\r\n\r\n", "+4\r\nfine\r\n0\r\n\r\n", "0x4\r\nfine\r\n0\r\n\r\n", "4 4\r\nfine\r\n0\r\n\r\n", " 4\r\nfine\r\n0\r\n\r\n",
		"\r\nfine\r\n0\r\n\r\n", ";x\r\nfine\r\n0\r\n\r\n", "4;a\nb\r\nfine\r\n0\r\n\r\n", "4\r\nfine\r\n0\n\r\n", "4\r\nfine\r\n0\r\nX\n",
		"10000000000000004\r\nfine\r\n0\r\n\r\n", "4_0\r\nfine\r\n0\r\n\r\n", "4,4\r\nfine\r\n0\r\n\r\n", "4\x00\r\nfine\r\n0\r\n\r\n",
	} {
		raw := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
		address := cuttingServer(t, raw)
		for name, read := range readers {
			var req fasthttp.Request
			req.Header.SetHost("h")
			req.Header.Set(cutHeader, strconv.Itoa(len(raw)))
			if text, err := read(New(Options{}), address, &req); err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("%s, %q: %q, error %v", name, chunks, text, err)
			}
		}
	}
}
