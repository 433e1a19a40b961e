package gossip

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/membership"
)

// noteGeneration remembers the highest generation that a peer has named.
func (m *StateMachine) noteGeneration(d Digest) {
	m.config.newest = max(m.config.newest, d.Generation)
}

// considerGeneration fetches the configuration from a peer that has a newer one.
func (m *StateMachine) considerGeneration(now time.Time, from membership.Member, d Digest) []Send {
	if d.Generation <= m.config.inForce || !m.config.fetchSince.IsZero() {
		return nil
	}
	return m.fetch(now, Send{To: from.Address, Name: from.Name})
}

func (m *StateMachine) fetch(now time.Time, s Send) []Send {
	m.config.fetchSince = now
	s.Message = m.message(KindFetch)
	return []Send{s}
}

// answerFetch adds the configuration if the asking node is behind.
func (m *StateMachine) answerFetch(asked Message, reply *Message) {
	if asked.Digest.Generation < m.config.inForce {
		reply.Configuration = &CompressedConfiguration{Generation: m.config.inForce, Gzip: m.config.packed}
	}
}

func (m *StateMachine) fetched(now time.Time, rnd *rand.Rand, reply Message) Output {
	m.config.fetchSince = time.Time{}
	if reply.Configuration == nil {
		return m.forgetNewest(now)
	}
	text, err := decompress(reply.Configuration.Gzip)
	if err != nil {
		return m.forgetNewest(now)
	}
	out := m.offer(rnd, reply.Configuration.Generation, text, reply.Configuration.Gzip)
	out.add(m.advanceJoin(now))
	return out
}

func (m *StateMachine) fetchFailed(now time.Time, s Send) Output {
	if !m.join.done && s.attempt+1 < maxAttempts {
		s.attempt++
		return Output{Messages: m.fetch(now, s)}
	}
	m.config.fetchSince = time.Time{}
	return m.forgetNewest(now)
}

// forgetNewest gives up on a generation whose holder cannot be reached any more; a
// node that starts asks everyone anew.
func (m *StateMachine) forgetNewest(now time.Time) Output {
	if m.config.newest <= m.config.inForce {
		return m.advanceJoin(now)
	}
	m.config.newest = m.config.inForce
	m.askAll()
	return m.advanceJoin(now)
}

// tickFetch asks a random member when a newer configuration is known and no fetch is
// in flight.
func (m *StateMachine) tickFetch(now time.Time, rnd *rand.Rand) Output {
	c := &m.config
	if !c.fetchSince.IsZero() && now.Sub(c.fetchSince) > RequestTimeout {
		c.fetchSince = time.Time{}
	}
	if c.newest <= c.inForce || !c.fetchSince.IsZero() {
		return Output{}
	}
	targets := m.pick(rnd, 1, "")
	if len(targets) == 0 {
		return Output{}
	}
	return Output{Messages: m.fetch(now, Send{To: targets[0].Address, Name: targets[0].Name})}
}
