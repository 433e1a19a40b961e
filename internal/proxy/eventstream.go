package proxy

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

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
	buffer []byte
}

// add appends received bytes. It returns errEventTooLarge if more than maxEventBytes are not yet
// returned by next.
func (r *eventReader) add(p []byte) error {
	r.buffer = append(r.buffer, p...)
	if len(r.buffer) > maxEventBytes {
		return errEventTooLarge
	}
	return nil
}

// next returns the next complete event. Its text is valid until the next call of add.
func (r *eventReader) next() (event, bool) {
	end := eventEnd(r.buffer)
	if end < 0 {
		return event{}, false
	}
	e := parseEvent(r.buffer[:end])
	r.buffer = r.buffer[end:]
	return e, true
}

// partial returns the incomplete event at the end, without the blank lines before it.
func (r *eventReader) partial() []byte { return bytes.TrimLeft(r.buffer, "\r\n") }

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
