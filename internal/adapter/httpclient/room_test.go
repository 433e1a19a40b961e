package httpclient

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var errNoRoom = errors.New("no room")

// testRoom has room for a number of bytes.
type testRoom struct{ limit, held int64 }

func (r *testRoom) Acquire(_ context.Context, bytes int64) error {
	if r.held+bytes > r.limit {
		return errNoRoom
	}
	r.held += bytes
	return nil
}

func (r *testRoom) Return(bytes int64) { r.held -= bytes }

// TestRoomFollowsTheResponse guards against memory that is taken before it is reserved, or stays reserved after a failure.
func TestRoomFollowsTheResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat("x", rapid.IntRange(0, 100_000).Draw(t, "length"))
		room := &testRoom{limit: int64(rapid.IntRange(0, 300_000).Draw(t, "limit"))}
		reader := io.Reader(strings.NewReader(text))
		broken := rapid.Bool().Draw(t, "broken")
		if broken {
			reader = io.MultiReader(reader, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		body, err := readWithin(t.Context(), reader, MaxResponseBytes, room)
		held := room.held
		if size := int64(cap(body)); size > uncountedBytes && held != size || size <= uncountedBytes && held != 0 {
			t.Fatalf("%d bytes reserved for %d", held, size)
		}
		returnRoom(room, body)
		switch {
		case room.held != 0:
			t.Fatalf("%d bytes stay reserved", room.held)
		case errors.Is(err, errNoRoom):
		case broken:
			is.New(t).True(errors.Is(err, io.ErrUnexpectedEOF))
		case err != nil || string(body) != text:
			t.Fatal(err, len(body))
		}
	})
}
