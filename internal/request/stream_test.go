package request

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/engine"
)

func answerText(n int) []string {
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

func TestStreamDropsChunksOfOlderAttempts(t *testing.T) {
	is := is.New(t)
	text := answerText(4)
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

func TestResumedStreamChecksWhatItRepeats(t *testing.T) {
	is := is.New(t)
	text := answerText(5)
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

func TestResumeAfterTheLastChunkEndsTheStream(t *testing.T) {
	is := is.New(t)
	text := answerText(2)
	s := ResumeStream("r", "s", 2, 0, xxhash.Sum64String(""))
	g := s.Begin(nil, 0)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 0)), Skip)
	is.Equal(s.Accept(g.Stream, chunkAt(g.Stream, text, 1)), Skip)
	is.True(s.Finished())
}

// TestStreamDeliversEachChunkOnce drives a stream over attempts that are cut, late,
// crossed and duplicated, and over daemons that follow one another.
func TestStreamDeliversEachChunkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := answerText(rapid.IntRange(1, 30).Draw(t, "length"))
		run := &streamRun{text: text, stream: NewStream("r", "s0")}
		for step := 0; !run.stream.Finished() && step < 200; step++ {
			run.attempt(t, step)
		}
		run.finish(t)
		if len(run.got) != len(text) {
			t.Fatalf("%d of %d chunks delivered", len(run.got), len(text))
		}
		for i := range text {
			if run.got[i] != text[i] {
				t.Fatalf("chunk %d is %q, want %q", i, run.got[i], text[i])
			}
		}
	})
}

type streamRun struct {
	text   []string
	stream *Stream
	got    []string
	older  []engine.Chunk
}

// attempt runs one attempt for a few chunks, with noise between them.
func (r *streamRun) attempt(t *rapid.T, step int) {
	if rapid.IntRange(0, 4).Draw(t, "daemon dies") == 0 {
		hashAt := rapid.IntRange(0, len(r.got)).Draw(t, "token offset")
		r.stream = ResumeStream("r", fmt.Sprintf("s%d", step+1), len(r.got), hashAt, hashOf(r.got[:hashAt]))
	}
	g := r.stream.Begin(nil, 0)
	for range rapid.IntRange(0, 12).Draw(t, "chunks before the cut") {
		r.noise(t, g.Stream)
		if g.Offset >= len(r.text) || r.stream.Finished() {
			return
		}
		r.accept(g.Stream, chunkAt(g.Stream, r.text, g.Offset))
		g.Offset++
	}
}

func (r *streamRun) finish(t *rapid.T) {
	g := r.stream.Begin(nil, 0)
	for i := g.Offset; i < len(r.text); i++ {
		r.accept(g.Stream, chunkAt(g.Stream, r.text, i))
	}
}

func (r *streamRun) noise(t *rapid.T, current engine.StreamID) {
	if len(r.older) == 0 || !rapid.Bool().Draw(t, "late chunk") {
		return
	}
	r.accept(current, r.older[rapid.IntRange(0, len(r.older)-1).Draw(t, "which")])
}

func (r *streamRun) accept(current engine.StreamID, c engine.Chunk) {
	if r.stream.Accept(current, c) == Deliver {
		r.got = append(r.got, c.Text)
	}
	r.older = append(r.older, c)
}

func hashOf(text []string) uint64 {
	h := xxhash.New()
	for _, s := range text {
		_, _ = h.WriteString(s)
	}
	return h.Sum64()
}
