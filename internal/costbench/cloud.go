package costbench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/capacity"
	"rattanchute/internal/fleet"
)

const (
	// refusalsPerDay is how often per day, on average over the data centres, a data centre
	// refuses starts of reclaimable hosts for a while, in addition to the refusals after a
	// reclaim wave.
	refusalsPerDay = 2
	reportAge      = time.Second
)

// machine is a host of the fake cloud with its engine.
type machine struct {
	spec     fleet.Host
	phase    capacity.Phase
	since    time.Time
	started  time.Time
	deadline time.Time
	instance int
	engine   *fakeEngine
	// transfers is the number of KV transfers in progress.
	transfers int
}

// fakeCloud starts, bills and reclaims hosts, and serves model weights at a limited rate.
type fakeCloud struct {
	clock    *clock
	rng      *rand.Rand
	site     *Site
	settings capacity.Settings
	machines []*machine
	byName   map[string]*machine
	// refusedUntil is when reclaimable starts are accepted again, by data centre.
	refusedUntil map[string]time.Time
	loading      int
	// cost is the cost of all runs of hosts that have been stopped, from billedSince on, in
	// thousandths of the currency unit.
	cost        float64
	billedSince time.Time
	refused     int
	starts      int
	newEngine   func() *fakeEngine
	// onChange is called when a host has become ready, and when a host with an engine is leaving
	// or is gone.
	onChange func(m *machine, phase fleet.Phase)
}

func newCloud(c *clock, rng *rand.Rand, s *Site) *fakeCloud {
	f := &fakeCloud{
		clock: c, rng: rng, site: s, settings: capacity.DefaultSettings(),
		byName: make(map[string]*machine), refusedUntil: make(map[string]time.Time), billedSince: epoch,
	}
	for _, h := range s.hosts() {
		m := &machine{spec: h, phase: capacity.PhaseStopped}
		f.machines = append(f.machines, m)
		f.byName[h.Name] = m
	}
	return f
}

func (m *machine) enter(now time.Time, phase capacity.Phase) {
	m.phase = phase
	m.since = now
}

// start starts a host; it returns false if the cloud has no such machine now. It has no effect on
// a host that is not stopped.
func (f *fakeCloud) start(m *machine) bool {
	if m.phase != capacity.PhaseStopped {
		return true
	}
	if m.spec.Kind == fleet.HostReclaimable && f.clock.now.Before(f.refusedUntil[m.spec.DataCentre]) {
		f.refused++
		return false
	}
	f.starts++
	m.instance++
	m.started = f.clock.now
	m.deadline = time.Time{}
	m.enter(f.clock.now, capacity.PhaseBooting)
	instance := m.instance
	f.clock.after(f.settings.BootTime, func() {
		if m.instance == instance && m.phase == capacity.PhaseBooting {
			m.enter(f.clock.now, capacity.PhaseWaiting)
		}
	})
	return true
}

// load starts loading weights. The time is longer in proportion if at its start more hosts load
// than the weight store can serve at full rate.
func (f *fakeCloud) load(m *machine) {
	if m.phase != capacity.PhaseWaiting {
		return
	}
	f.loading++
	m.enter(f.clock.now, capacity.PhaseLoading)
	instance := m.instance
	share := max(1, float64(f.loading)/float64(f.settings.ParallelLoads))
	f.clock.after(time.Duration(float64(f.settings.LoadTime)*share), func() {
		f.loading--
		if m.instance != instance || m.phase != capacity.PhaseLoading {
			return
		}
		m.enter(f.clock.now, capacity.PhaseReady)
		m.engine = f.newEngine()
		f.onChange(m, fleet.PhaseLive)
	})
}

// drain makes the host leaving without a deadline.
func (f *fakeCloud) drain(m *machine) {
	if m.phase == capacity.PhaseReady {
		m.enter(f.clock.now, capacity.PhaseLeaving)
		f.onChange(m, fleet.PhaseLeaving)
	}
}

