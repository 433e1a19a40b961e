package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/fleet"
)

// Code indicates why a request was not admitted. Codes are stable and may be shown to callers.
type Code string

// The codes of a Decision.
const (
	CodeAdmitted            Code = ""
	CodeUnknownOrganisation Code = "unknown_organisation"
	CodeUnknownFleet        Code = "unknown_fleet"
	CodeOrganisationLimit   Code = "organisation_limit"
	CodeOverloaded          Code = "overloaded"
	CodeDeadline            Code = "deadline"
)

// Request describes a request for which admission is decided.
type Request struct {
	Organisation string
	Fleet        string
	// Priority is 0 (shed first) to 9 (shed last).
	Priority int
	// ExpectedFirstToken is the expected time to the first token at the best endpoint.
	ExpectedFirstToken time.Duration
	// ExpectedPrefill is the part of ExpectedFirstToken that processes the request's own prompt.
	ExpectedPrefill time.Duration
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	Code     Code
	// RetryAfter is the delay after which the caller should retry; zero if the request was admitted
	// or if its organisation or fleet is unknown, as a retry would not help.
	RetryAfter time.Duration
}

// Completion describes an admitted request that has ended.
type Completion struct {
	Organisation string
	Fleet        string
}

// Limiter makes the admission decisions of one entry host, which is a member of the group that
// shares the rate limits. It is safe for concurrent use.
type Limiter struct {
	self  string
	state atomic.Pointer[state]
	// mu serialises changes of the configuration and of the membership.
	mu              sync.Mutex
	members         int
	endpointRetries endpointRetryShards
}

// state holds the configured organisations and fleets. Each of them has its own lock.
type state struct {
	organisations map[string]*organisation
	fleets        map[string]*fleetLoad
}

// NewLimiter returns a limiter for the named member, with no other members. Without a
// configuration it knows no organisation and refuses every request.
func NewLimiter(self string) *Limiter {
	l := &Limiter{self: self, members: 1}
	l.endpointRetries.init()
	l.state.Store(&state{})
	return l
}

// SetConfiguration applies new limits and weights. Organisations and fleets that are still
// configured keep their current usage.
func (l *Limiter) SetConfiguration(now time.Time, cfg *fleet.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.state.Load()
	next := &state{
		organisations: make(map[string]*organisation, len(cfg.Organisations)),
		fleets:        make(map[string]*fleetLoad, len(cfg.Fleets)),
	}
	for _, declared := range cfg.Organisations {
		o := old.organisations[declared.Name]
		if o == nil {
			o = newOrganisation(declared.Name)
		}
		o.configure(now, declared, l.members)
		next.organisations[declared.Name] = o
	}
	for _, declared := range cfg.Fleets {
		f := old.fleets[declared.Name]
		if f == nil {
			f = newFleetLoad()
		}
		f.configure(cfg.Organisations, slotsOf(cfg, declared))
		f.setMembers(l.members)
		next.fleets[declared.Name] = f
	}
	l.state.Store(next)
}

func slotsOf(cfg *fleet.Configuration, declared fleet.Fleet) int {
	slots := declared.SlotsPerEndpoint
	if slots <= 0 {
		slots = defaultSlotsPerEndpoint
	}
	total := 0
	for _, endpoint := range cfg.Endpoints {
		if endpoint.Fleet == declared.Name {
			total += slots
		}
	}
	return total
}

// SetMembers sets the number of live entry hosts, including this one. A number below 1 counts
// as 1.
func (l *Limiter) SetMembers(now time.Time, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = max(count, 1)
	for _, o := range l.state.Load().organisations {
		o.setMembers(now, l.members)
	}
	for _, f := range l.state.Load().fleets {
		f.setMembers(l.members)
	}
}

// Admit decides on a request without blocking. Each admitted request must be followed by a call of
// Done.
func (l *Limiter) Admit(now time.Time, r Request) Decision {
	s := l.state.Load()
	o := s.organisations[r.Organisation]
	if o == nil {
		return Decision{Code: CodeUnknownOrganisation}
	}
	f := s.fleets[r.Fleet]
	if f == nil {
		return Decision{Code: CodeUnknownFleet}
	}
	if wait := o.take(now); wait > 0 {
		return refuse(CodeOrganisationLimit, wait)
	}
	decision := f.admit(now, &r)
	if !decision.Admitted {
		o.refund()
	}
	return decision
}

// Done records that an admitted request has ended, whether it succeeded or not.
func (l *Limiter) Done(now time.Time, c Completion) {
	if f := l.state.Load().fleets[c.Fleet]; f != nil {
		f.done(now, c.Organisation)
	}
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

func refuse(code Code, wait time.Duration) Decision {
	return Decision{Code: code, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}
