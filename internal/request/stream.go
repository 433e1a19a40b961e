package request

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/engine"
	"rattanchute/internal/invariant"
)

// Verdict is what becomes of a chunk that arrived.
type Verdict int

// The verdicts on a chunk.
const (
	// Deliver: the chunk is the next one; it goes to the caller.
	Deliver Verdict = iota
	// Drop: the chunk belongs to another attempt or was delivered before.
	Drop
	// Skip: the chunk repeats what the caller already has, and agrees with it.
	Skip
	// Broken: the attempt cannot go on (a gap, or text that disagrees with what the
	// caller has); the attempt must be given up.
	Broken
)

// Stream follows one streamed answer over its attempts. It is not safe for
// concurrent use.
type Stream struct {
	id      string
	session string
	attempt int

	// base is the offset from which this process knows the text: the caller got the
	// chunks before it from another daemon.
	base int
	// wantHash is what the text before offset wantAt hashes to, checked when an
	// attempt repeats the text.
	wantAt   int
	wantHash uint64
	text     []string
	hash     *xxhash.Digest

	// replay is the next offset expected while an attempt repeats known text.
	replay     int
	replayHash *xxhash.Digest
	replayText []string

	finished bool
}

// NewStream starts the life of a request. The session tells apart two daemons that
// serve the same request id one after the other.
func NewStream(id, session string) *Stream {
	return &Stream{id: id, session: session, hash: xxhash.New()}
}

// ResumeStream goes on with a request of which the caller has the chunks before
// offset. hash is that of the text before hashOffset, which is at most offset.
func ResumeStream(id, session string, offset, hashOffset int, hash uint64) *Stream {
	s := NewStream(id, session)
	s.base = offset
	s.wantAt = hashOffset
	s.wantHash = hash
	return s
}

// Offset is the index of the next chunk to deliver.
func (s *Stream) Offset() int { return s.base + len(s.text) }

// Finished tells whether the last chunk has been delivered.
func (s *Stream) Finished() bool { return s.finished }

// Hash returns the hash of all text before Offset; false if it is not known, which
// is so after a resume until an attempt has repeated the whole text.
func (s *Stream) Hash() (uint64, bool) {
	if s.base > 0 {
		return 0, false
	}
	return s.hash.Sum64(), true
}

// CurrentStreamID is the stream id of the attempt that is being read.
func (s *Stream) CurrentStreamID() engine.StreamID {
	return engine.StreamID(fmt.Sprintf("%s.%s.%d", s.id, s.session, s.attempt))
}

// Begin starts the next attempt and returns what to ask the engine for. An attempt
// whose text is known goes on after it; otherwise it repeats the text from the start,
// and the repeated chunks are compared with what is known.
func (s *Stream) Begin(body []byte, priority int) engine.Generate {
	s.attempt++
	g := engine.Generate{Stream: s.CurrentStreamID(), Body: body, Priority: priority}
	if s.base > 0 {
		s.startReplay()
		return g
	}
	s.replay = len(s.text)
	s.replayHash = nil
	g.Prefix = s.text
	g.Offset = len(s.text)
	return g
}

// BeginAttach starts an attempt that joins a stream the engine is still making.
func (s *Stream) BeginAttach(stream engine.StreamID, body []byte, priority int) engine.Generate {
	s.attempt++
	s.replay = s.Offset()
	s.replayHash = nil
	return engine.Generate{Stream: stream, Body: body, Priority: priority, Attach: true, Offset: s.Offset()}
}

func (s *Stream) startReplay() {
	s.replay = 0
	s.replayHash = xxhash.New()
	s.replayText = s.replayText[:0]
}

// Accept judges a chunk of the attempt whose stream id is given.
func (s *Stream) Accept(attempt engine.StreamID, c engine.Chunk) Verdict {
	if c.Stream != attempt || s.finished {
		return Drop
	}
	if c.Offset < s.replay {
		return Drop
	}
	if c.Offset > s.replay {
		return Broken
	}
	if s.replay < s.Offset() {
		return s.acceptRepeated(c)
	}
	s.deliver(c)
	return Deliver
}

// acceptRepeated compares a chunk that the caller already has.
func (s *Stream) acceptRepeated(c engine.Chunk) Verdict {
	known := s.replay >= s.base
	if known && s.text[s.replay-s.base] != c.Text {
		return Broken
	}
	s.replay++
	s.replayText = append(s.replayText, c.Text)
	_, _ = s.replayHash.WriteString(c.Text)
	if s.replay == s.wantAt && s.replayHash.Sum64() != s.wantHash {
		return Broken
	}
	if s.replay == s.Offset() {
		s.adoptReplay()
		s.finished = c.Finish != ""
		return Skip
	}
	if c.Finish != "" {
		return Broken
	}
	return Skip
}

// adoptReplay makes the repeated text the known one, so that the next attempt can go
// on after it instead of repeating it.
func (s *Stream) adoptReplay() {
	s.base = 0
	s.text = append([]string(nil), s.replayText...)
	s.hash = s.replayHash
	s.replayHash = nil
}

func (s *Stream) deliver(c engine.Chunk) {
	invariant.Check(c.Offset == s.Offset(), "delivered_offsets_contiguous",
		"request %s: chunk %d delivered at offset %d", s.id, c.Offset, s.Offset())
	s.text = append(s.text, c.Text)
	_, _ = s.hash.WriteString(c.Text)
	s.replay++
	s.finished = c.Finish != ""
}
