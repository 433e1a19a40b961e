package gossip

import (
	"bytes"
	"math/rand/v2"
	"time"

	"rattanchute/internal/fleet"
)

// configuration is what is in force and what is known to be newer.
type configuration struct {
	inForce fleet.Generation
	text    []byte
	packed  []byte
	// newest is the highest generation any peer has named.
	newest fleet.Generation
	// fetchSince is when the fetch in flight was sent; zero when there is none.
	fetchSince time.Time
}

// offer puts a configuration in force if it is newer than the one in force.
// packed is the compressed text, if it is at hand.
func (m *StateMachine) offer(rnd *rand.Rand, g fleet.Generation, text, packed []byte) Output {
	if g == m.config.inForce && g > 0 && !bytes.Equal(text, m.config.text) {
		m.violated("configuration %d has two texts", g)
	}
	if g <= m.config.inForce {
		return Output{}
	}
	return m.force(rnd, g, text, packed)
}

func (m *StateMachine) force(rnd *rand.Rand, g fleet.Generation, text, packed []byte) Output {
	if len(text) > MaxTextBytes {
		m.violated("configuration %d has %d bytes, more than can be sent", g, len(text))
		return Output{}
	}
	if packed == nil {
		packed = Compress(text)
	}
	if g <= m.config.inForce {
		m.violated("configuration %d put in force after %d", g, m.config.inForce)
	}
	m.config.inForce = g
	m.config.text = text
	m.config.packed = packed
	m.config.newest = max(m.config.newest, g)
	out := Output{Events: []Event{ConfigurationInForce{Generation: g, Text: text}}}
	out.Messages = m.toRandom(rnd, m.message(KindPush), Fanout, "")
	return out
}
