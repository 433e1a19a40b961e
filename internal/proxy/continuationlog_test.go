package proxy

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// hasLine reports whether a line with all of the parts arrives within a second.
func (b *logBuffer) hasLine(parts ...string) bool {
	for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		lines := strings.Split(b.text.String(), "\n")
		b.mu.Unlock()
		for _, line := range lines {
			if containsAll(line, parts) {
				return true
			}
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

func containsAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}

// counted returns how many streams have ended in one way.
func counted(t *testing.T, registry *prometheus.Registry, end string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "end" && label.GetValue() == end {
					return metric.GetCounter().GetValue()
				}
			}
		}
	}
	return 0
}

func TestReasonWhyAStreamIsNotContinuedIsLogged(t *testing.T) {
	for _, c := range []struct {
		answer takeUp
		err    error
		end    string
	}{
		{chunkedEvents("an error event", errorEvent), errForeignEvent, endForeign},
		{chunkedEvents("a leap", eventText(5)), errMissingEvents, endForeign},
		{chunkedEvents("another run", otherRun(1, 6)), errOtherText, endForeign},
		{chunkedEvents("back", eventText(4)+eventText(0)), errBackwards, endForeign},
		{chunkedEvents("nothing", ""), errNothingFollows, endNothing},
		{withLength("JSON", "Content-Type: application/json\r\n", "{}"), errNotEvents, ""},
	} {
		t.Run(c.answer.name, func(t *testing.T) {
			is := is.New(t)
			broken := newTestEndpoint(t, func(r *receivedRequest) bool {
				r.writeEvents(1, 3)
				return false
			})
			p := newTestProxy(t, resumableRoute, broken, newTestEndpoint(t, c.answer.write))
			var lines logBuffer
			registry := prometheus.NewRegistry()
			p.proxy.telemetry = NewTelemetry(&log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}, registry)
			is.True(p.send(t, "req-7").err != nil)
			is.True(lines.hasLine(`"request":"req-7"`, "attempt ended without an answer", c.err.Error(), `"after_event"`))
			is.True(lines.hasLine(`"request":"req-7"`, "stream broken"))
			if c.end != "" {
				is.Equal(counted(t, registry, c.end), 1.0)
			}
		})
	}
}

func TestStreamWithoutNumbersThatBreaksIsLogged(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(1, 0)
		r.writeChunk("data: a\n\n")
		return false
	})
	p := newTestProxy(t, resumableRoute, broken, newTestEndpoint(t, chunkedEvents("", "data: b\n\n").write))
	var lines logBuffer
	p.proxy.telemetry = NewTelemetry(&log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}, prometheus.NewRegistry())
	is.True(p.send(t, "req-7").err != nil)
	is.True(lines.hasLine(`"request":"req-7"`, "stream broken", string(ReasonStreamWithoutNumbers)))
}
