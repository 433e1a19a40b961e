package request

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/engine"
	"rattanchute/internal/invariant"
)

// Verdict is the decision about a chunk that was received.
type Verdict int

// The verdicts on a chunk.
const (
	// Deliver: the chunk is the next one and is forwarded to the caller.
	Deliver Verdict = iota
	// Drop: the chunk belongs to another attempt, was received before, or follows the last one.
	Drop
	// Skip: the chunk repeats text that the caller already has, and no difference was found. Text
	// from before a resume is compared only through the hash that ResumeStream got.
	Skip
	// Release: the text up to this chunk is that of which the caller has the beginning. The chunks that
	// TakeHeld returns are forwarded to the caller.
	Release
	// Broken: the attempt has to be aborted, because of a gap, or because its text differs from what
	// the caller has or ends before it.
	Broken
)

// Stream tracks a streamed response over its attempts. It is not safe for concurrent use.
type Stream struct {
	id      string
	session string
	attempt int

	// knownFrom is the offset from which this process knows the text. The caller got the chunks
	// before it from another daemon.
	knownFrom int
	// expectedHash is the hash of the text before expectedHashOffset. It is checked when an attempt
	// repeats the text.
	expectedHashOffset int
	expectedHash       uint64
	text               []string
	hash               *xxhash.Digest

	// nextOffset is the offset of the next chunk that is expected from the current attempt.
	nextOffset int
	// repeatedHash and repeatedText are the hash and the chunks of the text that the current attempt
	// has repeated so far. repeatedHash is nil if the attempt repeats nothing or has repeated it all.
	repeatedHash *xxhash.Digest
	repeatedText []string
	// held are the chunks of the current attempt that the caller lacks but that lie before
	// expectedHashOffset. They are forwarded once the hash shows that they continue what the caller has.
	held []engine.Chunk

	finished bool
}

// NewStream returns the state of a new streamed request. The session distinguishes two daemons that
// serve the same request ID one after the other.
func NewStream(id, session string) *Stream {
	return &Stream{id: id, session: session, hash: xxhash.New()}
}

// ResumeStream returns the state of a request whose chunks before offset were already delivered to
// the caller. hash is that of the text before hashOffset; it is not checked if hashOffset is zero. If
// hashOffset is greater than offset, the chunks in between are held back until it is checked.
func ResumeStream(id, session string, offset, hashOffset int, hash uint64) *Stream {
	s := NewStream(id, session)
	s.knownFrom = offset
	s.expectedHashOffset = hashOffset
	s.expectedHash = hash
	return s
}

// Offset is the index of the next chunk to deliver.
func (s *Stream) Offset() int { return s.knownFrom + len(s.text) }

// Finished reports whether the caller has the last chunk.
func (s *Stream) Finished() bool { return s.finished }

// Hash returns the hash of all text before Offset. It returns false if the hash is not known, which
// is the case after a resume until an attempt has repeated the whole text.
func (s *Stream) Hash() (uint64, bool) {
	if s.knownFrom > 0 {
		return 0, false
	}
	return s.hash.Sum64(), true
}

// CurrentStreamID returns the stream ID that Begin has given to the current attempt. It does not
// apply to an attempt of BeginAttach, which has the ID of the stream that it attaches to.
func (s *Stream) CurrentStreamID() engine.StreamID {
	return engine.StreamID(fmt.Sprintf("%s.%s.%d", s.id, s.session, s.attempt))
}

// Begin starts the next attempt and returns the request to the engine. If the text so far is known,
// the attempt continues after it. Otherwise it repeats the text from the start, and the repeated
// chunks are compared with what is known.
func (s *Stream) Begin(body []byte, priority int) engine.Generate {
	s.attempt++
	g := engine.Generate{Stream: s.CurrentStreamID(), Body: body, Priority: priority}
	if s.knownFrom > 0 {
		s.beginRepeat()
		return g
	}
	s.nextOffset = len(s.text)
	s.repeatedHash = nil
	g.Prefix = s.text
	g.Offset = len(s.text)
	return g
}

// BeginAttach starts an attempt that attaches to a stream that the engine is still generating.
func (s *Stream) BeginAttach(stream engine.StreamID, body []byte, priority int) engine.Generate {
	s.attempt++
	s.nextOffset = s.Offset()
	s.repeatedHash = nil
	return engine.Generate{Stream: stream, Body: body, Priority: priority, Attach: true, Offset: s.Offset()}
}

func (s *Stream) beginRepeat() {
	s.nextOffset = 0
	s.repeatedHash = xxhash.New()
	s.repeatedText = s.repeatedText[:0]
	s.held = nil
}

// Accept returns the verdict on a chunk that was received for the attempt with the given stream ID.
func (s *Stream) Accept(attempt engine.StreamID, c engine.Chunk) Verdict {
	if c.Stream != attempt || s.finished {
		return Drop
	}
	if c.Offset < s.nextOffset {
		return Drop
	}
	if c.Offset > s.nextOffset {
		return Broken
	}
	if s.repeatedHash != nil {
		return s.acceptRepeated(c)
	}
	s.deliver(c)
	return Deliver
}

// acceptRepeated compares a chunk with what is known of the text, as far as the caller has it or its hash
// is known.
func (s *Stream) acceptRepeated(c engine.Chunk) Verdict {
	switch {
	case s.nextOffset >= s.Offset():
		s.held = append(s.held, c)
	case s.nextOffset >= s.knownFrom && s.text[s.nextOffset-s.knownFrom] != c.Text:
		return Broken
	default:
		s.repeatedText = append(s.repeatedText, c.Text)
	}
	s.nextOffset++
	_, _ = s.repeatedHash.WriteString(c.Text)
	if s.nextOffset == s.expectedHashOffset && s.repeatedHash.Sum64() != s.expectedHash {
		return Broken
	}
	if s.nextOffset < max(s.Offset(), s.expectedHashOffset) {
		if c.Finish != "" {
			return Broken
		}
		return Skip
	}
	s.adoptRepeatedText()
	if len(s.held) > 0 {
		return Release
	}
	s.finished = c.Finish != ""
	return Skip
}

// adoptRepeatedText makes the repeated text that the caller has the known text, so that the next attempt can
// continue after it instead of repeating it.
func (s *Stream) adoptRepeatedText() {
	s.knownFrom = 0
	s.text = append([]string(nil), s.repeatedText...)
	s.hash = xxhash.New()
	for _, text := range s.text {
		_, _ = s.hash.WriteString(text)
	}
	s.repeatedHash = nil
}

// TakeHeld returns the chunks that Accept has released, which count as delivered from now on.
func (s *Stream) TakeHeld() []engine.Chunk {
	held := s.held
	s.held = nil
	for _, c := range held {
		s.deliver(c)
	}
	s.nextOffset = s.Offset()
	return held
}

func (s *Stream) deliver(c engine.Chunk) {
	invariant.Check(c.Offset == s.Offset(), "delivered_offsets_contiguous",
		"request %s: chunk %d delivered at offset %d", s.id, c.Offset, s.Offset())
	s.text = append(s.text, c.Text)
	_, _ = s.hash.WriteString(c.Text)
	s.nextOffset++
	s.finished = c.Finish != ""
}
