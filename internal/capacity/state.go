package capacity

import (
	"slices"
	"time"
)

// State is what a plan carries over to the next one.
type State struct {
	SurplusHosts []SurplusHost `json:"holds"`
	// Chosen are the names of the hosts that the last plan chose to run, in order.
	Chosen   []string  `json:"chosen"`
	Refusals []Refusal `json:"refusals"`
}

// SurplusHost records since when a running host has not been needed.
type SurplusHost struct {
	Host  string    `json:"host"`
	Since time.Time `json:"since"`
}

// Refusal records until when no host is requested from a placement, after how many refused starts in
// a row.
type Refusal struct {
	Placement Placement `json:"placement"`
	Failures  int       `json:"failures"`
	Until     time.Time `json:"until"`
}

// RecordRefusal returns the state after a refused start. The backoff doubles with each refusal, up
// to BackoffMax; the random word adds jitter by selecting a value from its upper half.
func (s State) RecordRefusal(now time.Time, random uint64, p Placement, settings Settings) State {
	next := s.RecordStart(p)
	failures := s.failures(p) + 1
	wait := settings.BackoffBase
	for i := 1; i < failures && wait < settings.BackoffMax; i++ {
		wait *= 2
	}
	wait = min(wait, settings.BackoffMax)
	if half := wait / 2; half > 0 {
		wait = half + time.Duration(random%uint64(half))
	}
	next.Refusals = append(next.Refusals, Refusal{p, failures, now.Add(wait)})
	return next
}

// RecordStart returns the state after an accepted start, which clears the refusals of the
// placement.
func (s State) RecordStart(p Placement) State {
	s.Refusals = slices.DeleteFunc(slices.Clone(s.Refusals), func(r Refusal) bool {
		return r.Placement == p
	})
	return s
}

func (s *State) failures(p Placement) int {
	for _, r := range s.Refusals {
		if r.Placement == p {
			return r.Failures
		}
	}
	return 0
}

// InBackoff reports whether no host may be requested from the placement now.
func (s *State) InBackoff(now time.Time, p Placement) bool {
	for _, r := range s.Refusals {
		if r.Placement == p && now.Before(r.Until) {
			return true
		}
	}
	return false
}

// surplusSince returns since when the host has not been needed; now, if it was needed until
// now.
func (s *State) surplusSince(now time.Time, host string) time.Time {
	for _, h := range s.SurplusHosts {
		if h.Host == host {
			return h.Since
		}
	}
	return now
}
