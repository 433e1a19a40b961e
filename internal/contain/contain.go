// Package contain keeps a panic in one piece of work, such as a connection or a peer's message, from ending the
// process and with it all other work.
package contain

import (
	"fmt"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Work is a kind of work.
type Work string

// The kinds of work.
const (
	// WorkConnection is all that is done for one connection of a caller or a peer.
	WorkConnection Work = "connection"
	// WorkMessage is the handling of one message of a peer.
	WorkMessage Work = "message"
	// WorkTask is a task that runs for as long as the host does.
	WorkTask Work = "task"
)

// Boundary runs pieces of work, and logs and counts those that panic. It is safe for concurrent use.
type Boundary struct {
	log    *log.Logger
	panics *prometheus.CounterVec
}

// NewBoundary returns a Boundary and registers its counter. It panics if the registry already has it.
func NewBoundary(logger *log.Logger, registry prometheus.Registerer) *Boundary {
	b := &Boundary{log: logger, panics: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rattanchute_panics_total", Help: "Pieces of work that ended with a panic, by kind of work.",
	}, []string{"work"})}
	registry.MustRegister(b.panics)
	for _, work := range []Work{WorkConnection, WorkMessage, WorkTask} {
		b.panics.WithLabelValues(string(work))
	}
	return b
}

// Run runs f, and reports whether it panicked.
func (b *Boundary) Run(work Work, f func()) (panicked bool) {
	defer func() {
		if reason := recover(); reason != nil {
			panicked = true
			b.report(work, reason)
		}
	}()
	f()
	return false
}

func (b *Boundary) report(work Work, reason any) {
	b.panics.WithLabelValues(string(work)).Inc()
	b.log.Error().Str("work", string(work)).Str("reason", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Msg("panic contained")
}