// stop returns the host to the cloud and bills it.
func (f *fakeCloud) stop(m *machine) {
	if m.phase == capacity.PhaseStopped {
		return
	}
	f.cost += f.accruedCost(m)
	m.enter(f.clock.now, capacity.PhaseStopped)
	if m.engine != nil {
		f.onChange(m, fleet.PhaseGone)
		m.engine = nil
	}
}

// accruedCost returns the cost of the host since it started or since billing began.
func (f *fakeCloud) accruedCost(m *machine) float64 {
	from := m.started
	if from.Before(f.billedSince) {
		from = f.billedSince
	}
	return max(f.clock.now.Sub(from).Hours(), 0) * float64(m.spec.PricePerHour)
}

// total returns the cost of all hosts so far.
func (f *fakeCloud) total() float64 {
	sum := f.cost
	for _, m := range f.machines {
		if m.phase != capacity.PhaseStopped {
			sum += f.accruedCost(m)
		}
	}
	return sum
}

// notice makes the host leaving and stops it after the notice time. It has no effect on a host
// that is stopped or already has a deadline.
func (f *fakeCloud) notice(m *machine, in time.Duration) {
	if m.phase == capacity.PhaseStopped || !m.deadline.IsZero() {
		return
	}
	m.deadline = f.clock.now.Add(in)
	instance := m.instance
	f.clock.after(in, func() {
		if m.instance == instance {
			f.stop(m)
		}
	})
	already := m.phase == capacity.PhaseLeaving
	m.enter(f.clock.now, capacity.PhaseLeaving)
	if m.engine != nil && !already {
		f.onChange(m, fleet.PhaseLeaving)
	}
}

// schedule draws the waves, single reclaims and refusals of the day. They are the same for all
// policies with the same seed, but which host a single reclaim takes depends on those that run.
func (f *fakeCloud) schedule() {
	day := &f.site.day
	for i := range day.reclaimWaves {
		at := epoch.Add(time.Duration(f.rng.Int64N(int64(23 * time.Hour))))
		if i == 0 {
			at = epoch.Add(f.site.busiest + time.Duration(f.rng.Int64N(int64(30*time.Minute))))
		}
		dataCentre := f.site.dataCentres[f.rng.IntN(len(f.site.dataCentres))].name
		in := f.draw(day.minNotice, day.maxNotice)
		refusal := f.draw(day.minRefusal, day.maxRefusal)
		f.clock.at(at, func() { f.reclaimWave(dataCentre, in, refusal) })
	}
	for range day.singleReclaims {
		at := epoch.Add(time.Duration(f.rng.Int64N(int64(24 * time.Hour))))
		in, word := f.draw(day.minNotice, day.maxNotice), f.rng.Int()
		f.clock.at(at, func() { f.reclaimOne(in, word) })
	}
	for range refusalsPerDay * len(f.site.dataCentres) {
		at := epoch.Add(time.Duration(f.rng.Int64N(int64(24 * time.Hour))))
		dataCentre := f.site.dataCentres[f.rng.IntN(len(f.site.dataCentres))].name
		length := f.draw(20*time.Minute, time.Hour)
		f.clock.at(at, func() { f.refuse(dataCentre, length) })
	}
}

func (f *fakeCloud) draw(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Int64N(int64(to-from)))
}

func (f *fakeCloud) reclaimWave(dataCentre string, in, refusal time.Duration) {
	f.refuse(dataCentre, refusal)
	for _, m := range f.machines {
		if m.spec.DataCentre == dataCentre && m.spec.Kind == fleet.HostReclaimable {
			f.notice(m, in)
		}
	}
}

func (f *fakeCloud) refuse(dataCentre string, length time.Duration) {
	until := f.clock.now.Add(length)
	if until.After(f.refusedUntil[dataCentre]) {
		f.refusedUntil[dataCentre] = until
	}
}

func (f *fakeCloud) reclaimOne(in time.Duration, word int) {
	var running []*machine
	for _, m := range f.machines {
		if m.phase == capacity.PhaseReady && m.spec.Kind == fleet.HostReclaimable {
			running = append(running, m)
		}
	}
	if len(running) > 0 {
		f.notice(running[word%len(running)], in)
	}
}
