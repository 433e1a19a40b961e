package costbench

import (
	"fmt"
	"math"
	"time"

	"rattanchute/internal/capacity"
	"rattanchute/internal/fleet"
)

const (
	region       = "region"
	organisation = "callers"
	hostClass    = "gpu-large"
	entryNodes   = 8
)

// dataCentre is a data centre with its hourly prices in thousandths of the currency unit.
type dataCentre struct {
	name        string
	reclaimable int64
	onDemand    int64
}

// peak is an increase of the request rate that starts and ends with a linear ramp.
type peak struct {
	from, to time.Duration
	ramp     time.Duration
	rate     float64
}

// Site is a user's fleet, prices and workload.
type Site struct {
	Name        string
	fleet       string
	dataCentres []dataCentre
	// hostsPerKind is the number of hosts of each kind that a data centre can provide.
	hostsPerKind int
	class        capacity.Class
	// base is the mean request rate outside the peaks. It varies over the day as a sine of the
	// given amplitude.
	base, amplitude float64
	peaks           []peak
	// sharedTokens is the length of the start of each prompt, which all engines have cached.
	// The rest of the prompt is log-normally distributed.
	sharedTokens              int
	promptTokens, promptSigma float64
	outputTokens, outputSigma float64
	maxTokens                 int
	// busiest is a time of day; each run has a reclaim wave within half an hour after it.
	busiest time.Duration
	day     day
}

// day is the behaviour of the cloud during a day.
type day struct {
	reclaimWaves, singleReclaims int
	minNotice, maxNotice         time.Duration
	// minRefusal and maxRefusal bound how long starts are refused after a wave.
	minRefusal, maxRefusal time.Duration
	// transferRate is the KV bandwidth out of one host, in tokens per second.
	transferRate float64
}

// The days are an ordinary one, one with many reclaims, and one with as many reclaims at
// shorter notice and with slower links.
var (
	ordinaryDay    = day{3, 10, 10 * time.Second, 40 * time.Second, time.Hour, 3 * time.Hour, 50000}
	reclaimDay     = day{12, 40, 10 * time.Second, 40 * time.Second, 10 * time.Minute, 30 * time.Minute, 50000}
	shortNoticeDay = day{12, 40, 4 * time.Second, 12 * time.Second, 10 * time.Minute, 30 * time.Minute, 5000}
)

// largeClass is the machine class at both sites. With 16 streams it just meets 46 ms per token.
var largeClass = capacity.Class{
	Name:                   hostClass,
	Slots:                  16,
	PrefillTokensPerSecond: 16000,
	TokenInterval:          18 * time.Millisecond,
	TokenIntervalPerStream: 1750 * time.Microsecond,
}

// Sites returns the sites of the two current users. Prices are those of the example
// configurations; a data centre without an on-demand example gets the ratio of the others, 2.9.
func Sites() []Site {
	return []Site{agroprecios(), vazduh()}
}

// ReclaimSites returns each site twice: with reclaimDay and with shortNoticeDay.
func ReclaimSites() []Site {
	var list []Site
	for _, s := range Sites() {
		longNotice, shortNotice := s, s
		longNotice.Name += ", 10 to 40 s of notice"
		longNotice.day = reclaimDay
		shortNotice.Name += ", 4 to 12 s, a tenth of the bandwidth"
		shortNotice.day = shortNoticeDay
		list = append(list, longNotice, shortNotice)
	}
	return list
}

func agroprecios() Site {
	return Site{
		Name: "Agroprecios", fleet: "redaccion-llm", hostsPerKind: 12, class: largeClass,
		dataCentres: []dataCentre{
			{"quito-norte", 1240, 3596}, {"quito-sur", 1153, 3344},
			{"cumbaya", 1388, 4025}, {"sangolqui", 1091, 3164},
		},
		base: 3, amplitude: 1,
		peaks: []peak{
			{6 * time.Hour, 6*time.Hour + 40*time.Minute, 10 * time.Minute, 5},
			{12 * time.Hour, 12*time.Hour + 40*time.Minute, 10 * time.Minute, 5},
			{17 * time.Hour, 17*time.Hour + 40*time.Minute, 10 * time.Minute, 5},
		},
		promptTokens: 1500, promptSigma: 0.4, outputTokens: 250, outputSigma: 0.5, maxTokens: 1000,
		busiest: 12 * time.Hour, day: ordinaryDay,
	}
}

func vazduh() Site {
	return Site{
		Name: "Vazduh", fleet: "rattan-llm", hostsPerKind: 18, class: largeClass,
		dataCentres: []dataCentre{
			{"sofia-a", 1180, 3422}, {"sofia-b", 1062, 3080},
			{"sofia-c", 1274, 3695}, {"sofia-d", 1121, 3250},
		},
		base: 1, amplitude: 0.4,
		peaks: []peak{
			{19 * time.Hour, 23*time.Hour + 30*time.Minute, time.Hour, 3.6},
		},
		sharedTokens: 4000, promptTokens: 2500, promptSigma: 0.3, outputTokens: 700, outputSigma: 0.5, maxTokens: 2800,
		busiest: 21 * time.Hour, day: ordinaryDay,
	}
}

// rate returns the request rate at a time of day.
func (s *Site) rate(sinceMidnight time.Duration) float64 {
	hour := sinceMidnight.Hours()
	rate := s.base - s.amplitude*math.Cos((hour-2)/24*2*math.Pi)
	for _, p := range s.peaks {
		rate += p.at(sinceMidnight)
	}
	return rate
}

func (p peak) at(t time.Duration) float64 {
	if t < p.from || t > p.to {
		return 0
	}
	edge := min(t-p.from, p.to-t)
	return p.rate * min(1, float64(edge)/float64(p.ramp))
}

func (s *Site) maxRate() float64 {
	highest := s.base + s.amplitude
	for _, p := range s.peaks {
		highest = max(highest, s.base+s.amplitude+p.rate)
	}
	return highest
}

// hosts returns the hosts of both kinds that the cloud can provide.
func (s *Site) hosts() []fleet.Host {
	var list []fleet.Host
	for _, dc := range s.dataCentres {
		for i := range s.hostsPerKind {
			list = append(list,
				fleet.Host{Name: fmt.Sprintf("%s-r%02d", dc.name, i), DataCentre: dc.name, Class: hostClass, Kind: fleet.HostReclaimable, PricePerHour: dc.reclaimable},
				fleet.Host{Name: fmt.Sprintf("%s-d%02d", dc.name, i), DataCentre: dc.name, Class: hostClass, Kind: fleet.HostOnDemand, PricePerHour: dc.onDemand},
			)
		}
	}
	return list
}

// configuration declares the site to the router, with one endpoint on each host.
func (s *Site) configuration() *fleet.Configuration {
	cfg := &fleet.Configuration{
		Generation:    1,
		Hosts:         s.hosts(),
		Organisations: []fleet.Organisation{{Name: organisation}},
		Fleets:        []fleet.Fleet{{Name: s.fleet, Kind: fleet.FleetModel, SlotsPerEndpoint: s.class.Slots}},
		Selectors:     []fleet.Selector{{Name: "all", Priority: 5}},
	}
	for _, dc := range s.dataCentres {
		cfg.DataCentres = append(cfg.DataCentres, fleet.DataCentre{Name: dc.name, Region: region})
	}
	for _, h := range cfg.Hosts {
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{Name: h.Name, Host: h.Name, Fleet: s.fleet})
	}
	return cfg
}
