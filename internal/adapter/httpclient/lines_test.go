package httpclient

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestLinesAreWholeAndWithinTheRoom reads lines of all lengths that arrive in parts.
func TestLinesAreWholeAndWithinTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var want []string
		const most = 3 * uncountedBytes
		for range rapid.IntRange(0, 6).Draw(t, "lines") {
			line := strings.Repeat("x", rapid.IntRange(0, most-1).Draw(t, "length")) + "\n"
			want = append(want, line)
			text.WriteString(line)
		}
		text.WriteString(strings.Repeat("y", rapid.IntRange(0, 10).Draw(t, "cut line")))
		room := &testRoom{limit: 8 * most}
		lines := NewLines(t.Context(), iotest.HalfReader(strings.NewReader(text.String())), most, room)
		for i, line := range want {
			got, err := lines.Next()
			if err != nil || string(got) != line {
				t.Fatal(i, len(line), len(got), err)
			}
		}
		_, err := lines.Next()
		is := is.New(t)
		is.True(errors.Is(err, io.EOF))
		lines.Release()
		is.Equal(room.held, int64(0))
	})
}

func TestLongLineIsAnError(t *testing.T) {
	is := is.New(t)
	room := &testRoom{limit: 1 << 20}
	lines := NewLines(t.Context(), strings.NewReader(strings.Repeat("x", 100_000)), 50_000, room)
	_, err := lines.Next()
	is.True(errors.Is(err, ErrLongLine))
	lines.Release()
	is.Equal(room.held, int64(0))
}
