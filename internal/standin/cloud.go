package standin

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

// Cloud is a fake cloud provider that starts, stops and reclaims hosts.
type Cloud struct {
	config CloudConfig
	store  *Store
	// started and gone are called, with mu held, with the name of a host that has booted or ended.
	started, gone func(host string)

	mu       sync.Mutex
	hosts    map[string]*cloudHost
	notices  []Notice
	refusals []Placement
	timers   []*time.Timer
	closed   bool
}

// cloudHost holds a host's actual state and the state that the host list shows. The changes of
// a host are numbered; lastChange and publishedChange are the numbers of the two states.
type cloudHost struct {
	spec            HostSpec
	instances       int
	state           fleet.HostState
	lastChange      uint64
	listed          fleet.HostState
	publishedChange uint64
}

func newCloud(c CloudConfig, store *Store, started, gone func(host string)) *Cloud {
	return &Cloud{config: c, store: store, started: started, gone: gone, hosts: map[string]*cloudHost{}}
}

// add registers a host. It is listed immediately; a running host is also written to the object
// store.
func (c *Cloud) add(s HostSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &cloudHost{spec: s}
	c.hosts[s.Name] = h
	if s.Stopped {
		h.state = fleet.HostState{Host: s.Name, Phase: fleet.PhaseGone}
		h.listed = h.state
		return
	}
	h.newInstance()
	c.publish(h, h.state, h.lastChange)
}

func (h *cloudHost) newInstance() {
	h.instances++
	h.lastChange++
	instance := fmt.Sprintf("%s-%d", h.spec.Name, h.instances)
	h.state = fleet.HostState{Host: h.spec.Name, Instance: instance, Phase: fleet.PhaseLive}
}

// change sets a host's actual state; the host list and the object store follow after the
// configured lag.
func (c *Cloud) change(h *cloudHost, s fleet.HostState) {
	h.lastChange++
	h.state = s
	c.publishAfterLag(h)
}

func (c *Cloud) publishAfterLag(h *cloudHost) {
	s, changeNumber := h.state, h.lastChange
	c.schedule(millis(c.config.ListLagMillis), func() { c.publish(h, s, changeNumber) })
}

// schedule runs f with the lock held after a delay, unless the cloud is closed by then. The
// caller holds the lock.
func (c *Cloud) schedule(d time.Duration, f func()) {
	t := time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			f()
		}
	})
	c.timers = append(c.timers, t)
}

// publish writes a state to the host list and to the object store. A state older than
// the published one is ignored, as timers may fire out of order.
func (c *Cloud) publish(h *cloudHost, s fleet.HostState, changeNumber uint64) {
	if changeNumber <= h.publishedChange {
		return
	}
	h.publishedChange = changeNumber
	h.listed = s
	value, err := json.Marshal(s)
	if err != nil {
		return
	}
	c.store.Put(objectstore.KindHost, h.spec.Name, value)
}

// List returns the host list, which lags behind the actual states.
func (c *Cloud) List() []ListedHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []ListedHost{}
	for _, h := range c.hosts {
		list = append(list, ListedHost{HostSpec: h.spec, HostState: h.listed})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Notice announces the reclaim of the host with the given name and of all hosts in the given
// data centre, either of which may be empty, and ends them when the notice period is over.
// Hosts that do not run are left out; if no host is left, it returns ErrUnknownHost.
func (c *Cloud) Notice(host, dataCentre string, in time.Duration) ([]Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var notices []Notice
	for _, h := range c.hostsByName() {
		nameMatches := host != "" && h.spec.Name == host
		dataCentreMatches := dataCentre != "" && h.spec.DataCentre == dataCentre
		if !nameMatches && !dataCentreMatches || h.state.Phase == fleet.PhaseGone {
			continue
		}
		notices = append(notices, c.notice(h, time.Now().Add(in)))
		instance := h.state.Instance
		c.schedule(in, func() { c.terminate(h, instance) })
	}
	if len(notices) == 0 {
		return nil, ErrUnknownHost
	}
	return notices, nil
}

func (c *Cloud) notice(h *cloudHost, deadline time.Time) Notice {
	n := Notice{
		Sequence: uint64(len(c.notices)) + 1,
		Host:     h.spec.Name,
		Instance: h.state.Instance,
		Deadline: deadline,
	}
	c.notices = append(c.notices, n)
	s := h.state
	s.Phase = fleet.PhaseLeaving
	s.Deadline = deadline
	c.change(h, s)
	return n
}

// terminate ends one instance of a host and everything that runs on it. It does nothing
// if the instance has ended already, also if the host runs a newer one.
func (c *Cloud) terminate(h *cloudHost, instance string) {
	if h.state.Instance != instance || h.state.Phase == fleet.PhaseGone {
		return
	}
	s := h.state
	s.Phase = fleet.PhaseGone
	c.change(h, s)
	c.gone(h.spec.Name)
}

func (c *Cloud) hostsByName() []*cloudHost {
	var list []*cloudHost
	for _, h := range c.hosts {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].spec.Name < list[j].spec.Name })
	return list
}

// Notices returns the notices whose sequence number is greater than after.
func (c *Cloud) Notices(after uint64) []Notice {
	c.mu.Lock()
	defer c.mu.Unlock()
	after = min(after, uint64(len(c.notices)))
	return append([]Notice{}, c.notices[after:]...)
}

// Refuse replaces the set of placements in which host starts are refused.
func (c *Cloud) Refuse(p []Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals = p
}

// Start starts a known or a new host. A known host keeps its HostSpec. The host name
// identifies the request, so the start of a host that is booting, running or leaving fails with
// ErrHostRunning. A start in a refused placement fails with ErrStartRefused.
func (c *Cloud) Start(s HostSpec) (fleet.HostState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[s.Name]
	if h != nil && h.state.Phase != fleet.PhaseGone {
		return fleet.HostState{}, ErrHostRunning
	}
	if h != nil {
		s = h.spec
	}
	for _, r := range c.refusals {
		if r.matches(s) {
			return fleet.HostState{}, ErrStartRefused
		}
	}
	if h == nil {
		h = &cloudHost{spec: s}
		c.hosts[s.Name] = h
	}
	h.newInstance()
	started := h.state
	c.schedule(millis(c.config.BootMillis), func() {
		if h.state.Instance == started.Instance && h.state.Phase != fleet.PhaseGone {
			c.publishAfterLag(h)
			c.started(h.spec.Name)
		}
	})
	return started, nil
}

// Stop ends a host immediately, without notice. It does nothing if the host has ended already,
// and returns ErrUnknownHost if there is none of that name.
func (c *Cloud) Stop(host string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[host]
	if h == nil {
		return ErrUnknownHost
	}
	c.terminate(h, h.state.Instance)
	return nil
}

// SetPrice changes the price of all hosts that match a placement.
func (c *Cloud) SetPrice(p Placement, perHourMilli int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if p.matches(h.spec) {
			h.spec.PricePerHour = perHourMilli
		}
	}
}

// Close stops the cloud's timers; pending changes are dropped.
func (c *Cloud) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, t := range c.timers {
		t.Stop()
	}
}
