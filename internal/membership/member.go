// Package membership tracks which daemons are alive and which of them owns each singleton duty.
// Its table of records is convergent: merging the same records in any order gives the same
// records, as long as the table is not full. The package performs no I/O and starts no goroutines.
//
// Package gossip replicates the table among the daemons that package app builds. The entry hosts
// that package node builds track each other in the Table of package heartbeat instead.
package membership

import (
	"strconv"
	"time"
)

// State is the replicated state of a member. Within one incarnation, a higher state replaces a
// lower one.
type State int

// The states in order. There is no state for dead members: each node concludes by itself that a
// member is dead, once a suspicion has remained unrefuted for SuspectTimeout. Otherwise the two
// sides of a healed partition would declare each other dead by exchanging outdated records.
const (
	StateAlive State = iota
	StateSuspect
	StateLeft
)

// String returns the state's name as used in logs.
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
	// Address is the "ip:port" of the listener for peers.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Incarnation is the start time in Unix milliseconds, or a higher value after a refutation.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state,omitempty"`
	// SinceMillis is when the current state was first concluded, in Unix milliseconds; zero
	// while alive. For a suspicion it is truncated to sinceResolution.
	SinceMillis int64 `json:"since_ms,omitempty"`
}

// supersedes reports whether record m replaces old, which is about the same member.
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

// valid reports whether a record received from outside is well-formed.
func (m Member) valid() bool {
	timed := m.SinceMillis > 0
	return m.Name != "" && m.State >= StateAlive && m.State <= StateLeft && timed == (m.State != StateAlive)
}

// age returns how long ago the state was concluded; zero while alive.
func (m Member) age(now time.Time) time.Duration {
	if m.SinceMillis == 0 {
		return 0
	}
	return now.Sub(time.UnixMilli(m.SinceMillis))
}

// encode returns the bytes that are hashed to represent the record in the digest.
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
