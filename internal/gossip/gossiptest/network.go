// Package gossiptest runs many spread machines in one process in virtual time, over a
// network that loses, delays, duplicates and reorders messages and can be cut between
// data centres.
package gossiptest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rattanchute/internal/gossip"
	"rattanchute/internal/membership"
)

// ReplyTimeout is when a sender takes a message for unanswered.
const ReplyTimeout = 2 * time.Second

// Faults are the probabilities of what happens to one message.
type Faults struct {
	Loss      float64
	Delayed   float64
	Duplicate float64
}

// Counts tells how often each kind of fault happened.
type Counts struct {
	Lost, Delayed, Duplicated, Reordered, Partitioned, Restarted, Paused int
}

// Node is one machine and what the test has seen of it.
type Node struct {
	Name         string
	DataCentre   string
	Region       string
	Address      string
	StateMachine *gossip.StateMachine
	Up           bool
	Paused       bool
	// Starts counts the starts.
	Starts int
	// Sent and Received are the bytes of the encoded messages, when they are encoded.
	Sent, Received int64
	// Requests counts the messages sent, without answers.
	Requests     int64
	held         []func()
	lastDelivery map[string]time.Time
}

// Network is a set of nodes with one virtual clock.
type Network struct {
	Now    time.Time
	Rand   *rand.Rand
	Faults Faults
	Counts Counts
	Nodes  []*Node
	// Encode makes every message go through JSON, as over HTTP.
	Encode bool
	// OnEvent sees every event of every node.
	OnEvent func(*Node, gossip.Event)
	// OnStep is called after every step of a node.
	OnStep func(*Node)
	// OnTick is called after every tick of a node.
	OnTick func(*Node)
	// OnViolation is handed to the machines.
	OnViolation func(string)

	byAddress map[string]*Node
	cuts      map[[2]string]bool
	queue     timers
	sequence  uint64
}

// NewNetwork returns a network without nodes.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Now:       time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		Rand:      rand.New(rand.NewPCG(seed, seed)),
		byAddress: map[string]*Node{},
		cuts:      map[[2]string]bool{},
	}
}

// Add creates a node that is not started.
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

// Start starts or restarts a node with nothing but its settings.
func (n *Network) Start(node *Node, seeds []string) {
	node.Starts++
	node.Up = true
	node.Paused = false
	node.held = nil
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
	n.tick(node, node.Starts, n.random(gossip.TickInterval))
}

// Stop ends a node without a word.
func (n *Network) Stop(node *Node) {
	node.Up = false
	n.Counts.Restarted++
}

// Pause freezes a node: what arrives waits until Resume.
func (n *Network) Pause(node *Node) {
	node.Paused = true
	n.Counts.Paused++
}

// Resume lets a frozen node go on.
func (n *Network) Resume(node *Node) {
	node.Paused = false
	held := node.held
	node.held = nil
	for _, step := range held {
		step()
	}
}

// Partition ends or restores all traffic between two data centres.
func (n *Network) Partition(a, b string, cut bool) {
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// Reachable tells whether messages pass between two nodes.
func (n *Network) Reachable(a, b *Node) bool {
	return a.Up && b.Up && !a.Paused && !b.Paused && !n.cuts[[2]string{a.DataCentre, b.DataCentre}]
}

// Run lets the virtual time pass.
func (n *Network) Run(d time.Duration) {
	until := n.Now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(until) {
		t := heap.Pop(&n.queue).(timer)
		n.Now = t.at
		t.run()
	}
	n.Now = until
}

// Step runs a step of a node now and sends what it puts out.
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

// After schedules a call.
func (n *Network) After(d time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.queue, timer{at: n.Now.Add(d), sequence: n.sequence, run: run})
}

// at runs a step of one life of a node after a delay.
func (n *Network) at(node *Node, life int, d time.Duration, step func()) {
	n.After(d, func() {
		if !node.Up || node.Starts != life {
			return
		}
		if node.Paused {
			node.held = append(node.held, step)
			return
		}
		step()
	})
}

func (n *Network) tick(node *Node, life int, d time.Duration) {
	n.at(node, life, d, func() {
		n.Step(node, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output { return m.Tick(now, rnd) })
		if n.OnTick != nil {
			n.OnTick(node)
		}
		n.tick(node, life, gossip.TickInterval)
	})
}

func (n *Network) random(below time.Duration) time.Duration {
	return time.Duration(n.Rand.Int64N(int64(below)))
}
