package standin

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

const siteJSON = `{
	// One engine and one service on two hosts.
	"cloud": {"list_lag_ms": 500},
	"hosts": [{"name": "h1", "data_centre": "quito-norte", "class": "small", "kind": "reclaimable"}],
	"endpoints": [
		{"name": "e1", "kind": "model", "fleet": "redaccion-llm", "host": "h1"},
		{"name": "s1", "kind": "service", "fleet": "suscriptores-app", "host": "h2", "data_centre": "cumbaya"},
	],
}`

func startSite(t *testing.T) *Site {
	t.Helper()
	c, err := ParseSiteConfig([]byte(siteJSON))
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewSite(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func TestNoticePrecedesHostList(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	notices, err := s.Cloud.Notice("h1", "", time.Second)
	is.NoErr(err)
	is.Equal(s.Cloud.Notices(0), notices)
	is.Equal(s.Cloud.List()[0].Phase, fleet.PhaseLive)
	phase := func() fleet.Phase { return s.Cloud.List()[0].Phase }
	eventually(t, "the list says leaving", func() bool { return phase() == fleet.PhaseLeaving })
	eventually(t, "the list says gone", func() bool { return phase() == fleet.PhaseGone })
	is.True(!s.Engine("e1").Running())
	is.True(s.Service("s1").Running())
}

func TestStartsCanBeRefused(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	address := s.Engine("e1").Address()
	is.NoErr(s.Cloud.Stop("h1"))
	s.Cloud.Refuse([]Placement{{Class: "small"}})
	_, err := s.Cloud.Start(HostSpec{Name: "h1"})
	is.True(errors.Is(err, ErrStartRefused))
	s.Cloud.Refuse(nil)
	state, err := s.Cloud.Start(HostSpec{Name: "h1"})
	is.NoErr(err)
	is.Equal(state.Instance, "h1-2")
	eventually(t, "the engine listens again", s.Engine("e1").Running)
	is.Equal(s.Engine("e1").Address(), address)
	_, err = s.Cloud.Start(HostSpec{Name: "h1"})
	is.True(errors.Is(err, ErrHostRunning))
}

func TestUnknownSettingIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := ParseSiteConfig([]byte(`{"platfrom": {}}`))
	is.True(err != nil)
}
