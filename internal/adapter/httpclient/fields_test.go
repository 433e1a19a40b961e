package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// badFieldResponses returns responses in which a line is no field line.
func badFieldResponses(line string) []string {
	ok, bad := "HTTP/1.1 200 OK\r\n", line+"\r\n"
	return []string{
		ok + bad + "Content-Length: 21\r\n\r\n" + wholeBody,
		ok + "Content-Length: 21\r\n" + bad + "\r\n" + wholeBody,
		ok + bad + "\r\n" + wholeBody,
		ok + "Long: a\r\n b\r\n" + bad + "Content-Length: 21\r\n\r\n" + wholeBody,
		"\r\n" + ok + bad + "Content-Length: 21\r\n\r\n" + wholeBody,
		"HTTP/1.1 103 Early Hints\r\n" + bad + "\r\n" + ok + "Content-Length: 21\r\n\r\n" + wholeBody,
		ok + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + wholeBody + "\r\n0\r\n" + bad + "\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + wholeBody + "\r\n0\r\nSum: 1\r\n" + bad + "\r\n",
	}
}

// badFields are lines that are no field lines.
var badFields = []string{
	"X Mark: on", "X-Mark : on", "X-Mark\t: on", "Content-Length : 4", "Transfer-Encoding : chunked", ": on", "X-Mark",
	"X\x00Mark: on", "X\x01Mark: on", "X\x7fMark: on", "X\rMark: on", "X(Mark): on", "X-M\u00e4rk: on", "X\x80: on",
}

// TestBadFieldNameIsNoResponse reads such responses in all ways.
func TestBadFieldNameIsNoResponse(t *testing.T) {
	for _, line := range badFields {
		for _, raw := range badFieldResponses(line) {
			address := cuttingServer(t, raw)
			for name, read := range readers {
				var req fasthttp.Request
				req.Header.SetHost("h")
				req.Header.Set(cutHeader, strconv.Itoa(len(raw)))
				text, err := read(New(Options{}), address, &req)
				if !errors.Is(err, errBadField) || errors.Is(err, ErrNotSent) || IsTerminated(err) {
					t.Errorf("%s, %q: %q, error %v", name, raw, text, err)
				}
			}
		}
	}
}

// TestConnectionOfABadFieldNameIsNotUsedAgain sends a second request after such a response.
func TestConnectionOfABadFieldNameIsNotUsedAgain(t *testing.T) {
	for name, read := range readers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var conns atomic.Int64
			address := accept(t, func(conn *net.TCPConn) {
				raw := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				if conns.Add(1) == 1 {
					raw = "HTTP/1.1 200 OK\r\nX Mark: on\r\nContent-Length: 2\r\n\r\nok"
				}
				r := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, raw)
				}
			})
			client := New(Options{})
			var req fasthttp.Request
			req.Header.SetHost("h")
			_, err := read(client, address, &req)
			is.True(errors.Is(err, errBadField))
			text, err := read(client, address, &req)
			is.NoErr(err)
			is.Equal(text, "ok")
			is.Equal(conns.Load(), int64(2))
		})
	}
}

func TestProbeNeedsValidFieldNames(t *testing.T) {
	is := is.New(t)
	raw := "HTTP/1.1 200 OK\r\nX Mark: on\r\nContent-Length: 0\r\n\r\n"
	address := accept(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	})
	is.True(errors.Is(New(Options{}).Probe(context.Background(), address, "/health"), errBadField))
}

// tokenChars are the characters of a token (RFC 9110, 5.6.2).
const tokenChars = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// TestHeadsAreValidIfAllNamesAreTokens reads heads with names of any bytes, as they arrive in pieces.
func TestHeadsAreValidIfAllNamesAreTokens(t *testing.T) {
	anyByte := rapid.OneOf(rapid.SampledFrom([]byte(tokenChars)), rapid.ByteRange(0, 255).Filter(func(b byte) bool {
		return b != '\n' && b != ':'
	}))
	rapid.Check(t, func(t *rapid.T) {
		var head strings.Builder
		head.WriteString(rapid.SampledFrom([]string{"", "\r\n", "\n"}).Draw(t, "before"))
		head.WriteString("HTTP/1.1 200 OK\r\n")
		valid := true
		for range rapid.IntRange(0, 4).Draw(t, "fields") {
			name := rapid.SliceOfN(anyByte, 1, 6).Filter(startsField).Draw(t, "name")
			value := rapid.SampledFrom([]string{"", " on", " a b", "a:b : c", " a\r\n b c : d"}).Draw(t, "value")
			valid = valid && len(bytes.Trim(name, tokenChars)) == 0
			_, _ = fmt.Fprintf(&head, "%s:%s\r\n", name, value)
		}
		head.WriteString("\r\n")
		pieces := rapid.SampledFrom([]func(io.Reader) io.Reader{
			iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader,
		}).Draw(t, "pieces")
		r := bufio.NewReader(pieces(strings.NewReader(head.String())))
		err := checkHead(r)
		if errors.Is(err, errBadField) == valid || err != nil == valid {
			t.Fatalf("%q: %v", head.String(), err)
		}
		if rest, _ := io.ReadAll(r); string(rest) != head.String() {
			t.Fatalf("%q: left %q", head.String(), rest)
		}
	})
}

// startsField reports whether a line that begins with a name does not continue the one before it.
func startsField(name []byte) bool { return !continuesField(name) }

// TestTokenBytes compares with the definition.
func TestTokenBytes(t *testing.T) {
	is := is.New(t)
	for c := range 256 {
		is.Equal(isToken([]byte{byte(c)}), slices.Contains([]byte(tokenChars), byte(c)))
	}
	is.True(!isToken(nil))
}

// TestHeadThatDoesNotComeWholeIsLeftToTheParser cuts heads, and sends one that is longer than the buffer.
func TestHeadThatDoesNotComeWholeIsLeftToTheParser(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nA: 1\r\nB : 2\r\n"
	for cut := range strings.Index(head, "B : 2\r\n") + len("B : 2\r") {
		is.NoErr(checkHead(bufio.NewReader(strings.NewReader(head[:cut]))))
	}
	long := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 100) + "\r\n\r\n"
	is.NoErr(checkHead(bufio.NewReaderSize(strings.NewReader(long), 64)))
}
