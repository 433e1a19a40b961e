package contain

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
)

func TestPanicIsCountedAndContained(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	b := NewBoundary(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, registry)
	is.True(!b.Run(WorkTask, func() {}))
	is.True(b.Run(WorkMessage, func() { panic("broken") }))
	is.True(b.Run(WorkMessage, func() { panic("broken") }))
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 1)
	panics := map[string]float64{}
	for _, series := range families[0].GetMetric() {
		panics[series.GetLabel()[0].GetValue()] = series.GetCounter().GetValue()
	}
	is.Equal(panics, map[string]float64{"connection": 0, "message": 2, "task": 0})
}

type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("broken") }

func TestBodyThatPanicsIsCutOff(t *testing.T) {
	is := is.New(t)
	b := NewBoundary(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, prometheus.NewRegistry())
	body := b.Body(io.NopCloser(io.MultiReader(strings.NewReader("sound"), panickingReader{})))
	text, err := io.ReadAll(body)
	is.Equal(string(text), "sound")
	is.Equal(err, ErrPanicked)
}
