package spread

import "time"

// freshHost is a run of a host lately heard to be leaving.
type freshHost struct {
	key hostKey
	at  time.Time
}

// freshHosts returns the latest of the hosts that are leaving, to be repeated.
func (m *Machine) freshHosts() []HostRecord {
	latest := m.fresh[max(0, len(m.fresh)-maxFresh):]
	out := make([]HostRecord, 0, len(latest))
	for _, f := range latest {
		if r, known := m.hosts.records[f.key]; known {
			out = append(out, r)
		}
	}
	return out
}

// expireFresh drops the hosts that have been repeated for long enough.
func (m *Machine) expireFresh(now time.Time) {
	i := 0
	for i < len(m.fresh) && now.Sub(m.fresh[i].at) >= freshFor {
		i++
	}
	m.fresh = m.fresh[i:]
}
