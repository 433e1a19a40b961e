package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// errBadField means that a line of a head or of a trailer is no field line (RFC 9112, 5): what stands before its colon is no token
// (RFC 9110, 5.6.2). Receivers disagree on what such a line says, and so on where the response ends. fasthttp takes names with
// blanks.
var errBadField = errors.New("response with an invalid field name")

// maxQuotedBytes is how much of a bad line its error quotes.
const maxQuotedBytes = 80

// checkHead looks at the head that comes next, without reading it, and returns errBadField if a line is no field line. A head
// that does not come whole, or is too long for the buffer, is left to the parser of heads.
func checkHead(r *bufio.Reader) error {
	for at := 0; ; {
		line, next, ok := peekLine(r, at)
		if !ok {
			return nil
		}
		at = next
		// Blank lines may precede the status line.
		if len(line) > 0 {
			return checkFields(r, at)
		}
	}
}

// checkFields is checkHead for the field lines, up to a blank line, that come after a number of bytes.
func checkFields(r *bufio.Reader, at int) error {
	for first := true; ; first = false {
		line, next, ok := peekLine(r, at)
		if !ok || len(line) == 0 {
			return nil
		}
		at = next
		if !first && continuesField(line) {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return fmt.Errorf("%w: %q", errBadField, line[:min(len(line), maxQuotedBytes)])
		}
	}
}

// continuesField reports whether a line is a further part of the field before it (RFC 9112, 5.2).
func continuesField(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// peekLine waits for the line after a number of bytes, and returns it without its end, and the number of bytes up to the next
// one. ok is false if the line does not come whole.
func peekLine(r *bufio.Reader, at int) (line []byte, next int, ok bool) {
	for searched := at; ; {
		arrived, _ := r.Peek(r.Buffered())
		if end := bytes.IndexByte(arrived[searched:], '\n'); end >= 0 {
			next = searched + end + 1
			return bytes.TrimSuffix(arrived[at:next-1], []byte("\r")), next, true
		}
		searched = len(arrived)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, 0, false
		}
	}
}

// isToken reports whether a name is a token (RFC 9110, 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		if !isTokenByte(c) {
			return false
		}
	}
	return len(name) > 0
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
