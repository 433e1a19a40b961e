package origin

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawStreams draws streams of a batch.
func drawStreams(t *rapid.T) []StoredStream {
	origins := rapid.SampledFrom([]Origin{{}, {"f", "v1"}, {"f", "v2"}, {"é\"\\<", ""}, {"", "v"}})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) StoredStream {
		return StoredStream{KeyOf("o", rapid.String().Draw(t, "id")), origins.Draw(t, "origin")}
	}), 0, 50).Draw(t, "streams")
}

func TestBatchReadsAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := Batch{Newest: time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "ms")), Streams: drawStreams(t)}
		text, err := written.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeBatch(text)
		if err != nil {
			t.Fatal(err)
		}
		if !read.Newest.Equal(written.Newest) || fmt.Sprint(group(read.Streams)) != fmt.Sprint(group(written.Streams)) {
			t.Fatalf("%v became %v", written, read)
		}
	})
}

// TestGarbageIsNoBatch has values changed and cut at random. They either are read or give an error, and never
// more streams than a batch may have.
func TestGarbageIsNoBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Batch{Newest: epoch, Streams: drawStreams(t)}
		text, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		value := bytes.Clone(text)
		if rapid.Bool().Draw(t, "random") {
			value = rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			if len(value) > 0 {
				value[rapid.IntRange(0, len(value)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		value = value[:rapid.IntRange(0, len(value)).Draw(t, "length")]
		read, err := DecodeBatch(value)
		if err != nil && !errors.Is(err, ErrBatchMalformed) && !errors.Is(err, ErrBatchTooLarge) {
			t.Fatal(err)
		}
		if len(read.Streams) > MaxBatchStreams {
			t.Fatalf("%d streams", len(read.Streams))
		}
	})
}

func TestHostileSizesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		strings.Repeat(" ", maxBatchBytes+1),
		`{"origins":[{"keys":"` + strings.Repeat(string(KeyOf("o", "a")), MaxBatchStreams+1) + `"}]}`,
		`{"origins":[` + strings.Repeat(`{"keys":"`+string(KeyOf("o", "a"))+`"},`, MaxBatchStreams) + `{"keys":"` + string(KeyOf("o", "a")) + `"}]}`,
	} {
		_, err := DecodeBatch([]byte(text))
		is.True(errors.Is(err, ErrBatchTooLarge))
	}
	for _, text := range []string{``, `[]`, `{"origins":3}`, `{"origins":[{"keys":"short"}]}`, `{"origins":[{"keys":"!!!!!!!!!!!"}]}`} {
		_, err := DecodeBatch([]byte(text))
		is.True(errors.Is(err, ErrBatchMalformed))
	}
}

// TestFullBatchIsReadable checks that a batch of the largest number of streams is within all bounds, each with
// an origin of its own.
func TestFullBatchIsReadable(t *testing.T) {
	is := is.New(t)
	b := Batch{Newest: epoch}
	for i := range MaxBatchStreams {
		b.Streams = append(b.Streams, StoredStream{KeyOf("o", fmt.Sprint(i)), Origin{strings.Repeat("f", 60), fmt.Sprint("version-", i)}})
	}
	text, err := b.Encode()
	is.NoErr(err)
	read, err := DecodeBatch(text)
	is.NoErr(err)
	is.Equal(len(read.Streams), MaxBatchStreams)
}
