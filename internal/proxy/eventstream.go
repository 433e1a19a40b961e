package proxy

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// uncountedEventBytes is the largest size of a stream's buffer that is not reserved: what is read at once, and an ordinary
// event of which a part came before.
const uncountedEventBytes = 2 * readBufferBytes

// errEventTooLarge means that an event is longer than maxEventBytes, for example because the
// endpoint never ends it.
var errEventTooLarge = errors.New("event too large")

// eventKind is what the lines up to a blank line are.
type eventKind int

const (
	// kindComment means that they say nothing to a reader of events: they are comments, or set its retry delay.
	kindComment eventKind = iota
	// kindEvent means that they are an event: at least one of them is a field of events.
	kindEvent
	// kindText means that they are other text, such as the head of a response.
	kindText
)

// event is one complete event of a stream, with the blank line that ends it.
type event struct {
	text []byte
	kind eventKind
	// id is the event's id without surrounding spaces; empty if it has none.
	id string
	// number is the numeric value of id, if the event is numbered.
	number   int64
	numbered bool
	// textHash is a hash of the event's type and data.
	textHash uint64
}

// eventReader splits a stream into complete events. Lines end with LF or CRLF. What follows the last
// complete event is available only from partial.
type eventReader struct {
	buffer responseBuffer
	// taken is the number of bytes that next has returned.
	taken int
}

// add appends received bytes. It returns errEventTooLarge if more than maxEventBytes are not yet
// returned by next, and bodybudget.ErrNoRoom if there is too little memory for an event that is not whole.
func (r *eventReader) add(p []byte) error {
	r.drop()
	if len(r.buffer.content)+len(p) > maxEventBytes {
		return errEventTooLarge
	}
	if err := r.buffer.makeRoom(len(p)); err != nil {
		return err
	}
	r.buffer.content = append(r.buffer.content, p...)
	return nil
}

// drop frees what next has returned.
func (r *eventReader) drop() {
	rest := r.rest()
	r.taken = 0
	if len(rest) == 0 && cap(r.buffer.content) > r.buffer.largestUncounted() {
		r.buffer.giveBack()
		return
	}
	r.buffer.content = r.buffer.content[:copy(r.buffer.content, rest)]
}

// rest returns what next has not returned.
func (r *eventReader) rest() []byte { return r.buffer.content[r.taken:] }

// next returns the next complete event. Its text is valid until the next call of add.
func (r *eventReader) next() (event, bool) {
	rest := r.rest()
	end := eventEnd(rest)
	if end < 0 {
		return event{}, false
	}
	r.taken += end
	return parseEvent(rest[:end]), true
}

// partial returns the incomplete event at the end, without the blank lines before it.
func (r *eventReader) partial() []byte { return bytes.TrimLeft(r.rest(), "\r\n") }

// eventEnd returns the index after the first blank line, or -1 if there is none yet.
func eventEnd(b []byte) int {
	for at := 0; at < len(b); {
		newline := bytes.IndexByte(b[at:], '\n')
		if newline < 0 {
			return -1
		}
		at += newline + 1
		switch {
		case at < len(b) && b[at] == '\n':
			return at + 1
		case at+1 < len(b) && b[at] == '\r' && b[at+1] == '\n':
			return at + 2
		}
	}
	return -1
}

func parseEvent(text []byte) event {
	e := event{text: text}
	var hash xxhash.Digest
	hash.Reset()
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			e.kind = kindEvent
			e.id = string(bytes.TrimSpace(value))
		case "data", "event":
			e.kind = kindEvent
			_, _ = hash.Write(line)
			_, _ = hash.Write([]byte("\n"))
		case "", "retry":
		default:
			if e.kind == kindComment {
				e.kind = kindText
			}
		}
	}
	e.number, e.numbered = eventNumber(e.id)
	e.textHash = hash.Sum64()
	return e
}

// eventNumber returns the number that an event's ID is; false if it is none.
func eventNumber(id string) (int64, bool) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil || number < 0 {
		return 0, false
	}
	return number, true
}
