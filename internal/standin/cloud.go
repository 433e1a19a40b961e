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

// Cloud starts, stops and reclaims hosts.
type Cloud struct {
	config CloudConfig
	store  *Store
	// started and gone are told of the host whose machine changed.
	started, gone func(host string)

	mu       sync.Mutex
	hosts    map[string]*cloudHost
	notices  []Notice
	refusals []Placement
	timers   []*time.Timer
	closed   bool
}

// cloudHost is a host's true state and the one the list shows.
type cloudHost struct {
	spec      HostSpec
	instances int
	state     fleet.HostState
	changes   uint64
	listed    fleet.HostState
	shown     uint64
}

func newCloud(c CloudConfig, store *Store, started, gone func(host string)) *Cloud {
	return &Cloud{config: c, store: store, started: started, gone: gone, hosts: map[string]*cloudHost{}}
}

// add makes a host known; a running one is listed at once.
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
	c.show(h, h.state, h.changes)
}

func (h *cloudHost) newInstance() {
	h.instances++
	h.changes++
	instance := fmt.Sprintf("%s-%d", h.spec.Name, h.instances)
	h.state = fleet.HostState{Host: h.spec.Name, Instance: instance, Phase: fleet.PhaseLive}
}

// change sets a host's true state; the list follows later.
func (c *Cloud) change(h *cloudHost, s fleet.HostState) {
	h.changes++
	h.state = s
	c.publishLater(h)
}

func (c *Cloud) publishLater(h *cloudHost) {
	s, number := h.state, h.changes
	c.after(millis(c.config.ListLagMillis), func() { c.show(h, s, number) })
}

// after runs a change later unless the cloud is closed by then.
func (c *Cloud) after(d time.Duration, change func()) {
	t := time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			change()
		}
	})
	c.timers = append(c.timers, t)
}

// show puts a state into the list and into the object store.
func (c *Cloud) show(h *cloudHost, s fleet.HostState, number uint64) {
	if number <= h.shown {
		return
	}
	h.shown = number
	h.listed = s
	value, err := json.Marshal(s)
	if err != nil {
		return
	}
	c.store.Put(objectstore.KindHost, h.spec.Name, value)
}

// List returns the hosts as the lagging list shows them.
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

// Notice announces that the hosts of a name or of a data centre will be taken away;
// when the time is up they are.
func (c *Cloud) Notice(host, dataCentre string, in time.Duration) ([]Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var made []Notice
	for _, h := range c.sorted() {
		named := host != "" && h.spec.Name == host
		placed := dataCentre != "" && h.spec.DataCentre == dataCentre
		if !named && !placed || h.state.Phase == fleet.PhaseGone {
			continue
		}
		made = append(made, c.notice(h, time.Now().Add(in)))
		instance := h.state.Instance
		c.after(in, func() { c.take(h, instance) })
	}
	if len(made) == 0 {
		return nil, ErrUnknownHost
	}
	return made, nil
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

// take ends an instance of a host and all that runs on it.
func (c *Cloud) take(h *cloudHost, instance string) {
	if h.state.Instance != instance || h.state.Phase == fleet.PhaseGone {
		return
	}
	s := h.state
	s.Phase = fleet.PhaseGone
	c.change(h, s)
	c.gone(h.spec.Name)
}

func (c *Cloud) sorted() []*cloudHost {
	var list []*cloudHost
	for _, h := range c.hosts {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].spec.Name < list[j].spec.Name })
	return list
}

// Notices returns the notices after a sequence number.
func (c *Cloud) Notices(after uint64) []Notice {
	c.mu.Lock()
	defer c.mu.Unlock()
	after = min(after, uint64(len(c.notices)))
	return append([]Notice{}, c.notices[after:]...)
}

// Refuse replaces the placements in which starts are refused.
func (c *Cloud) Refuse(p []Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals = p
}

// Start starts a known or a new host; its name is the start's identity, so that a
// repeated start of a running host fails.
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
	c.after(millis(c.config.BootMillis), func() {
		if h.state.Instance == started.Instance && h.state.Phase != fleet.PhaseGone {
			c.publishLater(h)
			c.started(h.spec.Name)
		}
	})
	return started, nil
}

// Stop ends a host at once.
func (c *Cloud) Stop(host string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[host]
	if h == nil {
		return ErrUnknownHost
	}
	c.take(h, h.state.Instance)
	return nil
}

// SetPrice changes the price of the hosts of a placement.
func (c *Cloud) SetPrice(p Placement, perHourMilli int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if p.matches(h.spec) {
			h.spec.PricePerHour = perHourMilli
		}
	}
}

// Close ends the cloud's timers.
func (c *Cloud) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, t := range c.timers {
		t.Stop()
	}
}
