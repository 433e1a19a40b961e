package app

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
	"rattanchute/internal/membership"
	"rattanchute/internal/route"
)

// controlMetrics are the metrics of the control plane of this daemon: configuration,
// members, leaving hosts, load polls and reads of the cloud's notices.
type controlMetrics struct {
	generation     prometheus.Gauge
	members        prometheus.Gauge
	unparsable     prometheus.Counter
	hostsLeaving   prometheus.Counter
	polls          prometheus.Counter
	pollFailures   prometheus.Counter
	noticeFailures prometheus.Counter
}

func newControlMetrics(reg prometheus.Registerer) *controlMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "rattanchute", Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "rattanchute", Name: name, Help: help})
	}
	c := &controlMetrics{
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

func (a *App) buildGossip() error {
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
	a.peers.Handle(pathGossip, a.gossipHandler())
	return nil
}

// onEvent handles an event of the gossip runner, which calls it from one goroutine only.
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

// apply puts a configuration in force. The text was validated before it was accepted, so
// a text that cannot be parsed is a fault of this program or of the store.
func (a *App) apply(e gossip.ConfigurationInForce) {
	cfg, findings := fleet.ParseConfiguration("configuration", e.Text)
	if len(findings) > 0 {
		a.metrics.unparsable.Inc()
		a.log.Error().Uint64("generation", uint64(e.Generation)).Err(findings).Msg("configuration cannot be parsed")
		return
	}
	cfg.Generation = e.Generation
	a.router.SetTable(route.Compile(cfg))
	a.limiter.SetConfiguration(time.Now(), cfg)
	a.metrics.generation.Set(float64(e.Generation))
	a.log.Info().Uint64("generation", uint64(e.Generation)).Msg("configuration in force")
}

func (a *App) hostChanged(s fleet.HostState) {
	a.router.SetHostState(s)
	if s.Phase != fleet.PhaseLeaving {
		return
	}
	a.metrics.hostsLeaving.Inc()
	a.log.Info().Str("host", s.Host).Time("deadline", s.Deadline).Msg("host leaving")
	a.service.HostLeaving(s)
}

func (a *App) membersChanged() {
	members := a.gossip.Members()
	a.metrics.members.Set(float64(len(members)))
	a.limiter.SetMembers(time.Now(), len(members))
	a.shareLimits(members)
}

// shareLimits tells the router which daemons share the endpoints' rate limits.
func (a *App) shareLimits(members []membership.Member) {
	self := a.settings.Node
	names := []string{self}
	for _, m := range members {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	a.router.SetLimitSharers(time.Now(), backpressure.Hosts{Self: self, Group: self, Groups: names, Members: []string{self}})
}

// hostPort returns the part of a URL between scheme and path, such as "host:port".
func hostPort(url string) string {
	_, rest, ok := strings.Cut(url, "://")
	if !ok {
		rest = url
	}
	address, _, _ := strings.Cut(rest, "/")
	return address
}
