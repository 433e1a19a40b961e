package spreadtest

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"rattanchute/internal/spread"
)

// One-way delays by distance.
const (
	sameCentre  = 300 * time.Microsecond
	sameRegion  = time.Millisecond
	otherRegion = 40 * time.Millisecond
	// maxLateness is the longest extra delay of a message that is late.
	maxLateness = 3 * time.Second
)

// exchange is one message on its way, and its answer.
type exchange struct {
	send     spread.Send
	from     *Node
	life     int
	answered bool
}

func (n *Network) send(from *Node, s spread.Send) {
	from.Requests++
	x := &exchange{send: s, from: from, life: from.Life}
	to := n.byAddress[s.To]
	n.at(from, x.life, AnswerTimeout, func() { n.fail(x) })
	if to == nil {
		return
	}
	wire := n.encode(from, s.Message)
	n.transmit(from, to, func() { n.receive(x, to, wire) })
}

func (n *Network) fail(x *exchange) {
	if x.answered {
		return
	}
	x.answered = true
	n.Do(x.from, func(m *spread.Machine, now time.Time, rnd *rand.Rand) spread.Output {
		return m.Failed(now, rnd, x.send)
	})
}

func (n *Network) receive(x *exchange, to *Node, wire wireMessage) {
	var reply spread.Message
	n.Do(to, func(m *spread.Machine, now time.Time, rnd *rand.Rand) spread.Output {
		answer, out := m.Receive(now, rnd, n.decode(to, wire))
		reply = answer
		return out
	})
	back := n.encode(to, reply)
	n.transmit(to, x.from, func() { n.answer(x, back) })
}

func (n *Network) answer(x *exchange, wire wireMessage) {
	if x.answered || x.from.Life != x.life {
		return
	}
	x.answered = true
	reply := n.decode(x.from, wire)
	n.Do(x.from, func(m *spread.Machine, now time.Time, rnd *rand.Rand) spread.Output {
		return m.Answer(now, rnd, x.send, reply)
	})
}

// transmit delivers a message after a delay, unless a fault befalls it.
func (n *Network) transmit(from, to *Node, deliver func()) {
	if n.cuts[[2]string{from.DataCentre, to.DataCentre}] {
		n.Counts.Cut++
		return
	}
	if n.Rand.Float64() < n.Faults.Loss {
		n.Counts.Lost++
		return
	}
	delay := n.delay(from, to)
	if n.Rand.Float64() < n.Faults.Late {
		n.Counts.Late++
		delay += n.random(maxLateness)
	}
	n.noteOrder(from, to, n.Now.Add(delay))
	n.at(to, to.Life, delay, deliver)
	if n.Rand.Float64() < n.Faults.Duplicate {
		n.Counts.Duplicated++
		n.at(to, to.Life, delay+n.random(maxLateness), deliver)
	}
}

func (n *Network) noteOrder(from, to *Node, at time.Time) {
	if at.Before(to.lastDelivery[from.Name]) {
		n.Counts.Reordered++
		return
	}
	to.lastDelivery[from.Name] = at
}

func (n *Network) delay(from, to *Node) time.Duration {
	base := otherRegion
	switch {
	case from.DataCentre == to.DataCentre:
		base = sameCentre
	case from.Region == to.Region:
		base = sameRegion
	}
	return base + n.random(base)
}

// wireMessage is a message on its way, encoded if the network encodes.
type wireMessage struct {
	plain   spread.Message
	encoded []byte
}

func (n *Network) encode(from *Node, m spread.Message) wireMessage {
	if !n.Encode {
		return wireMessage{plain: m}
	}
	encoded, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	from.Sent += int64(len(encoded))
	return wireMessage{encoded: encoded}
}

func (n *Network) decode(to *Node, w wireMessage) spread.Message {
	if w.encoded == nil {
		return w.plain
	}
	var m spread.Message
	if err := json.Unmarshal(w.encoded, &m); err != nil {
		panic(err)
	}
	to.Received += int64(len(w.encoded))
	return m
}
