package request

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/engine"
)

func testChunks(n int) []string {
	text := make([]string, n)
	for i := range text {
		text[i] = fmt.Sprintf("t%d ", i)
	}
	return text
}

func chunkAt(stream engine.StreamID, text []string, i int) engine.Chunk {
	c := engine.Chunk{Stream: stream, Offset: i, Text: text[i]}
	if i == len(text)-1 {
		c.Finish = "stop"
	}
	return c
}

func TestStreamDropsChunksOfEarlierAttempts(t *testing.T) {
	is := is.New(t)
	text := testChunks(4)
	s := NewStream("r", "s")
	first := s.Begin(nil, 0)
	is.Equal(s.Accept(first.Stream, chunkAt(first.Stream, text, 0)), Deliver)
	second := s.Begin(nil, 0)
	is.Equal(second.Offset, 1)
	is.Equal(second.Prefix, text[:1])
	is.Equal(s.Accept(second.Stream, chunkAt(first.Stream, text, 1)), Drop)
	is.Equal(s.Accept(second.Stream, chunkAt(second.Stream, text, 0)), Drop)
	is.Equal(s.Accept(second.Stream, chunkAt(second.Stream, text, 2)), Broken)
	is.Equal(s.Accept(second.Stream, chunkAt(second.Stream, text, 1)), Deliver)
}

func TestResumedStreamVerifiesRepeatedText(t *testing.T) {
	is := is.New(t)
	text := testChunks(5)
	other := append([]string{"x"}, text[1:]...)
	hash := xxhash.Sum64String(text[0] + text[1])
	s := ResumeStream("r", "s", 3, 2, hash)
	g := s.Begin(nil, 0)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, other, 0)), Skip)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, other, 1)), Broken)
	g = s.Begin(nil, 0)
	for i := range 3 {
		is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, i)), Skip)
	}
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 3)), Deliver)
	g = s.Begin(nil, 0)
	is.Equal(g.Offset, 4) // the repeated text is known now
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 4)), Deliver)
	is.True(s.Finished())
}

// TestResumeBelowTheTokenJoinsNoOtherText guards against a caller that lacks a part of what its token covers: the rest of
// another text must not follow what it has.
func TestResumeBelowTheTokenJoinsNoOtherText(t *testing.T) {
	is := is.New(t)
	text := testChunks(5)
	other := append([]string{"x"}, text[1:]...)
	s := ResumeStream("r", "s", 1, 3, xxhash.Sum64String(text[0]+text[1]+text[2]))
	g := s.Begin(nil, 0)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, other, 0)), Skip)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, other, 1)), Skip) // held back
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, other, 2)), Broken)
	g = s.Begin(nil, 0)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 0)), Skip)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 1)), Skip)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 2)), Release)
	held := s.TakeHeld()
	is.Equal(len(held), 2)
	is.Equal(held[0], chunkAt(g.Stream, text, 1))
	is.Equal(s.Offset(), 3)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 3)), Deliver)
	g = s.Begin(nil, 0)
	is.Equal(g.Prefix, text[:4]) // the whole text is known now
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 4)), Deliver)
	is.True(s.Finished())
}

func TestResumeAfterLastChunkFinishesStream(t *testing.T) {
	is := is.New(t)
	text := testChunks(2)
	s := ResumeStream("r", "s", 2, 0, xxhash.Sum64String(""))
	g := s.Begin(nil, 0)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 0)), Skip)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 1)), Skip)
	is.True(s.Finished())
}

// TestStreamDeliversEachChunkOnce runs a stream over attempts that are interrupted, delayed and
// duplicated or that overlap, and over daemons that take over from one another. Every chunk must be
// delivered exactly once and in order.
func TestStreamDeliversEachChunkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := testChunks(rapid.IntRange(1, 30).Draw(t, "length"))
		run := &streamSimulation{text: text, stream: NewStream("r", "s0")}
		for step := 0; !run.stream.Finished() && step < 200; step++ {
			run.attempt(t, step)
		}
		run.finish(t)
		if len(run.delivered) != len(text) {
			t.Fatalf("%d of %d chunks delivered", len(run.delivered), len(text))
		}
		for i := range text {
			if run.delivered[i] != text[i] {
				t.Fatalf("chunk %d is %q, want %q", i, run.delivered[i], text[i])
			}
		}
	})
}

type streamSimulation struct {
	text       []string
	stream     *Stream
	delivered  []string
	sentChunks []engine.Chunk
}

// attempt runs one attempt for a few chunks, with late chunks of earlier attempts between them.
func (r *streamSimulation) attempt(t *rapid.T, step int) {
	if rapid.IntRange(0, 4).Draw(t, "daemon dies") == 0 {
		r.resume(t, fmt.Sprintf("s%d", step+1))
	}
	g := r.stream.Begin(nil, 0)
	for range rapid.IntRange(0, 12).Draw(t, "chunks before the cut") {
		r.deliverLateChunk(t, g.Stream)
		if g.Offset >= len(r.text) || r.stream.Finished() {
			return
		}
		r.accept(g.Stream, chunkAt(g.Stream, r.text, g.Offset))
		g.Offset++
	}
}

// resume continues at another daemon. The caller may lack the end of what its token covers.
func (r *streamSimulation) resume(t *rapid.T, session string) {
	hashAt := rapid.IntRange(0, len(r.delivered)).Draw(t, "token offset")
	hash := hashOf(r.delivered[:hashAt])
	r.delivered = r.delivered[:len(r.delivered)-rapid.IntRange(0, len(r.delivered)).Draw(t, "lost chunks")]
	if len(r.delivered) == 0 {
		r.stream = NewStream("r", session)
		return
	}
	r.stream = ResumeStream("r", session, len(r.delivered), hashAt, hash)
}

func (r *streamSimulation) finish(t *rapid.T) {
	g := r.stream.Begin(nil, 0)
	for i := g.Offset; i < len(r.text); i++ {
		r.accept(g.Stream, chunkAt(g.Stream, r.text, i))
	}
}

func (r *streamSimulation) deliverLateChunk(t *rapid.T, current engine.StreamID) {
	if len(r.sentChunks) == 0 || !rapid.Bool().Draw(t, "late chunk") {
		return
	}
	r.accept(current, r.sentChunks[rapid.IntRange(0, len(r.sentChunks)-1).Draw(t, "which")])
}

func (r *streamSimulation) accept(current engine.StreamID, c engine.Chunk) {
	switch r.stream.Accept(current, c) {
	case Deliver:
		r.delivered = append(r.delivered, c.Text)
	case Release:
		for _, held := range r.stream.TakeHeld() {
			r.delivered = append(r.delivered, held.Text)
		}
	}
	r.sentChunks = append(r.sentChunks, c)
}

func hashOf(text []string) uint64 {
	h := xxhash.New()
	for _, s := range text {
		_, _ = h.WriteString(s)
	}
	return h.Sum64()
}
