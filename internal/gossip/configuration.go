package gossip

import (
	"bytes"
	"math/rand/v2"
	"time"

	"rattanchute/internal/fleet"
)

// configuration holds the active configuration and the newest generation known to exist.
type configuration struct {
	active     fleet.Generation
	text       []byte
	compressed []byte
	// newestSeen is the highest generation that a peer has advertised or that was activated here.
	// It falls back to active if the newer generation could not be fetched.
	newestSeen fleet.Generation
	// fetchStartedAt is when the fetch in flight was last sent; zero when there is none.
	fetchStartedAt time.Time
}

// activateIfNewer activates a configuration if its generation is higher than the active one, and
// pushes the news to up to Fanout members. It activates nothing and reports a violation if the text
// is larger than MaxTextBytes, or differs from that of the active configuration of the same
// generation. compressed is the compressed text, or nil if the caller does not have it.
func (m *StateMachine) activateIfNewer(rnd *rand.Rand, g fleet.Generation, text, compressed []byte) Output {
	if g == m.config.active && g > 0 && !bytes.Equal(text, m.config.text) {
		m.reportViolation("configuration %d has two texts", g)
	}
	if g <= m.config.active {
		return Output{}
	}
	return m.activate(rnd, g, text, compressed)
}

func (m *StateMachine) activate(rnd *rand.Rand, g fleet.Generation, text, compressed []byte) Output {
	if len(text) > MaxTextBytes {
		m.reportViolation("configuration %d has %d bytes, more than can be sent", g, len(text))
		return Output{}
	}
	if compressed == nil {
		compressed = Compress(text)
	}
	if g <= m.config.active {
		m.reportViolation("configuration %d put in force after %d", g, m.config.active)
	}
	m.config.active = g
	m.config.text = text
	m.config.compressed = compressed
	m.config.newestSeen = max(m.config.newestSeen, g)
	out := Output{Events: []Event{ConfigurationInForce{Generation: g, Text: text}}}
	out.Messages = m.addressToRandom(rnd, m.message(KindPush), Fanout, "")
	return out
}
