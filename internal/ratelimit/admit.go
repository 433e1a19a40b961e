package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/fleet"
)

// Code says why a request was not admitted. It is stable and may be shown to callers.
type Code string

// The codes.
const (
	CodeAdmitted            Code = ""
	CodeUnknownOrganisation Code = "unknown_organisation"
	CodeUnknownFleet        Code = "unknown_fleet"
	CodeOrganisationLimit   Code = "organisation_limit"
	CodeOverloaded          Code = "overloaded"
	CodeDeadline            Code = "deadline"
)

// Request is a request that wants to be admitted.
type Request struct {
	Organisation string
	Fleet        string
	// Priority is 0 (first to be shed) to 9.
	Priority int
	// ExpectedFirstToken is that of the best endpoint.
	ExpectedFirstToken time.Duration
	// ExpectedPrefill is the part of it that the request's own prompt takes.
	ExpectedPrefill time.Duration
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Decision answers an Ask.
type Decision struct {
	Admitted bool
	Code     Code
	// RetryAfter is when to come back; zero if admitted or if it would not help.
	RetryAfter time.Duration
}

// Completion tells of an admitted request that has ended.
type Completion struct {
	Organisation string
	Fleet        string
}

// Limiter decides for one member. All methods may be called from any goroutine.
type Limiter struct {
	self  string
	state atomic.Pointer[state]
	// mu serialises changes of configuration and membership.
	mu        sync.Mutex
	members   int
	endpoints retryShards
}

// state is the set of organisations and fleets; each has its own lock.
type state struct {
	organisations map[string]*organisation
	fleets        map[string]*fleetLoad
}

// NewLimiter makes an admitter for the member, alone and without any organisation.
func NewLimiter(self string) *Limiter {
	a := &Limiter{self: self, members: 1}
	a.endpoints.init()
	a.state.Store(&state{})
	return a
}

// SetConfiguration puts limits and weights in force. Usage of organisations and fleets
// that stay is kept.
func (a *Limiter) SetConfiguration(now time.Time, cfg *fleet.Configuration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.state.Load()
	next := &state{
		organisations: make(map[string]*organisation, len(cfg.Organisations)),
		fleets:        make(map[string]*fleetLoad, len(cfg.Fleets)),
	}
	for _, declared := range cfg.Organisations {
		o := old.organisations[declared.Name]
		if o == nil {
			o = newOrganisation(declared.Name)
		}
		o.configure(now, declared, a.members)
		next.organisations[declared.Name] = o
	}
	for _, declared := range cfg.Fleets {
		f := old.fleets[declared.Name]
		if f == nil {
			f = newFleetLoad()
		}
		f.configure(cfg.Organisations, slotsOf(cfg, declared))
		f.setMembers(a.members)
		next.fleets[declared.Name] = f
	}
	a.state.Store(next)
}

func slotsOf(cfg *fleet.Configuration, declared fleet.Fleet) int {
	slots := declared.SlotsPerEndpoint
	if slots <= 0 {
		slots = defaultSlots
	}
	total := 0
	for _, endpoint := range cfg.Endpoints {
		if endpoint.Fleet == declared.Name {
			total += slots
		}
	}
	return total
}

// SetMembers tells how many entry hosts are live, this one included.
func (a *Limiter) SetMembers(now time.Time, count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = max(count, 1)
	for _, o := range a.state.Load().organisations {
		o.setMembers(now, a.members)
	}
	for _, f := range a.state.Load().fleets {
		f.setMembers(a.members)
	}
}

// Admit decides at once; an admitted request must be given back by Done.
func (a *Limiter) Admit(now time.Time, ask Request) Decision {
	s := a.state.Load()
	o := s.organisations[ask.Organisation]
	if o == nil {
		return Decision{Code: CodeUnknownOrganisation}
	}
	f := s.fleets[ask.Fleet]
	if f == nil {
		return Decision{Code: CodeUnknownFleet}
	}
	if wait := o.take(now); wait > 0 {
		return refuse(CodeOrganisationLimit, wait)
	}
	decision := f.admit(now, &ask)
	if !decision.Admitted {
		o.giveBack()
	}
	return decision
}

// Done gives back an admitted request.
func (a *Limiter) Done(now time.Time, ended Completion) {
	if f := a.state.Load().fleets[ended.Fleet]; f != nil {
		f.done(now, ended.Organisation)
	}
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

func refuse(code Code, wait time.Duration) Decision {
	return Decision{Code: code, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}
