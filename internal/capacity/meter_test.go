package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMeterMeasuresRateGrowthAndSizes(t *testing.T) {
	is := is.New(t)
	m := NewMeter(testFleet)
	start := time.Unix(2_000_000, 0)
	for second := range 240 {
		if second == 60 {
			is.Equal(m.Demand(start.Add(time.Minute)).RequestsPerSecond, 1.0) // younger than a window
			is.Equal(m.Demand(start.Add(time.Minute)).Growth, 0.0)
		}
		now := start.Add(time.Duration(second) * time.Second)
		m.ObserveRequest(now, 1000)
		m.ObserveAnswer(now, 200)
		if second >= 120 {
			m.ObserveRequest(now, 3000) // the rate doubles
		}
	}
	m.ObserveRequest(start.Add(240*time.Second), 9000) // the bucket that has just begun
	d := m.Demand(start.Add(240 * time.Second))
	is.Equal(d.RequestsPerSecond, 2.0)
	noise := 2 * math.Sqrt(360)
	is.True(math.Abs(d.Growth-(120-noise)/120/120) < 1e-12) // 120 more per window, minus random variation
	is.Equal(d.PromptTokens, 5000.0/3)
	is.True(d.PromptVariation > 0.31 && d.PromptVariation < 0.33)
	is.Equal(d.OutputTokens, 200.0)
	later := m.Demand(start.Add(time.Hour))
	is.Equal(later.RequestsPerSecond, 0.0)
}
