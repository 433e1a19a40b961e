package app

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
	"rattanchute/internal/membership"
	"rattanchute/internal/route"
)

// controlCounters are the metrics of what is in force on this daemon.
type controlCounters struct {
	generation     prometheus.Gauge
	members        prometheus.Gauge
	unparsable     prometheus.Counter
	hostsLeaving   prometheus.Counter
	polls          prometheus.Counter
	pollFailures   prometheus.Counter
	noticeFailures prometheus.Counter
}

func newControlCounters(reg prometheus.Registerer) *controlCounters {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "rattanchute", Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "rattanchute", Name: name, Help: help})
	}
	c := &controlCounters{
		generation:     gauge("configuration_generation", "Generation of the configuration in force."),
		members:        gauge("members_live", "Live daemons, this one included."),
		unparsable:     counter("configuration_unparsable_total", "Configurations that could not be read."),
		hostsLeaving:   counter("hosts_leaving_total", "Hosts seen to leave."),
		polls:          counter("load_polls_total", "Load polls sent to endpoints."),
		pollFailures:   counter("load_poll_failures_total", "Load polls without an answer."),
		noticeFailures: counter("notice_read_failures_total", "Reads of the cloud's notices without an answer."),
	}
	reg.MustRegister(c.generation, c.members, c.unparsable, c.hostsLeaving, c.polls, c.pollFailures, c.noticeFailures)
	return c
}

func (a *App) buildSpread() error {
	a.gossip = gossip.NewRunner(gossip.RunnerSettings{
		Machine: gossip.Settings{
			Self: membership.Member{
				Name:        a.settings.Node,
				Address:     a.settings.Listen.Peers,
				DataCentre:  a.settings.DataCentre,
				Incarnation: uint64(time.Now().UnixMilli()),
			},
			Seeds:  a.settings.Peers.Seeds,
			Timing: membership.DefaultTiming,
			OnViolation: func(what string) {
				a.log.Error().Str("what", what).Msg("invariant violated")
			},
		},
		Transport:  a.transport(),
		Store:      a.store,
		OnEvent:    a.onEvent,
		Registerer: a.registry,
	})
	a.peers.Handle(pathSpread, a.spreadHandler())
	return nil
}

// onEvent passes on what changed. It is called from one goroutine.
func (a *App) onEvent(e gossip.Event) {
	switch e := e.(type) {
	case gossip.ConfigurationInForce:
		a.apply(e)
	case gossip.HostStateChanged:
		a.hostChanged(e.State)
	case gossip.MemberChanged:
		a.membersChanged()
	}
}

// apply puts a configuration in force. It was validated before it was accepted, so
// that a text which cannot be read is a fault of this program or of the store.
func (a *App) apply(e gossip.ConfigurationInForce) {
	cfg, findings := fleet.ParseConfiguration("configuration", e.Text)
	if len(findings) > 0 {
		a.counter.unparsable.Inc()
		a.log.Error().Uint64("generation", uint64(e.Generation)).Err(findings).Msg("configuration not readable")
		return
	}
	cfg.Generation = e.Generation
	a.router.SetTable(route.Compile(cfg))
	a.admitter.SetConfiguration(time.Now(), cfg)
	a.counter.generation.Set(float64(e.Generation))
	a.log.Info().Uint64("generation", uint64(e.Generation)).Msg("configuration in force")
}

func (a *App) hostChanged(s fleet.HostState) {
	a.router.SetHostState(s)
	if s.Phase != fleet.PhaseLeaving {
		return
	}
	a.counter.hostsLeaving.Inc()
	a.log.Info().Str("host", s.Host).Time("deadline", s.Deadline).Msg("host leaving")
	a.service.HostLeaving(s)
}

func (a *App) membersChanged() {
	live := len(a.gossip.Members())
	a.counter.members.Set(float64(live))
	a.admitter.SetMembers(time.Now(), live)
}

// hostPort strips the scheme and the path of a URL.
func hostPort(url string) string {
	_, rest, ok := strings.Cut(url, "://")
	if !ok {
		rest = url
	}
	address, _, _ := strings.Cut(rest, "/")
	return address
}
