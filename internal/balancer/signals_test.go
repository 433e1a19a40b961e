package balancer

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/backpressure"
)

func TestRequestChosenButNotSentIsWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal backpressure.Signal
		want   error
	}{
		{"leaving", backpressure.Signal{Leaving: true}, ErrEndpointLeaving},
		{"closed", backpressure.Signal{RetryAfter: time.Second}, ErrEndpointClosed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(1)
			r := Request{Fleet: plainFleet}
			first, _ := table.Choose(epoch, 1, r)
			second, _ := table.Choose(epoch, 1, r)
			answered := table.Begin(epoch, r, first)
			_, err := answered.Permit(epoch)
			is.NoErr(err)
			waiting := table.Begin(epoch, r, second)
			answered.ObserveSignal(epoch, 0, c.signal)
			_, err = waiting.Permit(epoch)
			is.True(errors.Is(err, c.want))
			is.Equal(waiting.End(epoch, ResultRefused), HealthChange{})
			_, ok := table.Choose(epoch, 1, r)
			is.True(!ok)
		})
	}
}

func TestListDoesNotReviveALeavingEndpoint(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1)
	list := testEndpoints(1)
	r := Request{Fleet: plainFleet}
	c, _ := table.Choose(epoch, 1, r)
	table.Begin(epoch, r, c).ObserveSignal(epoch, 0, backpressure.Signal{Leaving: true})
	table.SetEndpoints(list)
	_, ok := table.Choose(epoch, 1, r)
	is.True(!ok)
	table.SetEndpoints(nil)
	table.SetEndpoints(list)
	_, ok = table.Choose(epoch.Add(time.Hour), 1, r)
	is.True(!ok)
	for i := range list {
		list[i].StartMillis++ // another run at the same address
	}
	table.SetEndpoints(list)
	_, ok = table.Choose(epoch, 1, r)
	is.True(ok)
}

func TestOpeningIsKnownOnlyIfAllEndpointsAreClosed(t *testing.T) {
	is := is.New(t)
	table := newTestTable(2)
	r := Request{Fleet: plainFleet}
	for i, told := range []time.Duration{4 * time.Second, 2 * time.Second} {
		_, closed := table.Opening(epoch, plainFleet)
		is.True(!closed)
		c, ok := table.Choose(epoch, 1, r)
		is.True(ok)
		a := table.Begin(epoch, r, c)
		a.ObserveSignal(epoch, 0, backpressure.Signal{RetryAfter: told})
		a.End(epoch, ResultRefused)
		_, closed = table.Opening(epoch, plainFleet)
		is.Equal(closed, i == 1)
	}
	in, closed := table.Opening(epoch.Add(time.Second), plainFleet)
	is.True(closed)
	is.True(in >= time.Second && in < 1100*time.Millisecond) // the earliest end
	later, _ := table.Opening(epoch.Add(time.Second), plainFleet)
	is.Equal(later-in, defaultAnswerDuration/16) // another caller returns when there is room for it too
	_, ok := table.Choose(epoch.Add(2*time.Second), 1, r)
	is.True(ok)
}
