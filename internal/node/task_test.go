package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/contain"
)

func TestTaskStartsAgainAfterAPanic(t *testing.T) {
	is := is.New(t)
	n := &Node{boundary: contain.NewBoundary(discardLog(), prometheus.NewRegistry())}
	runs := 0
	n.start(t.Context(), func(context.Context) {
		runs++
		if runs == 1 {
			panic("first run")
		}
	})
	is.True(n.waitForTasks(10 * time.Second))
	is.Equal(runs, 2)
}

func discardLog() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }
