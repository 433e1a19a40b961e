package fairshare

import (
	"math"
	"time"

	"rattanchute/internal/backpressure"
)

const (
	// demandTimeConstant is that of the exponential averages of demand.
	demandTimeConstant = time.Second
	// idleTimeout is how long an organisation without requests is kept.
	idleTimeout = 10 * time.Second
	// maxRanks is the number of ranks that are told apart; lower ones count as the last.
	maxRanks = 4
	// minBurst is the least number of requests of a rank that may be granted at once; it grows by the requests of
	// burstTime.
	minBurst  = 2
	burstTime = 200 * time.Millisecond
)

// member is an organisation that uses a fleet through this host.
type member struct {
	// rate is the mean demand up to at, and ranks the mean number of requests a second of each rank.
	rate  Cost
	ranks [maxRanks]float64
	at    time.Time
	// granted is the part of the requests of each rank that is granted, from 0 to 1, and allowance how many may be
	// granted at once. It grows with the mean demand, so that a burst is spread.
	granted   [maxRanks]float64
	allowance [maxRanks]float64
	// limited is set while the organisation demands more than its share.
	limited bool
	returns backpressure.RetrySchedule
	// admitted and refused count requests.
	admitted, refused uint64
}

func newMember(now time.Time, random float64) *member {
	m := &member{at: now}
	for i := range m.granted {
		m.granted[i] = 1
		m.allowance[i] = random
	}
	return m
}

// decay brings the averages to an instant.
func (m *member) decay(now time.Time) {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	m.rate = m.rate.times(factor)
	for i := range m.ranks {
		// The mean rate, summed up over time, is the number of requests.
		requests := m.ranks[i] * demandTimeConstant.Seconds() * (1 - factor)
		m.allowance[i] = min(m.allowance[i]+m.granted[i]*requests, m.maxAllowance(i))
		m.ranks[i] *= factor
	}
	m.at = now
}

func (m *member) record(now time.Time, rank int, c Cost) {
	m.decay(now)
	perSecond := 1 / demandTimeConstant.Seconds()
	m.rate = m.rate.plus(c.times(perSecond))
	m.ranks[rank] += perSecond
}

// idle reports whether the organisation has had no requests for idleTimeout.
func (m *member) idle(now time.Time) bool { return now.Sub(m.at) > idleTimeout }

// minGrantedPart is the part of an organisation's share that all its ranks have alike. The rest goes to the most
// urgent ones first.
const minGrantedPart = 0.25

// setShare sets which part of its demand the organisation is granted.
func (m *member) setShare(part float64) {
	m.limited = part < 1
	if !m.limited {
		for i := range m.granted {
			m.granted[i] = 1
		}
		return
	}
	total := 0.0
	for _, r := range m.ranks {
		total += r
	}
	floor := part * minGrantedPart
	left := (part - floor) * total
	for i, r := range m.ranks {
		extra := min(left, (1-floor)*r)
		left -= extra
		m.granted[i] = floor
		if r > 0 {
			m.granted[i] += extra / r
		}
	}
}

// maxAllowance returns how many requests of a rank may be granted at once.
func (m *member) maxAllowance(rank int) float64 {
	return minBurst + m.granted[rank]*m.ranks[rank]*burstTime.Seconds()
}

// take grants or refuses a request of a rank.
func (m *member) take(rank int) bool {
	if m.allowance[rank] < 1 {
		return false
	}
	m.allowance[rank]--
	return true
}

// grantedPerSecond is how many requests a second are granted.
func (m *member) grantedPerSecond() float64 {
	sum := 0.0
	for i, r := range m.ranks {
		sum += r * m.granted[i]
	}
	return sum
}
