// Package membership decides who of the daemons is alive and who owns which duty. It
// keeps a table of records that merge to the same result in whatever order they
// arrive; it does no I/O and starts no goroutine.
package membership

import (
	"strconv"
	"time"
)

// State is what the members agree on about one of them. For the same incarnation a
// higher state replaces a lower one.
type State int

// The states in order. Death is not among them: each node concludes it for itself
// when a suspicion has stood unrefuted for its SuspectTimeout, so that two halves of
// a healed network do not declare each other dead by exchanging old verdicts.
const (
	StateAlive State = iota
	StateSuspect
	StateLeft
)

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	default:
		return "left"
	}
}

// Member is the record of one daemon.
type Member struct {
	Name string `json:"name"`
	// Address is "ip:port" of the peers' listener.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Incarnation is the start time in Unix milliseconds, or higher after a refutation.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state,omitempty"`
	// SinceMillis is when the state was first concluded, in Unix milliseconds; zero
	// while alive.
	SinceMillis int64 `json:"since_ms,omitempty"`
}

// supersedes tells whether record m replaces old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.State != old.State {
		return m.State > old.State
	}
	if m.SinceMillis != old.SinceMillis {
		return m.SinceMillis < old.SinceMillis
	}
	return m.Address > old.Address
}

// valid tells whether a record received from outside can be taken in.
func (m Member) valid() bool {
	timed := m.SinceMillis > 0
	return m.Name != "" && m.State >= StateAlive && m.State <= StateLeft && timed == (m.State != StateAlive)
}

// age is how long ago the state was concluded.
func (m Member) age(now time.Time) time.Duration {
	if m.SinceMillis == 0 {
		return 0
	}
	return now.Sub(time.UnixMilli(m.SinceMillis))
}

// encode gives the bytes whose hash stands for the record.
func (m Member) encode() []byte {
	out := make([]byte, 0, len(m.Name)+len(m.Address)+len(m.DataCentre)+64)
	out = append(out, m.Name...)
	out = append(out, 0)
	out = append(out, m.Address...)
	out = append(out, 0)
	out = append(out, m.DataCentre...)
	out = append(out, 0)
	out = strconv.AppendUint(out, m.Incarnation, 10)
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(m.State), 10)
	out = append(out, ' ')
	return strconv.AppendInt(out, m.SinceMillis, 10)
}
