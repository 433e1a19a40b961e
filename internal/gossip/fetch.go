package gossip

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/membership"
)

// recordGeneration records the highest generation that a peer has advertised.
func (m *StateMachine) recordGeneration(d Digest) {
	m.config.newestSeen = max(m.config.newestSeen, d.Generation)
}

// fetchIfNewer fetches the configuration from a peer that advertises a newer one, unless a fetch
// is already in flight.
func (m *StateMachine) fetchIfNewer(now time.Time, from membership.Member, d Digest) []Send {
	if d.Generation <= m.config.active || !m.config.fetchStartedAt.IsZero() {
		return nil
	}
	return m.fetch(now, Send{To: from.Address, Name: from.Name})
}

func (m *StateMachine) fetch(now time.Time, s Send) []Send {
	m.config.fetchStartedAt = now
	s.Message = m.message(KindFetch)
	return []Send{s}
}

// fillFetchReply adds the configuration if the requesting node has an older one.
func (m *StateMachine) fillFetchReply(request Message, reply *Message) {
	if request.Digest.Generation < m.config.active {
		reply.Configuration = &CompressedConfiguration{Generation: m.config.active, Gzip: m.config.compressed}
	}
}

func (m *StateMachine) handleFetchReply(now time.Time, rnd *rand.Rand, reply Message) Output {
	m.config.fetchStartedAt = time.Time{}
	if reply.Configuration == nil {
		return m.abandonNewest(now)
	}
	text, err := decompress(reply.Configuration.Gzip)
	if err != nil {
		return m.abandonNewest(now)
	}
	out := m.activateIfNewer(rnd, reply.Configuration.Generation, text, reply.Configuration.Gzip)
	out.add(m.advanceJoin(now))
	return out
}

func (m *StateMachine) handleFetchFailure(now time.Time, s Send) Output {
	if !m.join.done && s.attempt+1 < maxAttempts {
		s.attempt++
		return Output{Messages: m.fetch(now, s)}
	}
	m.config.fetchStartedAt = time.Time{}
	return m.abandonNewest(now)
}

// abandonNewest gives up on a generation that could not be fetched, for instance because the peer
// that advertised it is no longer reachable, until a peer advertises it again. A joining node then
// contacts every seed and known member again.
func (m *StateMachine) abandonNewest(now time.Time) Output {
	if m.config.newestSeen <= m.config.active {
		return m.advanceJoin(now)
	}
	m.config.newestSeen = m.config.active
	m.restartJoin()
	return m.advanceJoin(now)
}

// retryFetch requests the configuration from a random member if a newer one is known to exist and
// no fetch is in flight. A fetch no longer counts as in flight RequestTimeout after it was sent.
func (m *StateMachine) retryFetch(now time.Time, rnd *rand.Rand) Output {
	c := &m.config
	if !c.fetchStartedAt.IsZero() && now.Sub(c.fetchStartedAt) > RequestTimeout {
		c.fetchStartedAt = time.Time{}
	}
	if c.newestSeen <= c.active || !c.fetchStartedAt.IsZero() {
		return Output{}
	}
	targets := m.randomMembers(rnd, 1, "")
	if len(targets) == 0 {
		return Output{}
	}
	return Output{Messages: m.fetch(now, Send{To: targets[0].Address, Name: targets[0].Name})}
}
