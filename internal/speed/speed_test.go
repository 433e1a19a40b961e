package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// TestSenselessFiguresChangeNothing covers what no endpoint can mean.
func TestSenselessFiguresChangeNothing(t *testing.T) {
	is := is.New(t)
	var p Persistence
	var e Estimate
	for _, figure := range []float64{0, -3, math.NaN(), math.Inf(1), math.Inf(-1)} {
		e.State(epoch, figure, &p)
		e.Observe(figure, 1)
		e.Observe(1, figure)
	}
	e.Apply(epoch, Statement{Percent: -5}, false)
	e.Apply(epoch, Statement{Percent: 300, AgeMillis: -1}, false)
	e.Apply(epoch, Statement{Percent: 300, AgeMillis: math.MaxInt64}, false)
	is.Equal(e, Estimate{})
	is.Equal(e.At(epoch, &p), 1.0)
}

// TestEstimatesAreBounded covers arbitrary statements and observations.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Persistence
		var e Estimate
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "gap")))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				e.State(now, rapid.Float64().Draw(t, "figure"), &p)
			case 1:
				e.Observe(rapid.Float64().Draw(t, "ratio"), e.Moment(now, &p))
			case 2:
				e.Apply(now, Statement{Percent: rapid.Int().Draw(t, "percent"), AgeMillis: rapid.Int64().Draw(t, "age")}, false)
			}
			got := e.At(now.Add(time.Duration(rapid.Int64().Draw(t, "ahead"))), &p)
			if !(got >= minSlowness*minSlowness && got <= maxSlowness*maxSlowness) {
				t.Fatal(got)
			}
			before := 1.0
			for age := time.Duration(0); age < time.Minute; age += 77 * time.Millisecond {
				left := p.Left(age)
				if !(left >= 0 && left <= before) {
					t.Fatal(age, left, before)
				}
				before = left
			}
		}
	})
}

// TestOldStatementsFadeToTheLastingSlowness has an endpoint that is slower by nature and states an exceptional moment.
func TestOldStatementsFadeToTheLastingSlowness(t *testing.T) {
	is := is.New(t)
	var p Persistence
	var e Estimate
	now := epoch
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		moment := 1.0
		if now.UnixMilli()%1000 == 0 {
			moment = 3
		}
		e.State(now, moment, nil)
		e.Observe(1.7*moment, moment)
	}
	is.True(e.Lasting() > 1.5 && e.Lasting() < 1.8)
	e.State(now.Add(time.Millisecond), 3, nil)
	now = now.Add(time.Millisecond)
	is.True(e.At(now, &p) > 2.9*e.Lasting())
	is.True(e.At(now.Add(assumedHalfLife), &p) < 2*e.Lasting())
	is.True(e.At(now.Add(30*time.Second), &p) < 1.01*e.Lasting())
	is.True(!e.Stated(now.Add(retention)))
}

// TestPersistenceIsLearnt has slow moments of different lengths.
func TestPersistenceIsLearnt(t *testing.T) {
	for _, c := range []struct {
		moment      time.Duration
		age         time.Duration
		least, most float64
	}{
		{50 * time.Millisecond, 400 * time.Millisecond, 0, 0.3},
		{5 * time.Second, 400 * time.Millisecond, 0.7, 1},
		{5 * time.Second, 12 * time.Second, 0, 0.4},
	} {
		t.Run(c.moment.String(), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(1, 2))
			var p Persistence
			var e Estimate
			until, slowness := epoch, 1.0
			for now := epoch; now.Before(epoch.Add(time.Hour)); now = now.Add(time.Duration(rnd.Int64N(int64(4 * time.Second)))) {
				for !until.After(now) {
					until = until.Add(time.Duration(rnd.ExpFloat64() * float64(c.moment)))
					slowness = 1
					if rnd.IntN(10) == 0 {
						slowness = 4
					}
				}
				e.State(now, slowness, &p)
			}
			left := p.Left(c.age)
			t.Logf("%.2f left after %v", left, c.age)
			is.True(left >= c.least && left <= c.most)
		})
	}
}

// TestPicksAreInProportionToSpeedUpToABound has one endpoint that is faster than all others.
func TestPicksAreInProportionToSpeedUpToABound(t *testing.T) {
	is := is.New(t)
	const n = 20
	slowness := func(i int) float64 {
		switch i {
		case 0:
			return 0 // excluded
		case 1:
			return 0.25
		case 2:
			return 4
		}
		return 1
	}
	sum := 0.0
	for i := range n {
		if s := slowness(i); s > 0 {
			sum += 1 / s
		}
	}
	var w Weights
	is.True(w.Outdated(epoch))
	w.Update(epoch, sum/(n-1))
	is.True(!w.Outdated(epoch))
	random := rand.NewPCG(1, 2)
	var picked [n]int
	total := 0
	for range 100_000 {
		if i, ok := w.Pick(random, n, slowness); ok {
			picked[i]++
			total++
		}
	}
	is.True(total > 95_000)
	is.Equal(picked[0], 0)
	part := func(i int) float64 { return float64(picked[i]) / float64(total) * (n - 1) }
	is.True(part(1) < 1.1*maxWeight*sum/(n-1))
	is.True(part(2) < 0.3)
	is.True(part(3) > 0.8 && part(3) < 1.2)
	_, ok := w.Pick(random, 0, slowness)
	is.True(!ok)
}

// TestReportsAreBoundedAndDoNotCirculate has hosts tell each other of endpoints.
func TestReportsAreBoundedAndDoNotCirculate(t *testing.T) {
	is := is.New(t)
	var slow, usual, heard Estimate
	slow.State(epoch, 3, nil)
	usual.State(epoch, 1, nil)
	later := epoch.Add(200 * time.Millisecond)
	s, ok := slow.Statement(later, "f", "e", false)
	is.True(ok)
	is.Equal(s, Statement{"f", "e", 300, 200})
	_, ok = usual.Statement(later, "f", "e", true)
	is.True(!ok)
	heard.Apply(later, s, false)
	_, ok = heard.Statement(later, "f", "e", false)
	is.True(!ok) // another leader's followers hear it from that one
	told, ok := heard.Statement(later, "f", "e", true)
	is.True(ok)
	is.Equal(told, s)
	slow.State(later, 1, nil) // the end of a slow moment is told, too
	s, ok = slow.Statement(later, "f", "e", false)
	is.True(ok)
	is.Equal(s.Percent, 100)
	heard.Apply(later, s, false)
	is.Equal(heard.Moment(later, &Persistence{}), 1.0)
	_, ok = slow.Statement(epoch.Add(maxReportedAge+1), "f", "e", true)
	is.True(!ok)
	var many []Statement
	for range 1000 {
		many = append(many, s)
	}
	is.Equal(len(NewReport(many).Endpoints), MaxReported)
	is.True(NewReport(nil) == nil)
}

// TestStatementThatComesBackIsIgnored has a statement come back, on its way older than it looks, after the endpoint has
// made another.
func TestStatementThatComesBackIsIgnored(t *testing.T) {
	is := is.New(t)
	var e Estimate
	now := time.Unix(1000, 0)
	e.State(now, 4, nil)
	told, ok := e.Statement(now.Add(10*time.Millisecond), "f", "e", false)
	is.True(ok)
	e.State(now.Add(20*time.Millisecond), 1, nil)
	is.True(!e.Apply(now.Add(150*time.Millisecond), told, false))
	is.Equal(e.stated, 0.0)
	is.True(e.Apply(now.Add(150*time.Millisecond), Statement{"f", "e", 200, 10}, false)) // another host's
}
