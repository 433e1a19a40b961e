package gossiptest

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"rattanchute/internal/gossip"
)

// Minimum one-way network delays by distance. The maximum delays are twice as long.
const (
	sameDataCentreDelay = 300 * time.Microsecond
	sameRegionDelay     = time.Millisecond
	otherRegionDelay    = 40 * time.Millisecond
	// maxExtraDelay is the maximum extra delay of a delayed message, and of the second copy of a
	// duplicated one.
	maxExtraDelay = 3 * time.Second
)

// exchange is a message whose reply is awaited. replied is set once the reply has arrived or the
// sender has noticed that ReplyTimeout has passed.
type exchange struct {
	send    gossip.Send
	from    *Node
	starts  int
	replied bool
}

func (n *Network) send(from *Node, s gossip.Send) {
	from.Requests++
	x := &exchange{send: s, from: from, starts: from.Starts}
	to := n.byAddress[s.To]
	n.at(from, x.starts, ReplyTimeout, func() { n.fail(x) })
	if to == nil {
		return
	}
	wire := n.encode(from, s.Message)
	n.transmit(from, to, func() { n.receive(x, to, wire) })
}

func (n *Network) fail(x *exchange) {
	if x.replied {
		return
	}
	x.replied = true
	n.Step(x.from, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.HandleSendFailure(now, rnd, x.send)
	})
}

func (n *Network) receive(x *exchange, to *Node, wire wireMessage) {
	var reply gossip.Message
	n.Step(to, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		answer, out := m.HandleMessage(now, rnd, n.decode(to, wire))
		reply = answer
		return out
	})
	back := n.encode(to, reply)
	n.transmit(to, x.from, func() { n.answer(x, back) })
}

func (n *Network) answer(x *exchange, wire wireMessage) {
	if x.replied || x.from.Starts != x.starts {
		return
	}
	x.replied = true
	reply := n.decode(x.from, wire)
	n.Step(x.from, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.HandleReply(now, rnd, x.send, reply)
	})
}

// transmit delivers a message after a delay, unless a fault or a partition prevents it. A duplicated
// message is delivered twice.
func (n *Network) transmit(from, to *Node, deliver func()) {
	if n.partitions[[2]string{from.DataCentre, to.DataCentre}] {
		n.Counts.Partitioned++
		return
	}
	if n.Rand.Float64() < n.Faults.Loss {
		n.Counts.Lost++
		return
	}
	delay := n.delay(from, to)
	if n.Rand.Float64() < n.Faults.Delayed {
		n.Counts.Delayed++
		delay += n.randomDuration(maxExtraDelay)
	}
	n.recordOrder(from, to, n.Now.Add(delay))
	n.at(to, to.Starts, delay, deliver)
	if n.Rand.Float64() < n.Faults.Duplicate {
		n.Counts.Duplicated++
		n.at(to, to.Starts, delay+n.randomDuration(maxExtraDelay), deliver)
	}
}

// recordOrder counts a message as reordered if it arrives before one that was sent earlier. The
// second copy of a duplicated message is not considered.
func (n *Network) recordOrder(from, to *Node, at time.Time) {
	if at.Before(to.lastDelivery[from.Name]) {
		n.Counts.Reordered++
		return
	}
	to.lastDelivery[from.Name] = at
}

func (n *Network) delay(from, to *Node) time.Duration {
	base := otherRegionDelay
	switch {
	case from.DataCentre == to.DataCentre:
		base = sameDataCentreDelay
	case from.Region == to.Region:
		base = sameRegionDelay
	}
	return base + n.randomDuration(base)
}

// wireMessage is a message in transit, encoded if Network.Encode is set.
type wireMessage struct {
	message gossip.Message
	encoded []byte
}

func (n *Network) encode(from *Node, m gossip.Message) wireMessage {
	if !n.Encode {
		return wireMessage{message: m}
	}
	encoded, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	from.Sent += int64(len(encoded))
	return wireMessage{encoded: encoded}
}

func (n *Network) decode(to *Node, w wireMessage) gossip.Message {
	if w.encoded == nil {
		return w.message
	}
	var m gossip.Message
	if err := json.Unmarshal(w.encoded, &m); err != nil {
		panic(err)
	}
	to.Received += int64(len(w.encoded))
	return m
}
