package verify

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/quarantine"
)

var epoch = time.Unix(1_800_000_000, 0)

// refused reports whether a request is refused that three endpoints have terminated, each of which was then
// checked.
func refused(accepts bool) bool {
	table, now := quarantine.NewTable("h", 1), epoch
	v := Verifier{
		Table: table, Now: func() time.Time { return now },
		Accepts: func(context.Context, string) bool { return accepts },
	}
	r := quarantine.Request{Fleet: "f", Fingerprint: "r"}
	for i := range 3 {
		now = now.Add(time.Second)
		instance := fmt.Sprint("e", i)
		table.Terminated(now, instance, now.Add(-time.Millisecond), r)
		now = now.Add(delay)
		v.check(Endpoint{Instance: instance, Address: "address"})
	}
	return !table.Check(now, r, nil).Allowed
}

func TestEndpointThatAcceptsAConnectionHasNotCrashed(t *testing.T) {
	is := is.New(t)
	is.True(!refused(true))
	is.True(refused(false))
}

func TestRefusalWaitsUntilTheLastEndpointIsChecked(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable("h", 1)
	v := Verifier{Table: table, Now: time.Now, Accepts: func(context.Context, string) bool { return true }}
	r := quarantine.Request{Fleet: "f", Fingerprint: "r"}
	for i := range 3 {
		sentAt := time.Now()
		time.Sleep(time.Millisecond)
		instance := fmt.Sprint("e", i)
		table.Terminated(time.Now(), instance, sentAt, r)
		v.Start(Endpoint{Instance: instance, Address: "address"})
	}
	is.True(!table.Check(time.Now(), r, nil).Allowed)
	is.True(v.Verdict(r, nil).Allowed)
}

func TestEndpointThatOnlyAPeerReachesHasNotCrashed(t *testing.T) {
	is := is.New(t)
	for _, reached := range []bool{true, false} {
		table, now, told := quarantine.NewTable("h", 1), epoch, 0
		v := Verifier{
			Table: table, Now: func() time.Time { return now },
			Accepts:     func(context.Context, string) bool { return false },
			PeerReaches: func(context.Context, string) bool { return reached },
			OnSurvived:  func() { told++ },
		}
		r := quarantine.Request{Fleet: "f", Fingerprint: "r"}
		for i := range 3 {
			now = now.Add(time.Second)
			instance := fmt.Sprint("e", i)
			table.Terminated(now, instance, now.Add(-time.Millisecond), r)
			now = now.Add(delay)
			v.check(Endpoint{Instance: instance, ID: instance, Address: "address"})
		}
		is.Equal(table.Check(now, r, nil).Allowed, reached)
		is.Equal(told == 3, reached)
	}
}

func TestResponseThatEndedWithItsConnectionWasCutOffIfTheEndpointIsGone(t *testing.T) {
	is := is.New(t)
	for _, gone := range []bool{true, false} {
		table, now := quarantine.NewTable("h", 1), epoch
		v := Verifier{
			Table: table, Now: func() time.Time { return now },
			Accepts: func(context.Context, string) bool { return !gone },
		}
		r := quarantine.Request{Fleet: "f", Fingerprint: "r"}
		for i := range 3 {
			now = now.Add(time.Second)
			instance := fmt.Sprint("e", i)
			table.Completed(now, instance, now.Add(-time.Millisecond), r, true)
			now = now.Add(delay)
			v.check(Endpoint{Instance: instance, Address: "address"})
		}
		is.Equal(table.Check(now, r, nil).Allowed, !gone)
	}
}

func TestPresence(t *testing.T) {
	is := is.New(t)
	unknown := errors.New("no answer")
	for _, c := range []struct {
		listens bool
		err     error
		want    Presence
	}{{true, nil, Present}, {false, nil, Gone}, {false, unknown, Unknown}} {
		v := Verifier{Listens: func(context.Context, string, time.Duration) (bool, error) { return c.listens, c.err }}
		is.Equal(v.Presence(context.Background(), "address"), c.want)
	}
}

func TestDoubtsEnd(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		presence            Presence
		leaving, repeatable bool
		doubted             bool
	}{
		{Gone, false, false, true},
		{Gone, false, true, true},
		{Gone, true, true, true},
		{Gone, true, false, false},
		{Present, false, true, false},
		{Unknown, false, true, false},
	} {
		is.Equal(DoubtsEnd(c.presence, c.leaving, c.repeatable), c.doubted)
	}
}
