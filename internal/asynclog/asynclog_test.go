package asynclog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// TestUnreadOutputDoesNotBlock checks that lines are dropped and counted, and that logging does not
// block, while the output is not read.
func TestUnreadOutputDoesNotBlock(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	l := New(writer, log.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * bufferedLines {
			l.Info().Str("request", "1").Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks on the output")
	}
	is.True(l.Dropped() >= bufferedLines)
}

func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out, log.InfoLevel)
	l.Info().Str("request", "1").Msg("line")
	is.NoErr(l.Close())
	is.True(strings.Contains(out.String(), `"request":"1"`))
	is.Equal(l.Dropped(), uint64(0))
}
