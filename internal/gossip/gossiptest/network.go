// Package gossiptest simulates many nodes, each with a gossip.StateMachine, in one process in
// virtual time. The simulated network loses, delays, duplicates and reorders messages and can be
// partitioned between data centres.
package gossiptest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rattanchute/internal/gossip"
	"rattanchute/internal/membership"
)

// ReplyTimeout is how long a sender waits for a reply before the message counts as failed.
const ReplyTimeout = 2 * time.Second

// Faults are the probabilities of each fault, per message or reply.
type Faults struct {
	Loss      float64
	Delayed   float64
	Duplicate float64
}

// Counts counts the faults that were injected, by kind. Restarted and Paused count the calls of Stop
// and Pause; the other fields count messages and replies.
type Counts struct {
	Lost, Delayed, Duplicated, Reordered, Partitioned, Restarted, Paused int
}

// Node is a simulated node with statistics about it.
type Node struct {
	Name         string
	DataCentre   string
	Region       string
	Address      string
	StateMachine *gossip.StateMachine
	Up           bool
	Paused       bool
	// Starts is the number of times the node was started.
	Starts int
	// Sent and Received count the bytes of encoded messages; they stay zero unless
	// Network.Encode is set.
	Sent, Received int64
	// Requests counts the messages sent, without replies.
	Requests     int64
	suspended    []func()
	lastDelivery map[string]time.Time
}

// Network is a set of nodes that share a virtual clock.
type Network struct {
	Now    time.Time
	Rand   *rand.Rand
	Faults Faults
	Counts Counts
	Nodes  []*Node
	// Encode passes every message through JSON, as HTTP does.
	Encode bool
	// OnEvent is called for every event of every node.
	OnEvent func(*Node, gossip.Event)
	// OnStep is called after every step of a node.
	OnStep func(*Node)
	// OnTick is called after every tick of a node.
	OnTick func(*Node)
	// OnViolation is passed to the machines.
	OnViolation func(string)

	byAddress  map[string]*Node
	partitions map[[2]string]bool
	queue      timers
	sequence   uint64
}

// NewNetwork returns a network without nodes. Its clock starts at the beginning of 2030, and seed
// seeds its random source.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Now:        time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		Rand:       rand.New(rand.NewPCG(seed, seed)),
		byAddress:  map[string]*Node{},
		partitions: map[[2]string]bool{},
	}
}

// Add creates a node without starting it.
func (n *Network) Add(dataCentre, region string) *Node {
	i := len(n.Nodes)
	node := &Node{
		Name:         fmt.Sprintf("node-%03d", i),
		DataCentre:   dataCentre,
		Region:       region,
		Address:      fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250+1),
		lastDelivery: map[string]time.Time{},
	}
	n.Nodes = append(n.Nodes, node)
	n.byAddress[node.Address] = node
	return node
}

// Start starts or restarts a node with a new state machine, which knows only the seeds' addresses.
// The statistics of the node are kept.
func (n *Network) Start(node *Node, seeds []string) {
	node.Starts++
	node.Up = true
	node.Paused = false
	node.suspended = nil
	node.StateMachine = gossip.New(gossip.Settings{
		Self: membership.Member{
			Name:        node.Name,
			Address:     node.Address,
			DataCentre:  node.DataCentre,
			Incarnation: uint64(n.Now.UnixMilli()),
		},
		Seeds:       seeds,
		OnViolation: n.OnViolation,
	})
	n.tick(node, node.Starts, n.randomDuration(gossip.TickInterval))
}

// Stop stops a node without announcing its departure.
func (n *Network) Stop(node *Node) {
	node.Up = false
	n.Counts.Restarted++
}

// Pause suspends a node: messages and timers are held back until Resume.
func (n *Network) Pause(node *Node) {
	node.Paused = true
	n.Counts.Paused++
}

// Resume resumes a paused node and runs the steps that were held back.
func (n *Network) Resume(node *Node) {
	node.Paused = false
	suspended := node.suspended
	node.suspended = nil
	for _, step := range suspended {
		step()
	}
}

// Partition blocks or restores the traffic between two data centres. Messages that are already in
// flight still arrive.
func (n *Network) Partition(a, b string, blocked bool) {
	n.partitions[[2]string{a, b}] = blocked
	n.partitions[[2]string{b, a}] = blocked
}

// Reachable reports whether two nodes can exchange messages.
func (n *Network) Reachable(a, b *Node) bool {
	return a.Up && b.Up && !a.Paused && !b.Paused && !n.partitions[[2]string{a.DataCentre, b.DataCentre}]
}

// Run advances the virtual time by d and runs the steps and the calls of After that become due.
func (n *Network) Run(d time.Duration) {
	until := n.Now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(until) {
		t := heap.Pop(&n.queue).(timer)
		n.Now = t.at
		t.run()
	}
	n.Now = until
}

// Step runs a step of a node now and sends the messages that it produces.
func (n *Network) Step(node *Node, step func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output) {
	out := step(node.StateMachine, n.Now, n.Rand)
	if n.OnEvent != nil {
		for _, e := range out.Events {
			n.OnEvent(node, e)
		}
	}
	for _, s := range out.Messages {
		n.send(node, s)
	}
	if out.FlushAfter > 0 {
		n.at(node, node.Starts, out.FlushAfter, func() {
			n.Step(node, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output { return m.Flush(now, rnd) })
		})
	}
	if n.OnStep != nil {
		n.OnStep(node)
	}
}

// After schedules a call after a delay.
func (n *Network) After(d time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.queue, timer{at: n.Now.Add(d), sequence: n.sequence, run: run})
}

// at schedules a step of a node after a delay. The step is skipped if the node has stopped or
// restarted by then, and held back until Resume while the node is paused.
func (n *Network) at(node *Node, starts int, d time.Duration, step func()) {
	n.After(d, func() {
		if !node.Up || node.Starts != starts {
			return
		}
		if node.Paused {
			node.suspended = append(node.suspended, step)
			return
		}
		step()
	})
}

func (n *Network) tick(node *Node, starts int, d time.Duration) {
	n.at(node, starts, d, func() {
		n.Step(node, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output { return m.Tick(now, rnd) })
		if n.OnTick != nil {
			n.OnTick(node)
		}
		n.tick(node, starts, gossip.TickInterval)
	})
}

func (n *Network) randomDuration(below time.Duration) time.Duration {
	return time.Duration(n.Rand.Int64N(int64(below)))
}
